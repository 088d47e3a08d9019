// This file defines ordinary load, which goes on while a test brings about a failure.

package clharness_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/stretchr/testify/require"
)

// ordinaryLoad is a number of callers that stream one answer after the other,
// each through all entries in turn.
type ordinaryLoad struct {
	f      *clharness.Fleet
	tokens int
	// prompts sends every second stream to /v1/completions.
	prompts bool
	stop    chan struct{}
	wg      sync.WaitGroup

	mu     sync.Mutex
	whole  int
	faults []string
}

func startLoad(f *clharness.Fleet, callers, tokens int) *ordinaryLoad {
	l := &ordinaryLoad{f: f, tokens: tokens}
	l.begin(callers)
	return l
}

func (l *ordinaryLoad) begin(callers int) {
	l.stop = make(chan struct{})
	for i := range callers {
		l.wg.Go(func() { l.run(i) })
	}
}

func (l *ordinaryLoad) run(caller int) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		p := l.f.Pairs[(caller+n)%len(l.f.Pairs)]
		c := &clharness.Caller{URL: p.URL(), Account: l.f.Profile.Accounts[caller%len(l.f.Profile.Accounts)], Timeout: bookingTimeout, Prompt: l.prompts && n%2 == 1}
		err := c.Stream(context.Background(), l.f.Profile.EngineService, fmt.Sprintf("roster %d of caller %d", n, caller), l.tokens)
		l.mu.Lock()
		if err == nil {
			l.whole++
		} else {
			l.faults = append(l.faults, fmt.Sprintf("roster %d of caller %d through %s: %v", n, caller, p.Entry.Name, err))
		}
		l.mu.Unlock()
	}
}

func (l *ordinaryLoad) done() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.whole
}

// requireOwn ends the load and requires that every stream was whole or refused:
// no caller gets a cut or foreign answer.
func (l *ordinaryLoad) requireOwn(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	t.Logf("%d streams whole, %d not", l.whole, len(l.faults))
	for _, fault := range l.faults {
		require.Regexp(t, `: (status 50[023]|error event after)`, fault)
	}
	require.Positive(t, l.whole)
}

// requireWhole ends the load and requires that every stream was whole.
func (l *ordinaryLoad) requireWhole(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	t.Logf("%d streams whole, %d not", l.whole, len(l.faults))
	require.Empty(t, l.faults, "every ordinary stream is whole")
	require.Positive(t, l.whole)
}
