// This file defines when an order may be given and which orders are owed.

package clorder

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/chestnutlead/chestnutlead/cllease"
)

type (
	// Kind classifies a Refusal.
	Kind string

	// Refusal is an order that may not be given now; its message names the remedy.
	Refusal struct {
		Kind Kind
		// Left is the time for which the lease may still be trusted.
		Left time.Duration
		// Need is the time that the order needs.
		Need time.Duration
	}

	// Policy says how much of a lease must be left for an order.
	Policy struct {
		// SendTimeout bounds the time from the check until the endpoint has
		// answered or the connection is closed.
		SendTimeout time.Duration
		// Margin is added for endpoints that ignore the fencing number, against
		// a pause between the check and the sending.
		Margin time.Duration
	}

	// Permit allows one order with a fencing number.
	Permit struct {
		Fencing uint64
		// Before is when the order must have been sent and answered, else its
		// connection is closed.
		Before time.Time
	}

	// Order is what an endpoint is told to be.
	Order struct {
		Action  string
		Version string
		Role    string
	}

	// Ledger knows which orders are owed: those wanted and not confirmed under
	// the current fencing number. The zero value is empty. It is not safe for
	// concurrent use.
	Ledger struct {
		fencing uint64
		sent    Sent
		wanted  map[string]Order
		state   map[string]state
	}

	// Owed is an order that is still to be given.
	Owed struct {
		Endpoint string
		Order    Order
	}

	// Sent identifies an order that was sent.
	Sent uint64

	// state is what is known of an endpoint in the current term.
	state struct {
		// order is the order sent last, as sent.
		order     Order
		sent      Sent
		confirmed bool
	}
)

// Kinds of Refusal.
const (
	// KindNotHeld says that the lease is not held or not trusted any more.
	KindNotHeld Kind = "not_held"
	// KindShort says that too little of the lease is left.
	KindShort Kind = "short"
	// KindFenced says that the endpoint has seen a higher fencing number.
	KindFenced Kind = "fenced"
)

var _ error = (*Refusal)(nil)

// Error returns the reason and the remedy.
func (r *Refusal) Error() string {
	switch r.Kind {
	case KindShort:
		return fmt.Sprintf("order: %s of the lease are left and the order needs %s; give it after the next renewal", r.Left, r.Need)
	case KindFenced:
		return "order: the endpoint has seen a higher fencing number; stop and leave the order to the new holder"
	default:
		return "order: the lease is not held; leave the order to its holder"
	}
}

// KindOf returns the kind of the first Refusal in err's chain, or "" if there is none.
func KindOf(err error) Kind {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Kind
	}
	return ""
}

// Check returns a permit for one order at now, or a Refusal. It must be called
// again directly before each order and each repetition.
func (p Policy) Check(s cllease.State, now time.Time, checksFencing bool) (Permit, error) {
	left := s.Left(now)
	if !s.Held || left <= 0 {
		return Permit{}, &Refusal{Kind: KindNotHeld}
	}
	if checksFencing {
		return Permit{Fencing: s.Fencing, Before: now.Add(p.SendTimeout)}, nil
	}
	need := p.SendTimeout + p.Margin
	if left <= need {
		return Permit{}, &Refusal{Kind: KindShort, Left: left, Need: need}
	}
	return Permit{Fencing: s.Fencing, Before: s.Until.Add(-p.Margin)}, nil
}

// Accept is the check of an endpoint that honours fencing numbers: it accepts
// an order whose number is not below the highest it has seen.
func Accept(highest, fencing uint64) (uint64, error) {
	if fencing < highest {
		return highest, &Refusal{Kind: KindFenced}
	}
	return fencing, nil
}

// Begin starts the term of a fencing number. A new number forgets all
// confirmations, because the former holder may have ordered something since.
func (l *Ledger) Begin(fencing uint64) {
	if fencing != l.fencing {
		l.fencing, l.state = fencing, nil
	}
}

// Want replaces the order that an endpoint shall have followed.
func (l *Ledger) Want(endpoint string, o Order) {
	if l.wanted == nil {
		l.wanted = map[string]Order{}
	}
	l.wanted[endpoint] = o
}

// Forget drops an endpoint that has left or restarted. A restarted one is owed
// its order again after the next Want.
func (l *Ledger) Forget(endpoint string) {
	delete(l.wanted, endpoint)
	delete(l.state, endpoint)
}

// Sending says that an order to the endpoint is about to be sent; the former
// order's connection must be closed. Until it is confirmed it is not known
// which order the endpoint follows.
func (l *Ledger) Sending(endpoint string, o Order) Sent {
	if l.state == nil {
		l.state = map[string]state{}
	}
	l.sent++
	l.state[endpoint] = state{order: o, sent: l.sent}
	return l.sent
}

// Confirmed says that the endpoint has followed an order. A confirmation of
// any order but the last of this term is ignored.
func (l *Ledger) Confirmed(endpoint string, sent Sent) {
	if s, ok := l.state[endpoint]; ok && s.sent == sent {
		s.confirmed = true
		l.state[endpoint] = s
	}
}

// Owed returns the orders that are wanted and not known to be in force, by endpoint.
func (l *Ledger) Owed() []Owed {
	var owed []Owed
	for endpoint, o := range l.wanted {
		if s := l.state[endpoint]; !s.confirmed || s.order != o {
			owed = append(owed, Owed{Endpoint: endpoint, Order: o})
		}
	}
	slices.SortFunc(owed, func(a, b Owed) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return owed
}
