// This file measures dissemination, failure detection and cost in simulated time.

package clmember_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/chestnutlead/chestnutlead/clmember"
)

const seed = 7

func anyNode(*node) bool { return true }

// spread states a fact and returns how long it takes to reach the given processes.
func (s *network) spread(id string, urgent bool, to []*node) time.Duration {
	n := s.up()[len(s.up())/2]
	n.act(n.AddFact(s.now, clmember.Fact{ID: id, Subject: id, Lifetime: 5 * time.Minute, Urgent: urgent}))
	return s.until(2*time.Minute, func() bool {
		return lo.EveryBy(to, func(n *node) bool { return !n.factAt[id].IsZero() })
	})
}

func (s *network) spreadRevision(revision uint64, to []*node) time.Duration {
	s.up()[len(s.up())/3].setRevision(revision)
	return s.until(2*time.Minute, func() bool {
		return lo.EveryBy(to, func(n *node) bool { return n.Revision() >= revision })
	})
}

// TestSpread guards against facts and revisions that arrive late or never.
func TestSpread(t *testing.T) {
	tests := []struct {
		n    int
		loss float64
		// urgent is the bound of P2 (1 s) or, with loss, of P4 and P8 (5 s).
		urgent time.Duration
	}{
		{9, 0, time.Second}, {9, 0.1, 5 * time.Second}, {9, 0.3, 5 * time.Second},
		{390, 0, time.Second}, {390, 0.1, 5 * time.Second}, {390, 0.3, 5 * time.Second},
	}
	for _, tc := range tests {
		t.Run(fmt.Sprintf("%d members %.0f%% loss", tc.n, tc.loss*100), func(t *testing.T) {
			t.Parallel()
			s := newNetwork(tc.n, tc.loss, seed)
			urgent := s.spread("urgent", true, s.up())
			plain := s.spread("plain", false, s.up())
			revision := s.spreadRevision(1, s.up())
			t.Logf("seed %d: urgent fact %.2f s, plain fact %.2f s, revision %.2f s; wrong views %d",
				seed, urgent.Seconds(), plain.Seconds(), revision.Seconds(), s.wrong())
			require.LessOrEqual(t, urgent, tc.urgent)
			require.LessOrEqual(t, revision, 9*time.Second)
			require.LessOrEqual(t, plain, 30*time.Second)
		})
	}
}

// TestCutDataCentre guards against a side of a healed partition that stays dead or uninformed.
func TestCutDataCentre(t *testing.T) {
	for _, n := range []int{9, 390} {
		t.Run(fmt.Sprint(n, " members"), func(t *testing.T) {
			t.Parallel()
			s := newNetwork(n, 0, seed)
			s.cut = "surat"
			outside := func(n *node) bool { return n.self.DataCentre != "surat" }
			s.run(2 * time.Minute)
			victim, _ := lo.Find(s.nodes, func(n *node) bool { return !outside(n) })
			live, _ := s.holdLive(victim.self.ID, outside)
			require.Zero(t, live, "a member that was cut off is held live outside")
			live, all := s.holdLive(victim.self.ID, func(n *node) bool { return !outside(n) })
			require.Equal(t, all, live, "a member that was cut off is held dead inside")
			during := s.spreadRevision(1, lo.Filter(s.up(), func(n *node, _ int) bool { return outside(n) }))
			s.cut = ""
			revision := s.until(2*time.Minute, func() bool {
				return lo.EveryBy(s.up(), func(n *node) bool { return n.Revision() == 1 })
			})
			healed := s.until(3*time.Minute, func() bool { return s.now.UnixMilli()%1000 == 0 && s.wrong() == 0 })
			t.Logf("seed %d: revision outside %.2f s; after healing: revision %.2f s, views whole %.2f s",
				seed, during.Seconds(), revision.Seconds(), (revision + healed).Seconds())
			require.LessOrEqual(t, revision, 9*time.Second)
			require.Zero(t, s.wrong())
		})
	}
}

// TestDeadAndPaused guards against dead members that stay and live ones that stay dead.
func TestDeadAndPaused(t *testing.T) {
	for _, tc := range []struct {
		n    int
		loss float64
	}{{9, 0}, {9, 0.3}, {390, 0}, {390, 0.1}, {390, 0.3}} {
		t.Run(fmt.Sprintf("%d members %.0f%% loss", tc.n, tc.loss*100), func(t *testing.T) {
			t.Parallel()
			s := newNetwork(tc.n, tc.loss, seed)
			dead, paused := s.nodes[4], s.nodes[5]
			dead.down, paused.paused = true, true
			found := s.until(3*time.Minute, func() bool { l, _ := s.holdLive(dead.self.ID, anyNode); return l == 0 })
			s.run(2*time.Minute - found)
			paused.paused = false
			paused.tickAt = time.Time{}
			paused.schedule()
			back := s.until(3*time.Minute, func() bool { l, all := s.holdLive(paused.self.ID, anyNode); return l == all })
			worst := 0
			for range 30 {
				s.run(2 * time.Second)
				worst = max(worst, s.wrong())
			}
			s.loss = 0
			settled := s.until(2*time.Minute, func() bool { return s.now.UnixMilli()%1000 == 0 && s.wrong() == 0 })
			t.Logf("seed %d: dead known to all %.1f s, paused back %.1f s; most wrong views in a minute %d of %d, none %.1f s after the loss ends",
				seed, found.Seconds(), back.Seconds(), worst, (tc.n-2)*(tc.n-1), settled.Seconds())
			require.Less(t, found, 2*time.Minute)
			require.Less(t, back, 3*time.Minute)
			require.Zero(t, s.wrong())
		})
	}
}

// TestCost guards the control overhead of section 1.8: 23 KB/s and 32 MB per node.
func TestCost(t *testing.T) {
	for _, tc := range []struct {
		n    int
		loss float64
	}{{9, 0}, {100, 0}, {390, 0}, {390, 0.1}, {390, 0.3}} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := newNetwork(tc.n, tc.loss, seed)
		runtime.GC()
		runtime.ReadMemStats(&after)
		s.measure = true
		const period = 2 * time.Minute
		// A data centre's 54 reclaimable workers leave within two seconds: 600
		// workers, 45% reclaimable, 5 data centres.
		for i := range 54 {
			s.after(time.Duration(i)*37*time.Millisecond, func() {
				s.nodes[0].act(s.nodes[0].AddFact(s.now, clmember.Fact{
					ID: fmt.Sprint("leaving/", i), Subject: "gpu-surat-0001", Lifetime: 10 * time.Minute, Urgent: true,
				}))
			})
		}
		started := time.Now()
		s.run(period)
		cpu := time.Since(started).Seconds() / period.Seconds() / float64(tc.n)
		var bytes, calls, most int
		for _, n := range s.nodes {
			bytes, calls, most = bytes+n.bytes, calls+n.calls, max(most, n.bytes)
		}
		each := period.Seconds() * float64(tc.n)
		t.Logf("seed %d: %3d members, %2.0f%% loss: %.1f messages/s and %.2f KB/s per member, in and out (largest %.2f); "+
			"%.0f KB memory and %.3f%% of a core per member, simulation included", seed, tc.n, tc.loss*100, float64(calls)/each,
			float64(bytes)/each/1000, float64(most)/period.Seconds()/1000,
			float64(after.HeapAlloc-before.HeapAlloc)/float64(tc.n)/1000, cpu*100)
		require.Less(t, float64(most)/period.Seconds(), 23_000.0)
		runtime.KeepAlive(s)
	}
}
