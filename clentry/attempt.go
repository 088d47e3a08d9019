// This file defines attempts, which run one request at one endpoint each.

package clentry

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clroute"
	"github.com/chestnutlead/chestnutlead/clslot"
	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// bootProbeWait bounds how long a broken attempt waits to learn whether
	// its endpoint restarted.
	bootProbeWait     = time.Second
	bootProbeInterval = 50 * time.Millisecond
	crashLifetime     = time.Hour
	// abandonedHold is how long the slot of an abandoned attempt stays taken,
	// because its endpoint learns of the closed connection only with its next write.
	abandonedHold = 200 * time.Millisecond
)

type (
	// runner sends attempts and accounts for their ends.
	runner struct {
		gate     *gate
		fleet    *fleet
		client   clendpoint.Client
		observer clendpoint.Observer
		node     *clpeer.Node
		evidence *evidence
		log      *zap.Logger
		boot     string
		attempts atomic.Uint64
	}

	// attempt is one attempt in progress.
	attempt struct {
		r      *runner
		w      *work
		p      *place
		route  string
		sent   time.Time
		answer *clendpoint.Answer
		first  time.Duration
		// cold says that the endpoint was cold when the attempt was sent.
		cold    bool
		settled bool
	}
)

// nextID returns an attempt ID, unique per boot and call.
func (r *runner) nextID() string {
	return fmt.Sprintf("%s-%d", r.boot, r.attempts.Add(1))
}

// start sends the call to the place and waits for the answer's header. The
// attempt is settled already if an error is returned.
func (r *runner) start(ctx context.Context, w *work, p *place, route string, c clendpoint.Call) (*attempt, error) {
	a := &attempt{r: r, w: w, p: p, route: route, sent: time.Now(), cold: r.fleet.load(p.endpoint.id).Cold}
	if c.AttemptID == "" {
		c.AttemptID = r.nextID()
	}
	c.Endpoint, c.BootID, c.SendBefore = p.endpoint.addr, p.ticket.BootID, p.ticket.SendBefore
	c.Header = append(c.Header, clendpoint.Header{Name: "X-Request-ID", Value: w.id})
	if a.sent.After(p.ticket.SendBefore) {
		err := &clendpoint.Error{Kind: clendpoint.KindNotSent, Err: errors.New("the process was paused after it took the slot")}
		a.settle(err)
		return nil, err
	}
	answer, err := r.client.Do(ctx, c)
	if err != nil {
		if restarted := restartOf(err); restarted != nil {
			r.gate.restarted(p.endpoint.id, restarted)
		}
		a.settle(err)
		return nil, err
	}
	a.answer = answer
	return a, nil
}

// firstByte notes that the answer's content has begun. The grantor is told at
// once: a stream that began slowly on a cold endpoint may go on for minutes.
func (a *attempt) firstByte() {
	if a.first == 0 {
		a.first = time.Since(a.sent)
		a.r.gate.firstToken(a.w, a.p, a.first)
	}
}

// settle ends the attempt exactly once: it closes the connection, frees the
// slot and records the outcome. A nil error means that the answer is whole.
func (a *attempt) settle(err error) {
	if a.settled {
		return
	}
	a.settled = true
	if a.answer != nil {
		_ = a.answer.Body.Close() // Nothing follows on this attempt.
	}
	status := 0
	if a.answer != nil {
		status = a.answer.Status
	}
	fault := endpointFault(err, status)
	if !isCallerGone(err) && !errors.Is(err, errHandedOver) {
		a.r.evidence.add(a, fault, isBroken(err))
	}
	suspect := isBroken(err) && a.r.checkCrash(a.w, a.p)
	if err == nil && a.w.route.Alone {
		a.r.gate.finishedAlone(a.w.fingerprint)
	}
	outcome := clslot.Outcome{Healthy: err == nil && !fault, Failed: fault}
	result := clroute.Result{OK: err == nil && !fault, Fault: fault, Suspect: suspect, FirstToken: a.first}
	if err == nil || kindOf(err) == clendpoint.KindNotSent {
		a.r.gate.release(a.p, outcome, result)
	} else {
		time.AfterFunc(abandonedHold, func() { a.r.gate.release(a.p, outcome, result) })
	}
	if err != nil {
		a.r.log.Info("Attempt failed.", zap.String("request", a.w.id), zap.String("endpoint", a.p.endpoint.id),
			zap.Bool("suspect", suspect), zap.Error(err))
	}
}

