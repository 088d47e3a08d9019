// This file defines which version a request is assigned to, and how changes of
// the configuration and of the endpoints reach the gate.

package clentry

import (
	"time"

	"github.com/chestnutlead/chestnutlead/clroute"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/samber/lo"
	"go.uber.org/zap"
)

// assign chooses the version and returns the queue's key.
func (g *gate) assign(w *work) queueKey {
	split := g.views.load().split(w.service)
	if g.suspended[queueKey{w.service.GetName(), split.New}] {
		split.NewSuspended = true
	}
	if w.failed && split.New != "" && g.servable(w, split.Old, time.Now()) {
		split.NewSuspended = true
	}
	w.route.Version = clroute.AssignVersion(split, w.id)
	return queueKey{w.service.GetName(), w.route.Version}
}

func (g *gate) assignOld(w *work) queueKey {
	w.route.Version = g.views.load().split(w.service).Old
	return queueKey{w.service.GetName(), w.route.Version}
}

// failedAt excludes the endpoint of a failed attempt from the next ones.
func (w *work) failedAt(endpointID string) {
	w.route.Excluded = append(w.route.Excluded, endpointID)
	w.failed = true
}

// unservable reports whether the request was assigned to a new version that no
// endpoint can serve at present.
func (g *gate) unservable(w *work, now time.Time) bool {
	split := g.views.load().split(w.service)
	if w.route.Version != split.New {
		return false
	}
	return !g.servable(w, w.route.Version, now)
}

// servable reports whether some endpoint of the version could serve the request
// now or after a wait.
func (g *gate) servable(w *work, version string, now time.Time) bool {
	route := w.route
	route.Version = version
	reason := g.table.Pick(&route, g.rnd, now).Reason
	return !reason.Refused() || waits(reason)
}

// waits reports whether a request that was refused for the reason may find a
// place later without any change of the fleet.
func waits(reason clroute.Reason) bool {
	return reason == clroute.RefusedNoSlot || reason == clroute.RefusedBusy
}

// current reports whether the version gets traffic.
func (g *gate) current(svc *clstate.Service, version string) bool {
	s := g.views.load().split(svc)
	return version == s.Old || version == s.New && !s.NewSuspended && !g.suspended[queueKey{svc.GetName(), version}]
}

// applyView takes a configuration revision. Requests that wait for a version
// that gets no more traffic are assigned again.
func (g *gate) applyView(v *view) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for dc, out := range v.out {
		g.table.SetDataCentre(dc, out)
	}
	g.setAdmitted(g.fleet.all())
	g.reassign()
}

// suspend stops new work for a version at once.
func (g *gate) suspend(key queueKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspended[key] {
		return
	}
	g.suspended[key] = true
	g.log.Info("Version is suspended. It gets no new work.", zap.String("service", key.service), zap.String("version", key.version))
	g.reassign()
}

func (g *gate) reassign() {
	now := time.Now()
	for key, q := range g.queues {
		svc := g.views.load().services[key.service]
		if svc == nil || q.Len() == 0 || g.current(svc, key.version) {
			continue
		}
		for {
			r, _, ok := q.Take(now)
			if !ok {
				break
			}
			r.Value.w.service = svc
			if refused := g.offer(g.assign(r.Value.w), r.Value, now); refused != nil {
				r.Value.result <- waitResult{refusal: refuseOverload(refused)}
			}
		}
	}
}

// setEndpoints takes endpoints from the fleet.
func (g *gate) setEndpoints(set []endpoint, removed []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setAdmitted(set)
	for _, id := range removed {
		g.table.Remove(id)
		g.holder.DropIdleSlots(id)
	}
}

// setAdmitted puts the endpoints that the configuration admits into the table.
func (g *gate) setAdmitted(set []endpoint) {
	v := g.views.load()
	for _, e := range set {
		if v != nil && v.admits(e) {
			g.table.Set(clroute.Endpoint{ID: e.id, Service: e.service, Version: e.version, DataCentre: e.dataCentre})
			_, leaving := g.fleet.isLeaving(e.id)
			g.table.SetLeaving(e.id, leaving)
		} else {
			g.table.Remove(e.id)
		}
	}
}

func (g *gate) setLeaving(id string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetLeaving(id, true)
	g.holder.DropIdleSlots(id)
	g.refreshSlots(id, time.Now())
	until := time.Now().Add(leavingFactLifetime)
	g.crashes.Announced(id, lo.Ternary(at.After(until), at, until))
}
