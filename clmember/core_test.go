// This file tests a single core: merging, bounds of messages, facts and ranking.

package clmember_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutlead/chestnutlead/clmember"
)

var start = time.Unix(1_800_000_000, 0)

func member(i int) clmember.Member {
	return clmember.Member{
		ID: fmt.Sprint("m", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
		DataCentre: []string{"ahmedabad", "surat"}[i%2], Role: "entry", Incarnation: 1, State: clmember.Alive,
	}
}

func newCore(self int) *clmember.Core {
	return clmember.New(clmember.Config{Self: member(self), Rand: rand.New(rand.NewPCG(1, uint64(self)))}, start)
}

func reports(lowest clmember.State) *rapid.Generator[[]clmember.Member] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) clmember.Member {
		m := member(rapid.IntRange(0, 4).Draw(t, "member"))
		m.Incarnation = rapid.Uint64Range(1, 4).Draw(t, "incarnation")
		m.State = clmember.State(rapid.IntRange(int(lowest), int(clmember.Left)).Draw(t, "state"))
		return m
	}), 1, 12)
}

// TestMergeConverges guards against processes that disagree for ever because
// reports reached them in different orders, and against a live process that believes its own death.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := append(lo.Map(lo.Range(5), func(i, _ int) clmember.Member { return member(i) }), reports(clmember.Alive).Draw(t, "reports")...)
		shuffled := append(slices.Clone(in[:5]), rapid.Permutation(in[5:]).Draw(t, "order")...)
		view := func(in []clmember.Member) map[string]clmember.Member {
			c := newCore(0)
			for _, m := range in {
				c.HandleExchange(start, clmember.Exchange{From: member(9), Changes: []clmember.Member{m}})
			}
			for _, m := range in {
				if m.ID == c.Self().ID && m.State != clmember.Alive {
					require.Greater(t, c.Self().Incarnation, m.Incarnation, "report not refuted")
				}
			}
			require.Equal(t, clmember.Alive, c.Self().State)
			return lo.KeyBy(c.Members(), func(m clmember.Member) string { return m.ID })
		}
		a, b := view(in), view(shuffled)
		for id, m := range a {
			other := b[id]
			// The incarnation of a member that left has no meaning.
			require.Equal(t, m.State, other.State, id)
			require.True(t, m.State == clmember.Left || m.Incarnation == other.Incarnation, id)
		}
	})
}

// TestMessagesBounded guards against messages that grow with the number of changes.
func TestMessagesBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCore(0)
		for i := range rapid.IntRange(0, 40).Draw(t, "facts") {
			c.AddFact(start, clmember.Fact{ID: fmt.Sprint(i), Lifetime: time.Minute})
		}
		x := clmember.Exchange{From: member(200), Changes: lo.RepeatBy(rapid.IntRange(0, 100).Draw(t, "members"), func(i int) clmember.Member { return member(i + 1) })}
		for range 3 {
			resp, _ := c.HandleExchange(start, x)
			require.LessOrEqual(t, len(resp.Changes), 8)
			require.LessOrEqual(t, len(resp.Facts), 8)
			x.Changes = nil
		}
	})
}

// TestFacts guards against facts that are reported twice or outlive their lifetime.
func TestFacts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCore(0)
		now, seen, arrived := start, map[string]bool{}, map[string]time.Time{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			f := clmember.Fact{
				ID: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id")), Lifetime: time.Duration(rapid.IntRange(0, 60).Draw(t, "lifetime")) * time.Second,
				Time: start.Add(time.Duration(rapid.IntRange(-100, 100).Draw(t, "time")) * time.Second),
			}
			_, out := c.HandleExchange(now, clmember.Exchange{From: member(1), Facts: []clmember.Fact{f, f}})
			for _, f := range out.Facts {
				key := fmt.Sprint(f.ID, f.Time)
				require.False(t, seen[key], "reported twice")
				seen[key], arrived[f.ID] = true, now
			}
			c.Tick(now)
			for _, f := range c.Facts(now) {
				require.True(t, now.Before(f.Time.Add(f.Lifetime)) && now.Before(arrived[f.ID].Add(f.Lifetime)), "outlived")
			}
		}
	})
}

// TestRank guards against owners that change when an unrelated member ends.
func TestRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		filter := clmember.Filter{DataCentre: rapid.SampledFrom([]string{"", "surat"}).Draw(t, "data centre")}
		gone := rapid.IntRange(1, 8).Draw(t, "gone")
		a, b := newCore(0), newCore(9)
		for i := range 10 {
			for _, c := range []*clmember.Core{a, b} {
				c.HandleExchange(start, clmember.Exchange{From: member(i)})
			}
		}
		before := a.Rank(key, filter)
		ids := func(ms []clmember.Member) []string {
			return lo.Map(ms, func(m clmember.Member, _ int) string { return m.ID })
		}
		require.Equal(t, ids(before), ids(b.Rank(key, filter)), "processes disagree")
		m := member(gone)
		m.State = clmember.Dead
		a.HandleExchange(start, clmember.Exchange{From: member(9), Changes: []clmember.Member{m}})
		require.Equal(t, lo.Without(ids(before), m.ID), ids(a.Rank(key, filter)))
		owner, _ := a.Owner(key, filter)
		require.Equal(t, a.Rank(key, filter)[0].ID, owner.ID)
	})
}

// silence runs the core while no member answers.
func silence(c *clmember.Core, d time.Duration) {
	for now := start; now.Before(start.Add(d)); now = c.NextTick() {
		c.Tick(now)
	}
}

// TestRankSpreads guards against one member that owns far more keys than its share.
func TestRankSpreads(t *testing.T) {
	c, owned := newCore(0), map[string]int{}
	for i := range 10 {
		c.HandleExchange(start, clmember.Exchange{From: member(i)})
	}
	for i := range 1000 {
		m, _ := c.Owner(fmt.Sprint("slots-", i), clmember.Filter{Role: "entry"})
		owned[m.ID]++
	}
	// Each owns 100 of 1,000 keys on average, with a standard deviation of 9.5.
	require.Less(t, lo.Max(lo.Values(owned)), 150)
	require.Greater(t, lo.Min(lo.Values(owned)), 50)
}

// TestTransitions guards single decisions of the failure detector.
func TestTransitions(t *testing.T) {
	tests := []struct {
		name string
		run  func(c *clmember.Core)
		want clmember.State
	}{
		{"another process answers at the address", func(c *clmember.Core) {
			c.ExchangeAnswered(start, member(1), clmember.Exchange{From: member(2)})
		}, clmember.Dead},
		{"silence seen after the own pause", func(c *clmember.Core) {
			silence(c, 6*time.Second)
			c.Tick(start.Add(time.Hour))
		}, clmember.Suspect},
		{"a death in the full state is checked first", func(c *clmember.Core) {
			m := member(1)
			m.State = clmember.Dead
			c.SyncAnswered(start, member(2), clmember.SyncState{Members: []clmember.Member{m}})
		}, clmember.Suspect},
		{"leaving is final", func(c *clmember.Core) {
			m := member(1)
			m.State = clmember.Left
			c.HandleExchange(start, clmember.Exchange{From: m})
			m.State, m.Incarnation = clmember.Alive, 7
			c.HandleExchange(start, clmember.Exchange{From: m})
		}, clmember.Left},
		{"silence for long", func(c *clmember.Core) {
			silence(c, 20*time.Second)
		}, clmember.Dead},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := newCore(0)
			c.HandleExchange(start, clmember.Exchange{From: member(1)})
			tc.run(c)
			m, _ := c.Member("m1")
			require.Equal(t, tc.want.String(), m.State.String())
		})
	}
}