var (
	// errCallerGone says that the caller ended the request.
	errCallerGone = errors.New("the caller closed its connection")
	// errHandedOver says that the request goes on at another endpoint.
	errHandedOver = errors.New("the request was handed over to another endpoint")
)

func isCallerGone(err error) bool {
	return errors.Is(err, errCallerGone) || errors.Is(err, context.Canceled)
}

func kindOf(err error) clendpoint.Kind {
	var e *clendpoint.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// restartOf returns the restart because of which the request was not sent, or nil.
func restartOf(err error) *clendpoint.RestartedError {
	var e *clendpoint.RestartedError
	errors.As(err, &e) // e stays nil if there is none.
	return e
}

func isBroken(err error) bool {
	return kindOf(err) == clendpoint.KindBroken && !isCallerGone(err)
}

// endpointFault reports whether the endpoint is to blame: it broke off, stayed
// silent, could not be reached, or answered with a server error. A restart that
// was found before the request was sent is no fault of the request's attempt.
func endpointFault(err error, status int) bool {
	if err != nil {
		return !isCallerGone(err) && kindOf(err) != "" && restartOf(err) == nil
	}
	return status >= 500
}

// checkCrash finds out whether the endpoint restarted while it ran the
// request, and tells the peers before the request is answered or sent again.
func (r *runner) checkCrash(w *work, p *place) bool {
	now := time.Now()
	g := r.gate
	g.mu.Lock()
	g.crashes.Broke(w.fingerprint, p.endpoint.id, p.ticket.BootID, now)
	g.mu.Unlock()
	bootID := r.probeBoot(p)
	if bootID == "" || bootID == p.ticket.BootID {
		return false
	}
	r.evidence.restarted(p.endpoint.id)
	g.mu.Lock()
	g.holder.BootEnded(p.endpoint.id, p.ticket.BootID)
	g.refreshSlots(p.endpoint.id, now)
	crashes := g.crashes.Booted(p.endpoint.id, bootID, time.Now())
	g.mu.Unlock()
	suspect := false
	for _, c := range crashes {
		suspect = suspect || c.Fingerprint == w.fingerprint
		r.spreadCrash(c)
	}
	return suspect
}

// probeBoot returns the endpoint's boot ID after a broken connection, or "" if
// the endpoint does not answer in time.
func (r *runner) probeBoot(p *place) string {
	ctx, cancel := context.WithTimeout(context.Background(), bootProbeWait)
	defer cancel()
	for {
		l, err := r.observer.Load(ctx, p.endpoint.addr)
		if err == nil {
			r.gate.report(p.endpoint.id, l)
			return l.BootID
		}
		if clwait.Pause(ctx, bootProbeInterval) != nil {
			return ""
		}
	}
}

// readAll reads the whole answer's body, up to limit bytes.
func (a *attempt) readAll(limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(bodyOf(a), int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, &clendpoint.Error{Kind: clendpoint.KindBroken, Err: errors.New("the answer is over the size limit")}
	}
	return body, nil
}

type firstByteReader struct{ a *attempt }

// Read implements io.Reader and notes the first byte.
func (f firstByteReader) Read(p []byte) (int, error) {
	n, err := f.a.answer.Body.Read(p)
	if n > 0 {
		f.a.firstByte()
	}
	return n, err
}

func bodyOf(a *attempt) io.Reader { return firstByteReader{a} }
