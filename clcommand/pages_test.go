// This file tests that the commands on the pages are accepted.

package clcommand

import (
	"os"
	"strings"
	"testing"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/stretchr/testify/require"
)

// TestPagesCommands guards against pages that show commands, flags or
// arguments which the command line does not have.
func TestPagesCommands(t *testing.T) {
	tests := []struct{ page, placeholder, value string }{
		{"../docs/OPERATIONS.md", "PLAN", "p1"},
		{"../README.md", "PLAN", "p1"},
	}
	for _, tt := range tests {
		text, err := os.ReadFile(tt.page)
		require.NoError(t, err)
		n := 0
		for _, line := range strings.Split(string(text), "\n") {
			command, ok := strings.CutPrefix(strings.TrimPrefix(line, "    "), "chestnutlead ")
			if b, isBuilt := strings.CutPrefix(line, "    bin/chestnutlead "); isBuilt {
				command, ok = b, true
			}
			if !ok || !strings.HasPrefix(line, "    ") || strings.Contains(line, "--settings") {
				continue
			}
			n++
			command = strings.NewReplacer(tt.placeholder, tt.value, "services.json", "../examples/kesar.json",
				"examples/kesar.json", "../examples/kesar.json", "settings/", "../settings/").Replace(command)
			f := &fakeOperator{}
			if strings.HasPrefix(command, "plan follow") {
				f.plans = []*clstate.Plan{{Id: "p1", State: clstate.PlanState_PLAN_STATE_DONE}}
			}
			code, _, stderr := runCommand(t, f, strings.Fields(command)...)
			require.NotEqual(t, ExitUsage, code, "%s: %s: %s", tt.page, command, stderr)
		}
		require.Positive(t, n, "%s shows no commands", tt.page)
	}
}
