// This file defines the system under test: gateways, endpoints and the platform.

package clsoak

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
	"github.com/go-faster/errors"
)

type (
	// world is the system under test and what surrounds it.
	world struct {
		soak      *Soak
		store     *clstandplatform.Store
		cloud     *clstandplatform.Cloud
		storeAddr netip.AddrPort
		gateways  []*gateway
		servers   []*server

		mu        sync.Mutex
		endpoints []*endpoint
		// byID has those that have ended as well.
		byID    map[string]*endpoint
		started int

		// bad are the parts of prompts under which endpoints crash.
		bad badParts

		// storeTroubles are those of the store for all.
		storeTroubles troubles
		// holding says that answers of the store are being held up, and returning that it
		// returns from an older copy.
		holding, returning atomic.Bool
		// readyAt is when all gateways served.
		readyAt time.Time
		// noReturnBefore is when the store may go away next; it belongs to who has set returning.
		noReturnBefore time.Time
	}

	// server is an HTTP server of the world's own.
	server struct {
		http.Server
		listener net.Listener
	}

	// troubles remembers when the last fault of something ended or will end.
	// The zero value is ready.
	troubles struct {
		faultMu sync.Mutex
		until   time.Time
	}

	// gateway is one gateway, whose process may be restarted.
	gateway struct {
		name     string
		callers  netip.AddrPort
		ready    netip.AddrPort
		settings string
		link     *link

		troubles

		mu      sync.Mutex
		process *clharness.Process
		// stopping is when it was last asked to stop, and resumed when it was last
		// started or woken after a pause.
		stopping, resumed time.Time
		// busy says that a fault of its process goes on, and ends counts the
		// times that the process has ended by itself.
		busy bool
		ends int
	}

	// endpoint is one start of an endpoint.
	endpoint struct {
		id         string
		dataCentre string
		link       *link
		server     *server
		born       time.Time
		// fault holds the clstandplatform.Fault of a part of its requests.
		fault atomic.Int64
		// saysLeaving makes it say in its answers that it leaves.
		saysLeaving atomic.Bool
		// copies makes it send copies of its refusals, and endless answers to health checks
		// that never end.
		copies, endless atomic.Bool

		troubles

		mu sync.Mutex
		// left is when the store acknowledged that it leaves.
		left time.Time
		// taken says that a fault has it, which alone writes its entry in the store.
		taken bool
	}
)

var bounds = clstandplatform.Bounds{
	Config: 2 * time.Second, Revocation: 5 * time.Second, Drain: 2 * time.Second, Grace: 4 * time.Second, Lease: 2 * time.Second,
}

const (
	// basePort is the first port of each gateway, which has an address of its own.
	basePort = 18400
	// contact is how long a gateway must have been without a fault for the
	// promises with a bound in time to hold.
	contact = 3 * time.Second
	// startWait bounds the start of the processes.
	startWait = 20 * time.Second
	// faultShare is the part of an endpoint's requests that its fault concerns.
	faultShare = 0.3
	eventCount = 8
)

var dataCentres = []string{"a", "b"}

// newWorld starts the system and waits until it serves.
func newWorld(s *Soak) (*world, error) {
	w := &world{soak: s, store: clstandplatform.NewStore(), cloud: &clstandplatform.Cloud{Called: s.recordDutyCall}, byID: map[string]*endpoint{}}
	s.world = w
	s.configure()
	var err error
	if w.storeAddr, err = w.serve(w.store); err != nil {
		return w, err
	}
	for range s.Endpoints {
		if err := w.addEndpoint(); err != nil {
			return w, err
		}
	}
	for i := range s.Gateways {
		if err := w.addGateway(i); err != nil {
			return w, err
		}
	}
	for _, g := range w.gateways {
		for end := time.Now().Add(startWait); !g.isReady(); time.Sleep(pollEvery) {
			if time.Now().After(end) {
				return w, errors.Errorf("%s is not ready within %s; see %s", g.name, startWait, s.Dir)
			}
		}
	}
	w.readyAt = time.Now()
	return w, nil
}

