// This file defines the experiment on the control process.

package clbench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/clcontrol"
	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clrollout"
	"github.com/chestnutlead/chestnutlead/clsettings"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
)

const (
	operatorToken  = "bench-operator-token-0123"
	evidenceRoutes = 3
	controlTime    = 5 * time.Second
	openPlans      = 10
	// planWindow has exactly one sweep, which comes each 10 to 10.5 s.
	planWindow    = 10500 * time.Millisecond
	reportsInRow  = 2000
	movesDeadline = 2 * time.Hour

	controlSettings = "[process]\nname = control-0\ndata_centre = dc-0\nregion = region-0\n" +
		"[listen]\noperator = 127.0.0.1:0\npeer = 127.0.0.1:0\nmetrics = 127.0.0.1:0\n" +
		"[peer]\ntoken = " + peerToken + "\n[operator]\ntokens = " + operatorToken + "\n" +
		"[platform]\nobject_api_url = http://127.0.0.1:1\ncloud_api_url = http://127.0.0.1:1\n" +
		"[shutdown]\nbalancer_delay = 0s\n"
)

type (
	// controlBench is a control process over an object API in memory.
	controlBench struct {
		objects        *objects
		operator, peer netip.AddrPort
		cancel         context.CancelFunc
		done           chan error
	}

	// noCloud is a platform without instances.
	noCloud struct{ clplatform.Cloud }

	bearer struct{ token string }

	// taker takes all evidence and does nothing with it.
	taker struct{}

	// metered counts calls, the bytes of their requests, and their time.
	metered struct {
		next                clpeer.Evidence
		calls, bytes, nanos atomic.Int64
	}
)

// RoundTrip adds the token.
func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return http.DefaultTransport.RoundTrip(r)
}

// ListInstances implements clplatform.Instances.
func (noCloud) ListInstances(context.Context) ([]clplatform.Instance, error) { return nil, nil }

func startControl(ctx context.Context) (*controlBench, error) {
	s, err := clsettings.ParseControl("control.ini", []byte(controlSettings))
	if err != nil {
		return nil, err
	}
	b := &controlBench{objects: newObjects(2 * time.Millisecond), done: make(chan error, 1)}
	c := &clcontrol.Control{
		Settings: s, Objects: b.objects, Instances: noCloud{}, Cloud: noCloud{}, Logger: zap.NewNop(),
		Metrics: clobserve.NewMetrics(), Readiness: clobserve.NewReadiness(clcontrol.Conditions...),
	}
	if b.operator, b.peer, err = c.Listen(); err != nil {
		return nil, err
	}
	ctx, b.cancel = context.WithCancel(ctx)
	go func() { b.done <- c.Run(ctx) }()
	time.Sleep(time.Second) // The process acquires its lease.
	return b, nil
}

func (b *controlBench) close() {
	b.cancel()
	<-b.done
}

// runControlProcess measures plan sweeps and evidence reports.
func runControlProcess(ctx context.Context, _ Options) (*Result, error) {
	r := newResult("control_process")
	for _, plans := range []int{10, 1000, 4000} {
		if err := sweepAt(ctx, r, plans); err != nil {
			return r, err
		}
	}
	for _, entries := range []int{9, 100, 390} {
		if err := evidenceAt(ctx, r, entries); err != nil {
			return r, err
		}
	}
	for _, entries := range []int{3, 20, 78} {
		if err := summingAt(ctx, r, entries); err != nil {
			return r, err
		}
	}
	r.note("Evidence calls are made from the same process over loopback, so their CPU is that of both ends.")
	return r, nil
}

// sweepAt measures a holder of the control lease with a few open plans and many
// finished ones, which are where it has moved them.
func sweepAt(ctx context.Context, r *Result, plans int) error {
	b, err := startControl(ctx)
	if err != nil {
		return err
	}
	defer b.close()
	for i := range plans + openPlans {
		state, prefix := clstate.PlanState_PLAN_STATE_DONE, "finished-plan/"
		if i < openPlans {
			state, prefix = clstate.PlanState_PLAN_STATE_PROPOSED, "plan/"
		}
		v, err := proto.Marshal(planOf(i, state))
		if err != nil {
			return err
		}
		b.objects.put(prefix+strconv.Itoa(i), v)
	}
	before, cpu := b.objects.count(func(*callCounts) {}), cpuSeconds()
	time.Sleep(planWindow)
	cpu = cpuSeconds() - cpu
	after := b.objects.count(func(*callCounts) {})
	x, t := float64(plans), planWindow.Seconds()
	r.add("CPU of the lease holder with plans kept", "% of a core", "plans", x, 100*cpu/t)
	r.add("bytes read by plan sweeps", "KB/s", "plans", x, float64(after.planBytes-before.planBytes)/t/1e3)
	r.add("object API calls of the lease holder", "1/s", "plans", x,
		float64(after.lists+after.reads+after.writes-before.lists-before.reads-before.writes)/t)
	return nil
}

// planOf returns a plan of the usual size.
func planOf(i int, state clstate.PlanState) *clstate.Plan {
	p := &clstate.Plan{
		Id: strconv.Itoa(i), State: state, ProposedBy: "operator-1", DecidedBy: "operator-1",
		CreatedAt: timestamppb.Now(), ChangedAt: timestamppb.Now(), UpdateId: "0123456789abcdef0123456789abcdef0123",
		Intent: &clstate.Intent{Intent: &clstate.Intent_MoveVersion{MoveVersion: &clstate.MoveVersion{Service: "brew-llm", ToVersion: "v2", Deadline: timestamppb.Now()}}},
	}
	for s := range 5 {
		p.Steps = append(p.Steps, &clstate.PlanStep{Description: fmt.Sprintf("raise the share of brew-llm v2 to step %d of 5", s), Finished: true, FinishedAt: timestamppb.Now()})
	}
	return p
}

// put stores a value without a call.
func (o *objects) put(key string, value []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.values[key] = clplatform.Object{Key: key, Value: value, Version: o.version}
}

// startMove makes the process evaluate a version move.
func (b *controlBench) startMove(ctx context.Context) error {
	op := clwire.NewOperatorProtobufClient("http://"+b.operator.String(), &http.Client{Timeout: 5 * time.Second, Transport: bearer{operatorToken}})
	if _, err := op.Apply(ctx, clharness.Kesar().Config()); err != nil {
		return errors.Wrap(err, "apply the configuration")
	}
	resp, err := op.StateIntent(ctx, &clwire.StateIntentRequest{Operator: "bench", Intent: &clstate.Intent{Intent: &clstate.Intent_MoveVersion{MoveVersion: &clstate.MoveVersion{
		Service: clharness.Kesar().EngineService, ToVersion: clharness.NewVersion, Deadline: timestamppb.New(time.Now().Add(movesDeadline)),
	}}}})
	if err != nil {
		return errors.Wrap(err, "state the intent")
	}
	if _, err := op.DecidePlan(ctx, &clwire.DecidePlanRequest{Id: resp.GetPlan().GetId(), Confirm: true, Operator: "bench"}); err != nil {
		return errors.Wrap(err, "confirm the plan")
	}
	time.Sleep(2 * time.Second) // The executor starts the move.
	return nil
}

// startMoving starts a control process that carries out a version move.
func startMoving(ctx context.Context) (*controlBench, error) {
	b, err := startControl(ctx)
	if err != nil {
		return nil, err
	}
	if err := b.startMove(ctx); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

// evidenceAt measures the sums that the holder of the control lease receives
// during a version move. Entries hand their batches to a sum of their data
// centre in this process, so that all calls counted here are those to the
// holder. The same without these calls shows what making the sums takes.
func evidenceAt(ctx context.Context, r *Result, entries int) error {
	b, err := startMoving(ctx)
	if err != nil {
		return err
	}
	defer b.close()
	t := &clpeer.Transport{Token: peerToken, Timeout: time.Second}
	m := &metered{next: t.Peer(b.peer)}
	without := sumsFor(ctx, r, entries, taker{}, b.peer)
	cpu := sumsFor(ctx, r, entries, m, b.peer)
	x, secs, calls := float64(entries), controlTime.Seconds(), float64(m.calls.Load())
	r.add("evidence reports received", "1/s", "entries", x, calls/secs)
	r.add("CPU of evidence reports, both ends", "% of a core", "entries", x, 100*cpu/secs)
	r.add("CPU of the same without the reports", "% of a core", "entries", x, 100*without/secs)
	r.add("bytes of one report without HTTP", "B", "entries", x, float64(m.bytes.Load())/calls)
	cpu = cpuSeconds()
	for n := range uint64(reportsInRow) {
		if _, err := t.Peer(b.peer).ReportEvidence(ctx, sumOf(max(1, entries/dataCentres), n+1)); err != nil {
			return errors.Wrap(err, "report a sum")
		}
	}
	r.add("CPU of one report, both ends", "us", "entries", x, 1e6*(cpuSeconds()-cpu)/reportsInRow)
	return nil
}

// sumOf returns the sum of the nth batches of some processes.
func sumOf(processes int, n uint64) *clwire.ReportEvidenceRequest {
	req := evidenceOf(processes, n)
	req.Sequence = 0
	for i := range processes {
		req.Reporters = append(req.Reporters, clrollout.ReporterKey(fmt.Sprintf("summed-%03d-0a1b2c3d", i)))
		req.Sequences = append(req.Sequences, n)
	}
	return req
}

// sumsFor lets entries report to a sum for each data centre and returns the CPU
// time that it takes, in seconds.
func sumsFor(ctx context.Context, r *Result, entries int, next clpeer.Evidence, holder netip.AddrPort) float64 {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sums := make([]clpeer.Evidence, dataCentres)
	for i := range sums {
		sums[i] = startSums(ctx, i, holder, next)
	}
	cpu := cpuSeconds()
	failed := reportAll(ctx, entries, func(i int) clpeer.Evidence { return sums[i%len(sums)] })
	cpu = cpuSeconds() - cpu
	if failed > 0 {
		r.note("%d evidence calls of %d entries failed", failed, entries)
	}
	return cpu
}

// summingAt measures a process that sums the reports of the entries of its data
// centre, which come over loopback, and passes them on.
func summingAt(ctx context.Context, r *Result, entries int) error {
	b, err := startMoving(ctx)
	if err != nil {
		return err
	}
	defer b.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &clpeer.Transport{Token: peerToken, Timeout: 5 * time.Second}
	sums := startSums(ctx, 0, b.peer, t.Peer(b.peer))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for entries")
	}
	node := &clpeer.Node{
		Member: clmember.Config{
			Self: clmember.Member{ID: "entry-sums", Address: clpeer.AddrOf(l), DataCentre: "dc-0", Role: "entry"}, Rand: clpeer.NewRand(),
		},
		Transport: t, Listener: l, Configs: &benchNode{}, Evidence: sums, Log: zap.NewNop(),
	}
	node.Init()
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	m := &metered{next: t.Peer(clpeer.AddrOf(l))}
	cpu := cpuSeconds()
	failed := reportAll(ctx, entries, func(int) clpeer.Evidence { return m })
	cpu = cpuSeconds() - cpu
	cancel()
	x, secs, calls := float64(entries), controlTime.Seconds(), float64(m.calls.Load())
	r.add("evidence reports to a summing process", "1/s", "entries of a data centre", x, calls/secs)
	r.add("CPU of reports to a summing process, both ends, its own sums included", "% of a core", "entries of a data centre", x, 100*cpu/secs)
	r.add("time until a report is counted, mean", "ms", "entries of a data centre", x, float64(m.nanos.Load())/calls/1e6)
	if failed > 0 {
		r.note("%d calls of %d entries to a summing process failed", failed, entries)
	}
	return <-done
}

// startSums starts the sum of a data centre.
func startSums(ctx context.Context, dataCentre int, holder netip.AddrPort, next clpeer.Evidence) *clpeer.EvidenceSums {
	s := &clpeer.EvidenceSums{
		Self: fmt.Sprintf("entry-sums-%d", dataCentre), Holder: func() netip.AddrPort { return holder },
		Peer: func(netip.AddrPort) clpeer.Evidence { return next }, Log: zap.NewNop(),
	}
	s.Init()
	go func() { _ = s.Run(ctx) }() // It returns nil.
	return s
}

// reportAll lets entries report as they do for a while, and returns how many
// reports failed. All start within one interval, not together.
func reportAll(ctx context.Context, entries int, to func(i int) clpeer.Evidence) int64 {
	var failed atomic.Int64
	end := time.Now().Add(controlTime)
	var g sync.WaitGroup
	for i := range entries {
		g.Go(func() {
			time.Sleep(clpeer.EvidenceInterval * time.Duration(i) / time.Duration(entries))
			for n := uint64(1); time.Now().Before(end); n++ {
				if _, err := to(i).ReportEvidence(ctx, evidenceOf(i, n)); err != nil {
					failed.Add(1)
				}
				time.Sleep(clpeer.EvidenceInterval - clpeer.EvidenceGather)
			}
		})
	}
	g.Wait()
	return failed.Load()
}

// ReportEvidence implements clpeer.Evidence.
func (taker) ReportEvidence(context.Context, *clwire.ReportEvidenceRequest) (*clwire.ReportEvidenceResponse, error) {
	return &clwire.ReportEvidenceResponse{}, nil
}

// ReportEvidence implements clpeer.Evidence.
func (m *metered) ReportEvidence(ctx context.Context, r *clwire.ReportEvidenceRequest) (*clwire.ReportEvidenceResponse, error) {
	started := time.Now()
	defer func() { m.nanos.Add(int64(time.Since(started))) }()
	m.calls.Add(1)
	m.bytes.Add(int64(proto.Size(r)))
	return m.next.ReportEvidence(ctx, r)
}

// evidenceOf returns what an entry sees of both versions on a few routes.
func evidenceOf(entry int, sequence uint64) *clwire.ReportEvidenceRequest {
	req := &clwire.ReportEvidenceRequest{From: fmt.Sprintf("entry-%03d-0a1b2c3d", entry), Sequence: sequence}
	for route := range evidenceRoutes {
		for _, version := range []string{clharness.OldVersion, clharness.NewVersion} {
			counts := make([]uint32, len(clrollout.LatencyBoundsMS)+1)
			counts[len(counts)/2] = 1
			req.Evidence = append(req.Evidence, &clwire.RouteEvidence{
				Service: clharness.Kesar().EngineService, Version: version, Route: fmt.Sprintf("route-%d", route),
				MinuteUnix: time.Now().Unix() / 60 * 60, Succeeded: 1, LatencyCounts: counts,
			})
		}
	}
	return req
}
