// This file defines the core: which call a process makes next for its lease.

package cllease

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

type (
	// Action is the kind of a Decision.
	Action int

	// Decision is the next step of a lease.
	Decision struct {
		Action Action
		// Until is when to ask again, for ActionWait; zero means that only a
		// call of SetWanted or SetHalvings changes anything.
		Until time.Time
		// Key is the object that is read or updated.
		Key string
		// Value and IfVersion are the update's, for ActionUpdate.
		Value     []byte
		IfVersion uint64
	}

	// Core decides the calls of one process for one lease. It is not safe for
	// concurrent use. The caller executes the decision of Next and reports its
	// outcome with Observed or Updated before it asks again.
	Core struct {
		cfg    Config
		wanted bool
		// lease is the content last read or confirmed; nil if none exists.
		lease   *clstate.Lease
		version uint64
		// firstSeen is when this process first received lease's renewal value.
		firstSeen time.Time
		corrupt   error

		// stale says that the content must be read before the next update.
		stale   bool
		readAt  time.Time
		retryAt time.Time

		// proposal is the update sent last, sentAt the time of the first update
		// that carried its renewal value on the same version. Only an update
		// on the current version can still take effect, so earlier ones need
		// not be remembered.
		proposal        *clstate.Lease
		proposalVersion uint64
		sentAt          time.Time

		// fencing and until describe the lease that this process held last.
		fencing uint64
		until   time.Time
		// gone says that a release was sent or another holder was seen.
		gone bool
		// era is the latest era of the store. Leases of different eras are in different
		// objects.
		era uint64
		// freeFrom is when all leases of earlier eras have lapsed, as far as this
		// process can tell.
		freeFrom time.Time
		// earlier is the content last seen in an earlier era, and ownEarlier says that
		// no other process can hold a lease of an earlier era.
		earlier    *clstate.Lease
		ownEarlier bool
		// outage says that a call failed since the last confirmed renewal. A read
		// that succeeds in between does not end it: the lease may have lapsed
		// because of it, and is not held again before a renewal.
		outage   bool
		halvings *uint32
		payload  []byte
		// inherited is the payload in the content on which the lease was
		// acquired, and released whether its holder had released it.
		inherited []byte
		released  bool
		// origin describes the lease that this process held last, acquiring the one
		// that its proposal would acquire.
		origin, acquiring Origin
	}
)

// eraShift is the number of bits of a fencing number that count the holders of an era.
const eraShift = 32

// Actions of a Decision.
const (
	// ActionWait makes no call until Decision.Until.
	ActionWait Action = iota
	// ActionRead reads the object; its outcome goes to Observed.
	ActionRead
	// ActionUpdate updates the object; its outcome goes to Updated.
	ActionUpdate
)

// NewCore returns the core of a process that wants the lease.
func NewCore(cfg Config) (*Core, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Core{cfg: cfg, wanted: true, stale: true, gone: true}, nil
}

// Next returns the next step at now.
func (c *Core) Next(now time.Time) Decision {
	d := c.next(now)
	if d.Action != ActionWait {
		d.Key = clstore.KeyInEra(c.cfg.Key, c.era)
	}
	return d
}

// SetEra reports the latest era of the store at now, and whether it is a new one. Then the
// store may lack the lease last confirmed: it is not held before it is acquired in the new
// era, and the outcome of a call that was decided before must not be reported.
func (c *Core) SetEra(now time.Time, era uint64) bool {
	if era <= c.era {
		return false
	}
	// A lease that was trusted until now excludes others of earlier eras, and no other
	// process acquires one of this era before it lapses.
	c.ownEarlier = now.Before(c.until) && (c.wanted && !c.gone || c.ownEarlier && c.lease == nil)
	if c.lease != nil {
		c.earlier = c.lease
	}
	if !c.ownEarlier {
		c.freeFrom = now.Add(max(c.earlier.GetTtl().AsDuration(), c.cfg.TTL))
	}
	c.era, c.lease, c.version, c.proposal, c.corrupt = era, nil, 0, nil, nil
	c.gone, c.stale = true, c.wanted
	return true
}

func (c *Core) next(now time.Time) Decision {
	switch {
	case !c.wanted && !c.mine() && (c.proposal == nil || !c.stale):
		return Decision{Action: ActionWait}
	case now.Before(c.retryAt):
		return Decision{Action: ActionWait, Until: c.retryAt}
	case c.stale:
		return Decision{Action: ActionRead}
	case c.corrupt != nil:
		return c.observe(now)
	case c.mine():
		return c.keep(now)
	case c.free(now):
		return c.propose(now, c.successor())
	default:
		return c.observe(now)
	}
}

