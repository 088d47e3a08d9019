// This file defines what load a run offers, and how a scenario file is read.

package clload

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/samber/lo"
)

type (
	// Kind is the kind of a flow's requests.
	Kind string

	// Duration is a time.Duration that is written "250ms" in JSON.
	Duration time.Duration

	// Scenario is the load of one run; the same scenario and seed give the same schedule.
	Scenario struct {
		Name string `json:"name"`
		Seed uint64 `json:"seed"`
		// Duration bounds the arrivals; requests may end up to Timeout later.
		Duration Duration `json:"duration"`
		// MaxRequests bounds the arrivals of the whole run.
		MaxRequests int `json:"max_requests"`
		// MaxInFlight bounds open requests; an arrival above it is not sent and counted.
		MaxInFlight int `json:"max_in_flight"`
		// Timeout bounds a request with all its attempts, from the scheduled time.
		Timeout Duration `json:"timeout"`
		// FirstTokenTarget and BetweenTokensTarget define which streams are in target.
		FirstTokenTarget    Duration  `json:"first_token_target"`
		BetweenTokensTarget Duration  `json:"between_tokens_target"`
		Accounts            []Account `json:"accounts"`
		Flows               []Flow    `json:"flows"`
	}

	// Account sends a share of every flow's requests.
	Account struct {
		Name string `json:"name"`
		// Key is the account's API key.
		Key string `json:"key"`
		// Share is relative to the other accounts' shares.
		Share float64 `json:"share"`
	}

	// Flow is a stream of arrivals of one kind.
	Flow struct {
		Name    string `json:"name"`
		Kind    Kind   `json:"kind"`
		Service string `json:"service"`
		// Path follows /services/<service> for bookings; others use the completion API.
		Path string `json:"path"`
		// Rate is the mean number of arrivals in a second; intervals are exponential.
		Rate   float64 `json:"rate"`
		Bursts []Burst `json:"bursts"`
		// MaxTokens bounds each generated answer.
		MaxTokens int `json:"max_tokens"`
		// PromptWords is the length of each prompt, of which all but a few words
		// are one of Prefixes shared beginnings.
		PromptWords int `json:"prompt_words"`
		Prefixes    int `json:"prefixes"`
		// Attempts bounds how often a request is sent: again after a broken
		// connection or a refusal "not_run", streams from their last position.
		Attempts int `json:"attempts"`
	}

	// Burst multiplies a flow's rate for a while.
	Burst struct {
		At     Duration `json:"at"`
		Length Duration `json:"length"`
		Factor float64  `json:"factor"`
	}
)

// Kinds of requests.
const (
	KindStream     Kind = "stream"
	KindCompletion Kind = "completion"
	KindBooking    Kind = "booking"
)

// Presets of a scenario; the targets are the design page's latency target.
const (
	presetMaxRequests   = 1_000_000
	presetMaxInFlight   = 10_000
	presetTimeout       = 30 * time.Second
	firstTokenTarget    = 730 * time.Millisecond
	betweenTokensTarget = 77 * time.Millisecond
	presetPromptWords   = 64
	presetMaxTokens     = 64
)

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads "250ms" and the like.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return errors.Wrap(err, `write a duration as "250ms"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Wrap(err, `write a duration as "250ms"`)
	}
	*d = Duration(v)
	return nil
}

// LoadScenario reads a scenario file and fills in presets; unknown names are errors.
func LoadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "name a readable scenario file")
	}
	s := &Scenario{}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, errors.Wrapf(err, "correct scenario %s", path)
	}
	if err := s.Validate(); err != nil {
		return nil, errors.Wrapf(err, "correct scenario %s", path)
	}
	return s, nil
}

// Validate fills in presets and reports the first fault.
func (s *Scenario) Validate() error {
	s.MaxRequests = lo.CoalesceOrEmpty(s.MaxRequests, presetMaxRequests)
	s.MaxInFlight = lo.CoalesceOrEmpty(s.MaxInFlight, presetMaxInFlight)
	s.Timeout = lo.CoalesceOrEmpty(s.Timeout, Duration(presetTimeout))
	s.FirstTokenTarget = lo.CoalesceOrEmpty(s.FirstTokenTarget, Duration(firstTokenTarget))
	s.BetweenTokensTarget = lo.CoalesceOrEmpty(s.BetweenTokensTarget, Duration(betweenTokensTarget))
	if s.Duration <= 0 || s.Timeout <= 0 || s.MaxRequests < 1 || s.MaxInFlight < 1 {
		return errors.New("duration, timeout, max_requests and max_in_flight must be above 0")
	}
	if len(s.Accounts) == 0 || len(s.Flows) == 0 {
		return errors.New("name at least one account and one flow")
	}
	for _, a := range s.Accounts {
		if a.Name == "" || a.Key == "" || a.Share <= 0 {
			return errors.Errorf("account %q needs a name, a key and a share above 0", a.Name)
		}
	}
	names := map[string]bool{}
	for i := range s.Flows {
		f := &s.Flows[i]
		if names[f.Name] {
			return errors.Errorf("flow name %q is used twice", f.Name)
		}
		names[f.Name] = true
		if err := f.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (f *Flow) validate() error {
	f.Attempts = lo.CoalesceOrEmpty(f.Attempts, 1)
	f.PromptWords = lo.CoalesceOrEmpty(f.PromptWords, presetPromptWords)
	f.Prefixes = lo.CoalesceOrEmpty(f.Prefixes, 1)
	f.MaxTokens = lo.CoalesceOrEmpty(f.MaxTokens, presetMaxTokens)
	switch {
	case f.Name == "" || f.Service == "":
		return errors.Errorf("flow %q needs a name and a service", f.Name)
	case f.Kind != KindStream && f.Kind != KindCompletion && f.Kind != KindBooking:
		return errors.Errorf("flow %q: kind %q is not stream, completion or booking", f.Name, f.Kind)
	case f.Kind == KindBooking && !strings.HasPrefix(f.Path, "/"):
		return errors.Errorf("flow %q: path must start with /", f.Name)
	case f.Rate <= 0 || f.Attempts < 1 || f.PromptWords < 1 || f.Prefixes < 1 || f.MaxTokens < 1:
		return errors.Errorf("flow %q: rate, attempts, prompt_words, prefixes and max_tokens must be above 0", f.Name)
	}
	for _, b := range f.Bursts {
		if b.At < 0 || b.Length <= 0 || b.Factor <= 0 {
			return errors.Errorf("flow %q: a burst needs a start, a length and a factor above 0", f.Name)
		}
	}
	return nil
}
