// This file defines the object API of the stand-in of the platform.

package clstandin

import (
	"context"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/chestnutlead/chestnutlead/clplatform"
)

// maxWait limits long polls.
const maxWait = 5 * time.Minute

func (p *Platform) routeObjects() {
	p.mux.HandleFunc("GET /objects", p.handleList)
	p.mux.HandleFunc("GET /objects/{key...}", p.handleGet)
	p.mux.HandleFunc("PUT /objects/{key...}", p.handlePut)
	p.mux.HandleFunc("DELETE /objects/{key...}", p.handleDelete)
}

// count records a call and answers 429 if its rate is exceeded.
func (p *Platform) count(w http.ResponseWriter, kind string, l *rate.Limiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[kind]++
	if !l.Allow() {
		p.rateLimited++
		fail(w, http.StatusTooManyRequests, "rate of calls exceeded")
		return false
	}
	return true
}

func (p *Platform) handleGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if r.URL.Query().Get("watch") == "" {
		if p.count(w, "get", p.reads) {
			p.replyObject(w, key)
		}
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "after is not a version")
		return
	}
	if !p.count(w, "watch", p.reads) {
		return
	}
	p.addWatch(1)
	defer p.addWatch(-1)
	changed := p.wait(r, func() (bool, <-chan struct{}) {
		return p.objects[key].Version != after, p.changed
	})
	if !changed {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	p.replyObject(w, key)
}

// addWatch changes the number of waiting watches, each of which takes one read a second.
func (p *Platform) addWatch(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watches += n
	if p.ReadsPerSecond > 0 {
		p.reads.SetLimit(rate.Limit(max(1, p.ReadsPerSecond-float64(p.watches))))
	}
}

// wait polls ready, called with mu held, whenever its channel closes, and
// returns false when the request's wait_ms has passed.
func (p *Platform) wait(r *http.Request, ready func() (bool, <-chan struct{})) bool {
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), min(millis(ms), maxWait))
	defer cancel()
	for {
		p.mu.Lock()
		ok, changed := ready()
		p.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-p.stop:
			return false
		}
	}
}

func (p *Platform) replyObject(w http.ResponseWriter, key string) {
	p.mu.Lock()
	o, ok := p.objects[key]
	p.mu.Unlock()
	if !ok {
		fail(w, http.StatusNotFound, "object does not exist")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("ETag", etag(o.Version))
	_, _ = w.Write(o.Value)
}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	if !p.count(w, "list", p.reads) {
		return
	}
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	found := []clplatform.Object{}
	for k, o := range p.objects {
		if strings.HasPrefix(k, prefix) {
			found = append(found, o)
		}
	}
	p.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	reply(w, http.StatusOK, map[string]any{"objects": found})
}

func (p *Platform) handlePut(w http.ResponseWriter, r *http.Request) {
	if !p.count(w, "update", p.writes) {
		return
	}
	ifVersion, ok := condition(r)
	if !ok {
		fail(w, http.StatusPreconditionRequired, `send If-Match with the version, or If-None-Match: * to create`)
		return
	}
	value, err := io.ReadAll(r.Body)
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if len(value) > maxValueBytes {
		fail(w, http.StatusRequestEntityTooLarge, "value is over 1 MB")
		return
	}
	key := r.PathValue("key")
	version, ok := p.change(key, ifVersion, func(version uint64) {
		p.objects[key] = clplatform.Object{Key: key, Value: value, Version: version}
	})
	p.replyChange(w, version, ok)
}

func (p *Platform) handleDelete(w http.ResponseWriter, r *http.Request) {
	if !p.count(w, "delete", p.writes) {
		return
	}
	ifVersion, ok := condition(r)
	if !ok || ifVersion == 0 {
		fail(w, http.StatusPreconditionRequired, "send If-Match with the version")
		return
	}
	key := r.PathValue("key")
	p.mu.Lock()
	_, exists := p.objects[key]
	p.mu.Unlock()
	if !exists {
		fail(w, http.StatusNotFound, "object does not exist")
		return
	}
	version, ok := p.change(key, ifVersion, func(uint64) { delete(p.objects, key) })
	p.replyChange(w, version, ok)
}

// change applies f with the new version if the object's current version is ifVersion.
func (p *Platform) change(key string, ifVersion uint64, f func(version uint64)) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.objects[key].Version; current != ifVersion {
		return current, false
	}
	// Versions come from one counter, so that a recreated object never
	// repeats a version of the deleted one.
	p.version++
	f(p.version)
	close(p.changed)
	p.changed = make(chan struct{})
	return p.version, true
}

func (p *Platform) replyChange(w http.ResponseWriter, version uint64, ok bool) {
	w.Header().Set("ETag", etag(version))
	if !ok {
		fail(w, http.StatusPreconditionFailed, "current version differs")
		return
	}
	reply(w, http.StatusOK, map[string]uint64{"version": version})
}

// condition returns the version that the object must have; 0 means it must not exist.
func condition(r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	v, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return v, err == nil && v > 0
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }
