// This file defines the patterns of load.

package clpattern

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
)

type (
	// Pattern is a load that a policy is judged by.
	Pattern struct {
		Name string
		// Gateways and Engines are how many there are, in DataCentres.
		Gateways, Engines, DataCentres int
		// Rate is the number of requests in a second at a time since the start.
		Rate func(since time.Duration) float64
		// Hot is the part of the requests that are about one subject.
		Hot float64
		// Subjects is how many subjects the requests are about; those of one
		// subject share the larger part of their prompts.
		Subjects int
		// LargeShare of the requests have prompts of LargeTokens.
		LargeShare  float64
		LargeTokens int
		// Kinds are the kinds of requests; without any, all are alike in what they
		// share, in their target and in their priority.
		Kinds []Kind
		// Slots is the number of slots of an engine; 0 means slotsPerEngine.
		Slots int
		// Plain is set if the endpoints have no model and each request takes the work
		// of its kind.
		Plain bool
		// Uneven is set if slowShare of the endpoints, redrawn every pacePeriod, take
		// slowPace times as long.
		Uneven bool
		// Quadratic is set if prompts cost time for each pair of tokens as well.
		Quadratic bool
		// HintSigma is the log-normal error of the callers' hints, and HintFactor how
		// many times too large they are at the median; 0 means that there are none.
		HintSigma, HintFactor float64
		// OutputSigma is the log-normal spread of output lengths; 0 means outputSigma.
		OutputSigma float64
		// DigestInterval replaces the real interval between digests if it is not 0. All
		// gateways then send theirs at the same time, so that all have the same old
		// information.
		DigestInterval time.Duration
		// Memory is the number of tokens that running requests and cached parts share
		// at an engine; 0 means that running requests need none.
		Memory int
	}

	// Kind is a route of the callers.
	Kind struct {
		Name string
		// Share is the part of the requests.
		Share float64
		// SubjectTokens and OwnTokens are the mean parts of a prompt that requests of
		// one subject share, and that they don't.
		SubjectTokens, OwnTokens int
		// OutputTokens is the mean of the tokens that are generated, and Work the mean
		// time at a plain endpoint.
		OutputTokens float64
		Work         time.Duration
		// Target is the time to the first event that counts as on time.
		Target   time.Duration
		Priority int
	}

	// request is one caller's request.
	request struct {
		id      string
		parts   []clfleet.PromptPart
		tokens  float64
		arrived time.Time
		large   bool
		kind    Kind
		// hint is the caller's estimate of tokens; 0 means that there is none.
		hint int
		work time.Duration
	}
)

const (
	slotsPerEngine = 16
	// systemTokens, subjectTokens and ownTokens are the mean parts of a prompt.
	systemTokens, subjectTokens, ownTokens = 512, 4870, 6610
	// answerTokens is the mean of the tokens that are generated.
	answerTokens = 380
	// outputSigma is the spread of output lengths.
	outputSigma = 0.4
	// maxOutputFactor is the stated maximum of output tokens, as a multiple of the mean.
	maxOutputFactor = 4
	// workSigma is the spread of the work of requests at plain endpoints.
	workSigma = 0.2
	// slowShare, slowPace and pacePeriod describe endpoints that share their machines
	// with other workloads, as docs/hard-load.md does.
	slowShare  = 0.15
	slowPace   = 2.5
	pacePeriod = 600 * time.Millisecond
)

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// Patterns returns the patterns by which policies are compared.
func Patterns() []Pattern {
	return []Pattern{
		{Name: "steady", Gateways: 9, Engines: 12, DataCentres: 3, Rate: steady(40), Subjects: 90},
		{Name: "many_gateways", Gateways: 73, Engines: 60, DataCentres: 3, Rate: steady(200), Subjects: 500},
		{Name: "hot_prefix", Gateways: 9, Engines: 12, DataCentres: 3, Rate: steady(40), Subjects: 90, Hot: 0.35},
		{Name: "dawn_burst", Gateways: 9, Engines: 12, DataCentres: 3, Subjects: 90, Rate: func(since time.Duration) float64 {
			if since > 8*time.Second && since < 11*time.Second {
				return 130
			}
			return 35
		}},
		{Name: "large_among_small", Gateways: 9, Engines: 12, DataCentres: 3, Rate: steady(30), Subjects: 90, LargeShare: 0.05, LargeTokens: 40_000},
	}
}

