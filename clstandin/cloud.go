// This file defines the cloud API, the list of instances and the weight store
// of the stand-in of the platform.

package clstandin

import (
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clplatform"
)

type (
	// cloudState is the state of instances, notices and weight fetches.
	cloudState struct {
		mu        sync.Mutex
		instances map[string]clplatform.Instance
		history   []instanceChange // not yet visible in the list
		visible   map[string]clplatform.Instance
		notices   []clplatform.Notice
		changed   chan struct{}
		started   uint64
		refused   uint64
		fetchFree time.Time // when the weight store is free again
	}

	instanceChange struct {
		at       time.Time
		instance clplatform.Instance
	}

	// ReclaimRequest is the body of POST /admin/reclaims: it takes the listed
	// instances, or all reclaimable ones of the data centre.
	ReclaimRequest struct {
		DataCentre  string   `json:"data_centre,omitempty"`
		InstanceIDs []string `json:"instance_ids,omitempty"`
		// NoticeMs is the time between the notice and the end of the instances.
		NoticeMs int `json:"notice_ms"`
	}
)

func (c *cloudState) init() {
	c.instances = make(map[string]clplatform.Instance)
	c.visible = make(map[string]clplatform.Instance)
	c.changed = make(chan struct{})
}

// put stores an instance; the caller holds mu.
func (c *cloudState) put(i clplatform.Instance) {
	c.history = append(c.history, instanceChange{at: time.Now(), instance: i})
	if i.State == clplatform.InstanceGone {
		delete(c.instances, i.ID)
		return
	}
	c.instances[i.ID] = i
}

// list returns the instances as they were lag ago.
func (c *cloudState) list(lag time.Duration) []clplatform.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, ch := range c.history {
		if time.Since(ch.at) < lag {
			break
		}
		n++
		if ch.instance.State == clplatform.InstanceGone {
			delete(c.visible, ch.instance.ID)
		} else {
			c.visible[ch.instance.ID] = ch.instance
		}
	}
	c.history = c.history[n:]
	return sorted(c.visible)
}

func (c *cloudState) refusedStarts() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

func sorted(m map[string]clplatform.Instance) []clplatform.Instance {
	out := make([]clplatform.Instance, 0, len(m))
	for _, i := range m {
		out = append(out, i)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

func (p *Platform) routeCloud() {
	c := &p.cloud
	p.mux.HandleFunc("GET /cloud/offers", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]any{"offers": p.Offers})
	})
	p.mux.HandleFunc("POST /cloud/instances", p.handleStart)
	p.mux.HandleFunc("DELETE /cloud/instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		p.endInstance(w, r.PathValue("id"))
	})
	p.mux.HandleFunc("GET /cloud/notices", p.handleNotices)
	p.mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]any{"instances": c.list(p.InstancesLag)})
	})
	p.mux.HandleFunc("POST /weights/{model}/reserve", p.handleReserve)
	p.mux.HandleFunc("GET /admin/instances", func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"instances": sorted(c.instances)})
	})
	p.mux.HandleFunc("POST /admin/instances", p.handleRegister)
	p.mux.HandleFunc("DELETE /admin/instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		p.endInstance(w, r.PathValue("id"))
	})
	p.mux.HandleFunc("POST /admin/reclaims", p.handleReclaim)
}

func (p *Platform) handleStart(w http.ResponseWriter, r *http.Request) {
	var req clplatform.InstanceRequest
	if !decode(w, r, &req) {
		return
	}
	offered := false
	for _, o := range p.Offers {
		offered = offered || o.DataCentre == req.DataCentre && o.Class == req.Class && o.Reclaimable == req.Reclaimable
	}
	if !offered {
		fail(w, http.StatusBadRequest, "no such offer")
		return
	}
	c := &p.cloud
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range p.faults.get().RefuseStarts {
		if f.matches(req) {
			c.refused++
			fail(w, http.StatusConflict, "no capacity for this class in this data centre")
			return
		}
	}
	c.started++
	i := clplatform.Instance{
		ID: fmt.Sprintf("i-%06d", c.started), DataCentre: req.DataCentre, Class: req.Class, Reclaimable: req.Reclaimable,
		State: clplatform.InstanceStarting, Service: req.Service, Version: req.Version,
	}
	c.put(i)
	reply(w, http.StatusCreated, i)
}

