package cllease

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutlead/chestnutlead/clstore"
)

// TestRunnerHandover guards the release at the end of Run, and the lapse in an
// outage, through an adapted client that loses every third answer.
func TestRunnerHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, outage := 0, atomic.Bool{}
		m := &clstore.Memory{Fault: func(string, string) clstore.Fault {
			calls++
			switch {
			case outage.Load():
				return clstore.FaultUnavailable
			case calls%3 == 0:
				return clstore.FaultLostAnswer
			}
			return clstore.FaultNone
		}}
		run := func(holder string) (*Runner, func()) {
			ctx, cancel := context.WithCancel(t.Context())
			r := &Runner{Config: Config{Key: "lease/x", Holder: holder, TTL: testTTL}, Store: m}
			done := make(chan error)
			go func() { done <- r.Run(ctx) }()
			return r, func() { cancel(); require.NoError(t, <-done) }
		}
		a, stopA := run("a")
		time.Sleep(testTTL)
		require.True(t, a.Current(time.Now()).Held)
		b, stopB := run("b")
		stopA()
		time.Sleep(testTTL)
		require.Equal(t, uint64(2), b.Current(time.Now()).Fencing)
		require.Zero(t, b.Current(time.Now()).AllowanceHalvings, "the lease was not released")
		outage.Store(true)
		time.Sleep(testTTL)
		require.True(t, b.Current(time.Now()).Lapsed)
		outage.Store(false)
		time.Sleep(testTTL)
		require.True(t, b.Current(time.Now()).Held)
		stopB()
	})
}
