// This file defines the HTTP server with admin API that all stand-ins share.

package clstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/chestnutlead/chestnutlead/clendpoint"
)

type (
	// Server serves a stand-in and its admin API; its exported fields are set before Start.
	Server struct {
		// Listen is the address of the stand-in; port 0 picks a free port.
		Listen netip.AddrPort
		// AdminListen optionally serves the admin API on a second address,
		// which stays reachable while Listen refuses connections.
		AdminListen netip.AddrPort
		// Seed makes faults by probability repeatable.
		Seed uint64
		// Faults are the initial fault switches.
		Faults Faults

		mux     *http.ServeMux
		faults  *faultState
		ln      *trackedListener
		servers []*http.Server
		stop    chan struct{}
		// stopOnce closes stop.
		stopOnce sync.Once
		// running returns the number of running requests, for RouteFault.
		running func() int
		// onCrash resets the stand-in's own state; nil if it has none.
		onCrash func(reason string)

		arrivalsMu sync.Mutex
		arrivals   Arrivals
		// held counts the requests that RouteFault.Hold has kept back and that
		// have not ended.
		held atomic.Int64
	}

	// Arrivals counts the requests of callers, which have an attempt ID, that reached
	// the stand-in over all boots, also those that a fault switch failed or delayed.
	// Questions for reports, orders and transfers of caches don't count.
	Arrivals struct {
		Count uint64 `json:"count"`
		// LastAt is the arrival of the last one; zero if there was none.
		LastAt time.Time `json:"last_at"`
	}

	// discardWriter runs a handler whose answer is lost.
	discardWriter struct{ header http.Header }

	connKey struct{}
)

const (
	// maxBodyBytes admits an exported KV cache.
	maxBodyBytes = 256 << 20
)

var _ http.Flusher = (*discardWriter)(nil)

// init prepares the fields that handlers are registered on.
func (s *Server) init() {
	s.mux = http.NewServeMux()
	s.faults = newFaultState(s.Faults, s.Seed)
	s.stop = make(chan struct{})
	s.running = func() int { return 0 }
	s.mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, s.faults.get()) })
	s.mux.HandleFunc("POST /admin/faults", s.handleSetFaults)
	s.mux.HandleFunc("POST /admin/actions/silence", s.handleSilence)
	s.mux.HandleFunc("POST /admin/actions/crash", s.handleCrash)
}

// start listens and serves until Close.
func (s *Server) start() error {
	ln, err := listenTracked(s.Listen.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.ln = ln
	s.serve(ln, http.HandlerFunc(s.serveFaulty))
	if s.AdminListen.IsValid() {
		admin, err := net.Listen("tcp", s.AdminListen.String())
		if err != nil {
			s.Close()
			return errors.Wrap(err, "listen for admin API")
		}
		s.AdminListen = netip.MustParseAddrPort(admin.Addr().String())
		s.serve(admin, s.mux)
	}
	s.setFaults(s.Faults, nil)
	return nil
}

func (s *Server) serve(ln net.Listener, h http.Handler) {
	srv := &http.Server{
		Handler:     h,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:    log.New(io.Discard, "", 0),
	}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(ln) }()
}

// Addr returns the address the stand-in listens on.
func (s *Server) Addr() netip.AddrPort { return netip.MustParseAddrPort(s.ln.Addr().String()) }

// Close stops the stand-in and breaks all its connections.
func (s *Server) Close() {
	s.stopOnce.Do(func() { close(s.stop) })
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}

// Shutdown stops the stand-in after its running requests have ended; long
// polls end at once.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopOnce.Do(func() { close(s.stop) })
	var first error
	for _, srv := range s.servers {
		if err := srv.Shutdown(ctx); err != nil && first == nil {
			first = errors.Wrap(err, "shutdown")
		}
	}
	s.Close()
	return first
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.setFaults(f, nil)
}

// SilenceConnections makes all open connections stop sending; new ones work.
func (s *Server) SilenceConnections() { s.silence(nil) }

// Crash aborts all connections and resets the state that a restart loses.
func (s *Server) Crash(reason string) { s.crash(reason, nil) }

func (s *Server) silence(except net.Conn) {
	s.ln.each(except, func(c *trackedConn) { c.silent.Store(true) })
}

func (s *Server) crash(reason string, except net.Conn) {
	restart := millis(s.faults.get().RestartMs)
	if restart > 0 {
		s.ln.suspend()
		time.AfterFunc(restart, s.applyListening)
	}
	// Connections are marked before the state changes, so that it can tell
	// requests from before the crash, and aborted after it, so that a caller who
	// sees the crash sees the new state.
	s.ln.each(except, func(c *trackedConn) { c.aborted.Store(true) })
	if s.onCrash != nil {
		s.onCrash(reason)
	}
	s.ln.each(except, func(c *trackedConn) {
		if c.aborted.Load() {
			c.abort()
		}
	})
}

