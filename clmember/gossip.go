// This file defines the queue of changes that wait to be piggybacked.

package clmember

import "slices"

// gossip holds the IDs of changes, each to be sent a limited number of times.
// They are ordered by the number of sends, so that a new change is not held up
// by the backlog that a joining fleet or a healed partition leaves.
type gossip struct {
	ids   []string
	sends map[string]int
}

// push queues id in front, or starts its count again.
func (g *gossip) push(id string) {
	if g.sends == nil {
		g.sends = make(map[string]int)
	}
	g.remove(id)
	g.ids = slices.Insert(g.ids, 0, id)
	g.sends[id] = 0
}

// remove drops id from the queue.
func (g *gossip) remove(id string) {
	if _, ok := g.sends[id]; !ok {
		return
	}
	delete(g.sends, id)
	if i := slices.Index(g.ids, id); i >= 0 {
		g.ids = slices.Delete(g.ids, i, i+1)
	}
}

// take returns up to n IDs that skip does not hold back, and drops those that
// have then been sent limit times.
func (g *gossip) take(n, limit int, skip func(id string) bool) []string {
	var taken []string
	g.ids = slices.DeleteFunc(g.ids, func(id string) bool {
		if len(taken) >= n || skip(id) {
			return false
		}
		taken = append(taken, id)
		return true
	})
	for _, id := range taken {
		if g.sends[id]++; g.sends[id] < limit {
			at, _ := slices.BinarySearchFunc(g.ids, g.sends[id]+1, func(id string, sends int) int { return g.sends[id] - sends })
			g.ids = slices.Insert(g.ids, at, id)
		} else {
			delete(g.sends, id)
		}
	}
	return taken
}
