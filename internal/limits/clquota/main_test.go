// This file fixes the seed of the property test.

package clquota

import (
	"testing"

	"github.com/chestnutlead/chestnutlead/cltest"
)

func TestMain(m *testing.M) { cltest.Main(m, map[string]string{"seed": "1"}) }
