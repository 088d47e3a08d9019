// This file fixes the seed of the property tests.

package clshare

import (
	"testing"

	"github.com/chestnutlead/chestnutlead/cltest"
)

func TestMain(m *testing.M) { cltest.Main(m, map[string]string{"seed": "1"}) }
