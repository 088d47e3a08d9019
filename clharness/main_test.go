// This file builds the commands once for all tests and limits the fleets that
// run at the same time.

package clharness_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/stretchr/testify/require"
)

const (
	// maxFleets bounds the fleets that run at the same time: 5 keep a load of about
	// 5, on a machine of 10 cores.
	maxFleets  = 5
	pollEvery  = 20 * time.Millisecond
	buildLimit = 5 * time.Minute
	// healWithin bounds waits that no promise limits, such as a restart.
	healWithin = 30 * time.Second
)

var (
	binDir string
	fleets = make(chan struct{}, maxFleets)
)

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chestnutlead-bin")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	build := exec.CommandContext(ctx, "go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build of the commands: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// shortLeases makes leases expire soon, so that tests of expiry take seconds.
var shortLeases = map[string]string{
	"lease":         "ttl = 2s\nmargin = 300ms\n",
	"slots@entry":   "lifetime = 1s\n",
	"peer":          "suspect_timeout = 1s\n",
	"platform":      "instances_interval = 500ms\n",
	"config":        "watch_wait = 5s\n",
	"plans@control": "interval = 100ms\nrollout_dwell = 1s\nrollout_margin = 1s\n",
}

// smallProfile is a fleet of three pairs in three data centres.
func smallProfile(engines, plains int) clharness.Profile {
	p := clharness.Kesar()
	p.Engines, p.Plains = engines, plains
	p.Settings = shortLeases
	return p
}

// withSettings returns both sets of lines; later ones win.
func withSettings(a, b map[string]string) map[string]string {
	sum := make(map[string]string, len(a)+len(b))
	for k, v := range a {
		sum[k] = v
	}
	for k, v := range b {
		sum[k] += v
	}
	return sum
}

// start runs a fleet until the test ends; its logs stay if the test fails.
func start(t *testing.T, p clharness.Profile) *clharness.Fleet {
	t.Helper()
	f := &clharness.Fleet{Profile: p}
	startFleet(t, f)
	return f
}

func startFleet(t *testing.T, f *clharness.Fleet) {
	t.Helper()
	fleets <- struct{}{}
	dir, err := os.MkdirTemp("", "chestnutlead-"+strings.ReplaceAll(t.Name(), "/", "-"))
	require.NoError(t, err)
	f.BinDir, f.WorkDir = binDir, dir
	t.Cleanup(func() {
		f.Close()
		<-fleets
		if t.Failed() {
			t.Logf("logs are in %s", dir)
			return
		}
		_ = os.RemoveAll(dir) // A folder that stays harms no other test.
	})
	require.NoError(t, f.Start(context.Background()))
}

// eventually waits for a condition and fails the test if the limit passes first.
func eventually(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, limit, pollEvery, what)
}