// SetWanted says whether this process wants the lease. A held lease that is
// no longer wanted stops being trusted at once and is released.
func (c *Core) SetWanted(wanted bool) {
	if wanted && !c.wanted {
		c.stale = true
	}
	c.wanted = wanted
}

// Released says that the content last seen does not name this process as the
// holder, and that no update of it is under way that would.
func (c *Core) Released() bool { return !c.mine() && !c.stale }

// Reread makes the next step a read if another process holds the lease.
func (c *Core) Reread() { c.stale = c.stale || !c.mine() }

// SetHalvings stores a new count with the next update of the held lease,
// which is sent at once. State shows it when the update is confirmed.
func (c *Core) SetHalvings(n uint32) { c.halvings = &n }

// SetPayload stores bytes for a successor with each later renewal and with the
// release, as long as this process holds the lease.
func (c *Core) SetPayload(b []byte) { c.payload = b }

// Inherited returns the predecessor's payload at the last acquisition, and
// whether it was stored with the predecessor's release.
func (c *Core) Inherited() (payload []byte, released bool) { return c.inherited, c.released }

// Observed reports the outcome of a read: the object, or the kind of the failure.
func (c *Core) Observed(now time.Time, o clstore.Object, kind clstore.Kind) {
	if kind != clstore.KindNone && kind != clstore.KindNotFound {
		c.outage = true
		c.retryAt = now.Add(c.cfg.RetryAfter)
		return
	}
	c.stale, c.readAt, c.corrupt = false, now, nil
	if kind == clstore.KindNotFound {
		c.adopt(now, nil, 0)
		return
	}
	l := &clstate.Lease{}
	if err := proto.Unmarshal(o.Value, l); err != nil {
		c.corrupt = &Error{Kind: KindCorrupt, Key: c.cfg.Key,
			Detail: "the object holds no lease: " + err.Error() + "; restore the object with a higher fencing number"}
		return
	}
	c.adopt(now, l, o.Version)
}

// Updated reports the outcome of an update: the new version, or the kind of the failure.
func (c *Core) Updated(now time.Time, version uint64, kind clstore.Kind) {
	c.outage = c.outage || kind != clstore.KindNone && kind != clstore.KindConflict
	switch kind {
	case clstore.KindNone:
		c.adopt(now, c.proposal, version)
	case clstore.KindConflict:
		c.stale = true
	case clstore.KindUnavailable:
		c.retryAt = now.Add(c.cfg.RetryAfter)
	default:
		// The answer was lost: only reading back tells whether the update took effect.
		c.stale = true
		c.retryAt = now.Add(c.cfg.RetryAfter)
	}
}

// State returns what is known at now.
func (c *Core) State(now time.Time) State {
	s := State{Era: c.era, Fencing: c.lease.GetFencing(), Until: c.until, AllowanceHalvings: c.lease.GetAllowanceHalvings(), Origin: c.origin}
	if !c.lease.GetReleased() {
		s.Holder = c.lease.GetHolder()
	}
	if c.gone || !c.wanted {
		return s
	}
	s.Fencing = c.fencing
	s.Held = now.Before(c.until)
	s.Lapsed = !s.Held && c.outage
	return s
}

// Err returns an Error of KindCorrupt if the object held no lease when it was last read.
func (c *Core) Err() error { return c.corrupt }

// mine says that the content last seen names this process as the holder.
func (c *Core) mine() bool {
	return c.lease != nil && c.lease.Holder == c.cfg.Holder && !c.lease.Released
}

// free says that the lease may be acquired: it does not exist and those of earlier eras
// have lapsed, it was released, or it was not renewed for its TTL on this process's clock.
func (c *Core) free(now time.Time) bool {
	switch {
	case c.lease == nil:
		return c.ownEarlier || !now.Before(c.freeFrom)
	case c.lease.Released:
		return true
	}
	return !now.Before(c.firstSeen.Add(c.ttl()))
}

// ttl is the holder's TTL, or a longer one of this process's settings.
func (c *Core) ttl() time.Duration {
	return max(c.lease.GetTtl().AsDuration(), c.cfg.TTL)
}