// serve serves a stand-in of the platform until the world is closed.
func (w *world) serve(h http.Handler) (netip.AddrPort, error) {
	srv, err := newServer(h, nil)
	if err != nil {
		return netip.AddrPort{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = append(w.servers, srv)
	return srv.addr(), nil
}

// newServer serves a handler on a free port until it is closed.
func newServer(h http.Handler, copier *clstandplatform.Copier) (*server, error) {
	l, err := listen(copier)
	if err != nil {
		return nil, err
	}
	s := &server{Server: http.Server{Handler: h}, listener: l}
	go s.run()
	return s, nil
}

func (s *server) run() { _ = s.Serve(s.listener) } // ends when it is closed

func (s *server) addr() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// addGateway starts a gateway on an address of its own.
func (w *world) addGateway(i int) error {
	// The process number keeps runs that go on at the same time apart.
	ip := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(os.Getpid() / 250 % 250), byte(10 + i)})
	k, err := newLink(w.storeAddr, nil)
	if err != nil {
		return err
	}
	g := &gateway{
		name: fmt.Sprintf("gateway-%d", i+1), link: k,
		callers: netip.AddrPortFrom(ip, basePort), ready: netip.AddrPortFrom(ip, basePort+1),
	}
	// An address of its own tells the machine of a call, whatever name it bears.
	cloud, err := w.serve(w.cloud.From(g.name))
	if err != nil {
		return err
	}
	g.settings = filepath.Join(w.soak.Dir, g.name+".yaml")
	text := clstandplatform.Gateway{
		Name: g.name, DataCentre: dataCentres[i%len(dataCentres)], Callers: g.callers, Readiness: g.ready, PeerPort: basePort + 2,
		Store: k.addr(), Cloud: cloud, Bounds: bounds,
	}.Settings()
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return err
	}
	w.mu.Lock()
	w.gateways = append(w.gateways, g)
	w.mu.Unlock()
	return w.start(g)
}

// start starts a gateway's process.
func (w *world) start(g *gateway) error {
	p, err := clharness.StartProcess(w.soak.Dir, g.name, w.soak.Binary, "gateway", "--settings", g.settings)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process, g.resumed = p, time.Now()
	return nil
}

func (g *gateway) current() *clharness.Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process
}

// trouble records that a fault ends at a time, unless a later end is known.
func (t *troubles) trouble(until time.Time) {
	t.faultMu.Lock()
	defer t.faultMu.Unlock()
	if until.After(t.until) {
		t.until = until
	}
}

// over records that what was broken works again.
func (t *troubles) over() {
	t.faultMu.Lock()
	defer t.faultMu.Unlock()
	t.until = time.Now()
}

// calmSince reports whether there was no fault from a time on.
func (t *troubles) calmSince(since time.Time) bool {
	t.faultMu.Lock()
	defer t.faultMu.Unlock()
	return t.until.Before(since)
}

// begin claims the gateway's process for a fault, unless another one has it.
func (g *gateway) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy {
		return false
	}
	g.busy = true
	if !g.process.Running() {
		g.ends++
	}
	return true
}

func (g *gateway) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = false
}

// ownEnds returns how often the process has ended by itself.
func (g *gateway) ownEnds() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.process.Running() {
		return g.ends + 1
	}
	return g.ends
}

// setStopping records that the gateway is being stopped as planned.
func (g *gateway) setStopping() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = time.Now()
}

// setResumed records that the gateway is being woken after a pause.
func (g *gateway) setResumed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumed = time.Now()
}

// runsSince reports whether the gateway has been neither started nor woken since a time.
func (g *gateway) runsSince(t time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumed.Before(t)
}

func (g *gateway) stoppedSince(t time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopping.After(t)
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ready.String() + "/")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // nothing is read of it
	return resp.StatusCode == http.StatusOK
}

