// This file defines the patterns of load.

package clpattern

import (
	"math"
	"math/rand/v2"
	"time"

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
	}

	// request is one caller's request.
	request struct {
		id      string
		parts   []clfleet.PromptPart
		tokens  float64
		arrived time.Time
		large   bool
	}
)

const (
	slotsPerEngine = 16
	// systemTokens, subjectTokens and ownTokens are the mean parts of a prompt.
	systemTokens, subjectTokens, ownTokens = 512, 4870, 6610
	// answerTokens is the mean of the tokens that are generated.
	answerTokens = 380
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

// draw makes a request.
func (p Pattern) draw(rnd *rand.Rand, id string, now time.Time) *request {
	subject := uint64(rnd.IntN(p.Subjects))
	if rnd.Float64() < p.Hot {
		subject = 0
	}
	r := &request{id: id, arrived: now, tokens: spread(rnd, answerTokens, 0.4)}
	own := int(spread(rnd, ownTokens, 0.5))
	if r.large = rnd.Float64() < p.LargeShare; r.large {
		own = p.LargeTokens
	}
	r.parts = []clfleet.PromptPart{
		{ID: 1, Tokens: systemTokens}, {ID: 1000 + subject, Tokens: subjectTokens}, {ID: rnd.Uint64(), Tokens: own},
	}
	return r
}

// spread returns a log-normal number of this mean.
func spread(rnd *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rnd.NormFloat64()-sigma*sigma/2)
}
