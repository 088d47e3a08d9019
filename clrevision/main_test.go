package clrevision

import (
	"testing"

	"github.com/chestnutlead/chestnutlead/cltest"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	cltest.Main(m, map[string]string{"seed": "61204", "steps": "60", "checks": "1000"})
}
