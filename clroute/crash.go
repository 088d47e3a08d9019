// This file defines the fingerprints of requests that crash endpoints.

package clroute

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

type (
	// Fingerprint identifies a request by account, service and body.
	Fingerprint [16]byte

	// Verdict says how a request may run.
	Verdict uint8

	// Crash is a request's presence on an endpoint that crashed; it is spread to
	// peers before the request is answered or retried.
	Crash struct {
		Fingerprint Fingerprint
		// Endpoint and BootID identify the crash, so that a fact that arrives
		// twice counts once.
		Endpoint, BootID string
		At               time.Time
	}

	// Crashes tracks suspects. It is not safe for concurrent use.
	Crashes struct {
		// broken are requests whose connection broke, by endpoint and boot.
		broken   map[bootKey][]brokenRequest
		suspects map[Fingerprint]*suspect
		// announced are endpoints with an announced reclaim, until a time.
		announced map[string]time.Time
	}

	bootKey struct{ endpoint, bootID string }

	brokenRequest struct {
		fingerprint Fingerprint
		at          time.Time
	}

	suspect struct {
		crashes []bootKey
		until   time.Time
	}
)

// Verdicts on a request.
const (
	// RunNormally says that nothing is known against the request.
	RunNormally Verdict = iota
	// RunAlone says that the request may run once more, alone on an endpoint.
	RunAlone
	// RefuseCrash says that the request has crashed two endpoints.
	RefuseCrash
)

const (
	// suspectFor is the time for which a crash is remembered; design 3.7.
	suspectFor = time.Hour
	// brokenFor is the time within which an endpoint must turn out to have
	// restarted for a broken connection to count as a crash.
	brokenFor = 2 * time.Minute
	// crashesToRefuse is the number of crashes after which a request is refused.
	crashesToRefuse = 2
)

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(account, service string, bodyDigest []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(account), []byte(service), bodyDigest} {
		n := len(part)
		// The length keeps different divisions of the same bytes apart.
		h.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hex.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// String returns the verdict as it appears in logs.
func (v Verdict) String() string {
	switch v {
	case RunNormally:
		return "run"
	case RunAlone:
		return "run_alone"
	case RefuseCrash:
		return "refuse"
	}
	return "unknown"
}

// NewCrashes returns a tracker without suspects.
func NewCrashes() *Crashes {
	return &Crashes{
		broken:    map[bootKey][]brokenRequest{},
		suspects:  map[Fingerprint]*suspect{},
		announced: map[string]time.Time{},
	}
}

// Announced records an announced reclaim; crashes of the endpoint until then do
// not count.
func (c *Crashes) Announced(endpoint string, until time.Time) { c.announced[endpoint] = until }

// Broke records that a request's connection broke before its answer ended, with
// the boot ID that the endpoint had when the request was sent.
func (c *Crashes) Broke(f Fingerprint, endpoint, bootID string, now time.Time) {
	key := bootKey{endpoint, bootID}
	c.broken[key] = append(c.broken[key], brokenRequest{f, now})
}

// Booted records the boot ID that an endpoint has now and returns the requests
// that became suspects because it restarted while they ran.
func (c *Crashes) Booted(endpoint, bootID string, now time.Time) []Crash {
	var crashes []Crash
	for key, requests := range c.broken {
		if key.endpoint != endpoint || key.bootID == bootID {
			continue
		}
		delete(c.broken, key)
		for _, r := range requests {
			if now.Sub(r.at) > brokenFor || r.at.Before(c.announced[endpoint]) {
				continue
			}
			crash := Crash{Fingerprint: r.fingerprint, Endpoint: key.endpoint, BootID: key.bootID, At: r.at}
			if c.Learn(crash, now) {
				crashes = append(crashes, crash)
			}
		}
	}
	slices.SortFunc(crashes, func(a, b Crash) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return crashes
}

// Learn adds a crash found here or by a peer and reports whether it is new.
func (c *Crashes) Learn(crash Crash, now time.Time) bool {
	until := crash.At.Add(suspectFor)
	if !now.Before(until) {
		return false
	}
	s := c.suspects[crash.Fingerprint]
	if s == nil {
		s = &suspect{}
		c.suspects[crash.Fingerprint] = s
	}
	key := bootKey{crash.Endpoint, crash.BootID}
	if slices.Contains(s.crashes, key) {
		return false
	}
	s.crashes = append(s.crashes, key)
	if until.After(s.until) {
		s.until = until
	}
	return true
}

// Verdict says how a request may run now.
func (c *Crashes) Verdict(f Fingerprint, now time.Time) Verdict {
	s := c.suspects[f]
	switch {
	case s == nil || !now.Before(s.until):
		return RunNormally
	case len(s.crashes) >= crashesToRefuse:
		return RefuseCrash
	}
	return RunAlone
}

// Finished clears a suspect whose run alone ended well.
func (c *Crashes) Finished(f Fingerprint) {
	if s := c.suspects[f]; s != nil && len(s.crashes) < crashesToRefuse {
		delete(c.suspects, f)
	}
}

// Expire forgets what no longer matters.
func (c *Crashes) Expire(now time.Time) {
	for f, s := range c.suspects {
		if !now.Before(s.until) {
			delete(c.suspects, f)
		}
	}
	for key, requests := range c.broken {
		requests = slices.DeleteFunc(requests, func(r brokenRequest) bool { return now.Sub(r.at) > brokenFor })
		if c.broken[key] = requests; len(requests) == 0 {
			delete(c.broken, key)
		}
	}
	for endpoint, until := range c.announced {
		if now.Sub(until) > brokenFor {
			delete(c.announced, endpoint)
		}
	}
}