func (f *StartRefusal) matches(r clplatform.InstanceRequest) bool {
	return (f.DataCentre == "" || f.DataCentre == r.DataCentre) && (f.Class == "" || f.Class == r.Class) &&
		(!f.ReclaimableOnly || r.Reclaimable)
}

func (p *Platform) endInstance(w http.ResponseWriter, id string) {
	c := &p.cloud
	c.mu.Lock()
	defer c.mu.Unlock()
	i, ok := c.instances[id]
	if !ok {
		fail(w, http.StatusNotFound, "instance does not exist")
		return
	}
	i.State = clplatform.InstanceGone
	c.put(i)
	reply(w, http.StatusOK, i)
}

// handleRegister adds an instance, or gives one that was started its endpoint.
func (p *Platform) handleRegister(w http.ResponseWriter, r *http.Request) {
	var i clplatform.Instance
	if !decode(w, r, &i) {
		return
	}
	if i.ID == "" {
		fail(w, http.StatusBadRequest, "id is missing")
		return
	}
	if i.State == "" {
		i.State = clplatform.InstanceLive
	}
	c := &p.cloud
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.instances[i.ID]; ok {
		i.DataCentre, i.Class, i.Reclaimable = old.DataCentre, old.Class, old.Reclaimable
	}
	c.put(i)
	reply(w, http.StatusOK, i)
}

func (p *Platform) handleReclaim(w http.ResponseWriter, r *http.Request) {
	var req ReclaimRequest
	if !decode(w, r, &req) {
		return
	}
	reply(w, http.StatusOK, map[string]any{"notices": p.Reclaim(req)})
}

// Reclaim announces that instances will be taken away, and takes them away
// when the notice has passed.
func (p *Platform) Reclaim(req ReclaimRequest) []clplatform.Notice {
	c := &p.cloud
	listed := make(map[string]bool)
	for _, id := range req.InstanceIDs {
		listed[id] = true
	}
	at := time.Now().Add(millis(req.NoticeMs))
	c.mu.Lock()
	defer c.mu.Unlock()
	first := len(c.notices)
	for _, i := range sorted(c.instances) {
		if !listed[i.ID] && (req.DataCentre == "" || i.DataCentre != req.DataCentre || !i.Reclaimable) {
			continue
		}
		i.State, i.LeavingAt = clplatform.InstanceLeaving, at
		c.put(i)
		c.notices = append(c.notices, clplatform.Notice{
			Sequence: uint64(len(c.notices) + 1), InstanceID: i.ID, DataCentre: i.DataCentre, LeavingAt: at,
		})
		time.AfterFunc(millis(req.NoticeMs), func() { c.end(i.ID) })
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return c.notices[first:]
}

// end removes a leaving instance.
func (c *cloudState) end(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i, ok := c.instances[id]; ok && i.State == clplatform.InstanceLeaving {
		i.State = clplatform.InstanceGone
		c.put(i)
	}
}

func (p *Platform) handleNotices(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "after is not a sequence number")
		return
	}
	found := []clplatform.Notice{}
	p.wait(r, func() (bool, <-chan struct{}) {
		p.cloud.mu.Lock()
		defer p.cloud.mu.Unlock()
		if after < uint64(len(p.cloud.notices)) {
			found = append(found, p.cloud.notices[after:]...)
		}
		return len(found) > 0, p.cloud.changed
	})
	reply(w, http.StatusOK, map[string]any{"notices": found})
}

func (p *Platform) handleReserve(w http.ResponseWriter, r *http.Request) {
	if _, err := url.PathUnescape(r.PathValue("model")); err != nil {
		fail(w, http.StatusBadRequest, "model is not valid")
		return
	}
	c := &p.cloud
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.fetchFree.Before(now) {
		c.fetchFree = now
	}
	wait := c.fetchFree.Sub(now)
	if p.WeightBytesPerSecond > 0 {
		c.fetchFree = c.fetchFree.Add(time.Duration(float64(p.WeightBytes) / p.WeightBytesPerSecond * float64(time.Second)))
	}
	reply(w, http.StatusOK, map[string]int64{"wait_ms": wait.Milliseconds()})
}
