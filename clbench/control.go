// This file defines the experiment on membership, facts and configuration.

package clbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clstate"
	"google.golang.org/protobuf/proto"
)

const (
	steadyTime = 8 * time.Second
	settleTime = time.Second
	applyLimit = 15 * time.Second
	nodesSize  = "nodes"
	factRounds = 3
	pushFanout = 4
	idleBound  = 3 * time.Second
	// joinBacklog times the members is how long the news of their start is
	// still sent: each node sends 32 changes twice a second, each up to 12 times.
	joinBacklog = 200 * time.Millisecond
)

var nodeSizes = []int{25, 100, 200, 390}

// runControl measures the steady state and the spread of changes.
func runControl(ctx context.Context, _ Options) (*Result, error) {
	r := newResult("control")
	for _, n := range nodeSizes {
		if err := controlAt(ctx, r, n); err != nil {
			return r, err
		}
	}
	r.note("All nodes share one process and collector; idle connections are closed after %s by the listener to stay within the open files of one process.", idleBound)
	r.note("A watch that waits is counted as one call a second.")
	return r, nil
}

func controlAt(ctx context.Context, r *Result, size int) error {
	before := heapBytes()
	stagger := time.Duration(size) * 10 * time.Millisecond
	startCPU, started := cpuSeconds(), time.Now()
	f, err := startFleet(ctx, size, stagger, idleBound)
	defer f.close()
	if err != nil {
		return err
	}
	x, n := float64(size), float64(size)
	r.add("time until all know all, start spread over 10 ms a node", "s", nodesSize, x, time.Since(started).Seconds())
	r.add("CPU of the start of all, per node", "ms", nodesSize, x, 1e3*(cpuSeconds()-startCPU)/n)
	time.Sleep(settleTime)
	if err := f.publish(ctx, 1, 10<<10); err != nil {
		return err
	}
	if err := f.applied(1); err != nil {
		return err
	}
	time.Sleep(settleTime + idleBound)
	time.Sleep(time.Until(started.Add(time.Duration(size) * joinBacklog)))
	f.steady(r, x)
	r.add("heap and stacks per node, open connections included", "KB", nodesSize, x, (heapBytes()-before)/n/1e3)
	return f.spread(ctx, r, x)
}

// steady measures a time in which nothing changes.
func (f *nodeFleet) steady(r *Result, x float64) {
	n, t := float64(len(f.nodes)), steadyTime.Seconds()
	cpu, traffic, calls := cpuSeconds(), f.traffic.count(), f.objects.count(func(*callCounts) {})
	time.Sleep(steadyTime)
	cpu = cpuSeconds() - cpu
	now, after := f.traffic.count(), f.objects.count(func(*callCounts) {})
	messages, syncs := 0, now.calls["Sync"]-traffic.calls["Sync"]
	for m, c := range now.calls {
		messages += c - traffic.calls[m]
	}
	r.add("CPU per node", "% of a core", nodesSize, x, 100*cpu/t/n)
	r.add("bytes sent and received per node", "KB/s", nodesSize, x, 2*float64(now.sent+now.received-traffic.sent-traffic.received)/t/n/1e3)
	r.add("calls made per node", "1/s", nodesSize, x, float64(messages)/t/n)
	r.add("exchanges of the full state per node", "1/s", nodesSize, x, float64(syncs)/t/n)
	r.add("connections opened per node", "1/s", nodesSize, x, float64(now.accepted-traffic.accepted)/t/n)
	r.add("open connections per node, accepted ones", "1", nodesSize, x, float64(now.open)/n)
	r.add("platform calls of all, watches that wait included", "1/s", nodesSize, x,
		float64(after.reads+after.lists+after.watches-calls.reads-calls.lists-calls.watches)/t+float64(after.waiting))
}

