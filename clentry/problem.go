// This file defines refusals as problem documents (RFC 9457).

package clentry

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
)

type (
	// RunState says whether a refused request can have run.
	RunState string

	// Refusal is an answer that the entry gives in place of an endpoint's.
	Refusal struct {
		Status int
		// Code is the last part of the problem's type URI.
		Code   string
		Title  string
		Detail string
		Remedy string
		// Run is RunNot only if no byte of the request can have reached an endpoint.
		Run RunState
		// RetryAfter is zero if a retry cannot help.
		RetryAfter time.Duration
	}

	problem struct {
		Type   string   `json:"type"`
		Title  string   `json:"title"`
		Status int      `json:"status"`
		Detail string   `json:"detail,omitempty"`
		Run    RunState `json:"run"`
		Remedy string   `json:"remedy"`
	}
)

// Run states.
const (
	RunNot     RunState = "not_run"
	RunUnknown RunState = "unknown"
)

const (
	problemContentType = "application/problem+json"
	problemTypePrefix  = "urn:chestnutlead:problem:"
)

var _ error = (*Refusal)(nil)

// Error returns the title, the detail and the remedy.
func (r *Refusal) Error() string {
	return r.Title + ": " + r.Detail + "; " + r.Remedy
}

func (r *Refusal) document() []byte {
	b, err := json.Marshal(problem{
		Type: problemTypePrefix + r.Code, Title: r.Title, Status: r.Status,
		Detail: r.Detail, Run: r.Run, Remedy: r.Remedy,
	})
	if err != nil { // A struct of strings and an int always encodes.
		panic(err)
	}
	return b
}

func (r *Refusal) send(c *fiber.Ctx) error {
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	c.Set(fiber.HeaderContentType, problemContentType)
	return c.Status(r.Status).Send(r.document())
}

func refuseInvalid(detail, remedy string) *Refusal {
	return &Refusal{
		Status: fiber.StatusBadRequest, Code: "invalid_request", Title: "Invalid request",
		Detail: detail, Remedy: remedy, Run: RunNot,
	}
}

func refuseUnknownService(name string) *Refusal {
	return &Refusal{
		Status: fiber.StatusNotFound, Code: "unknown_service", Title: "Unknown service",
		Detail: "no service is named " + strconv.Quote(name),
		Remedy: "use a service name that the operators have created", Run: RunNot,
	}
}

func refuseUnauthorized() *Refusal {
	return &Refusal{
		Status: fiber.StatusUnauthorized, Code: "unauthorized", Title: "Unauthorized",
		Detail: "the API key is missing or belongs to no account",
		Remedy: "send a valid key as Authorization: Bearer <key>", Run: RunNot,
	}
}

func refuseUnavailable(run RunState, detail string, after time.Duration) *Refusal {
	return &Refusal{
		Status: fiber.StatusServiceUnavailable, Code: "unavailable", Title: "Service unavailable",
		Detail: detail, Remedy: "send the request again after the given time", Run: run, RetryAfter: after,
	}
}
