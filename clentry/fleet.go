// This file defines what the entry knows of the endpoints' instances.

package clentry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clwait"
	"go.uber.org/zap"
)

const (
	// leavingFactLifetime exceeds the time for which the list of instances
	// can still show an instance as live.
	leavingFactLifetime = 10 * time.Minute
	// listReadsPerSecond bounds the reads of the list of instances by all processes together.
	listReadsPerSecond = 20
	noticeRetryDelay   = time.Second
	// peerListDelay is added to the age of a list learned from a peer; it exceeds
	// the rounding of the age and an ordinary call's time.
	peerListDelay = 100 * time.Millisecond
	noticeRankKey = "notices"
	noticeReaders = 2
)

type (
	// endpoint is one endpoint that the platform lists.
	endpoint struct {
		id         string
		addr       netip.AddrPort
		service    string
		version    string
		dataCentre string
	}

	// fleet keeps the endpoints from the platform's list and the facts of peers.
	fleet struct {
		node      *clpeer.Node
		instances clplatform.Instances
		cloud     clplatform.Cloud
		interval  time.Duration
		wait      time.Duration
		log       *zap.Logger
		// onChange is called with endpoints that are new or changed, and those removed.
		onChange func(set []endpoint, removed []string)
		// onLeaving is called when an endpoint is known to leave; at is zero if the time is unknown.
		onLeaving func(id string, at time.Time)

		mu sync.Mutex
		// read is when the applied list was read from the platform, by this entry
		// or the one it was learned from; zero if there is none.
		read      time.Time
		endpoints map[string]endpoint
		leaving   map[string]time.Time
		loads     map[string]clendpoint.Load
	}
)

func (f *fleet) init() {
	f.endpoints = make(map[string]endpoint)
	f.leaving = make(map[string]time.Time)
	f.loads = make(map[string]clendpoint.Load)
}

// loopList reads the list of instances until ctx ends.
func (f *fleet) loopList(ctx context.Context) error {
	for {
		list, err := f.instances.ListInstances(ctx)
		switch {
		case err == nil:
			f.apply(list, time.Now())
		case ctx.Err() == nil:
			f.log.Warn("List of instances cannot be read. The known endpoints stay, or a peer's are taken.", zap.Error(err))
			f.askPeer(ctx)
		}
		if err := clwait.Pause(ctx, f.listInterval()); err != nil {
			return nil
		}
	}
}

// listInterval grows with the fleet, so that its reads stay within a fixed rate.
func (f *fleet) listInterval() time.Duration {
	members := len(f.node.Members()) + 1
	return max(f.interval, time.Duration(members)*time.Second/listReadsPerSecond)
}

// apply takes a list that was read from the platform at the given time.
func (f *fleet) apply(list []clplatform.Instance, read time.Time) {
	f.mu.Lock()
	f.read = read
	seen := make(map[string]bool, len(list))
	var set []endpoint
	var removed []string
	var left []clplatform.Instance
	for _, in := range list {
		if !in.Endpoint.IsValid() || in.State == clplatform.InstanceGone || in.State == clplatform.InstanceStarting {
			continue
		}
		seen[in.ID] = true
		e := endpoint{id: in.ID, addr: in.Endpoint, service: in.Service, version: in.Version, dataCentre: in.DataCentre}
		if f.endpoints[in.ID] != e {
			f.endpoints[in.ID] = e
			set = append(set, e)
		}
		if in.State == clplatform.InstanceLeaving {
			left = append(left, in)
		}
	}
	for id := range f.endpoints {
		if !seen[id] {
			delete(f.endpoints, id)
			delete(f.leaving, id)
			delete(f.loads, id)
			removed = append(removed, id)
		}
	}
	f.mu.Unlock()
	if len(set)+len(removed) > 0 {
		f.onChange(set, removed)
	}
	for _, in := range left {
		f.markLeaving(in.ID, in.LeavingAt)
	}
}

// markLeaving stops new work for the endpoint; it reports whether that is news.
func (f *fleet) markLeaving(id string, at time.Time) bool {
	f.mu.Lock()
	known, ok := f.leaving[id]
	if ok && (at.IsZero() || known.Equal(at)) {
		f.mu.Unlock()
		return false
	}
	f.leaving[id] = at
	f.mu.Unlock()
	f.log.Info("Endpoint is leaving. It gets no new work.", zap.String("endpoint", id), zap.Time("at", at))
	f.onLeaving(id, at)
	return true
}

// loopNotices waits for reclaim notices in a few processes of each data
// centre, which spread them as facts.
func (f *fleet) loopNotices(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		if !f.readsNotices() {
			_ = clwait.Pause(ctx, noticeRetryDelay) // The loop's condition ends it.
			continue
		}
		notices, err := f.cloud.Notices(ctx, after, f.wait)
		if err != nil {
			if ctx.Err() == nil && clplatform.KindOf(err) != clplatform.KindTimeout {
				f.log.Warn("Reclaim notices cannot be read.", zap.Error(err))
				_ = clwait.Pause(ctx, noticeRetryDelay) // The loop's condition ends it.
			}
			continue
		}
		for _, n := range notices {
			after = max(after, n.Sequence)
			f.spreadNotice(n)
		}
	}
	return nil
}

func (f *fleet) readsNotices() bool {
	self := f.node.Self()
	for i, m := range f.node.Rank(noticeRankKey, clmember.Filter{Role: self.Role, DataCentre: self.DataCentre}) {
		if i >= noticeReaders {
			break
		}
		if m.ID == self.ID {
			return true
		}
	}
	return false
}

func (f *fleet) spreadNotice(n clplatform.Notice) {
	if time.Since(n.LeavingAt) > leavingFactLifetime {
		return
	}
	if f.markLeaving(n.InstanceID, n.LeavingAt) {
		f.node.AddFact(clmember.Fact{
			ID: "leaving/" + n.InstanceID, Kind: clmember.EndpointLeaving,
			Lifetime: time.Until(n.LeavingAt) + leavingFactLifetime,
			Subject:  n.InstanceID, Detail: n.LeavingAt.UTC().Format(time.RFC3339Nano), Urgent: true,
		})
	}
}

// learnLeaving takes a peer's fact.
func (f *fleet) learnLeaving(fact clmember.Fact) {
	at, err := time.Parse(time.RFC3339Nano, fact.Detail)
	if err != nil {
		at = time.Time{}
	}
	f.markLeaving(fact.Subject, at)
}

func (f *fleet) get(id string) (endpoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.endpoints[id]
	return e, ok
}

func (f *fleet) isLeaving(id string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.leaving[id]
	return at, ok
}

func (f *fleet) all() []endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]endpoint, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		all = append(all, e)
	}
	return all
}

func (f *fleet) setLoad(id string, l clendpoint.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.endpoints[id]; ok && !l.ProducedAt.Before(f.loads[id].ProducedAt) {
		f.loads[id] = l
	}
}

func (f *fleet) load(id string) clendpoint.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads[id]
}
