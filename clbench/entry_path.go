// This file defines the short experiment on an entry's request path, for comparisons before and after a change.

package clbench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/go-faster/errors"
)

const (
	pathRunTime = 4 * time.Second
	pathRepeats = 3
	pathStreams = 500
)

// runEntryPath measures an entry at one rate of requests and with one number
// of streams, and writes profiles of it if the options name a folder.
func runEntryPath(ctx context.Context, o Options) (*Result, error) {
	r := newResult("entry_path")
	ctx, cancel := context.WithTimeout(ctx, entryWorkLimit)
	defer cancel()
	if err := withFleet(ctx, o, fastRate, func(f *clharness.Fleet) error { return pathRequests(ctx, o, r, f) }); err != nil {
		return r, err
	}
	return r, withFleet(ctx, o, streamRate, func(f *clharness.Fleet) error { return pathTokens(ctx, o, r, f) })
}

func pathRequests(ctx context.Context, o Options, r *Result, f *clharness.Fleet) error {
	body, key := completion(f.Profile, 1, false), clharness.KeyOf(f.Profile.Accounts[0])
	entry := f.Pairs[0].Entry.PID()
	direct := newDirectLoad(f, key, body)
	through := &requester{addr: f.Pairs[0].URL()[len("http://"):], key: key, body: body}
	through.run(ctx, entryRate, time.Second) // Connections are opened and slots granted.
	for i := range pathRepeats {
		d := direct.run(ctx, entryRate, pathRunTime)
		cpu, err := processCPUSeconds(entry)
		if err != nil {
			return err
		}
		t := through.run(ctx, entryRate, pathRunTime)
		now, err := processCPUSeconds(entry)
		if err != nil {
			return err
		}
		for _, q := range []float64{50, 99} {
			through, direct := t.latency.ValueAtQuantile(q), d.latency.ValueAtQuantile(q)
			r.figure(fmt.Sprintf("latency through the entry, percentile %g, run %d", q, i+1), "ms", float64(through)/1e3)
			r.figure(fmt.Sprintf("latency added by the entry, percentile %g, run %d", q, i+1), "ms", float64(through-direct)/1e3)
		}
		r.figure(fmt.Sprintf("CPU of the entry per request, run %d", i+1), "us", 1e6*(now-cpu)/float64(max(t.latency.TotalCount(), 1)))
		noteFailures(r, "direct", d)
		noteFailures(r, "through the entry", t)
	}
	if o.Profiles == "" {
		return nil
	}
	done := make(chan error, 1)
	go func() { done <- saveProfile(ctx, o, f.Pairs[0], "profile?seconds=4", "requests.cpu") }()
	through.run(ctx, entryRate, pathRunTime+time.Second)
	return errors.Join(<-done, saveProfile(ctx, o, f.Pairs[0], "allocs", "requests.allocs"))
}

func pathTokens(ctx context.Context, o Options, r *Result, f *clharness.Fleet) error {
	p := f.Pairs[0]
	idle, err := processResidentBytes(p.Entry.PID())
	if err != nil {
		return err
	}
	s := &streams{addr: p.URL()[len("http://"):], key: clharness.KeyOf(f.Profile.Accounts[0]), body: completion(f.Profile, streamTokens, true)}
	defer s.close()
	if err := s.open(ctx, pathStreams); err != nil {
		return err
	}
	time.Sleep(streamWarmUp)
	for i := range pathRepeats {
		cpu, err := processCPUSeconds(p.Entry.PID())
		if err != nil {
			return err
		}
		tokens := s.tokens.Load()
		time.Sleep(pathRunTime)
		now, err := processCPUSeconds(p.Entry.PID())
		if err != nil {
			return err
		}
		relayed := s.tokens.Load() - tokens
		r.figure(fmt.Sprintf("tokens relayed a second, run %d", i+1), "1/s", float64(relayed)/pathRunTime.Seconds())
		r.figure(fmt.Sprintf("CPU of the entry per token, run %d", i+1), "us", 1e6*(now-cpu)/float64(max(relayed, 1)))
	}
	resident, err := processResidentBytes(p.Entry.PID())
	if err != nil {
		return err
	}
	r.figure(fmt.Sprintf("resident memory of the entry per stream, %d streams", pathStreams), "KB", (resident-idle)/pathStreams/1e3)
	if broken := s.broken.Load(); broken > 0 {
		r.note("%d of %d streams had ended early", broken, pathStreams)
	}
	if o.Profiles == "" {
		return nil
	}
	return errors.Join(saveProfile(ctx, o, p, "profile?seconds=4", "streams.cpu"),
		saveProfile(ctx, o, p, "heap?gc=1", "streams.heap"), saveProfile(ctx, o, p, "goroutine?debug=1", "streams.goroutines"))
}

// saveProfile writes one of an entry's profiles to the options' folder.
func saveProfile(ctx context.Context, o Options, p *clharness.Pair, profile, name string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.MetricsURL()+"/debug/pprof/"+profile, nil)
	if err != nil {
		return errors.Wrap(err, "read a profile")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "read a profile")
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("the entry answered %s to a request for the profile %s", resp.Status, profile)
	}
	f, err := os.Create(filepath.Join(o.Profiles, name))
	if err != nil {
		return errors.Wrap(err, "name an existing folder with --profiles")
	}
	_, err = io.Copy(f, resp.Body)
	return errors.Join(err, f.Close())
}
