// This file defines the experiment on an entry process.

package clbench

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/go-faster/errors"
)

const (
	entryRate      = 2000
	entryRunTime   = 4 * time.Second
	entryRepeats   = 3
	streamRunTime  = 5 * time.Second
	streamWarmUp   = 2 * time.Second
	streamRate     = 20
	manySlots      = 4096
	fastRate       = 20000
	streamTokens   = 100_000
	prefillRate    = "100000000"
	entryWorkLimit = 100 * time.Second
)

// entryProfile is one pair and two engines that are never the bottleneck.
func entryProfile(tokensPerSecond float64) clharness.Profile {
	p := clharness.Kesar()
	p.DataCentres, p.Engines, p.Plains, p.Pairs = p.DataCentres[:1], 2, 1, 1
	p.TokensPerSecond, p.ColdSlots, p.MaxSlots = tokensPerSecond, manySlots, manySlots
	p.EngineArgs = []string{"--prefill-per-second", prefillRate, "--slowdown", "0", "--max-running", fmt.Sprint(manySlots)}
	p.Settings = map[string]string{"admission@entry": "queue_limit = 20000\naccount_queue_limit = 20000\n"}
	return p
}

// runEntry measures an entry between callers and engines, with real processes.
func runEntry(ctx context.Context, o Options) (*Result, error) {
	r := newResult("entry")
	ctx, cancel := context.WithTimeout(ctx, entryWorkLimit)
	defer cancel()
	if err := withFleet(ctx, o, fastRate, func(f *clharness.Fleet) error { return entryRequests(ctx, r, f) }); err != nil {
		return r, err
	}
	return r, withFleet(ctx, o, streamRate, func(f *clharness.Fleet) error { return entryStreams(ctx, r, f) })
}

func withFleet(ctx context.Context, o Options, tokensPerSecond float64, run func(*clharness.Fleet) error) error {
	dir, err := os.MkdirTemp("", "chestnutlead-bench-")
	if err != nil {
		return errors.Wrap(err, "make a work folder")
	}
	defer os.RemoveAll(dir)
	f := &clharness.Fleet{Profile: entryProfile(tokensPerSecond), BinDir: o.BinDir, WorkDir: dir}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return err
	}
	return run(f)
}

func completion(p clharness.Profile, maxTokens int, stream bool) []byte {
	b, _ := json.Marshal(map[string]any{ // A map of plain values is always encoded.
		"model": p.EngineService, "stream": stream, "max_tokens": maxTokens, "temperature": 0,
		"messages": []map[string]string{{"role": "user", "content": "write the cover roster for the Surat cafe on Saturday"}},
	})
	return b
}

// entryRequests measures short requests, direct and through the entry in turn.
func entryRequests(ctx context.Context, r *Result, f *clharness.Fleet) error {
	body, key := completion(f.Profile, 1, false), clharness.KeyOf(f.Profile.Accounts[0])
	entry := f.Pairs[0].Entry.PID()
	direct := newDirectLoad(f, key, body)
	through := &requester{addr: f.Pairs[0].URL()[len("http://"):], key: key, body: body}
	through.run(ctx, entryRate, time.Second) // Connections are opened and slots granted.
	for i := range entryRepeats {
		d, t := direct.run(ctx, entryRate, entryRunTime), through.run(ctx, entryRate, entryRunTime)
		for _, q := range []float64{50, 90, 99} {
			added := float64(t.latency.ValueAtQuantile(q)-d.latency.ValueAtQuantile(q)) / 1e3
			r.figure(fmt.Sprintf("latency that the entry adds at %d/s, percentile %g, run %d", entryRate, q, i+1), "ms", added)
		}
		r.figure(fmt.Sprintf("direct latency at %d/s, median, run %d", entryRate, i+1), "ms", float64(d.latency.ValueAtQuantile(50))/1e3)
		r.figure(fmt.Sprintf("direct latency at %d/s, percentile 99, run %d", entryRate, i+1), "ms", float64(d.latency.ValueAtQuantile(99))/1e3)
		noteFailures(r, "direct", d)
		noteFailures(r, "through the entry", t)
	}
	for _, rate := range []int{500, 1000, 2000, 4000, 6000, 8000, 10000} {
		cpu, err := processCPUSeconds(entry)
		if err != nil {
			return err
		}
		t := through.run(ctx, rate, entryRunTime)
		now, err := processCPUSeconds(entry)
		if err != nil {
			return err
		}
		const size = "requests offered a second"
		x := float64(rate)
		r.add("requests answered", "1/s", size, x, float64(t.latency.TotalCount())/t.took.Seconds())
		r.add("CPU of the entry", "% of a core", size, x, 100*(now-cpu)/t.took.Seconds())
		r.add("CPU of the entry per request", "us", size, x, 1e6*(now-cpu)/float64(max(t.latency.TotalCount(), 1)))
		r.add("latency through the entry, median", "ms", size, x, float64(t.latency.ValueAtQuantile(50))/1e3)
		r.add("latency through the entry, 99th percentile", "ms", size, x, float64(t.latency.ValueAtQuantile(99))/1e3)
		noteFailures(r, fmt.Sprintf("at %d a second", rate), t)
	}
	return nil
}