// HardPatterns returns the patterns of docs/hard-load.md, at about a third of its sizes
// where the number of gateways is not what matters.
func HardPatterns() []Pattern {
	draft := Kind{Name: "draft", Share: 0.2, SubjectTokens: subjectTokens, OwnTokens: ownTokens, OutputTokens: answerTokens, Target: time.Second}
	headline := Kind{Name: "headline", Share: 0.8, SubjectTokens: 56, OwnTokens: 1800, OutputTokens: 24, Target: 1200 * time.Millisecond, Priority: 1}
	essay := Kind{Name: "essay", Share: 0.3, SubjectTokens: 56, OwnTokens: 400, OutputTokens: 1600, Target: time.Second}
	brief := Kind{Name: "brief", Share: 0.7, SubjectTokens: 56, OwnTokens: 1800, OutputTokens: 40, Target: time.Second}
	report := Kind{Name: "report", Share: 0.3, SubjectTokens: subjectTokens, OwnTokens: ownTokens, OutputTokens: 800, Target: time.Second}
	plain := []Kind{{Name: "dispatch", Share: 1, Work: 60 * time.Millisecond, Target: 300 * time.Millisecond, Priority: 2}}
	mixed := []Kind{draft, headline}
	return []Pattern{
		{Name: "uneven_plain", Gateways: 132, Engines: 7, DataCentres: 3, Rate: steady(193), Kinds: plain, Slots: 6, Plain: true, Uneven: true},
		{Name: "uneven_plain_few", Gateways: 9, Engines: 7, DataCentres: 3, Rate: steady(193), Kinds: plain, Slots: 6, Plain: true, Uneven: true},
		{Name: "busy_plain", Gateways: 70, Engines: 3, DataCentres: 3, Rate: steady(150), Kinds: plain, Slots: 6, Plain: true, Uneven: true},
		{
			Name: "uneven_engines", Gateways: 132, Engines: 38, DataCentres: 3, Rate: steady(300), Subjects: 300, Kinds: mixed, Slots: 24, Uneven: true,
			Quadratic: true, HintFactor: 1, HintSigma: 0.5,
		},
		{
			Name: "burst_many", Gateways: 132, Engines: 38, DataCentres: 3, Subjects: 300, Kinds: mixed, Slots: 24, Uneven: true, Quadratic: true,
			HintFactor: 1, HintSigma: 0.5, Rate: func(since time.Duration) float64 {
				if since > 8*time.Second && since < 12*time.Second {
					return 700
				}
				return 200
			},
		},
		{
			Name: "long_outputs", Gateways: 9, Engines: 12, DataCentres: 3, Rate: steady(55), Subjects: 90, Kinds: []Kind{essay, brief}, Slots: 16,
			HintFactor: 1, HintSigma: 0.5, OutputSigma: 0.8,
		},
		{
			Name: "wrong_hints", Gateways: 9, Engines: 12, DataCentres: 3, Rate: steady(50), Subjects: 90, Kinds: []Kind{report, brief}, Slots: 64,
			Quadratic: true, HintFactor: 4, HintSigma: 1.5, OutputSigma: 0.8, Memory: 80_000,
		},
		{
			Name: "short_memory", Gateways: 9, Engines: 12, DataCentres: 3, Rate: steady(50), Subjects: 90, Kinds: []Kind{report, brief}, Slots: 64,
			Quadratic: true, HintFactor: 1, HintSigma: 0.5, OutputSigma: 0.8, Memory: 80_000,
		},
		{
			Name: "large_quadratic", Gateways: 9, Engines: 12, DataCentres: 3, Rate: steady(60), Subjects: 90, Kinds: mixed, Slots: 24, Quadratic: true,
			LargeShare: 0.03, LargeTokens: 48_000, HintFactor: 1, HintSigma: 0.5,
		},
		{
			Name: "same_old_news", Gateways: 132, Engines: 38, DataCentres: 3, Rate: steady(300), Subjects: 300, Kinds: mixed, Slots: 24, Uneven: true,
			Quadratic: true, HintFactor: 1, HintSigma: 0.5, DigestInterval: 900 * time.Millisecond,
		},
	}
}

// draw makes a request.
func (p Pattern) draw(rnd *rand.Rand, id string, now time.Time) *request {
	if len(p.Kinds) > 0 {
		return p.drawKind(rnd, id, now)
	}
	subject := uint64(rnd.IntN(p.Subjects))
	if rnd.Float64() < p.Hot {
		subject = 0
	}
	r := &request{id: id, arrived: now, tokens: spread(rnd, answerTokens, outputSigma), kind: Kind{Target: target}}
	own := int(spread(rnd, ownTokens, 0.5))
	if r.large = rnd.Float64() < p.LargeShare; r.large {
		own = p.LargeTokens
	}
	r.parts = []clfleet.PromptPart{
		{ID: 1, Tokens: systemTokens}, {ID: 1000 + subject, Tokens: subjectTokens}, {ID: rnd.Uint64(), Tokens: own},
	}
	return r
}

// drawKind makes a request of one of the kinds.
func (p Pattern) drawKind(rnd *rand.Rand, id string, now time.Time) *request {
	k, at := p.Kinds[len(p.Kinds)-1], rnd.Float64()
	for _, o := range p.Kinds {
		if at -= o.Share; at < 0 {
			k = o
			break
		}
	}
	r := &request{id: id, arrived: now, kind: k}
	if p.Plain {
		r.work = time.Duration(spread(rnd, float64(k.Work), workSigma))
		return r
	}
	r.tokens = spread(rnd, k.OutputTokens, cmp.Or(p.OutputSigma, outputSigma))
	if p.HintFactor > 0 {
		r.hint = int(p.HintFactor*r.tokens*math.Exp(p.HintSigma*rnd.NormFloat64())) + 1
	}
	own := int(spread(rnd, float64(k.OwnTokens), 0.5))
	if r.large = rnd.Float64() < p.LargeShare; r.large {
		own = p.LargeTokens
	}
	subject := uint64(rnd.IntN(p.Subjects))
	r.parts = []clfleet.PromptPart{
		{ID: 1, Tokens: systemTokens}, {ID: 1000 + subject + xxhash.Sum64String(k.Name)<<32, Tokens: k.SubjectTokens}, {ID: rnd.Uint64(), Tokens: own},
	}
	return r
}

// spread returns a log-normal number of this mean.
func spread(rnd *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rnd.NormFloat64()-sigma*sigma/2)
}
