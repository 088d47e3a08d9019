// This file defines a run, which sends the scheduled requests.

package clload

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/serving/clframing"
	"github.com/go-faster/errors"
)

// Runner sends one scenario's load; its fields are set before Run.
type Runner struct {
	Scenario *Scenario
	// Targets are the base URLs of entries, which take turns.
	Targets []string
	// AllowRemote permits targets that are no loopback addresses.
	AllowRemote bool
	// RunID keeps the idempotency keys of different runs apart; Run derives one
	// from the clock if it is empty.
	RunID string
	// Check defaults to WholeAnswer.
	Check Checker
	// Observe, if set, gets each result; it is called from many goroutines.
	Observe func(Result)

	roundTripper *http.Transport
	turn         atomic.Uint64
	inFlight     atomic.Int64
	open         sync.WaitGroup
	rec          *recorder
}

// connectTimeout bounds the opening of a connection to an entry.
const connectTimeout = 2 * time.Second

// Run offers the load, waits for open requests and returns the report. When
// ctx ends, no more requests are sent and open ones are cut.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	if err := r.prepare(); err != nil {
		return nil, err
	}
	arrivals, err := r.Scenario.Schedule()
	if err != nil {
		return nil, err
	}
	defer r.roundTripper.CloseIdleConnections()
	start := time.Now()
	if r.RunID == "" {
		r.RunID = start.UTC().Format("20060102T150405.000000")
	}
	r.rec = newRecorder(r.Scenario)
	r.loop(ctx, start, arrivals)
	r.open.Wait()
	report := r.rec.report(r.RunID, start, time.Since(start))
	if ctx.Err() != nil {
		return report, errors.Wrap(ctx.Err(), "the run was stopped; its report is partial")
	}
	return report, nil
}

func (r *Runner) prepare() error {
	if err := r.Scenario.Validate(); err != nil {
		return err
	}
	if len(r.Targets) == 0 {
		return errors.New("name at least one target, as http://127.0.0.1:8080")
	}
	for _, t := range r.Targets {
		u, err := url.Parse(t)
		if err != nil || u.Scheme != "http" || u.Host == "" || u.Path != "" {
			return errors.Errorf("target %q is not a base URL; write it as http://127.0.0.1:8080", t)
		}
		addr, err := netip.ParseAddr(u.Hostname())
		if (err != nil || !addr.IsLoopback()) && !r.AllowRemote {
			return errors.Errorf("target %q is no loopback address; allow it with --allow-remote if its owner agrees", t)
		}
	}
	if r.Check == nil {
		r.Check = WholeAnswer
	}
	r.roundTripper = &http.Transport{
		DialContext:         clframing.Dial((&net.Dialer{Timeout: connectTimeout}).DialContext),
		MaxIdleConnsPerHost: r.Scenario.MaxInFlight,
		DisableCompression:  true,
	}
	return nil
}

// loop starts each request at its time. It never waits for an answer, so the
// load does not depend on how fast the system is.
func (r *Runner) loop(ctx context.Context, start time.Time, arrivals []Arrival) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, a := range arrivals {
		at := start.Add(a.At)
		if wait := time.Until(at); wait > 0 {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		}
		if ctx.Err() != nil {
			return
		}
		if r.inFlight.Add(1) > int64(r.Scenario.MaxInFlight) {
			r.inFlight.Add(-1)
			r.finish(Result{Request: r.Scenario.newRequest(r.RunID, a), Answer: &Answer{}, Outcome: OutcomeNotSent, Err: errors.New("max_in_flight requests are open")})
			continue
		}
		r.rec.lag(time.Since(at))
		r.open.Add(1)
		go r.run(ctx, a, at)
	}
}

func (r *Runner) run(ctx context.Context, a Arrival, scheduled time.Time) {
	defer r.open.Done()
	defer r.inFlight.Add(-1)
	req := r.Scenario.newRequest(r.RunID, a)
	req.deadline = scheduled.Add(time.Duration(r.Scenario.Timeout))
	x := &exchange{runner: r, request: req, scheduled: scheduled}
	r.finish(x.run(ctx))
}

func (r *Runner) finish(res Result) {
	r.rec.record(res)
	if r.Observe != nil {
		r.Observe(res)
	}
}

// target returns the targets in turn; a further attempt thus goes to another entry.
func (r *Runner) target() string {
	return r.Targets[(r.turn.Add(1)-1)%uint64(len(r.Targets))]
}

func (r *Runner) transport() http.RoundTripper { return r.roundTripper }
