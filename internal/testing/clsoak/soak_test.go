// This file runs the soak briefly, with seeds that are kept.

package clsoak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zaptest"
)

// seeds are run in CI: a few at random, and each one that ever failed, with its cause.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "drawn at random"},
	{33, "a follower took a reader that had listed after a removal for one that is behind, and refused keys for good"},
	{35, "a stop that came before the process handled signals was taken for a failure"},
}

// Guards against promises that hold while nothing fails and break when
// processes, connections and the store do at the same time.
func TestPromisesUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildBinary(t)
	for _, tc := range seeds {
		t.Run(fmt.Sprint(tc.seed), func(t *testing.T) {
			dir, err := os.MkdirTemp("", "chestnutlead-soak")
			require.NoError(t, err)
			s := &Soak{
				Binary: binary, Dir: dir, Seed: tc.seed, Gateways: 4, Endpoints: 5, Callers: 8, Length: 8 * time.Second, Logger: zaptest.NewLogger(t),
			}
			report, err := s.Run(t.Context())
			require.NoError(t, err, "logs are in %s", dir)
			require.Empty(t, report.Violations, "seed %d (%s); logs are in %s", tc.seed, tc.cause, dir)
			require.Positive(t, report.Answered)
			require.NoError(t, os.RemoveAll(dir))
		})
	}
}

// Guards against requests that run although they were refused with a promise (REFUSED):
// endpoints and what stands before them refuse requests that have run.
func TestRefusedRequestsHaveNotRun(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := &Soak{
		Binary: buildBinary(t), Dir: t.TempDir(), Seed: 28001, Gateways: 3, Endpoints: 4, Callers: 16, Length: 8 * time.Second,
		Faults: []string{refusesWhatRan}, Logger: zaptest.NewLogger(t),
	}
	report, err := s.Run(t.Context())
	require.NoError(t, err)
	require.Empty(t, report.Violations)
	require.Positive(t, report.Broken, "the fault has had no effect")
	require.Positive(t, report.Answered)
}

// Guards against requests that are cut because a signal is repeated while a gateway
// drains (LOST).
func TestRepeatedSignalsCutNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := &Soak{
		Binary: buildBinary(t), Dir: t.TempDir(), Seed: 29003, Gateways: 3, Endpoints: 4, Callers: 24, Length: 10 * time.Second,
		Faults: []string{stopsAsPlanned}, Logger: zaptest.NewLogger(t),
	}
	report, err := s.Run(t.Context())
	require.NoError(t, err)
	require.Empty(t, report.Violations)
	require.NotEmpty(t, report.Faults)
	require.Positive(t, report.Answered)
}

// Guards against gateways that send requests to endpoints which have said in their
// answers that they leave (DRAIN) or want none for some time (BUDGET).
func TestWhatEndpointsSayOfThemselves(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := &Soak{
		Binary: buildBinary(t), Dir: t.TempDir(), Seed: 29001, Gateways: 3, Endpoints: 4, Callers: 16, Length: 10 * time.Second,
		Faults: []string{asksForQuiet, saysThatItLeaves}, Logger: zaptest.NewLogger(t),
	}
	report, err := s.Run(t.Context())
	require.NoError(t, err)
	require.Empty(t, report.Violations)
	require.Positive(t, report.Answered)
	require.NotEmpty(t, s.statements.quiets, "the fault has had no effect")
	require.NotEmpty(t, s.statements.leaving, "the fault has had no effect")
}

// Guards against requests that run although they were refused (REFUSED): an endpoint, or a
// proxy before it, sends a copy of a refusal while its ID is under way again.
func TestCopiesOfRefusalsAreNoAnswers(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := &Soak{
		Binary: buildBinary(t), Dir: t.TempDir(), Seed: 37001, Gateways: 4, Endpoints: 2, Callers: 12, Length: 8 * time.Second,
		Faults: []string{copiesRefusals, proxyCopies}, Logger: zaptest.NewLogger(t),
	}
	report, err := s.Run(t.Context())
	require.NoError(t, err)
	require.Empty(t, report.Violations)
	require.Positive(t, report.Copies, "the fault has had no effect")
	require.Positive(t, report.Again, "the fault has had no effect")
	require.Positive(t, report.Answered)
}

// Guards against gateways that a late answer of the store takes back to an older state
// (DRAIN), against answers that come after the deadline because an endpoint's health checks
// never end (CONFIG), and against malformed responses that callers get (MIXED).
func TestLateEndlessAndMalformedAnswers(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildBinary(t)
	for _, tc := range []struct {
		fault  string
		length time.Duration
	}{
		{lateChanges, time.Second}, {unframedAnswers, 6 * time.Second}, {malformedAnswers, 6 * time.Second},
	} {
		t.Run(tc.fault, func(t *testing.T) {
			s := &Soak{
				Binary: binary, Dir: t.TempDir(), Seed: 43001, Gateways: 4, Endpoints: 4, Callers: 12, Length: tc.length,
				Faults: []string{tc.fault}, Logger: zaptest.NewLogger(t),
			}
			report, err := s.Run(t.Context())
			require.NoError(t, err)
			require.Empty(t, report.Violations)
			require.NotEmpty(t, report.Faults)
			require.Positive(t, report.Answered)
		})
	}
}

