// This file defines the deployment under review: gateways as processes, and the
// platform, which runs in this process.

package main

import (
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/cladapter"
	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
)

type (
	// fleet is a small deployment.
	fleet struct {
		dir      string
		store    *clstandplatform.Store
		cloud    *clstandplatform.Cloud
		record   *record
		gateways []*gateway
		servers  []*http.Server

		mu        sync.Mutex
		processes []*workerProcess
	}

	// gateway is a gateway process.
	gateway struct {
		name     string
		settings string
		front    netip.AddrPort
		ready    netip.AddrPort
		cmd      *exec.Cmd
		ended    chan struct{}
	}

	// record is the list of what was sent, answered and run.
	record struct {
		mu    sync.Mutex
		start time.Time
		lines []string
	}
)

const (
	frontPort     = 8360
	readinessPort = 8365
	innerPort     = 7500
	innerPortLast = 7515
	readyWait     = 20 * time.Second
	accountKey    = "key-of-the-fitters"
	hostName      = "review.example"
)

//go:embed node.yaml config.json
var files embed.FS

func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.start.IsZero() {
		r.start = time.Now()
	}
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}

// fill replaces the placeholders of a text.
func fill(name string, values map[string]string) (string, error) {
	b, err := files.ReadFile(name)
	if err != nil {
		return "", err
	}
	text := string(b)
	for k, v := range values {
		text = strings.ReplaceAll(text, "@"+k+"@", v)
	}
	return text, nil
}

// newFleet starts the platform's store and cloud API.
func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &fleet{dir: dir, store: clstandplatform.NewStore(), cloud: &clstandplatform.Cloud{}, record: r}, nil
}

// serve serves a handler on a free port until the fleet is closed.
func (f *fleet) serve(h http.Handler) (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	s := &http.Server{Handler: h}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(ln) }() // ends when it is closed
	return netip.ParseAddrPort(ln.Addr().String())
}

// configure writes a configuration and returns when the store acknowledged it.
func (f *fleet) configure(version int, plainTimeout time.Duration) error {
	text, err := fill("config.json", map[string]string{
		"VERSION": strconv.Itoa(version), "TIMEOUT": strconv.FormatInt(plainTimeout.Milliseconds(), 10),
	})
	if err != nil {
		return err
	}
	f.store.Put(cladapter.KindConfig, "main", json.RawMessage(text))
	f.record.addf("configuration %d acknowledged; timeout of the plain routes %s", version, plainTimeout)
	return nil
}

// register writes an endpoint's entry.
func (f *fleet) register(id, service, zone string, slots int, addr netip.AddrPort) {
	f.store.Put(cladapter.KindServers, id, clstandplatform.EndpointEntry(service, addr, zone, slots, time.Now(), false))
}

// startGateways starts gateways in the zones and waits until they are ready.
func (f *fleet) startGateways(zones ...string) error {
	store, err := f.serve(f.store)
	if err != nil {
		return err
	}
	cloud, err := f.serve(f.cloud)
	if err != nil {
		return err
	}
	net16 := os.Getpid()
	for i, zone := range zones {
		ip := netip.AddrFrom4([4]byte{127, byte(1 + net16%250), byte(net16 / 250 % 250), byte(10 + i)})
		g := &gateway{
			name: "edge-" + zone + "-" + strconv.Itoa(i+1), front: netip.AddrPortFrom(ip, frontPort), ready: netip.AddrPortFrom(ip, readinessPort),
		}
		g.settings = filepath.Join(f.dir, g.name+".yaml")
		text, err := fill("node.yaml", map[string]string{
			"ZONE": zone, "INDEX": strconv.Itoa(i + 1), "IP": ip.String(), "FRONT": strconv.Itoa(frontPort), "READINESS": strconv.Itoa(readinessPort),
			"INNER": strconv.Itoa(innerPort), "INNERLAST": strconv.Itoa(innerPortLast), "STORE": store.String(), "CLOUD": cloud.String(),
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
		f.gateways = append(f.gateways, g)
		if err := f.start(g); err != nil {
			return err
		}
	}
	for _, g := range f.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	f.record.addf("%d gateways ready", len(f.gateways))
	return nil
}

// start starts a gateway's process with the command of deploy/system.toml.
func (f *fleet) start(g *gateway) error {
	log, err := os.OpenFile(filepath.Join(f.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd, g.ended = exec.Command("target/chestnutlead", "gateway"), make(chan struct{})
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), os.Getenv("REVIEW_BOOT_NAME") + "=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	// The child ends with this process, so that an aborted run leaves nothing behind.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	ended, cmd := g.ended, g.cmd
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady() error {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready.String() + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(g.name + " is not ready")
}

// logOf returns what a gateway has written.
func (f *fleet) logOf(g *gateway) string {
	b, err := os.ReadFile(filepath.Join(f.dir, g.name+".log"))
	if err != nil {
		return ""
	}
	return string(b)
}

// close ends all processes and servers.
func (f *fleet) close() {
	for _, g := range f.gateways {
		if g.cmd != nil && g.cmd.Process != nil {
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
			_ = g.cmd.Process.Kill()
			<-g.ended
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		_ = p.cmd.Process.Kill() // fails if it has ended
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(f.dir)
}
