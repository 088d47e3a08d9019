// This file defines how a change becomes the next revision, without I/O.

package clrevision

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

type (
	// Change is one change of the configuration.
	Change struct {
		// ProposalID must be unique among all changes.
		ProposalID string
		// IfRevision is the revision to which the change applies; 0 means whichever is current.
		IfRevision uint64
		// Apply changes the snapshot in place. It may be called again on a later revision.
		Apply func(*clstate.ConfigSnapshot) error
	}

	// Action is the kind of a Step.
	Action int

	// Step is the next call of a Proposal.
	Step struct {
		Action    Action
		Value     []byte
		IfVersion uint64
	}

	// Proposal is the core that stores one change. The caller executes the
	// step of Next and reports its outcome with Observed or Updated.
	Proposal struct {
		change Change
		now    func() time.Time
		// current is the snapshot last read, nil if none.
		current *clstate.ConfigSnapshot
		version uint64
		read    bool
		// proposed is the snapshot sent last. sent says that an update may have taken effect.
		proposed *clstate.ConfigSnapshot
		sent     bool
		accepted bool
		err      error
	}
)

// Actions of a Step.
const (
	// ActionRead reads the object; its outcome goes to Observed.
	ActionRead Action = iota
	// ActionUpdate updates the object; its outcome goes to Updated.
	ActionUpdate
	// ActionDone says that Result returns the end.
	ActionDone
)

// maxRecentProposals bounds the revisions after which a lost answer can be told.
// At 570 changes a day 32 are 80 minutes on average, and 32 IDs of 36 bytes are 1.3 KB of a snapshot.
const maxRecentProposals = 32

// Next returns the revision after current (nil: none) with the change
// applied, or an InvalidError, or the error of c.Apply.
func Next(current *clstate.ConfigSnapshot, c Change, now time.Time) (*clstate.ConfigSnapshot, error) {
	next := &clstate.ConfigSnapshot{}
	if current != nil {
		next = proto.CloneOf(current)
	}
	if err := c.Apply(next); err != nil {
		return nil, err
	}
	next.RecentProposals = recentProposals(current)
	next.Revision = current.GetRevision() + 1
	next.ProposalId = c.ProposalID
	next.ProposedAt = timestamppb.New(now)
	return next, Validate(next)
}

// recentProposals returns the list for the revision after current.
func recentProposals(current *clstate.ConfigSnapshot) []*clstate.RecentProposal {
	if current == nil {
		return nil
	}
	last := &clstate.RecentProposal{Revision: current.Revision, ProposalId: current.ProposalId}
	list := append(slices.Clone(current.RecentProposals), last)
	return list[max(0, len(list)-maxRecentProposals):]
}

// NewProposal returns the core of one change; now is the time of the proposal.
func NewProposal(c Change, now func() time.Time) *Proposal {
	p := &Proposal{change: c, now: now}
	if c.ProposalID == "" {
		p.err = &InvalidError{Problems: []Problem{{Path: "proposal_id", Detail: "is empty", Remedy: "set a unique ID"}}}
	}
	return p
}

// Next returns the next step.
func (p *Proposal) Next() Step {
	switch {
	case p.accepted || p.err != nil:
		return Step{Action: ActionDone}
	case !p.read:
		return Step{Action: ActionRead}
	}
	if p.change.IfRevision != 0 && p.current.GetRevision() != p.change.IfRevision {
		p.fail(KindConflict, nil)
		return Step{Action: ActionDone}
	}
	next, err := Next(p.current, p.change, p.now())
	if err != nil {
		p.err = err
		return Step{Action: ActionDone}
	}
	value, err := proto.Marshal(next)
	if err != nil {
		p.err = err
		return Step{Action: ActionDone}
	}
	p.proposed = next
	return Step{Action: ActionUpdate, Value: value, IfVersion: p.version}
}

// Observed reports the outcome of a read. After a lost answer it decides by
// the proposal ID: at the proposed revision the ID tells whose update took
// effect; at a lower one the update is repeated on the same version, so that
// one of both takes effect; at a higher one the list of recent proposals tells,
// and nothing is known if it lacks the proposed revision.
func (p *Proposal) Observed(o clstore.Object, kind clstore.Kind) {
	snapshot := &clstate.ConfigSnapshot{}
	switch kind {
	case clstore.KindNone:
		if err := proto.Unmarshal(o.Value, snapshot); err != nil {
			p.fail(KindCorrupt, err)
			return
		}
	case clstore.KindNotFound:
		snapshot = nil
	default:
		p.fail(KindUnavailable, nil)
		return
	}
	p.current, p.version, p.read = snapshot, o.Version, true
	switch revision := snapshot.GetRevision(); {
	case snapshot.GetProposalId() == p.change.ProposalID:
		// Stored by this proposal, or by an earlier one with the same ID.
		p.proposed, p.accepted = snapshot, true
	case !p.sent:
	case revision == p.proposed.Revision:
		p.sent = false
	case revision > p.proposed.Revision:
		p.superseded()
	}
}

// superseded decides about an update whose revision others have followed. It
// cannot take effect any more, because the version that it names has changed.
func (p *Proposal) superseded() {
	for _, r := range p.current.RecentProposals {
		if r.Revision == p.proposed.Revision {
			p.sent, p.accepted = false, r.ProposalId == p.change.ProposalID
			return
		}
	}
	p.fail(KindUnknown, nil)
}

// Unresolved says that an update was sent whose effect is not known.
func (p *Proposal) Unresolved() bool { return p.sent && !p.accepted && p.err == nil }

// Updated reports the outcome of an update.
func (p *Proposal) Updated(kind clstore.Kind) {
	switch kind {
	case clstore.KindNone:
		p.accepted = true
	case clstore.KindConflict:
		// An earlier update of this proposal may have changed the version.
		p.read = false
	case clstore.KindUnavailable:
		p.fail(KindUnavailable, nil)
	default:
		p.sent, p.read = true, false
	}
}

// Result returns the accepted snapshot, or the reason why the change was not,
// or not certainly, accepted.
func (p *Proposal) Result() (*clstate.ConfigSnapshot, error) {
	if p.accepted {
		return p.proposed, nil
	}
	return nil, p.err
}

// fail ends the proposal. While the fate of a sent update is open, a failure
// to learn it is KindUnknown, never a refusal.
func (p *Proposal) fail(kind Kind, err error) {
	if p.sent && kind != KindConflict {
		kind = KindUnknown
	}
	p.err = &Error{Kind: kind, Revision: p.current.GetRevision(), ProposalID: p.current.GetProposalId(), Err: err}
}