// spread measures how fast changes reach all nodes, and what they cost.
func (f *nodeFleet) spread(ctx context.Context, r *Result, x float64) error {
	n := float64(len(f.nodes))
	for i, kb := range []int{10, 100} {
		revision := uint64(2 + i)
		cpu, traffic, start := cpuSeconds(), f.traffic.count(), time.Now()
		if err := f.publish(ctx, revision, kb<<10); err != nil {
			return err
		}
		if err := f.applied(revision); err != nil {
			return err
		}
		took := time.Since(start)
		time.Sleep(time.Second)
		now := f.traffic.count()
		r.add(fmt.Sprintf("configuration of %d KB applied by all", kb), "ms", nodesSize, x, ms(took))
		r.add(fmt.Sprintf("CPU of a change of %d KB per node", kb), "ms", nodesSize, x, 1e3*(cpuSeconds()-cpu)/n)
		r.add(fmt.Sprintf("bytes of a change of %d KB per node", kb), "KB", nodesSize, x, 2*float64(now.sent+now.received-traffic.sent-traffic.received)/n/1e3)
	}
	for i := range factRounds {
		time.Sleep(settleTime + idleBound/factRounds)
		id := "leaving/" + strconv.Itoa(i)
		cpu, traffic, start := cpuSeconds(), f.traffic.count(), time.Now()
		f.nodes[i].AddFact(clmember.Fact{ID: id, Kind: clmember.EndpointLeaving, Lifetime: time.Minute, Subject: "worker-0123", Urgent: true})
		if err := f.wait(applyLimit, "a fact", func(n *benchNode) bool { _, ok := n.facts.Load(id); return ok }); err != nil {
			r.note("%v", err) // The time in the series is then the limit.
		}
		r.add("urgent fact known to all, three runs", "ms", nodesSize, x, ms(time.Since(start)))
		if i == 0 {
			time.Sleep(time.Second)
			now := f.traffic.count()
			r.add("CPU of an urgent fact per node", "ms", nodesSize, x, 1e3*(cpuSeconds()-cpu)/n)
			r.add("bytes of an urgent fact per node", "KB", nodesSize, x, 2*float64(now.sent+now.received-traffic.sent-traffic.received)/n/1e3)
		}
	}
	return nil
}

// publish makes a change as a control process does: it updates the object and
// pushes the snapshot to a few peers.
func (f *nodeFleet) publish(ctx context.Context, revision uint64, size int) error {
	s := configOf(revision, size)
	b, err := proto.Marshal(s)
	if err != nil {
		return err
	}
	o, _ := f.objects.Get(ctx, clpeer.ConfigKey) // A missing object has version 0.
	if _, err := f.objects.Update(ctx, clpeer.ConfigKey, b, o.Version); err != nil {
		return err
	}
	f.nodes[0].ApplyConfig(s)
	f.nodes[0].PushConfig(ctx, s, pushFanout)
	return nil
}

func (f *nodeFleet) applied(revision uint64) error {
	return f.wait(applyLimit, "a configuration", func(n *benchNode) bool { return n.Current().GetRevision() >= revision })
}

// configOf returns a snapshot of about the given encoded size.
func configOf(revision uint64, size int) *clstate.ConfigSnapshot {
	s := &clstate.ConfigSnapshot{Revision: revision, ProposalId: "bench"}
	for i := 0; proto.Size(s) < size; i++ {
		digest := make([]byte, 32)
		for j := range digest {
			digest[j] = byte(rand.IntN(256))
		}
		s.Accounts = append(s.Accounts, &clstate.Account{Name: "account-" + strconv.Itoa(i), KeySha256: [][]byte{digest}, Weight: 1})
	}
	return s
}

// runConnections measures the memory of idle connections between peers.
func runConnections(ctx context.Context, _ Options) (*Result, error) {
	r := newResult("connections")
	for _, n := range []int{100, 400, 800} {
		before := heapBytes()
		f, err := startFleet(ctx, 1, 0, 0)
		if err != nil {
			return r, err
		}
		transport := &http.Transport{MaxIdleConnsPerHost: n}
		if err := openConnections(ctx, transport, f.nodes[0].Member.Self.Address.String(), n); err != nil {
			f.close()
			return r, err
		}
		r.add("heap and stacks of idle connections, both ends", "KB", "connections", float64(n), (heapBytes()-before)/1e3)
		transport.CloseIdleConnections()
		f.close()
	}
	return r, nil
}

// openConnections leaves n idle connections, which it opens at once.
func openConnections(ctx context.Context, t *http.Transport, addr string, n int) error {
	errs := make(chan error, n)
	hold := make(chan struct{})
	for range n {
		go func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", http.NoBody)
			if err != nil {
				errs <- err
				return
			}
			resp, err := t.RoundTrip(req)
			errs <- err
			<-hold // The connection stays taken until all are open.
			if err == nil {
				drain(resp.Body)
			}
		}()
	}
	var failed error
	for range n {
		if err := <-errs; err != nil {
			failed = err
		}
	}
	close(hold)
	time.Sleep(time.Second)
	return failed
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
