// This file defines the processes and servers that a case starts.

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/cladapter"
	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
	"github.com/go-faster/errors"
)

type (
	// world holds what a case has started.
	world struct {
		// dir holds the settings and the logs of the gateways.
		dir string
		// trouble is false if the case runs without its disruption.
		trouble bool
		store   *clstandplatform.Store
		// storeAddr and cloudAddr are those of the platform's stand-ins.
		storeAddr, cloudAddr netip.AddrPort

		mu       sync.Mutex
		record   *os.File
		began    time.Time
		gateways []*gateway
		closers  []func()
	}

	// gateway is one gateway process.
	gateway struct {
		name     string
		settings string
		callers  netip.AddrPort
		ready    netip.AddrPort
		world    *world
		cmd      *exec.Cmd
		ended    chan struct{}
	}

	// endpoint is a server behind the gateways.
	endpoint struct {
		id   string
		addr netip.AddrPort
		dc   string
		born time.Time
	}
)

const (
	// binary is the program of the deploy file, seen from the repository's root.
	binary = "target/chestnutlead"
	// basePort is the first port of each gateway, which has a loopback address of its own.
	basePort = 8360
	// startWait limits the start of a gateway.
	startWait = 20 * time.Second
	slots     = 64
)

// bounds are those of the small deployments.
var bounds = clstandplatform.Bounds{
	Config: 2 * time.Second, Revocation: 5 * time.Second, Drain: 2 * time.Second, Grace: 8 * time.Second, Lease: 3 * time.Second,
}

// newWorld starts the platform's stand-ins. The record of the case goes to a file.
func newWorld(record string, trouble bool) (*world, error) {
	if err := readNames(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "clcase")
	if err != nil {
		return nil, errors.Wrap(err, "make the folder for logs")
	}
	w := &world{dir: dir, trouble: trouble, store: clstandplatform.NewStore(), began: time.Now()}
	if w.record, err = os.Create(record); err != nil {
		return nil, errors.Wrap(err, "create the record")
	}
	if w.storeAddr, err = w.serve(w.store); err != nil {
		return w, err
	}
	w.cloudAddr, err = w.serve(&clstandplatform.Cloud{})
	return w, err
}

// note writes a line to the record, with the seconds since the beginning.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...)
	// The verdict does not depend on the record.
	_, _ = fmt.Fprintln(w.record, line)
}

// onClose adds a function that close calls.
func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// serve serves a handler on a free loopback port until the world is closed.
func (w *world) serve(h http.Handler) (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h}
	w.onClose(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(ln) }()
	return netip.MustParseAddrPort(ln.Addr().String()), nil
}

// addGateway writes the settings of a gateway and starts it. The store's address may be
// that of a link.
func (w *world) addGateway(name, dc string, number int, store netip.AddrPort) (*gateway, error) {
	// The process number keeps cases that run at the same time apart.
	ip := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(os.Getpid() / 250 % 250), byte(10 + number)})
	g := &gateway{
		name: name, world: w, settings: filepath.Join(w.dir, name+".yaml"),
		callers: netip.AddrPortFrom(ip, basePort), ready: netip.AddrPortFrom(ip, basePort+5),
	}
	text := clstandplatform.Gateway{
		Name: name, DataCentre: dc, Callers: g.callers, Readiness: g.ready, PeerPort: 7500, Store: store, Cloud: w.cloudAddr, Bounds: bounds,
	}.Settings()
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	w.gateways = append(w.gateways, g)
	return g, g.start()
}

// start starts the process and waits until it is ready.
func (g *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.world.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	cmd := exec.Command(binary, "gateway")
	cmd.Env = append(os.Environ(), names.Settings+"="+g.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start a gateway; build the programs of the deploy file first")
	}
	ended := make(chan struct{})
	g.cmd, g.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	g.world.note("%s: started", g.name)
	return g.waitReady()
}

// waitReady waits until the gateway says that it is ready.
func (g *gateway) waitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startWait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready.String() + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			g.world.note("%s: ready", g.name)
			return nil
		}
	}
	return errors.Errorf("%s is not ready; see %s", g.name, g.world.dir)
}

// put writes the entry of an endpoint and records when the store acknowledged it.
func (w *world) put(e *endpoint, state string, coldFor time.Duration) time.Time {
	entry := clstandplatform.EndpointEntry(clstandplatform.Service, e.addr, e.dc, slots, e.born, state == "draining")
	entry[names.Cold] = coldFor.Milliseconds()
	at := w.store.Put(cladapter.KindServers, e.id, entry)
	w.note("store: %s is %s, cold for %s", e.id, state, coldFor)
	return at
}

// close ends everything that the case has started.
func (w *world) close() {
	for _, g := range w.gateways {
		if g.cmd != nil {
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
			_ = g.cmd.Process.Kill()
			<-g.ended
		}
	}
	for _, f := range w.closers {
		f()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// every calls f at intervals until ctx ends, without waiting for its end, and then waits
// for all calls.
func every(ctx context.Context, interval time.Duration, f func(n int)) {
	var running sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		running.Go(func() { f(n) })
		time.Sleep(interval)
	}
	running.Wait()
}
