// This file defines the approximate index of cached prompt prefixes.

package clroute

// holdersPerBlock bounds the endpoints kept per block; maxHolders bounds those
// that one lookup returns; maxSteps bounds the blocks that one lookup walks down.
const (
	holdersPerBlock = 4
	maxHolders      = 8
	maxSteps        = 6
)

type (
	// holders are the endpoints that probably cache one block; the newest is first.
	holders struct {
		refs   [holdersPerBlock]int32
		epochs [holdersPerBlock]uint16
		n      uint8
	}

	// prefixIndex keeps two generations of blocks. When the newer one is full the
	// older one is dropped, so that memory is bounded and recent blocks stay.
	prefixIndex struct {
		limit        int
		newer, older map[uint64]holders
	}

	holderSet struct {
		n      int
		refs   [maxHolders]int32
		blocks [maxHolders]int32
	}

	cacheState struct {
		sequence uint64
		known    bool
	}
)

// CacheEvent applies an endpoint's event that a block was added to or removed
// from its cache. A gap in the sequence halves the credit of the endpoint's
// blocks until CacheContent.
func (t *Table) CacheEvent(id string, sequence, block uint64, added bool) {
	ref, ok := t.refs[id]
	if !ok {
		return
	}
	c := &t.cold[ref].cache
	if c.known && sequence <= c.sequence {
		return
	}
	if c.known && sequence != c.sequence+1 {
		t.setFlag(ref, flagUncertain, true)
	}
	c.sequence, c.known = sequence, true
	if added {
		t.prefix.add(block, ref, t.hot[ref].epoch)
	} else {
		t.prefix.remove(block, ref)
	}
}

// CacheContent replaces all that is known of an endpoint's cache by a full
// report as of a sequence number.
func (t *Table) CacheContent(id string, sequence uint64, blocks []uint64) {
	ref, ok := t.refs[id]
	if !ok {
		return
	}
	t.hot[ref].epoch++
	t.setFlag(ref, flagUncertain, false)
	t.cold[ref].cache = cacheState{sequence: sequence, known: true}
	for _, b := range blocks {
		t.prefix.add(b, ref, t.hot[ref].epoch)
	}
}

func (x *prefixIndex) add(block uint64, ref int32, epoch uint16) {
	h, ok := x.newer[block]
	if !ok {
		if x.newer == nil || len(x.newer) >= x.limit/2 {
			x.older, x.newer = x.newer, make(map[uint64]holders, x.limit/2)
		}
		h = x.older[block]
	}
	if h.n > 0 && h.refs[0] == ref && h.epochs[0] == epoch && ok {
		return
	}
	h.drop(ref)
	if h.n < holdersPerBlock {
		h.n++
	}
	copy(h.refs[1:], h.refs[:holdersPerBlock-1])
	copy(h.epochs[1:], h.epochs[:holdersPerBlock-1])
	h.refs[0], h.epochs[0] = ref, epoch
	x.newer[block] = h
}

func (x *prefixIndex) remove(block uint64, ref int32) {
	for _, m := range [2]map[uint64]holders{x.newer, x.older} {
		h, ok := m[block]
		if !ok {
			continue
		}
		h.drop(ref)
		m[block] = h
	}
}

func (h *holders) drop(ref int32) {
	for i := range int(h.n) {
		if h.refs[i] != ref {
			continue
		}
		copy(h.refs[i:], h.refs[i+1:])
		copy(h.epochs[i:], h.epochs[i+1:])
		h.n--
		return
	}
}

func (x *prefixIndex) find(block uint64) (holders, bool) {
	h, ok := x.newer[block]
	if !ok {
		h, ok = x.older[block]
	}
	return h, ok && h.n > 0
}

// current reports whether a holder has not lost its cache since.
func (h *holders) current(eps []hot) bool {
	for k := range int(h.n) {
		if eps[h.refs[k]].epoch == h.epochs[k] {
			return true
		}
	}
	return false
}

// lookup finds the endpoints that cache the longest prefixes. It finds the
// longest indexed prefix by bisection, which is right if an endpoint that caches
// a block also caches the ones before it, and then walks down.
func (x *prefixIndex) lookup(prefix []uint64, eps []hot, out *holderSet) {
	low, high := 0, len(prefix)
	for low < high {
		mid := (low + high) / 2
		if h, ok := x.find(prefix[mid]); ok && h.current(eps) {
			low = mid + 1
		} else {
			high = mid
		}
	}
	// The walk takes ever larger steps, since most holders share the longest prefixes.
	for step, i := 0, low; i > 0 && step < maxSteps && out.n < maxHolders; step++ {
		h, _ := x.find(prefix[i-1])
		for k := range int(h.n) {
			ref := h.refs[k]
			if out.n < maxHolders && eps[ref].epoch == h.epochs[k] && !out.has(ref) {
				out.refs[out.n], out.blocks[out.n] = ref, int32(i)
				out.n++
			}
		}
		i -= 1 << step
	}
}

func (s *holderSet) has(ref int32) bool {
	for i := range s.n {
		if s.refs[i] == ref {
			return true
		}
	}
	return false
}
