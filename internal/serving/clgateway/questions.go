// This file limits the gateway's own questions to endpoints.

package clgateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/limits/clcall"
	"github.com/chestnutlead/chestnutlead/internal/limits/clmemory"
	"github.com/go-faster/errors"
)

type (
	// questions are the gateway's own questions to endpoints.
	questions struct {
		identities clcall.Group[identityKey, Identity]
		probes     clcall.Group[netip.AddrPort, bool]
	}

	// identityKey is what Gateway.Identify is asked.
	identityKey struct {
		service string
		address netip.AddrPort
		born    int64
	}
)

const (
	// IdentifyBytes is the memory that is reserved for a call of Gateway.Identify: the
	// answer, which is copied while its buffer grows, and the buffers of the connection.
	IdentifyBytes = 128 << 10
	// identifyTimeout is the maximum time for a call of Gateway.Identify, which may ask
	// twice. Each half covers one lost packet while connecting, which TCP sends again after
	// a second.
	identifyTimeout = 3 * time.Second
	// probeTimeout is the time after which an endpoint that has not accepted a connection
	// counts as crashed.
	probeTimeout = 300 * time.Millisecond
	// questionsPerEndpoint lets a question begin while the packets of another one are lost.
	questionsPerEndpoint = 2
	// maxQuestions of each kind are in progress. It is above the number of endpoints that
	// are usually in trouble at once, and their connections and memory are a small part
	// of a process's limits.
	maxQuestions = 128
)

// errNotAsked means that the gateway did not ask an endpoint, for a reason of its own.
var errNotAsked = errors.New("endpoint is not asked: too many questions are in progress, or memory is short")

// setQuestions sets the limits of the questions.
func (g *Gateway) setQuestions() {
	q := &g.questions
	q.identities.Timeout, q.identities.PerKey, q.identities.Total = identifyTimeout, questionsPerEndpoint, maxQuestions
	q.identities.Reserve = func() bool {
		granted := g.memory.budget.Reserve(clmemory.Questions, IdentifyBytes, 0, true)
		if !granted {
			g.recordShortage("endpoint_not_asked")
		}
		return granted
	}
	q.identities.Release = func() { g.memory.budget.Add(clmemory.Questions, -IdentifyBytes) }
	q.identities.Call = func(ctx context.Context, key identityKey) (Identity, error) {
		s := g.Catalog().Service(key.service)
		if s == nil {
			return Identity{}, errors.Errorf("service %q is no longer configured", key.service)
		}
		said, err := g.Identify(ctx, s, key.address, key.born)
		g.countQuestion(ctx, "identity", err)
		return said, err
	}
	q.probes.Timeout, q.probes.PerKey, q.probes.Total = probeTimeout, questionsPerEndpoint, maxQuestions
	q.probes.Call = func(ctx context.Context, addr netip.AddrPort) (bool, error) {
		accepts := g.Probe(ctx, addr)
		g.countQuestion(ctx, "probe", nil)
		return accepts, nil
	}
}

// countQuestion counts a question that ended with err, or with the end of ctx.
func (g *Gateway) countQuestion(ctx context.Context, kind string, err error) {
	outcome := "answered"
	switch {
	case ctx.Err() != nil:
		outcome = "timed_out"
	case err != nil:
		outcome = "failed"
	}
	g.collectors.questions.WithLabelValues(kind, outcome).Inc()
}

// identify asks the endpoint of an attempt who it is, until the given time at most.
func (g *Gateway) identify(ctx context.Context, a *attempt, until time.Time) (Identity, error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	said, err := g.questions.identities.Do(ctx, identityKey{a.service, a.choice.Address, a.choice.Born})
	if errors.Is(err, clcall.ErrLimit) {
		g.collectors.questions.WithLabelValues("identity", "limit").Inc()
		return said, errNotAsked
	}
	return said, err
}

// accepts reports whether the endpoint of an attempt accepts connections, or returns an
// error if that is not known by the request's deadline.
func (g *Gateway) accepts(ctx context.Context, a *attempt) (bool, error) {
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	accepts, err := g.questions.probes.Do(ctx, a.choice.Address)
	if errors.Is(err, clcall.ErrLimit) {
		g.collectors.questions.WithLabelValues("probe", "limit").Inc()
		return false, errNotAsked
	}
	return accepts, err
}