// keep renews or releases the lease that names this process.
func (c *Core) keep(now time.Time) Decision {
	l := proto.CloneOf(c.lease)
	l.Renewal++
	l.Ttl = durationpb.New(c.cfg.TTL)
	if c.payload != nil {
		l.Payload = c.payload
	}
	renewAt := c.until.Add(c.cfg.Margin - c.cfg.TTL + c.cfg.RenewEvery)
	switch {
	case !c.wanted:
		l.Released = true
	case c.halvings != nil:
		l.AllowanceHalvings = *c.halvings
	case !c.gone && now.Before(renewAt):
		return Decision{Action: ActionWait, Until: renewAt}
	}
	return c.propose(now, l)
}

// successor returns the content with which this process acquires the lease.
// Without a release the former holder may still act at half of its allowance.
func (c *Core) successor() *clstate.Lease {
	former := c.lease
	if former == nil {
		former = c.earlier
	}
	l := &clstate.Lease{
		Holder: c.cfg.Holder, Ttl: durationpb.New(c.cfg.TTL),
		Fencing: max(c.lease.GetFencing(), c.era<<eraShift) + 1, Renewal: c.lease.GetRenewal() + 1,
		AllowanceHalvings: former.GetAllowanceHalvings(),
	}
	c.inherited, c.released = former.GetPayload(), former.GetReleased()
	c.acquiring = Origin{Replaced: c.version, ReplacedHolder: former.GetHolder(), ReplacedFencing: former.GetFencing()}
	if former != nil && !former.Released && (c.lease != nil || !c.ownEarlier) {
		l.AllowanceHalvings++
	}
	return l
}

// propose sends l on the version last seen. A repeated update on the same
// version keeps the time of the first, because either may take effect.
func (c *Core) propose(now time.Time, l *clstate.Lease) Decision {
	if c.proposal == nil || c.proposalVersion != c.version {
		c.sentAt = now
	}
	c.proposal, c.proposalVersion = l, c.version
	// A release may take effect even if its answer is lost, and then another
	// process may acquire at once. Only a later confirmed renewal restores the trust.
	c.gone = c.gone || l.Released
	value, err := proto.Marshal(l)
	if err != nil {
		// Marshal fails only for a holder that is not valid UTF-8.
		c.corrupt = &Error{Kind: KindConfig, Key: c.cfg.Key, Detail: err.Error() + "; use a holder in UTF-8"}
		return c.observe(now)
	}
	return Decision{Action: ActionUpdate, Value: value, IfVersion: c.version}
}

// observe waits for the next read, or for the expiry if that is sooner.
func (c *Core) observe(now time.Time) Decision {
	next := c.readAt.Add(c.cfg.ObserveEvery)
	if c.corrupt == nil {
		expiry := c.freeFrom
		if c.lease != nil {
			expiry = c.firstSeen.Add(c.ttl())
		}
		if expiry.Before(next) {
			next = expiry
		}
	}
	if !now.Before(next) {
		c.stale = true
		return Decision{Action: ActionRead}
	}
	return Decision{Action: ActionWait, Until: next}
}

// adopt takes content that was read or confirmed at now.
func (c *Core) adopt(now time.Time, l *clstate.Lease, version uint64) {
	if !sameRenewal(c.lease, l) {
		c.firstSeen = now
	}
	ours := c.proposal != nil && sameRenewal(c.proposal, l)
	c.lease, c.version = l, version
	switch {
	case !c.mine():
		c.gone, c.outage, c.halvings, c.payload = true, false, nil, nil
	case ours:
		if c.fencing != l.Fencing {
			c.origin = c.acquiring
		}
		c.origin.Version, c.origin.ConfirmedFrom = version, c.sentAt
		c.fencing, c.gone = l.Fencing, false
		c.until = c.sentAt.Add(c.cfg.TTL - c.cfg.Margin)
		// A renewal that was sent long ago does not restore the trust yet.
		c.outage = c.outage && !now.Before(c.until)
		if c.halvings != nil && *c.halvings == l.AllowanceHalvings {
			c.halvings = nil
		}
	}
	if version != c.proposalVersion {
		c.proposal = nil
	}
}

// sameRenewal says that both contents come from the same renewal.
func sameRenewal(a, b *clstate.Lease) bool {
	return a != nil && b != nil && a.Holder == b.Holder && a.Fencing == b.Fencing && a.Renewal == b.Renewal
}
