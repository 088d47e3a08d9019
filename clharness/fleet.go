// This file defines the fleet of processes.

package clharness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"
)

type (
	// Fleet runs the processes of one deployment. Exported fields are set before Start.
	Fleet struct {
		Profile Profile
		// BinDir holds the built commands.
		BinDir string
		// WorkDir takes settings files and logs.
		WorkDir string
		// ObjectAPI has addresses by process name that replace the platform's, for
		// processes that lose the platform alone.
		ObjectAPI map[string]string

		Platform  *StandIn
		Endpoints []*StandIn
		Pairs     []*Pair
	}

	// StandIn is a simulated outside system.
	StandIn struct {
		*Process
		Addr netip.AddrPort
		// Admin stays reachable while the stand-in refuses connections.
		Admin      netip.AddrPort
		DataCentre string
		Service    string
		Version    string

		args []string
	}

	// Pair is an entry and a control process on one instance.
	Pair struct {
		Index      int
		DataCentre string
		Entry      *Process
		Control    *Process

		caller, entryPeer, entryMetrics       netip.AddrPort
		operator, controlPeer, controlMetrics netip.AddrPort
	}

	operatorTransport struct{ next http.RoundTripper }
)

const (
	peerToken     = "harness-peer-token-0123"
	operatorToken = "harness-operator-token-0123"
	startTimeout  = 20 * time.Second
	startTries    = 5
	stopTimeout   = 30 * time.Second
	callTimeout   = 10 * time.Second
)

// RoundTrip adds the operator's token.
func (t operatorTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	return t.next.RoundTrip(r)
}

