// This file defines calls that may run at most once.

package clentry

import (
	"time"

	"github.com/chestnutlead/chestnutlead/clbooking"
	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"
)

const (
	headerReplayed  = "Idempotency-Replayed"
	resendPoll      = 200 * time.Millisecond
	withdrawTimeout = 2 * time.Second
	maxKeyBytes     = 255
)

// once is one attempt at a call that may run at most once.
type once struct {
	*passage
	ledger *clbooking.Ledger
	record *clstate.BookingRecord
	// sent is the failure of the first attempt of which a byte may have
	// reached an endpoint; from then on no refusal may say "not run".
	sent error
}

// runOnce answers a non-repeatable call: it claims the key, sends the call at
// most once, and answers a resend from the record.
func (p *passage) runOnce() error {
	key := p.cl.c.Get(headerIdempotencyKey)
	if key == "" || len(key) > maxKeyBytes {
		return refuseInvalid("this call may not be repeated and needs an Idempotency-Key of 1 to 255 bytes",
			"send a key that is unique for each booking, a UUIDv7 for instance, and the same key when you send it again")
	}
	o := &once{passage: p, ledger: p.h.ledgers.get(p.svc)}
	pl, r := p.h.gate.acquire(p.ctx, p.w)
	if r != nil && r.Code != "overloaded" && r.Code != "unavailable" {
		return r
	}
	if r != nil {
		return o.answerResendOr(key, r)
	}
	return o.claim(key, pl)
}

// answerResendOr answers from the record if the key has one, and else with r:
// a resend needs no endpoint.
func (o *once) answerResendOr(key string, r *Refusal) error {
	rec, err := o.ledger.Lookup(o.ctx, clbooking.KeyOf(o.cl.account.GetName(), o.svc.GetName(), key))
	if err != nil {
		return o.refuseUnrecorded(err)
	}
	if rec == nil || rec.GetState() == clstate.BookingState_BOOKING_STATE_RELEASED {
		return r
	}
	own, err := o.newRecord(key)
	if err != nil {
		return o.refuseKey(err)
	}
	o.record = own
	return o.answerFrom(clbooking.Judge(own, rec), rec)
}

func (o *once) newRecord(key string) (*clstate.BookingRecord, error) {
	return o.ledger.NewRecord(clbooking.Call{
		Account: o.cl.account.GetName(), IdempotencyKey: key, Method: o.call.Method, Path: o.call.Path, Body: o.call.Body,
	}, o.h.ledgers.ids.Next(), o.h.runner.node.Member.Self.ID)
}

func (o *once) claim(key string, pl *place) error {
	rec, err := o.newRecord(key)
	if err != nil {
		o.h.gate.giveBack(pl)
		return o.refuseKey(err)
	}
	o.record = rec
	verdict, stored, err := o.ledger.Begin(o.ctx, rec)
	if err != nil {
		return o.unclaimed(err, pl)
	}
	if verdict != clbooking.VerdictProceed {
		o.h.gate.giveBack(pl)
		return o.answerFrom(verdict, stored)
	}
	if !o.h.gate.renew(pl) {
		return o.again(nil)
	}
	return o.sendClaimed(pl)
}

// unclaimed answers when the record cannot be written: the call is not sent,
// unless the service removes duplicates itself and its setting says so.
func (o *once) unclaimed(err error, pl *place) error {
	if o.svc.GetOnOutage() == clstate.OnOutage_ON_OUTAGE_PASS && o.svc.GetDeduplicates() &&
		clbooking.KindOf(err) == clbooking.KindUnavailable && o.h.gate.renew(pl) {
		o.h.log.Info("Booking record is unavailable. The call is passed to an endpoint that removes duplicates.",
			zap.String("request", o.w.id), zap.String("service", o.svc.GetName()))
		return o.passWithout(pl)
	}
	o.h.gate.giveBack(pl)
	o.h.log.Info("Booking record is unavailable. The call is not sent.", zap.String("request", o.w.id), zap.Error(err))
	return o.refuseUnrecorded(err)
}

// refuseUnrecorded never says "not run": another entry may reach the object API
// although this one does not, and may have sent the call under the same key.
func (o *once) refuseUnrecorded(err error) *Refusal {
	return &Refusal{
		Status: fiber.StatusServiceUnavailable, Code: "record_unavailable", Title: "Booking record unavailable",
		Detail: "this request was not sent to an endpoint; whether another one with the same key was is not known: " + err.Error(),
		Remedy: "send the request again with the same key", Run: RunUnknown, RetryAfter: 2 * time.Second,
	}
}

// passWithout sends the call without a record, with its key, to an endpoint
// that removes duplicates.
func (o *once) passWithout(pl *place) error {
	c := o.call
	c.NewConnection = true
	answer, err := o.send(pl, c)
	if err != nil {
		run := lo.Ternary(kindOf(err) == clendpoint.KindNotSent, RunNot, RunUnknown)
		return refuseUnavailable(run, "the endpoint did not answer while the booking record is unavailable: "+err.Error(), time.Second)
	}
	return o.reply(answer)
}

// sendClaimed sends the call under its claim. A call of which no byte was sent
// may go to another endpoint; after that it is never sent again, unless the
// service removes duplicates.
func (o *once) sendClaimed(pl *place) error {
	c := o.call
	c.AttemptID = o.record.GetAttemptId()
	c.NewConnection = true
	answer, err := o.send(pl, c)
	if err == nil {
		return o.finish(answer)
	}
	o.w.failedAt(pl.endpoint.id)
	if kindOf(err) == clendpoint.KindNotSent {
		return o.again(err)
	}
	if o.sent == nil {
		o.sent = err
	}
	if o.svc.GetDeduplicates() {
		if r := o.mayRetry(err, true); r == nil {
			next, r := o.h.gate.acquire(o.ctx, o.w)
			if r == nil {
				return o.sendClaimed(next)
			}
		}
	}
	return o.unknown(o.sent)
}

