// This file defines how attempts whose endpoint crashes, or does not, are recorded.

package clgateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/chestnutlead/chestnutlead/internal/limits/clcrash"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"go.uber.org/zap"
)

const (
	// crashRetryAfter is the Retry-After of the response to a request that would crash
	// an endpoint.
	crashRetryAfter = time.Minute
	// crashWindow is the time after the first event, or the response, within which a
	// request may still crash its endpoint. One that has been answered for longer is not
	// the cause of a crash.
	crashWindow = time.Second

	// reasonRequestCrashes and reasonPartCrashes are the reasons for refusing a request
	// that has crashed endpoints, and one with a part in its prompt under which
	// endpoints crash.
	reasonRequestCrashes clfleet.Reason = "ends_endpoints"
	reasonPartCrashes    clfleet.Reason = "part_ends_endpoints"
)

// traits returns what the request may have in common with others: itself, which its
// caller may repeat, and the parts of its prompt but the last one, which is its own.
func traits(c *call) []clcrash.Trait {
	all := []clcrash.Trait{{ID: c.fingerprint, Depth: clcrash.WholeRequest}}
	parts := c.reqInfo.PromptParts
	for i := range len(parts) - 1 {
		all = append(all, clcrash.Trait{ID: parts[i].ID, Depth: uint8(min(i, int(clcrash.WholeRequest)-1))})
	}
	return all
}

// crashRefusal returns the reason why the request is not sent to endpoints because it
// would crash them, or "" if it is sent.
func (g *Gateway) crashRefusal(c *call) clfleet.Reason {
	trait, refuses := g.Crashes.Refuses(c.traits, clclock.Now())
	switch {
	case !refuses:
		return ""
	case trait.Depth == clcrash.WholeRequest:
		return reasonRequestCrashes
	}
	return reasonPartCrashes
}

// recordCrash records a crash of the endpoint with the request as a suspect, if the
// endpoint no longer accepts connections. If it still accepts them, or if Probe is nil,
// it is assumed that only the connection or the response was lost.
func (g *Gateway) recordCrash(ctx context.Context, a *attempt) {
	now := clclock.Now()
	if g.Probe == nil {
		return
	}
	if accepts, err := g.accepts(ctx, a); accepts || err != nil {
		return
	}
	writingFor := time.Duration(0)
	if !a.beganAt.IsZero() {
		writingFor = now.Sub(a.beganAt)
	}
	crashes := 0
	if writingFor < crashWindow {
		crashes = g.Crashes.Record(xxhash.Sum64String(a.choice.Endpoint+"/"+strconv.FormatInt(a.choice.Born, 10)), a.traits, now)
	}
	g.collectors.crashes.WithLabelValues(a.service).Inc()
	g.Logger.Info("endpoint crashed while running the request", zap.String("request", a.reqInfo.ID),
		zap.String("endpoint", a.choice.Endpoint), zap.String("fingerprint", strconv.FormatUint(a.fingerprint, 16)), zap.Int("crashes", crashes),
		zap.Strings("prompt_parts", partNames(a.reqInfo.PromptParts)), zap.Bool("header_read", a.response != nil), zap.Duration("writing_for", writingFor))
}

// recordSound records, once for an attempt, that the request does not crash endpoints:
// its response is complete, or has been arriving for longer than crashWindow.
func (g *Gateway) recordSound(a *attempt, complete bool) {
	if a.foundSound || a.beganAt.IsZero() || !complete && clclock.Now().Sub(a.beganAt) < crashWindow {
		return
	}
	a.foundSound = true
	g.Crashes.RecordSound(a.traits, a.beganAt)
}

// partNames returns the IDs of the parts of a prompt in the form in which callers state
// them.
func partNames(parts []clfleet.PromptPart) []string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = strconv.FormatUint(p.ID, 16)
	}
	return names
}
