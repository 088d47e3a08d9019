// This file defines the answer of a request and the check that it is whole.

package clload

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

type (
	// Outcome says how a request ended for its caller.
	Outcome string

	// Answer is what arrived, over all attempts.
	Answer struct {
		Status int
		Header http.Header
		// Body is the answer of a request that is no stream.
		Body []byte
		// Events are the stream's events; Text is the generated text.
		Events []Event
		Text   string
		// Ended says that the stream's end mark has arrived.
		Ended bool
	}

	// Checker returns an error if an answer is not the whole answer to its
	// request. It is called for answers that arrived without a failure.
	Checker func(*Request, *Answer) error

	// Result is the outcome of one request with its times.
	Result struct {
		Request *Request
		Answer  *Answer
		Outcome Outcome
		// Err is the cause of any outcome but OutcomeWhole.
		Err      error
		Attempts int
		// FirstToken and Total count from the scheduled time; FirstToken is 0 without one.
		FirstToken time.Duration
		Total      time.Duration
		// Gaps are the times between the stream's tokens.
		Gaps []time.Duration
	}

	// problem is the refusal document of an entry.
	problem struct {
		Title  string `json:"title"`
		Detail string `json:"detail"`
		Run    string `json:"run"`
	}

	completion struct {
		Choices []struct {
			Text         string  `json:"text"`
			Delta        message `json:"delta"`
			Message      message `json:"message"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
	}
)

// Outcomes of a request.
const (
	// OutcomeWhole says that the whole answer arrived and passed the check.
	OutcomeWhole Outcome = "whole"
	// OutcomeNotRun says that the request was refused and has not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown says that the system does not know whether the request has run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeStreamError says that a stream ended with an error event.
	OutcomeStreamError Outcome = "stream_error"
	// OutcomeBroken says that the connection failed or ended before the answer did.
	OutcomeBroken Outcome = "broken"
	// OutcomeTimeout says that the answer was not complete in time.
	OutcomeTimeout Outcome = "timeout"
	// OutcomeCut says that the run was stopped before the answer was complete.
	OutcomeCut Outcome = "cut"
	// OutcomeWrong says that the check failed, or that a refusal has no problem document.
	OutcomeWrong Outcome = "wrong"
	// OutcomeNotSent says that too many requests were open already.
	OutcomeNotSent Outcome = "not_sent"
)

const (
	endOfStream = "[DONE]"
	errorEvent  = "error"
	problemType = "application/problem+json"
	runNotRun   = "not_run"
	runUnknown  = "unknown"
)

// WholeAnswer is the checker for any system behind an entry: streams have
// text, an end mark and event IDs without a gap; other answers are JSON, and
// a booking's answer is no server error.
func WholeAnswer(r *Request, a *Answer) error {
	switch r.Kind {
	case KindBooking:
		if a.Status >= http.StatusInternalServerError || !json.Valid(a.Body) {
			return errors.Errorf("booking answer with status %d and %d bytes is a server error or no JSON", a.Status, len(a.Body))
		}
		return nil
	case KindCompletion:
		if a.Text == "" {
			return errors.New("completion has no text")
		}
		return nil
	}
	if !a.Ended || a.Text == "" {
		return errors.Errorf("stream has %d events, %d bytes of text, ended: %t", len(a.Events), len(a.Text), a.Ended)
	}
	return contiguous(a.Events)
}

// contiguous checks the positions of the IDs "<stream>:<position>". The stream's
// name may change, because it says which endpoint holds the stream and a stream
// may be handed over. An event without text may repeat the position before it;
// events without an ID are passed over.
func contiguous(events []Event) error {
	last := -1
	for _, ev := range events {
		if ev.ID == "" {
			continue
		}
		i := strings.LastIndexByte(ev.ID, ':')
		position, err := strconv.Atoi(ev.ID[i+1:])
		if i < 0 || err != nil {
			return errors.Errorf("event ID %q is not <stream>:<position>", ev.ID)
		}
		repeats := position == last && tokenText([]byte(ev.Data)) == ""
		if last >= 0 && position != last+1 && !repeats {
			return errors.Errorf("event %q follows position %d", ev.ID, last)
		}
		last = position
	}
	return nil
}

// refusal reads a refusal; one without a problem document is wrong.
func refusal(a *Answer) (Outcome, error) {
	var p problem
	mediaType, _, _ := strings.Cut(a.Header.Get("Content-Type"), ";")
	if mediaType != problemType || json.Unmarshal(a.Body, &p) != nil {
		return OutcomeWrong, errors.Errorf("status %d without a problem document", a.Status)
	}
	err := errors.Errorf("status %d: %s: %s", a.Status, p.Title, p.Detail)
	switch p.Run {
	case runNotRun:
		return OutcomeNotRun, err
	case runUnknown:
		return OutcomeUnknown, err
	default:
		return OutcomeWrong, errors.Errorf("status %d with run %q, which is neither not_run nor unknown", a.Status, p.Run)
	}
}

// tokenText returns the text of one event or completion.
func tokenText(data []byte) string {
	var c completion
	if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text + c.Choices[0].Delta.Content + c.Choices[0].Message.Content
}