// addEndpoint starts an endpoint and registers it.
func (w *world) addEndpoint() error {
	w.mu.Lock()
	w.started++
	e := &endpoint{
		id: fmt.Sprintf("e%d", w.started), dataCentre: dataCentres[w.started%len(dataCentres)], born: time.Now(),
	}
	w.mu.Unlock()
	handler := &clstandplatform.Endpoint{
		ID: e.id, StreamPrefix: clstandplatform.StreamPrefix, Events: eventCount, Work: 10 * time.Millisecond, Gap: 30 * time.Millisecond,
		Ran: w.soak.ran, Arrived: w.soak.arrivedAt, Quieted: w.soak.askedForQuiet, Leaving: e.saysLeaving.Load, Born: e.born, Endless: e.endless.Load,
		QuietFor: func() time.Duration { return w.soak.between(shortestQuiet, longest) }, Fault: func(r clstandplatform.Run) clstandplatform.Fault {
			if w.crashesUnder(e, r) {
				return clstandplatform.AnswerLost
			}
			return e.draw(w.soak)
		},
	}
	var err error
	if e.server, err = newServer(handler, w.soak.copier(e.copies.Load)); err != nil {
		return err
	}
	if e.link, err = newLink(e.server.addr(), w.soak); err != nil {
		return err
	}
	w.store.Register(e.id, e.link.addr(), e.dataCentre, e.born, false)
	w.mu.Lock()
	w.endpoints = append(w.endpoints, e)
	w.byID[e.id] = e
	w.mu.Unlock()
	return nil
}

// draw returns what goes wrong with one request.
func (e *endpoint) draw(s *Soak) clstandplatform.Fault {
	if f := clstandplatform.Fault(e.fault.Load()); f != clstandplatform.NoFault && s.chance(faultShare) {
		return f
	}
	return clstandplatform.NoFault
}

// leftAt returns when the store acknowledged that the endpoint leaves, or zero.
func (e *endpoint) leftAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.left
}

func (e *endpoint) setLeft(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left = at
}

// take claims the endpoint for a fault, unless another one has it or it has left.
func (e *endpoint) take() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.taken || !e.left.IsZero() {
		return false
	}
	e.taken = true
	return true
}

func (e *endpoint) isTaken() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.taken
}

// leave takes an endpoint out as a planned stop does.
func (w *world) leave(e *endpoint) {
	e.setLeft(w.store.Register(e.id, e.link.addr(), e.dataCentre, e.born, true))
	time.Sleep(bounds.Drain + time.Second)
	w.end(e)
}

// end ends an endpoint that has left.
func (w *world) end(e *endpoint) {
	w.store.Unregister(e.id)
	e.trouble(time.Now().Add(time.Hour))
	w.drop(e)
	_ = e.server.Close() // requests that are still there end as the platform says
}

// crash ends an endpoint at once; its entry lapses later.
func (w *world) crash(e *endpoint) {
	e.trouble(time.Now().Add(time.Hour))
	w.drop(e)
	_ = e.server.Close() // a crash
	e.link.close()
	time.Sleep(bounds.Config)
	w.store.Unregister(e.id)
}

func (w *world) drop(e *endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, o := range w.endpoints {
		if o == e {
			w.endpoints = append(w.endpoints[:i:i], w.endpoints[i+1:]...)
			return
		}
	}
}

// gateway returns the gateway of a name, or nil.
func (w *world) gateway(name string) *gateway {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range w.gateways {
		if g.name == name {
			return g
		}
	}
	return nil
}

func (w *world) find(id string) *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.byID[id]
}

// live returns the endpoints that have neither crashed nor left.
func (w *world) live() []*endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*endpoint(nil), w.endpoints...)
}

// heal ends all faults.
func (w *world) heal() error {
	w.store.SetDown(false)
	w.store.SetLoss(clstandplatform.Loss{})
	w.cloud.SetLoss(clstandplatform.Loss{})
	for _, g := range w.gateways {
		g.link.set(modeOpen)
		p := g.current()
		p.Continue()
		if !p.Running() {
			w.soak.violate("%s ended by itself; see %s", g.name, w.soak.Dir)
			if err := w.start(g); err != nil {
				return err
			}
		}
	}
	for _, e := range w.live() {
		e.link.set(modeOpen)
		e.fault.Store(int64(clstandplatform.NoFault))
		e.copies.Store(false)
		e.endless.Store(false)
	}
	return nil
}

// close ends all processes and servers of the world, and nothing else.
func (w *world) close() {
	for _, g := range w.gateways {
		if p := g.current(); p != nil && p.Running() {
			p.Continue()
			p.Kill()
		}
		g.link.close()
	}
	for _, e := range w.live() {
		_ = e.server.Close() // the run is over
		e.link.close()
	}
	for _, s := range w.servers {
		_ = s.Close() // the run is over
	}
}
