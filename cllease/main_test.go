package cllease

import (
	"testing"

	"github.com/chestnutlead/chestnutlead/cltest"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	// The rarest guard, the time of the first of several updates on one version, needs this many checks.
	cltest.Main(m, map[string]string{"seed": "61204", "steps": "60", "checks": "2000"})
}
