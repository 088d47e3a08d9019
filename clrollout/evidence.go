// This file defines evidence and how a process collects it.

package clrollout

import (
	"slices"
	"sort"
	"time"
)

type (
	// Evidence sums outcomes of one version on one route in one minute.
	Evidence struct {
		Service, Version, Route string
		// Minute is the Unix time of the minute's start in seconds.
		Minute            int64
		Succeeded, Failed uint32
		// LatencyCounts counts successes per latency bucket; see LatencyBoundsMS.
		LatencyCounts []uint32
	}

	// Outcome is the end of one request at an endpoint.
	Outcome struct {
		Service, Version, Route string
		// Latency is the time to the first token, or to the answer of a plain service.
		Latency time.Duration
		Failed  bool
		// Cold says that the endpoint was ramping up; its latency is not counted.
		Cold bool
		// Broken says that the connection ended before the answer did. Endpoint
		// and Fingerprint must then be set: the outcome is held back until it is
		// known whether the request crashed the endpoint.
		Broken      bool
		Endpoint    string
		Fingerprint string
	}

	// Collector sums the outcomes that one process sees.
	Collector struct {
		sums     map[evidenceKey]*Evidence
		held     []heldOutcome
		excluded map[versionKey]map[string]time.Time
		sequence uint64
		sent     []Evidence
	}

	evidenceKey struct {
		service, version, route string
		minute                  int64
	}

	versionKey struct{ service, version string }

	// heldOutcome is a broken request that may turn out to be a crash.
	heldOutcome struct {
		Outcome
		at time.Time
	}
)

const (
	// crashWindow is how long a broken request waits for the news that its
	// endpoint restarted. Load reports lag by a few seconds.
	crashWindow = 5 * time.Second
	// maxExcluded distinct requests may crash a version in excludedWindow
	// without counting. More are the version's fault: a single request that
	// crashes each endpoint has one fingerprint.
	maxExcluded    = 3
	excludedWindow = 10 * time.Minute
)

// LatencyBoundsMS are the upper bounds of Evidence.LatencyCounts in
// milliseconds; one further bucket counts all above. Steps of a quarter
// resolve the smallest slowdown that the evaluation must find.
var LatencyBoundsMS = []uint32{
	5, 6, 8, 10, 12, 15, 19, 24, 30, 37, 46, 58, 73, 91, 114, 142, 178, 222, 278, 347, 434, 542, 678, 847, 1059, 1323,
	1654, 2068, 2585, 3231, 4039, 5048, 6310, 7888, 9860, 12325, 15407, 19259, 24073, 30092, 60000,
}

// Observe adds an outcome.
func (c *Collector) Observe(now time.Time, o Outcome) {
	if o.Broken {
		c.held = append(c.held, heldOutcome{o, now})
		return
	}
	c.add(now, o)
}

// EndpointRestarted excludes the broken requests that the endpoint was
// running: they are suspected to have crashed it.
func (c *Collector) EndpointRestarted(now time.Time, endpoint string) {
	c.held = slices.DeleteFunc(c.held, func(h heldOutcome) bool {
		return h.Endpoint == endpoint && c.exclude(now, h.Outcome)
	})
}

// exclude reports whether a suspected crash may be left out.
func (c *Collector) exclude(now time.Time, o Outcome) bool {
	if c.excluded == nil {
		c.excluded = make(map[versionKey]map[string]time.Time)
	}
	k := versionKey{o.Service, o.Version}
	prints := c.excluded[k]
	if prints == nil {
		prints = make(map[string]time.Time)
		c.excluded[k] = prints
	}
	for p, at := range prints {
		if now.Sub(at) > excludedWindow {
			delete(prints, p)
		}
	}
	if _, known := prints[o.Fingerprint]; !known && len(prints) >= maxExcluded {
		return false
	}
	prints[o.Fingerprint] = now
	return true
}

// add sums an outcome.
func (c *Collector) add(at time.Time, o Outcome) {
	minute := at.Unix() - at.Unix()%60
	k := evidenceKey{o.Service, o.Version, o.Route, minute}
	if c.sums == nil {
		c.sums = make(map[evidenceKey]*Evidence)
	}
	e := c.sums[k]
	if e == nil {
		e = &Evidence{Service: o.Service, Version: o.Version, Route: o.Route, Minute: minute}
		c.sums[k] = e
	}
	if o.Failed || o.Broken {
		e.Failed++
		return
	}
	e.Succeeded++
	if !o.Cold {
		if e.LatencyCounts == nil {
			e.LatencyCounts = make([]uint32, len(LatencyBoundsMS)+1)
		}
		e.LatencyCounts[bucket(o.Latency)]++
	}
}

// Take returns the evidence since the former batch and the batch's sequence
// number. It returns the same batch again until Ack has its number, so that a
// report whose answer was lost is repeated and not counted twice.
func (c *Collector) Take(now time.Time) (uint64, []Evidence) {
	if len(c.sent) > 0 {
		return c.sequence, c.sent
	}
	c.held = slices.DeleteFunc(c.held, func(h heldOutcome) bool {
		if now.Sub(h.at) < crashWindow {
			return false
		}
		c.add(h.at, h.Outcome)
		return true
	})
	c.sent = sorted(c.sums)
	clear(c.sums)
	if len(c.sent) > 0 {
		c.sequence++
	}
	return c.sequence, c.sent
}

// Ack says that the batch has been received.
func (c *Collector) Ack(sequence uint64) {
	if sequence == c.sequence {
		c.sent = nil
	}
}

// bucket returns the index of the latency's bucket.
func bucket(d time.Duration) int {
	ms := d.Milliseconds()
	if d%time.Millisecond > 0 {
		ms++
	}
	return sort.Search(len(LatencyBoundsMS), func(i int) bool { return int64(LatencyBoundsMS[i]) >= ms })
}
