// This file defines the demo's steps on the staffing agency's shape.

package cldemo

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/clload"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"
)

const (
	openStreams  = 200
	streamTokens = 1000
	loadTime     = 6 * time.Second
	stopTimeout  = 60 * time.Second
)

type kesar struct {
	f *clharness.Fleet
	t *Table
}

// run does the steps one after the other.
func (k *kesar) run(ctx context.Context) error {
	for _, step := range []func(context.Context) error{k.ordinary, k.kill, k.stop} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (k *kesar) add(done string, started time.Time, promised, seen string, kept bool) {
	k.t.add(Row{k.f.Profile.Name, done, time.Since(started), promised, seen, kept})
}

// ordinary streams rosters and makes bookings in a burst.
func (k *kesar) ordinary(ctx context.Context) error {
	started := time.Now()
	r, err := offer(ctx, k.f, scenario(k.f.Profile, loadTime, 20, 0, 20), "ordinary")
	if err != nil {
		return err
	}
	streams, bookings := flow(r, "streams"), flow(r, "bookings")
	k.add("roster replies streamed", started, "each caller gets the whole answer to its request",
		fmt.Sprintf("%d of %d whole, first token p95 %.0f ms", streams.Outcomes[clload.OutcomeWhole], streams.Scheduled, streams.FirstToken.P95MS),
		streams.Outcomes[clload.OutcomeWhole] == streams.Scheduled)
	return k.addBookings("bookings in a burst", started, "ordinary", bookings, true)
}

// addBookings compares the callers' outcomes with the service's own count.
func (k *kesar) addBookings(done string, started time.Time, runID string, b clload.GroupReport, allWhole bool) error {
	runs, err := k.f.BookingRuns()
	if err != nil {
		return err
	}
	most, ran := 0, int64(0)
	for key, n := range runs {
		if strings.HasPrefix(key, runID) {
			most = max(most, n)
			ran++
		}
	}
	whole, unknown, notRun := b.Outcomes[clload.OutcomeWhole], b.Outcomes[clload.OutcomeUnknown], b.Outcomes[clload.OutcomeNotRun]
	lost := whole - ran
	kept := most <= 1 && lost <= 0 && ran <= whole+unknown && whole+unknown+notRun == b.Scheduled
	if allWhole {
		kept = kept && whole == b.Scheduled
	}
	k.add(done, started, "each runs at most once; none accepted is lost; \"not run\" is true",
		fmt.Sprintf("%d accepted, %d unknown, %d refused; %d ran, at most %d times", whole, unknown, notRun, ran, most), kept)
	return nil
}

// kill ends one entry without notice while streams and bookings run.
func (k *kesar) kill(ctx context.Context) error {
	started := time.Now()
	var g errgroup.Group
	var r *clload.Report
	g.Go(func() error {
		var err error
		r, err = offer(ctx, k.f, scenario(k.f.Profile, loadTime, 40, 0, 20), "kill")
		return err
	})
	time.Sleep(loadTime / 2)
	victim := k.f.Pairs[2]
	victim.Entry.Kill()
	if err := g.Wait(); err != nil {
		return err
	}
	streams := flow(r, "streams")
	k.add("an entry killed with streams open", started, "every stream goes on through another entry",
		fmt.Sprintf("%d of %d whole, %d resumed or sent again", streams.Outcomes[clload.OutcomeWhole], streams.Scheduled, streams.Resent),
		streams.Outcomes[clload.OutcomeWhole] == streams.Scheduled && streams.Resent > 0)
	if err := k.addBookings("the same, bookings", started, "kill", flow(r, "bookings"), false); err != nil {
		return err
	}
	if err := k.f.StartEntry(victim); err != nil {
		return err
	}
	return k.f.WaitReady(victim)
}

// stop shuts one entry down while it has streams open.
func (k *kesar) stop(ctx context.Context) error {
	started := time.Now()
	entry := k.f.Pairs[1]
	var whole, begun atomic.Int64
	var g errgroup.Group
	for i := range openStreams {
		g.Go(func() error {
			c := &clharness.Caller{
				URL: entry.URL(), Account: k.f.Profile.Accounts[i%2], Timeout: stopTimeout, OnBegin: func() { begun.Add(1) },
			}
			err := c.Stream(ctx, k.f.Profile.EngineService, fmt.Sprintf("cover roster number %d", i), streamTokens)
			if err == nil {
				whole.Add(1)
			}
			return err
		})
	}
	deadline := time.Now().Add(stopTimeout)
	for begun.Load() < openStreams && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	open := begun.Load() - whole.Load()
	if err := k.f.SaveMetrics("stop"); err != nil {
		return err
	}
	stopErr := entry.Entry.Stop(stopTimeout)
	streamErr := g.Wait()
	seen := fmt.Sprintf("%d of %d whole, exit %s", whole.Load(), openStreams, lo.Ternary(stopErr == nil, "clean", fmt.Sprint(stopErr)))
	if streamErr != nil {
		seen += "; " + streamErr.Error()
	}
	k.add(fmt.Sprintf("an entry stopped with %d streams open", open), started, "a graceful shutdown cuts off no request",
		seen, whole.Load() == openStreams && open == openStreams && stopErr == nil)
	if err := k.f.StartEntry(entry); err != nil {
		return err
	}
	return k.f.WaitReady(entry)
}
