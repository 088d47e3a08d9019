package clbooking

import (
	"testing"

	"github.com/chestnutlead/chestnutlead/cltest"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	// The rarest guards need this many checks.
	cltest.Main(m, map[string]string{"seed": "61204", "steps": "100", "checks": "6000"})
}
