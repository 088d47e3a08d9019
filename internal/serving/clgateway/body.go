// This file defines how request bodies are read within the memory budget.

package clgateway

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/limits/clmemory"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

type (
	// memory holds the memory that the gateway holds for callers and endpoints.
	memory struct {
		budget clmemory.Budget
		// bodies are the bodies that are still arriving. Only they are reclaimed:
		// a body that has arrived in full belongs to a request that may have been sent.
		bodies clmemory.Transfers
	}

	// heldMemory is what a call holds of the budget, apart from connections.
	heldMemory struct {
		body      *clmemory.Buffer
		bodyBytes int64
		// responseBytes and eventBytes are for the responses of endpoints.
		responseBytes, eventBytes int64
	}

	// bodyReader reads the body of one request.
	bodyReader struct {
		clmemory.Transfer
		g  *Gateway
		c  *call
		rc *http.ResponseController
		// limit is the size of the largest body.
		limit int64
		// windowBytes is how many bytes have arrived in the present bodyWindow, which has
		// begun if windowChecked is set.
		windowBytes   int
		windowChecked bool
		// one is the buffer of the read that finds the end of a body whose buffer is full.
		one [1]byte
	}
)

const (
	// smallBodyBytes is the size up to which the memory of a body of known length counts
	// as small, and firstReadBytes the memory that any body may hold as a small one.
	// Prompts of several thousand tokens fit in smallBodyBytes.
	smallBodyBytes = 64 << 10
	firstReadBytes = clmemory.SmallTransferBytes
	// A body that holds more than smallBodyBytes must bring minWindowBytes in each
	// bodyWindow, which is 4 KiB/s. That is 1/300 of a link of 10 Mbit/s, so that hundreds
	// of callers may share one, and the window spans the retransmissions of a packet
	// that is lost three times (0.2, 0.4, 0.8 and 1.6 s). Smaller bodies hold too little to
	// be worth cutting off.
	bodyWindow     = 5 * time.Second
	minWindowBytes = 20 << 10
	// reclaimTimeout is how long a request waits for memory. Transfers that are stopped
	// release theirs as soon as their goroutines run, and ordinary requests last about as
	// long as this.
	reclaimTimeout = 500 * time.Millisecond
	// memoryPollInterval is the time between two attempts to reserve memory. It is short
	// beside the transfer of a body of 1 MiB, and long beside the cost of an attempt
	// (BenchmarkReclaim).
	memoryPollInterval = 5 * time.Millisecond
	// memoryRetryAfter is the Retry-After of requests that get no memory. It is the time
	// after which a stalled body counts as slower than most that begin.
	memoryRetryAfter = time.Second
)

var (
	errNoMemory     = errors.New("no memory for the request body")
	errBodyTooLarge = errors.New("request body exceeds the limit")

	// past is a deadline that ends blocked reads at once.
	past = time.Unix(1, 0)
)