// Guards against two holders of the duties, and none, after a return of the store from an older
// copy (ONE), and against what was revoked, drained or changed and comes back with the copy
// (CONFIG, DRAIN).
func TestReturnsFromOlderCopies(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildBinary(t)
	for _, tc := range []struct {
		name    string
		seed    uint64
		returns ReturnConfig
	}{
		{"copies without a lease", 47402, ReturnConfig{Away: 500 * time.Millisecond, NoLease: 1, Again: 0.5, EndHolder: -1}},
		{"in a row, and the holder ends", 47412, ReturnConfig{Away: 500 * time.Millisecond, NoLease: 0.3, Again: 0.7, EndHolder: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &Soak{
				Binary: binary, Dir: t.TempDir(), Seed: tc.seed, Gateways: 4, Endpoints: 4, Callers: 8, Length: 8 * time.Second,
				Faults: []string{returnsOlder}, ReturnConfig: tc.returns, Logger: zaptest.NewLogger(t),
			}
			report, err := s.Run(t.Context())
			require.NoError(t, err)
			require.Empty(t, report.Violations)
			require.Positive(t, report.StoreReturns, "the fault has had no effect")
			require.Positive(t, report.DutyCalls)
			require.Positive(t, report.Answered)
		})
	}
}

// buildBinary returns the path of the program under test.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "chestnutlead")
	out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/chestnutlead").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return binary
}

// Guards against a check that never fails: what each promise forbids must be seen.
func TestChecksFindWhatTheyLookFor(t *testing.T) {
	for _, tc := range append([]checkCase{
		{"ran twice", "ran 2 times, 1 are allowed", func(s *Soak) {
			s.ran(runOf("x", "e1", "/once/x"))
			s.ran(runOf("x", "e2", "/once/x"))
		}},
		{"refused and ran", "was refused as not run and ran", func(s *Soak) {
			a := s.attemptOf("x", "/repeat/")
			a.reply.Status = 503
			s.count(a)
			s.ran(runOf("x", "e1", "/repeat/x"))
		}},
		{"wrong account", "ran for account", func(s *Soak) {
			r := runOf("x", "e1", "/repeat/x")
			r.Account = "other"
			s.ran(r)
		}},
		{"removed key", "after its key was removed", func(s *Soak) {
			a := s.attemptOf("x", "/repeat/")
			a.key.removed = a.sent.Add(-bounds.Revocation - time.Second)
			s.ran(runOf("x", "e1", "/repeat/x"))
			s.judge(a)
		}},
		{"valid key", "got 401 with a valid key", func(s *Soak) {
			a := s.attemptOf("x", "/repeat/")
			a.reply.Status = 401
			s.judge(a)
		}},
		{"unsealed", "got an answer sealed", func(s *Soak) {
			a := s.attemptOf("x", "/repeat/")
			a.reply.Status, a.reply.Whole = 200, true
			s.judge(a)
		}},
		{"event missing", "got event 3 in place 2", func(s *Soak) {
			a := s.attemptOf("x", "/stream/")
			a.reply.Events = []int{1, 3}
			s.judge(a)
		}},
		{"left endpoint", "after it left", func(s *Soak) {
			s.world.byID["e1"] = &endpoint{id: "e1", left: time.Now().Add(-bounds.Drain - time.Second)}
			s.ran(runOf("x", "e1", "/repeat/x"))
			s.judge(s.attemptOf("x", "/repeat/"))
		}},
		{"planned stop", "was cut while g stopped", func(s *Soak) {
			a := s.attemptOf("x", "/repeat/")
			a.reply.Err = os.ErrClosed
			a.gateway.setStopping()
			s.world.byID["e1"] = &endpoint{id: "e1"}
			s.ran(runOf("x", "e1", "/repeat/x"))
			s.judge(a)
		}},
		{"said that it leaves", "had passed on its word that it leaves", func(s *Soak) {
			s.inProgress("g", "x")
			s.statements.leaving = map[told]time.Time{{"g", "e1"}: time.Now().Add(-bounds.Drain - time.Second)}
			s.arrivedAt(runOf("x", "e1", "/repeat/x"))
		}},
		{"asked for quiet", "3 requests reached e1 from g, which it had asked for quiet", func(s *Soak) {
			s.inProgress("g", "x")
			s.askedForQuiet(runOf("x", "e1", "/repeat/x"), time.Minute)
			s.statements.quiets[0].asked = time.Now().Add(-time.Second)
			for range toleratedQuietArrivals + 1 {
				s.arrivedAt(runOf("x", "e1", "/repeat/x"))
			}
		}},
		{"bad part", "4 requests with the part bad1 reached endpoints", func(s *Soak) {
			p := &badPart{id: "bad1"}
			s.world.bad.add(p)
			require.Same(t, p, s.world.bad.find("a1:5,bad1:5,c:5"))
			for i := range knownCrashes + 1 {
				p.arrived(true, time.Now().Add(time.Duration(i)*time.Second-time.Minute))
			}
			p.arrived(false, time.Now())
			for range toleratedArrivals + 1 {
				p.arrived(true, time.Now())
			}
		}},
	}, append(sendChecks, dutyChecks...)...) {
		s := newChecks(t)
		tc.do(s)
		s.checkEnd()
		require.Len(t, s.report.Violations, 1, tc.name)
		require.Contains(t, s.report.Violations[0], tc.want, tc.name)
	}
}
