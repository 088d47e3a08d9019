// This file counts the load on endpoints from this gateway's requests and from what the
// other gateways report.

package clfleet

type (
	// Load is the load of one or more gateways' requests on an endpoint.
	Load struct {
		// Running is the number of running requests.
		Running int
		// Pending holds the uncached prompt tokens of the running requests that
		// have had no first event yet.
		Pending PendingTokens
		// Memory is the number of tokens for which the running requests probably need
		// memory, in whole tokens; 0 for services that are not chosen by cost.
		Memory float64
	}

	// PendingTokens holds the uncached prompt tokens of the running requests that
	// have had no first event yet, by priority level; engines process the prompts
	// of lower levels first.
	PendingTokens [PriorityLevels]float64

	// peerReport is the load on one endpoint that another gateway has reported.
	peerReport struct {
		endpoint *endpoint
		load     Load
	}

	// EndpointLoad is one gateway's load on an endpoint.
	EndpointLoad struct {
		// EndpointHash is the hash of the endpoint's ID.
		EndpointHash uint64
		Load
	}
)

// SetPeerLoad replaces the load that the named other gateway has reported.
// Endpoints that are missing from loads count as having no load from it, and loads
// on unknown endpoints are ignored. The cost does not depend on the number of endpoints,
// since digests arrive many times a second.
func (f *Fleet) SetPeerLoad(gateway string, loads []EndpointLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reported := f.peerReports[gateway]
	for _, r := range reported {
		r.endpoint.peerLoad.add(r.load, -1)
	}
	reported = reported[:0]
	for _, l := range loads {
		if e := f.byHash[l.EndpointHash]; e != nil {
			e.peerLoad.add(l.Load, 1)
			reported = append(reported, peerReport{e, l.Load})
		}
	}
	if f.peerReports == nil {
		f.peerReports = make(map[string][]peerReport)
	}
	f.peerReports[gateway] = reported
}

// add adds the given multiple of another load. The counts are whole numbers, so that a
// load which is added and then subtracted leaves nothing.
func (l *Load) add(other Load, times int) {
	l.Running += times * other.Running
	l.Memory += float64(times) * other.Memory
	for priority, tokens := range other.Pending {
		l.Pending[priority] += float64(times) * tokens
	}
}

// LocalLoad returns the load from this gateway's running requests, for the
// endpoints that have any.
func (f *Fleet) LocalLoad() []EndpointLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []EndpointLoad
	for _, e := range f.endpoints {
		if e.running > 0 {
			out = append(out, EndpointLoad{EndpointHash: e.hash, Load: Load{Running: e.running, Pending: e.pending, Memory: e.memory}})
		}
	}
	return out
}

// totalLoad returns the known load on the endpoint: that from this gateway and
// that reported by the other gateways. If the interval between digests is long,
// most of the reported prompts have already been processed, so only a fraction of
// the reported pending tokens counts. f.mu must be held.
func (f *Fleet) totalLoad(e *endpoint) Load {
	load := Load{Running: e.running, Pending: e.pending, Memory: e.memory + e.peerLoad.Memory}
	pendingFraction := 1.0
	if f.digestInterval > typicalPrefillTime {
		pendingFraction = typicalPrefillTime.Seconds() / f.digestInterval.Seconds()
	}
	load.Running += e.peerLoad.Running
	for priority, tokens := range e.peerLoad.Pending {
		load.Pending[priority] += pendingFraction * tokens
	}
	return load
}

// aheadOf returns the tokens that are processed before those of a new request
// with the priority.
func (p PendingTokens) aheadOf(priority int) float64 {
	tokens := 0.0
	for i := 0; i <= clampPriority(priority); i++ {
		tokens += p[i]
	}
	return tokens
}

// Encode returns the tokens in the form that digests carry: whole tokens by
// priority level, without trailing zeros.
func (p PendingTokens) Encode() []uint32 {
	length := 0
	encoded := make([]uint32, 0, PriorityLevels)
	for i, tokens := range p {
		encoded = append(encoded, uint32(max(0, tokens)))
		if encoded[i] > 0 {
			length = i + 1
		}
	}
	return encoded[:length]
}

// DecodePendingTokens returns the pending tokens that Encode has encoded. Tokens of
// levels beyond the last one are added to the last one.
func DecodePendingTokens(tokens []uint32) PendingTokens {
	var p PendingTokens
	for i, n := range tokens {
		p[clampPriority(i)] += float64(n)
	}
	return p
}

// clampPriority maps a priority to its level, from 0 to PriorityLevels-1.
func clampPriority(priority int) int { return min(PriorityLevels-1, max(0, priority)) }