// readBody reads the request body. It returns an error response if the body is larger
// than the configured limit, arrives too slowly or not before the request's deadline, or
// if there is no memory for it. Such a request has not run, and its connection is closed.
func (g *Gateway) readBody(c *call, cat *clcatalog.Catalog) *errorResponse {
	limit := int64(cat.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.r.ContentLength > limit {
		return &errorResponse{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	r := &bodyReader{g: g, c: c, rc: http.NewResponseController(c.w), limit: limit}
	r.Stop = r.stop
	// The deadline is set before Stop may be called, so that it does not replace that of Stop.
	if err := r.rc.SetReadDeadline(c.deadline); err != nil {
		g.Logger.Debug("setting the read deadline failed", zap.Error(err))
	}
	g.memory.bodies.Begin(&r.Transfer, time.Now())
	err := r.read()
	stopped := g.memory.bodies.End(&r.Transfer)
	switch {
	case err == nil && !stopped:
		if err := r.rc.SetReadDeadline(time.Time{}); err != nil {
			g.Logger.Debug("clearing the read deadline failed", zap.Error(err))
		}
		return nil
	case errors.Is(err, errBodyTooLarge):
		c.releaseBody(g)
		return &errorResponse{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	}
	c.releaseBody(g)
	c.w.Header().Set("Connection", "close")
	if conn, ok := c.r.Context().Value(connKey{}).(*callerConn); ok {
		conn.linger.Store(true)
	}
	switch {
	case stopped || errors.Is(err, errNoMemory):
		g.recordShortage("body_refused")
		return &errorResponse{http.StatusServiceUnavailable, "memory_short", memoryRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.deadline):
		return &errorResponse{http.StatusRequestTimeout, "body_too_slow", 0}
	}
	return &errorResponse{http.StatusRequestTimeout, "body_incomplete", 0}
}

// read reads the body into c.body.
func (r *bodyReader) read() error {
	held, length := &r.c.held, r.c.r.ContentLength
	for {
		if held.body == nil || len(held.body.B) == cap(held.body.B) && int64(len(held.body.B)) != length {
			if err := r.grow(); err != nil {
				return err
			}
		}
		b := held.body.B
		spare := b[len(b):cap(b)]
		if len(spare) == 0 {
			// The body is complete; only its end is missing.
			spare = r.one[:]
		}
		n, err := r.c.r.Body.Read(spare)
		if int64(len(b)+n) > r.limit {
			return errBodyTooLarge
		}
		held.body.B = b[:min(len(b)+n, cap(b))]
		if err == io.EOF {
			r.c.body, r.c.bodyRead = held.body.B, true
			return nil
		}
		if err != nil {
			return err
		}
		now := time.Now()
		// Progress comes last: it reports a Stop whose deadline checkRate has replaced.
		r.checkRate(n, now)
		if !r.g.memory.bodies.Progress(&r.Transfer, n, held.bodyBytes, now) {
			return errNoMemory
		}
	}
}

// checkRate counts n bytes toward the minimum rate and sets the read deadline to the time
// by which it must be reached.
func (r *bodyReader) checkRate(n int, now time.Time) {
	r.windowBytes += n
	if r.c.held.bodyBytes <= smallBodyBytes || r.windowChecked && r.windowBytes < minWindowBytes {
		return
	}
	r.windowChecked, r.windowBytes = true, 0
	end := now.Add(bodyWindow)
	if end.After(r.c.deadline) {
		end = r.c.deadline
	}
	if err := r.rc.SetReadDeadline(end); err != nil {
		r.g.Logger.Debug("setting the read deadline failed", zap.Error(err))
	}
}

// stop ends the read. It is the Stop of the transfer. If the body ends at the same moment,
// the request is refused as well, since the deadline cancels its context.
func (r *bodyReader) stop() {
	// It fails only if the connection is closed, which ends the read as well.
	_ = r.rc.SetReadDeadline(past)
}

// grow replaces the buffer of the body by one of twice the size, but not more than the
// body may need. Both are reserved while the content is copied.
func (r *bodyReader) grow() error {
	held := &r.c.held
	needed, length := r.limit+1, r.c.r.ContentLength
	if length > 0 {
		needed = length
	}
	size := int64(firstReadBytes)
	if length < 0 {
		size = clmemory.MinBufferBytes
	}
	if held.body != nil {
		size = 2 * int64(cap(held.body.B))
	}
	size = int64(clmemory.RoundUp(int(min(size, needed))))
	small := size <= firstReadBytes || length > 0 && length <= smallBodyBytes
	if !r.reserve(size, small) {
		return errNoMemory
	}
	bigger := clmemory.Get(int(size))
	if held.body != nil {
		bigger.B = append(bigger.B, held.body.B...)
		clmemory.Put(held.body)
		r.g.memory.budget.Add(clmemory.Bodies, -held.bodyBytes)
	}
	held.body, held.bodyBytes = bigger, size
	return nil
}

// reserve reserves memory for the body. If the budget is short, it stops slower transfers
// and waits for their memory or that of other requests, unless it is stopped itself.
func (r *bodyReader) reserve(size int64, small bool) bool {
	m := &r.g.memory
	if m.budget.Reserve(clmemory.Bodies, size, r.c.held.bodyBytes, small) {
		return true
	}
	for end := time.Now().Add(reclaimTimeout); ; time.Sleep(memoryPollInterval) {
		now := time.Now()
		if now.After(end) || !m.bodies.Progress(&r.Transfer, 0, r.c.held.bodyBytes, now) {
			return false
		}
		m.bodies.Reclaim(&r.Transfer, size, now)
		if m.budget.Reserve(clmemory.Bodies, size, r.c.held.bodyBytes, small) {
			return true
		}
	}
}

// bytes returns the sum of what a call holds.
func (h *heldMemory) bytes() int64 { return h.bodyBytes + h.responseBytes + h.eventBytes }

// reserveEvent reserves memory for an event of a stream. If the budget is short,
// unfinished bodies are stopped, but only their release within reclaimTimeout counts.
func (g *Gateway) reserveEvent(a *attempt, size int64) bool {
	m, own := &g.memory, a.held.bytes()
	if m.budget.Reserve(clmemory.Events, size, own, false) {
		return true
	}
	for end := time.Now().Add(reclaimTimeout); ; time.Sleep(memoryPollInterval) {
		now := time.Now()
		released := !now.After(end) && m.bodies.Reclaim(nil, size, now)
		if m.budget.Reserve(clmemory.Events, size, own, false) {
			return true
		}
		if !released {
			return false
		}
	}
}

// recordShortage logs that the memory budget was short, once in limitLogInterval for each
// consequence.
func (g *Gateway) recordShortage(consequence string) {
	n := g.limitLog.record(consequence, time.Now())
	if n == 0 {
		return
	}
	b := &g.memory.budget
	g.Logger.Warn("memory budget is short", zap.String("consequence", consequence), zap.Int("count", n), zap.Int64("limit", b.Limit),
		zap.Int64("connections", b.Held(clmemory.Connections)), zap.Int64("bodies", b.Held(clmemory.Bodies)),
		zap.Int64("responses", b.Held(clmemory.Responses)), zap.Int64("events", b.Held(clmemory.Events)), zap.Int64("questions", b.Held(clmemory.Questions)))
}

// releaseBody releases the memory of the request body.
func (c *call) releaseBody(g *Gateway) {
	if c.held.body == nil {
		return
	}
	g.memory.budget.Add(clmemory.Bodies, -c.held.bodyBytes)
	clmemory.Put(c.held.body)
	c.held.body, c.held.bodyBytes, c.body = nil, 0, nil
}

// releaseMemory releases all memory of a call that has ended.
func (c *call) releaseMemory(g *Gateway) {
	c.releaseBody(g)
	if c.held.responseBytes > 0 {
		g.memory.budget.Add(clmemory.Responses, -c.held.responseBytes)
	}
	if c.held.eventBytes > 0 {
		g.memory.budget.Add(clmemory.Events, -c.held.eventBytes)
	}
	c.held = heldMemory{}
}