// again looks for another endpoint for a claimed call whose last attempt was
// not sent.
func (o *once) again(cause error) error {
	if cause != nil {
		if r := o.mayRetry(cause, o.sent != nil); r != nil {
			return o.giveUp(r)
		}
	}
	pl, r := o.h.gate.acquire(o.ctx, o.w)
	if r != nil {
		return o.giveUp(r)
	}
	return o.sendClaimed(pl)
}

// giveUp ends a claimed call that no endpoint answered. Its claim is withdrawn
// only if no attempt was sent.
func (o *once) giveUp(r *Refusal) error {
	if o.sent != nil {
		return o.unknown(o.sent)
	}
	return o.withdraw(r)
}

// withdraw releases the claim of a call that was never sent.
func (o *once) withdraw(r *Refusal) error {
	ctx, cancel := o.h.detached(withdrawTimeout)
	defer cancel()
	if err := o.ledger.Release(ctx, o.record); err != nil {
		o.h.log.Warn("Claim could not be withdrawn. A resend will get an unknown outcome.",
			zap.String("request", o.w.id), zap.Error(err))
	}
	r.Run = RunNot
	return r
}

func (o *once) unknown(cause error) error {
	if err := o.ledger.Finish(o.record, clstate.BookingState_BOOKING_STATE_UNKNOWN, nil); err != nil {
		o.h.log.Warn("Outcome could not be queued.", zap.String("request", o.w.id), zap.Error(err))
	}
	return refuseOutcomeUnknown("the endpoint broke off while it ran the call: " + cause.Error())
}

func (o *once) finish(a *wholeAnswer) error {
	err := o.ledger.Finish(o.record, clstate.BookingState_BOOKING_STATE_DONE, &clstate.BookingAnswer{
		Status: uint32(a.status), ContentType: contentType(a.header), Body: a.body,
	})
	if err != nil {
		o.h.log.Warn("Outcome could not be queued. A resend will get an unknown outcome.",
			zap.String("request", o.w.id), zap.Error(err))
	}
	return o.reply(a)
}

// answerFrom answers a resend from the record of the first run.
func (o *once) answerFrom(v clbooking.Verdict, rec *clstate.BookingRecord) error {
	deadline := time.Now().Add(o.h.resendWait)
	for {
		switch v {
		case clbooking.VerdictReplay:
			return o.replay(rec.GetAnswer())
		case clbooking.VerdictMismatch:
			return refuseMismatch()
		case clbooking.VerdictUnknown:
			return refuseOutcomeUnknown("an earlier request with this key was sent, and its answer is not known")
		case clbooking.VerdictWithdrawn:
			return refuseUnavailable(RunNot, "the earlier request with this key was withdrawn before it was sent", time.Second)
		}
		if !o.holderLives(rec) {
			return refuseOutcomeUnknown("the entry that sent an earlier request with this key is gone")
		}
		if time.Now().After(deadline) || clwait.Pause(o.ctx, resendPoll) != nil {
			r := refuseOutcomeUnknown("an earlier request with this key is still running")
			r.RetryAfter = time.Second
			return r
		}
		next, err := o.ledger.Lookup(o.ctx, clbooking.Key(rec.GetKey()))
		if err != nil || next == nil {
			continue
		}
		rec, v = next, clbooking.Judge(o.record, next)
	}
}

// holderLives reports whether the process that made the claim is running.
func (o *once) holderLives(rec *clstate.BookingRecord) bool {
	node := o.h.runner.node
	if rec.GetHolder() == node.Member.Self.ID {
		return true
	}
	for _, m := range node.Members() {
		if m.ID == rec.GetHolder() {
			return m.Live()
		}
	}
	return false
}

func (o *once) replay(a *clstate.BookingAnswer) error {
	o.cl.c.Set(headerReplayed, "true")
	if a.GetContentType() != "" {
		o.cl.c.Set(fiber.HeaderContentType, a.GetContentType())
	}
	o.h.tracker.end()
	return o.cl.c.Status(int(a.GetStatus())).Send(a.GetBody())
}

func (o *once) refuseKey(err error) *Refusal {
	var e *clbooking.Error
	if !errors.As(err, &e) {
		return refuseInvalid(err.Error(), "send a valid key")
	}
	r := refuseInvalid(e.Detail, "send a new booking with a new key after you have checked that the first one was not made")
	r.Code = "key_" + string(e.Kind)
	if e.Kind == clbooking.KindExpired {
		r.Status, r.Title, r.Run = fiber.StatusConflict, "Key expired", RunUnknown
	}
	return r
}

func refuseMismatch() *Refusal {
	return &Refusal{
		Status: fiber.StatusUnprocessableEntity, Code: "key_reused", Title: "Key reused",
		Detail: "the Idempotency-Key was used for another call", Remedy: "use a new key for each booking", Run: RunNot,
	}
}

func refuseOutcomeUnknown(detail string) *Refusal {
	return &Refusal{
		Status: fiber.StatusConflict, Code: "outcome_unknown", Title: "Outcome unknown", Detail: detail,
		Remedy: "check with the service whether the booking was made before you send it under a new key", Run: RunUnknown,
	}
}
