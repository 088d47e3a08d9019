// This file defines the gateway's Prometheus metrics.

package clgateway

import (
	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/internal/limits/clmemory"
	"github.com/prometheus/client_golang/prometheus"
)

// collectors holds the Prometheus collectors of the gateway's metrics.
type collectors struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	// refusals counts the requests that end with an errorResponse.
	refusals *prometheus.CounterVec
	// quotaRefusals counts those of them that a quota has refused, by
	// clquota.Decision.Basis.
	quotaRefusals *prometheus.CounterVec
	// promises counts the responses with a status that says that the request was not
	// run, by what that rests on.
	promises *prometheus.CounterVec
	// responses counts the headers of responses by which request they name, whether
	// they state that it was not run, and what their connection had carried.
	responses  *prometheus.CounterVec
	firstEvent *prometheus.HistogramVec
	// costs sums the costs of the requests that the accounts' shares are computed from.
	costs *prometheus.CounterVec
	// statements counts what endpoints have said of themselves in responses.
	statements *prometheus.CounterVec
	// crashes counts the attempts that ended because their endpoint crashed.
	crashes *prometheus.CounterVec
	// ends counts the responses that ended with their connection, by what the endpoint
	// said of itself afterwards.
	ends *prometheus.CounterVec
	// questions counts the gateway's own questions to endpoints, by kind and outcome.
	questions *prometheus.CounterVec
	// work sums the predicted and the observed times of answered attempts at endpoints.
	work *prometheus.CounterVec
	// closed counts the connections of callers that were closed because of a limit.
	closed *prometheus.CounterVec
}

// firstEventBuckets are the upper bounds, in seconds, of the buckets of firstEvent.
// They are narrow enough to resolve the target latencies of routes, both those for
// the response and those for the first event of a stream.
var firstEventBuckets = []float64{.005, .01, .02, .05, .1, .2, .3, .5, .75, 1, 1.5, 2, 3, 5, 10}

// newCollectors registers the gateway's metrics.
func newCollectors(m *clobserve.Metrics) *collectors {
	return &collectors{
		requests: m.Counter(clobserve.Name{Component: "gateway", What: "requests", Unit: "total"},
			"Requests by route kind and final status.", "kind", "status"),
		attempts: m.Counter(clobserve.Name{Component: "gateway", What: "attempts", Unit: "total"},
			"Attempts by service and outcome.", "service", "outcome"),
		refusals: m.Counter(clobserve.Name{Component: "gateway", What: "refusals", Unit: "total"},
			"Requests to which the gateway itself responded with an error, by reason.", "reason"),
		quotaRefusals: m.Counter(clobserve.Name{Component: "gateway", What: "quota_refusals", Unit: "total"},
			"Requests refused by their account's quota, by basis: above_limit (by the reported spending), unreported (by the estimate of what other gateways have not reported yet), startup (spending not known yet).", "basis"),
		promises: m.Counter(clobserve.Name{Component: "gateway", What: "promises", Unit: "total"},
			"Responses whose status promises that the request was not run, by status and basis: not_sent, stated (by every endpoint that received it), relayed (an endpoint's response as it came).", "status", "basis"),
		responses: m.Counter(clobserve.Name{Component: "gateway", What: "endpoint_responses", Unit: "total"},
			"Headers of endpoints' responses by the request they name (own, other, none), whether they state that it was not run, and the connection: first (it had carried nothing), kept, had_id (it had carried a request with the same ID).", "names", "not_run", "connection"),
		firstEvent: m.Histogram(clobserve.Name{Component: "gateway", What: "first_event", Unit: "seconds"},
			"Time from the arrival of a request to its first stream event or its response.", firstEventBuckets, "kind"),
		costs: m.Counter(clobserve.Name{Component: "gateway", What: "account_cost", Unit: "total"},
			"Cost of the requests by service, account and outcome (offered, served, refused for shortage or because of the share), in tokens or requests; 0 if the accounts' quotas are alike.", "service", "account", "outcome"),
		statements: m.Counter(clobserve.Name{Component: "gateway", What: "endpoint_statements", Unit: "total"},
			"Responses in which endpoints said that they leave (once for each) or want no requests for some time, by service.", "service", "statement"),
		crashes: m.Counter(clobserve.Name{Component: "gateway", What: "crashed_attempts", Unit: "total"},
			"Attempts that ended because their endpoint crashed, by service.", "service"),
		ends: m.Counter(clobserve.Name{Component: "gateway", What: "unframed_ends", Unit: "total"},
			"Responses that ended with their connection, by service and result: whole (the same start of the endpoint still lives), other_start, unknown (it can't be told), timed_out (it did not say so in time), not_asked (too many questions were in progress, or memory was short). Only whole ones are passed on as complete.", "service", "result"),
		questions: m.Counter(clobserve.Name{Component: "gateway", What: "endpoint_questions", Unit: "total"},
			"Questions to endpoints of the gateway's own accord, by kind (identity, probe) and outcome: answered, failed, timed_out, limit (not asked: too many are in progress, or no memory).", "kind", "outcome"),
		work: m.Counter(clobserve.Name{Component: "gateway", What: "work", Unit: "seconds"},
			"Time of answered attempts at endpoints that were chosen by cost, by route: predicted at the choice, and observed.", "route", "basis"),
		closed: m.Counter(clobserve.Name{Component: "gateway", What: "closed_connections", Unit: "total"},
			"Connections of callers that were closed because of a limit, by reason.", "reason"),
	}
}

// observeMemory registers the metrics of the memory that is held for peers and of the
// connections of callers.
func (*collectors) observeMemory(m *clobserve.Metrics, budget *clmemory.Budget, conns *callerConns) {
	for _, k := range []clmemory.Kind{clmemory.Connections, clmemory.Bodies, clmemory.Responses, clmemory.Events, clmemory.Questions} {
		m.GaugeFunc(clobserve.Name{Component: "gateway", What: "held_" + k.String(), Unit: "bytes"},
			"Memory that is reserved for "+k.String()+".", func() float64 { return float64(budget.Held(k)) })
	}
	m.GaugeFunc(clobserve.Name{Component: "gateway", What: "held_limit", Unit: "bytes"},
		"Memory that may be reserved for callers and endpoints.", func() float64 { return float64(budget.Limit) })
	for s := range connStates {
		m.GaugeFunc(clobserve.Name{Component: "gateway", What: "connections_" + s.String(), Unit: "count"},
			"Connections of callers in the state "+s.String()+".", func() float64 { return float64(conns.count(s)) })
	}
	m.GaugeFunc(clobserve.Name{Component: "gateway", What: "connections_limit", Unit: "count"},
		"Largest number of connections of callers.", func() float64 { return float64(conns.limit) })
}