// setFaults replaces the switches; except keeps the connection that asked for it.
func (s *Server) setFaults(f Faults, except net.Conn) {
	s.faults.set(f)
	s.applyListening()
	if f.Outage == OutageRefuse {
		s.ln.each(except, (*trackedConn).abort)
		if f.OutageMs > 0 {
			time.AfterFunc(millis(f.OutageMs), s.applyListening)
		}
	}
}

// applyListening opens or closes the listener as the switches say.
func (s *Server) applyListening() {
	if s.faults.get().Outage == OutageRefuse {
		s.ln.suspend()
		return
	}
	s.ln.resume()
}

func (s *Server) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	if f.Outage == OutageRefuse && f.OutageMs == 0 && !s.AdminListen.IsValid() {
		fail(w, http.StatusBadRequest, "set outage_ms or start with --admin-listen, because the admin API would be unreachable")
		return
	}
	s.setFaults(f, connOf(r))
	reply(w, http.StatusOK, f)
}

func (s *Server) handleSilence(w http.ResponseWriter, r *http.Request) {
	s.silence(connOf(r))
	reply(w, http.StatusOK, struct{}{})
}

func (s *Server) handleCrash(w http.ResponseWriter, r *http.Request) {
	s.crash("admin", connOf(r))
	reply(w, http.StatusOK, struct{}{})
}

// serveFaulty applies the faults to all routes but the admin API and /stats.
func (s *Server) serveFaulty(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(clendpoint.AttemptHeader); id != "" {
		w.Header().Set(clendpoint.AttemptHeader, id)
		if !isControlPath(r.URL.Path) {
			s.arrived()
		}
	}
	if strings.HasPrefix(r.URL.Path, "/admin/") || r.URL.Path == "/stats" {
		s.mux.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		fail(w, http.StatusBadRequest, "body cannot be read: "+err.Error())
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	v := s.faults.decide(r, body, s.running())
	if v.held != nil {
		s.held.Add(1)
		defer s.held.Add(-1)
	}
	s.failBefore(r, v)
	switch {
	case v.refuse || v.outage == OutageUnavailable:
		fail(w, http.StatusServiceUnavailable, "refused by a fault switch")
	case v.failStatus != 0:
		fail(w, v.failStatus, "failed by a fault switch")
	case v.loseAnswer:
		s.mux.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	default:
		s.mux.ServeHTTP(w, r)
	}
}

// isControlPath reports whether requests to the path come from the system itself.
func isControlPath(path string) bool {
	switch path {
	case "/load", "/cache/events", "/orders", "/v1/kv":
		return true
	}
	return false
}

// arrived counts a request.
func (s *Server) arrived() {
	s.arrivalsMu.Lock()
	defer s.arrivalsMu.Unlock()
	s.arrivals.Count++
	s.arrivals.LastAt = time.Now()
}

// Arrivals returns the requests that have arrived so far.
func (s *Server) Arrivals() Arrivals {
	s.arrivalsMu.Lock()
	defer s.arrivalsMu.Unlock()
	return s.arrivals
}

// failBefore applies the faults that come before the answer; it panics with
// http.ErrAbortHandler to close the connection.
func (s *Server) failBefore(r *http.Request, v verdict) {
	if v.silence {
		if c, ok := connOf(r).(*trackedConn); ok {
			c.silent.Store(true)
		}
	}
	switch v.outage {
	case OutageReset, OutageRefuse:
		panic(http.ErrAbortHandler)
	case OutageHang:
		select {
		case <-r.Context().Done():
		case <-s.faults.changes():
		case <-s.stop:
		}
		panic(http.ErrAbortHandler)
	}
	ctx := r.Context()
	if v.late {
		ctx = context.WithoutCancel(ctx)
	}
	if v.held != nil {
		select {
		case <-v.held:
		case <-ctx.Done():
		case <-s.stop:
			panic(http.ErrAbortHandler)
		}
	}
	if !sleep(ctx, v.delay) {
		panic(http.ErrAbortHandler)
	}
	if v.crash {
		s.crash("marker", nil)
		panic(http.ErrAbortHandler)
	}
}

func connOf(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}

// aborted reports whether the connection that a context belongs to was aborted.
func aborted(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	return ok && c.aborted.Load()
}

// sleep waits for d and returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		fail(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func fail(w http.ResponseWriter, status int, message string) {
	reply(w, status, map[string]any{"error": map[string]any{"message": message, "code": status}})
}

// decode reads a JSON body into v and answers 400 if that fails.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	if err := d.Decode(v); err != nil {
		fail(w, http.StatusBadRequest, "body is not valid JSON: "+err.Error())
		return false
	}
	return true
}

// Header returns the header that is thrown away.
func (d *discardWriter) Header() http.Header { return d.header }

// Write throws p away.
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader throws the status away.
func (d *discardWriter) WriteHeader(int) {}

// Flush does nothing.
func (d *discardWriter) Flush() {}
