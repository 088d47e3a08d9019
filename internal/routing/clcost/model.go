// This file defines the model of a route's requests.

package clcost

import (
	"math"
	"time"
)

type (
	// Model is what is known of the requests of one route. Its size does not depend on
	// the number of requests. The zero value holds the priors.
	Model struct {
		// prompt is the ratio of observed to predicted prompt time, capped the stream
		// time for each token of the stated maximum, for requests without a hint, and
		// work the ratio of the work at plain endpoints to that of the service's
		// requests.
		prompt, capped, work logMean
		// hinted is the stream time by the hinted tokens.
		hinted logLine
	}

	// Request is what a caller states of a request.
	Request struct {
		// PromptTokens is the size of the prompt, and UncachedTokens how many of its
		// last tokens the endpoint has probably not cached.
		PromptTokens, UncachedTokens float64
		// OutputHint is the caller's estimate of the output tokens, and MaxOutput the
		// most that may be generated; 0 means not stated.
		OutputHint, MaxOutput int
	}

	// Span is a log-normal distribution of a time.
	Span struct {
		// Median is in seconds, and Sigma the standard deviation of the logarithm.
		Median, Sigma float64
	}

	// logMean is the mean and the variance of logarithms, of which older ones count
	// less. The prior counts as priorWeight observations.
	logMean struct {
		weight, sum, squares float64
		updatedAt            time.Time
	}
)

const (
	// halfLife is the age at which an observation counts half. Loads of the
	// deployments change within minutes.
	halfLife = time.Minute
	// priorWeight is the number of observations that the priors are worth.
	priorWeight = 5
	// secondsPerPair is the time of an engine for each pair of tokens that attend to
	// each other, 0.165 ms for a million (docs/hard-load.md).
	secondsPerPair = 0.165e-9
	// tokenSeconds is the prior of the time for a token of an output: a step of an
	// engine takes 2.9 to 3.8 ms and 0.02 to 0.1 ms more for each running request.
	tokenSeconds = 4.5e-3
	// cappedFraction is the prior of the fraction of the stated maximum that is
	// generated, and priorSigma that of the error of a prediction: the callers' hints
	// are off by a log-normal error of sigma 0.5.
	cappedFraction = 0.25
	priorSigma     = 0.5
	// unstatedTokens is the output that is assumed if a caller states nothing.
	unstatedTokens = 200.0
	// maxLogRatio limits one observation, to a factor of about 150.
	maxLogRatio = 5.0
)

// PromptFactor returns the ratio of the prompt times of the route's requests to what
// PromptSeconds returns for them.
func (m *Model) PromptFactor(now time.Time) float64 {
	mean, _ := m.prompt.at(now)
	return math.Exp(mean)
}

// WorkFactor returns the ratio of the work of the route's requests at plain endpoints to
// that of all requests of the service.
func (m *Model) WorkFactor(now time.Time) float64 {
	mean, _ := m.work.at(now)
	return math.Exp(mean)
}

// PromptSeconds returns the time that an endpoint with the given rate, in tokens per
// second, needs for a prompt by its tokens and pairs of tokens: each uncached token attends
// to all tokens before it.
func PromptSeconds(r Request, rate float64) float64 {
	cached := max(0, r.PromptTokens-r.UncachedTokens)
	return r.UncachedTokens/rate + secondsPerPair*(r.PromptTokens*r.PromptTokens-cached*cached)/2
}

// Stream returns the time from the first event to the end of the output.
func (m *Model) Stream(r Request, now time.Time) Span {
	if r.OutputHint > 0 {
		mean, sigma := m.hinted.at(math.Log(r.hint()), now)
		return Span{Median: tokenSeconds * math.Exp(mean), Sigma: sigma}
	}
	tokens := unstatedTokens
	if r.MaxOutput > 0 {
		tokens = cappedFraction * float64(r.MaxOutput)
	}
	mean, sigma := m.capped.at(now)
	return Span{Median: tokens * tokenSeconds * math.Exp(mean), Sigma: sigma}
}

// RecordPrompt records the prompt time of a request that was answered in whole, which
// its Request predicts at the rate.
func (m *Model) RecordPrompt(r Request, rate float64, observed time.Duration, now time.Time) {
	if predicted := PromptSeconds(r, rate); predicted > 0 && observed > 0 {
		m.prompt.add(math.Log(observed.Seconds()/predicted), now)
	}
}

// RecordStream records the stream time of a request that was answered in whole.
func (m *Model) RecordStream(r Request, observed time.Duration, now time.Time) {
	switch {
	case observed <= 0:
	case r.OutputHint > 0:
		m.hinted.add(math.Log(r.hint()), math.Log(observed.Seconds()/tokenSeconds), now)
	case r.MaxOutput > 0:
		m.capped.add(math.Log(observed.Seconds()/(cappedFraction*float64(r.MaxOutput)*tokenSeconds)), now)
	}
}

// hint returns the hinted tokens, of which there are at most MaxOutput.
func (r Request) hint() float64 {
	if r.MaxOutput > 0 {
		return float64(min(r.OutputHint, r.MaxOutput))
	}
	return float64(r.OutputHint)
}

// RecordWork records the work of a request that was answered in whole by a plain
// endpoint, where usual is the mean work of all requests of the service.
func (m *Model) RecordWork(observed, usual time.Duration, now time.Time) {
	if observed > 0 && usual > 0 {
		m.work.add(math.Log(observed.Seconds()/usual.Seconds()), now)
	}
}

// MemoryTokens returns the tokens for which the request occupies memory at its end.
func (m *Model) MemoryTokens(r Request, now time.Time) float64 {
	output := m.Stream(r, now).Mean() / tokenSeconds
	if r.MaxOutput > 0 {
		output = min(output, float64(r.MaxOutput))
	}
	return r.PromptTokens + output
}

// Mean returns the mean of the distribution.
func (s Span) Mean() float64 { return s.Median * math.Exp(s.Sigma*s.Sigma/2) }

// at returns the mean and the standard deviation at a time.
func (e *logMean) at(now time.Time) (mean, sigma float64) {
	decay := 1.0
	if age := now.Sub(e.updatedAt); e.weight > 0 && age > 0 {
		decay = decayed(age)
	}
	weight := priorWeight + decay*e.weight
	mean = decay * e.sum / weight
	squares := (priorWeight*priorSigma*priorSigma + decay*e.squares) / weight
	return mean, math.Sqrt(max(0, squares-mean*mean))
}

// add decays the sums to now and adds an observation. One that comes with an earlier
// time than the last does not decay them.
func (e *logMean) add(x float64, now time.Time) {
	if math.IsNaN(x) {
		return
	}
	x = min(maxLogRatio, max(-maxLogRatio, x))
	if age := now.Sub(e.updatedAt); age > 0 {
		decay := decayed(age)
		e.weight, e.sum, e.squares = decay*e.weight, decay*e.sum, decay*e.squares
		e.updatedAt = now
	}
	e.weight, e.sum, e.squares = e.weight+1, e.sum+x, e.squares+x*x
}