func noteFailures(r *Result, what string, l *load) {
	if l.failed > 0 {
		r.note("%s: %d requests failed or were not sent, the first: %v", what, l.failed, l.err)
	}
}

// entryStreams measures open streams at the engines' pace of 20 tokens a second.
func entryStreams(ctx context.Context, r *Result, f *clharness.Fleet) error {
	p := f.Pairs[0]
	addr, key := p.URL()[len("http://"):], clharness.KeyOf(f.Profile.Accounts[0])
	s := &streams{addr: addr, key: key, body: completion(f.Profile, streamTokens, true)}
	defer s.close()
	idle, err := processResidentBytes(p.Entry.PID())
	if err != nil {
		return err
	}
	r.figure("resident memory of an entry without streams", "MB", idle/1e6)
	control, err := processResidentBytes(p.Control.PID())
	if err != nil {
		return err
	}
	r.figure("resident memory of a control process", "MB", control/1e6)
	for _, n := range []int{100, 500, 1000, 2000} {
		if err := s.open(ctx, n); err != nil {
			return err
		}
		time.Sleep(streamWarmUp)
		cpu, err := processCPUSeconds(p.Entry.PID())
		if err != nil {
			return err
		}
		tokens, start := s.tokens.Load(), time.Now()
		time.Sleep(streamRunTime)
		now, err := processCPUSeconds(p.Entry.PID())
		if err != nil {
			return err
		}
		t := time.Since(start).Seconds()
		resident, err := processResidentBytes(p.Entry.PID())
		if err != nil {
			return err
		}
		rate := float64(s.tokens.Load()-tokens) / t
		x := float64(n)
		r.add("resident memory of the entry", "MB", "open streams", x, resident/1e6)
		r.add("tokens relayed", "1/s", "open streams", x, rate)
		r.add("CPU of the entry with streams", "% of a core", "tokens relayed a second", rate, 100*(now-cpu)/t)
		r.add("CPU of the entry per token", "us", "tokens relayed a second", rate, 1e6*(now-cpu)/t/rate)
		if broken := s.broken.Load(); broken > 0 {
			r.note("%d of %d streams had ended early", broken, n)
		}
	}
	return nil
}

// directLoad offers a rate to the engines without the entry, an equal part to
// each, as the entry does: an engine that gets all requests idles less and
// answers sooner, so the entry would seem to add what the engines take longer.
type directLoad []*requester

func newDirectLoad(f *clharness.Fleet, key string, body []byte) directLoad {
	var d directLoad
	for _, e := range f.Endpoints {
		if e.Service == f.Profile.EngineService {
			d = append(d, &requester{addr: e.Addr.String(), key: key, body: body})
		}
	}
	return d
}

func (d directLoad) run(ctx context.Context, rate int, length time.Duration) *load {
	loads := make([]*load, len(d))
	var g sync.WaitGroup
	for i, q := range d {
		g.Go(func() { loads[i] = q.run(ctx, rate/len(d), length) })
	}
	g.Wait()
	sum := loads[0]
	for _, l := range loads[1:] {
		sum.latency.Merge(l.latency)
		sum.failed += l.failed
		sum.err = errors.Join(sum.err, l.err)
		sum.took = max(sum.took, l.took)
	}
	return sum
}