// Start starts everything, applies the configuration and waits until all
// entries are ready. The caller must call Close, also after an error.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	for i := range f.Profile.Engines {
		if _, err := f.AddEngine(f.Profile.DataCentres[i%len(f.Profile.DataCentres)], OldVersion); err != nil {
			return err
		}
	}
	for i := range f.Profile.Plains {
		if _, err := f.addPlain(f.Profile.DataCentres[i%len(f.Profile.DataCentres)]); err != nil {
			return err
		}
	}
	for i := range f.Profile.Pairs {
		if err := f.addPair(i); err != nil {
			return err
		}
	}
	for _, p := range f.Pairs {
		if err := f.startPair(p); err != nil {
			return err
		}
	}
	if err := f.Apply(ctx, f.Profile.Config()); err != nil {
		return err
	}
	for _, p := range f.Pairs {
		if err := f.WaitReady(p); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes.
func (f *Fleet) Close() {
	var g errgroup.Group
	end := func(p *Process) {
		if p != nil {
			g.Go(func() error {
				p.Kill()
				return nil
			})
		}
	}
	for _, p := range f.Pairs {
		end(p.Entry)
		end(p.Control)
	}
	for _, e := range f.Endpoints {
		end(e.Process)
	}
	if f.Platform != nil {
		end(f.Platform.Process)
	}
	_ = g.Wait() // Kill does not fail.
}

// startStandIn starts a stand-in at its former addresses, or at new ones. A new
// address can be taken by a process of another harness before it is bound.
func (f *Fleet) startStandIn(s *StandIn, name string, args ...string) error {
	s.args = args
	if s.Addr.IsValid() {
		return f.startStandInAt(s, name)
	}
	var err error
	for range startTries {
		if s.Addr, err = freeAddr(); err != nil {
			return err
		}
		if s.Admin, err = freeAddr(); err != nil {
			return err
		}
		if err = f.startStandInAt(s, name); err == nil || s.Process == nil || s.Process.Running() {
			return err
		}
	}
	return err
}

// startStandInAt waits for the process's own word that it listens: another
// process at the address would answer as well.
func (f *Fleet) startStandInAt(s *StandIn, name string) error {
	full := append([]string{s.args[0], "--listen", s.Addr.String(), "--admin-listen", s.Admin.String()}, s.args[1:]...)
	p, err := StartProcess(f.WorkDir, name, filepath.Join(f.BinDir, "chestnutstand"), full...)
	if err != nil {
		return err
	}
	s.Process = p
	listening := func() bool { return p.Logged("listening on " + s.Addr.String()) }
	if err := waitFor(startTimeout, "start of "+name, func() bool { return listening() || !p.Running() }); err != nil {
		return err
	}
	if !p.Running() {
		return errors.Errorf("%s ended at its start; see %s", name, p.LogPath)
	}
	return waitFor(startTimeout, "answers of "+name, func() bool { return reachable("http://" + s.Addr.String() + "/stats") })
}

func (f *Fleet) startPlatform() error {
	f.Platform = &StandIn{}
	offers, err := json.Marshal(f.Profile.Offers)
	if err != nil {
		return err
	}
	return f.startStandIn(f.Platform, "platform", append([]string{"platform", "--offers", string(offers)}, f.Profile.PlatformArgs...)...)
}

// AddEngine starts an engine and registers it with the platform.
func (f *Fleet) AddEngine(dataCentre, version string, args ...string) (*StandIn, error) {
	s := &StandIn{DataCentre: dataCentre, Service: f.Profile.EngineService, Version: version}
	return s, f.addEndpoint(s, fmt.Sprintf("engine-%d-%s", len(f.Endpoints), version), append(f.engineArgs(version), args...))
}

func (f *Fleet) engineArgs(version string) []string {
	args := []string{
		"engine", "--service", f.Profile.EngineService, "--version", version,
		"--tokens-per-second", fmt.Sprint(f.Profile.TokensPerSecond), "--cold-slots", fmt.Sprint(f.Profile.ColdSlots),
	}
	if f.Profile.ChecksFencing {
		args = append(args, "--checks-fencing")
	}
	return append(args, f.Profile.EngineArgs...)
}

func (f *Fleet) addPlain(dataCentre string) (*StandIn, error) {
	s := &StandIn{DataCentre: dataCentre, Service: f.Profile.PlainService, Version: OldVersion}
	args := []string{"booking", "--service", s.Service, "--version", OldVersion}
	if f.Profile.Deduplicates {
		args = append(args, "--deduplicate")
	}
	return s, f.addEndpoint(s, fmt.Sprintf("plain-%d", len(f.Endpoints)), append(args, f.Profile.PlainArgs...))
}

func (f *Fleet) addEndpoint(s *StandIn, name string, args []string) error {
	f.Endpoints = append(f.Endpoints, s)
	if err := f.startStandIn(s, name, args...); err != nil {
		return err
	}
	return f.register(s)
}

func (f *Fleet) register(s *StandIn) error { return f.SetVersion(s, s.Version) }

// SetVersion makes the platform list another version for an endpoint than the
// one that it was started with; the control holder orders the endpoint to load it.
func (f *Fleet) SetVersion(s *StandIn, version string) error {
	return f.Platform.admin("/admin/instances", clplatform.Instance{
		ID: s.Name, DataCentre: s.DataCentre, Class: "standard", Reclaimable: true, State: clplatform.InstanceLive,
		Service: s.Service, Version: version, Endpoint: s.Addr,
	})
}

// addPair chooses the pair's addresses, which its peers' settings name as seeds.
func (f *Fleet) addPair(i int) error {
	p := &Pair{Index: i, DataCentre: f.Profile.DataCentres[i%len(f.Profile.DataCentres)]}
	for _, a := range []*netip.AddrPort{&p.caller, &p.entryPeer, &p.entryMetrics, &p.operator, &p.controlPeer, &p.controlMetrics} {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		*a = addr
	}
	f.Pairs = append(f.Pairs, p)
	return nil
}

func (f *Fleet) startPair(p *Pair) error {
	if err := f.StartControl(p); err != nil {
		return err
	}
	return f.StartEntry(p)
}

// StartEntry starts the pair's entry process.
func (f *Fleet) StartEntry(p *Pair) error {
	text := fmt.Sprintf("[listen]\ncaller = %s\npeer = %s\nmetrics = %s\n", p.caller, p.entryPeer, p.entryMetrics)
	var err error
	p.Entry, err = f.startDaemon(p, "entry", p.entryPeer, text)
	return err
}

// StartControl starts the pair's control process.
func (f *Fleet) StartControl(p *Pair) error {
	text := fmt.Sprintf("[listen]\noperator = %s\npeer = %s\nmetrics = %s\n[operator]\ntokens = %s\n",
		p.operator, p.controlPeer, p.controlMetrics, operatorToken)
	var err error
	p.Control, err = f.startDaemon(p, "control", p.controlPeer, text)
	return err
}

func (f *Fleet) startDaemon(p *Pair, role string, peer netip.AddrPort, listen string) (*Process, error) {
	name := fmt.Sprintf("%s-%d", role, p.Index)
	seeds := strings.Join(lo.Map(f.Pairs, func(p *Pair, _ int) string { return p.entryPeer.String() }), ", ")
	sections := map[string]string{
		"process": fmt.Sprintf("name = %s\ndata_centre = %s\nregion = %s\n", name, p.DataCentre, f.Profile.Region),
		"peer":    fmt.Sprintf("advertised = %s\nseeds = %s\ntoken = %s\n", peer, seeds, peerToken),
		"platform": fmt.Sprintf("object_api_url = http://%s\ncloud_api_url = http://%s\n",
			lo.ValueOr(f.ObjectAPI, name, f.Platform.Addr.String()), f.Platform.Addr),
		"shutdown": "balancer_delay = 500ms\ndrain_timeout = 30s\n",
	}
	for section, text := range f.Profile.Settings {
		if section, only, ok := strings.Cut(section, "@"); !ok || only == role || only == name {
			sections[section] += text
		}
	}
	text := listen
	for section, lines := range sections {
		text += "[" + section + "]\n" + lines
	}
	path := filepath.Join(f.WorkDir, name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return StartProcess(f.WorkDir, name, filepath.Join(f.BinDir, "chestnutlead"), role, "--settings", path)
}

// WaitReady waits until the pair's entry reports ready.
func (f *Fleet) WaitReady(p *Pair) error {
	return waitFor(startTimeout, fmt.Sprintf("readiness of entry-%d", p.Index), func() bool {
		return reachable("http://" + p.entryMetrics.String() + "/readyz")
	})
}

// Targets returns the callers' base URLs of the pairs whose entry runs.
func (f *Fleet) Targets() []string {
	return lo.FilterMap(f.Pairs, func(p *Pair, _ int) (string, bool) { return p.URL(), p.Entry != nil && p.Entry.Running() })
}

// URL returns the callers' base URL of the pair's entry.
func (p *Pair) URL() string { return "http://" + p.caller.String() }

// OperatorURL returns the operators' base URL of the pair's control process.
func (p *Pair) OperatorURL() string { return "http://" + p.operator.String() }

// PeerURL returns the peers' base URL of the pair's entry.
func (p *Pair) PeerURL() string { return "http://" + p.entryPeer.String() }

// MetricsURL returns the base URL of the entry's metrics and health.
func (p *Pair) MetricsURL() string { return "http://" + p.entryMetrics.String() }

// Operator returns a client of the pair's control process.
func (p *Pair) Operator() clwire.Operator {
	c := &http.Client{Timeout: callTimeout, Transport: operatorTransport{http.DefaultTransport}}
	return clwire.NewOperatorProtobufClient("http://"+p.operator.String(), c)
}

// EntryPeer returns a client of the service that the pair's entry offers to peers.
func (p *Pair) EntryPeer() clwire.Peer { return peerClient(p.entryPeer) }

// ControlPeer returns a client of the service that the pair's control process
// offers to peers.
func (p *Pair) ControlPeer() clwire.Peer { return peerClient(p.controlPeer) }

func peerClient(addr netip.AddrPort) clwire.Peer {
	return (&clpeer.Transport{Token: peerToken, Timeout: time.Second}).Peer(addr)
}

// Apply applies a configuration through the first control process that answers.
func (f *Fleet) Apply(ctx context.Context, r *clwire.ApplyRequest) error {
	return waitFor(startTimeout, "acceptance of the configuration", func() bool {
		_, err := f.Pairs[0].Operator().Apply(ctx, r)
		return err == nil
	})
}

// SaveMetrics writes the metrics of all running entries to the work folder.
func (f *Fleet) SaveMetrics(name string) error {
	c := &http.Client{Timeout: callTimeout}
	for _, p := range f.Pairs {
		if p.Entry == nil || !p.Entry.Running() {
			continue
		}
		resp, err := c.Get(p.MetricsURL() + "/metrics")
		if err != nil {
			return errors.Wrap(err, "read metrics")
		}
		b, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // All that is needed was read.
		if err != nil {
			return errors.Wrap(err, "read metrics")
		}
		path := filepath.Join(f.WorkDir, fmt.Sprintf("metrics-%s-entry-%d.txt", name, p.Index))
		if err := os.WriteFile(path, b, 0o600); err != nil {
			return errors.Wrap(err, "write metrics")
		}
	}
	return nil
}

func reachable(url string) bool {
	c := &http.Client{Timeout: time.Second}
	resp, err := c.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // Only the status matters.
	return resp.StatusCode == http.StatusOK
}
