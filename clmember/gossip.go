// This file defines the queue of changes that wait to be piggybacked.

package clmember

import "slices"

// gossip holds the IDs of changes, each to be sent a limited number of times.
// IDs sent most recently are at the back, so that every change gets its turn
// when there are more of them than fit in a message.
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

// take returns up to n IDs and drops those that have then been sent limit times.
func (g *gossip) take(n, limit int) []string {
	n = min(n, len(g.ids))
	if n <= 0 {
		return nil
	}
	taken := slices.Clone(g.ids[:n])
	g.ids = slices.Delete(g.ids, 0, n)
	for _, id := range taken {
		g.sends[id]++
		if g.sends[id] >= limit {
			delete(g.sends, id)
			continue
		}
		g.ids = append(g.ids, id)
	}
	return taken
}
