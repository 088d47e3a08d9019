// This file defines how answers of the store and changes of readers enter a copy.

package clmirror

import (
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
)

// applyBatch applies an answer of the store to a call that was sent at sentAt. Meanwhile,
// changes from a reader may have entered the copy: a batch of an earlier era has no
// effect, nor has a list that the copy has overtaken, which would bring removed objects
// back; the changes of a watch have an effect as far as they are newer than the copy.
func (m *Mirror[T]) applyBatch(batch Batch[T], complete bool, sentAt time.Time) {
	latest := m.replicator.latestEra()
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.mu.Lock()
	outdated := batch.Era < max(m.era, latest) || complete && m.listed && batch.Era == m.era && batch.Cursor < m.cursor
	// A watch of an earlier copy says nothing about one that is to be listed again.
	outdated = outdated || !complete && (!m.listed || batch.Era != m.era)
	changes := batch.Changes
	switch {
	case outdated:
	case complete && batch.Era == m.era:
		m.cursor, m.newestRevision = 0, 0
	case complete:
	default:
		changes = m.selectNewer(changes)
	}
	m.mu.Unlock()
	if dropped := len(batch.Changes) - len(changes); outdated || dropped > 0 {
		m.Logger.Info("outdated answer of the store", zap.String("kind", m.Name), zap.Bool("list", complete), zap.Bool("dropped", outdated),
			zap.Int("dropped_changes", dropped), zap.Uint64("era", batch.Era), zap.Uint64("cursor", batch.Cursor))
	}
	if outdated {
		return
	}
	// The hold begins before anything of the new era is applied.
	returned := m.replicator.learnEra(batch.Era)
	m.applyChanges(changes, complete, Position{Era: batch.Era, Cursor: batch.Cursor}, nil, sentAt)
	if returned {
		m.replicator.relistAll(batch.Era)
	}
}

// selectNewer returns the changes that are newer than the copy, which is of the same era.
// The copy holds all changes up to cursor, so that an older version of an object, or one
// of an object that has been removed since, must not enter it. The caller holds mu.
func (m *Mirror[T]) selectNewer(changes []Change[T]) []Change[T] {
	type state struct {
		exists   bool
		revision uint64
	}
	// states holds the objects that an earlier one of changes has changed.
	states := make(map[string]state, len(changes))
	return lo.Filter(changes, func(c Change[T], _ int) bool {
		s, ok := states[c.Name]
		if !ok {
			o, exists := m.objects[c.Name]
			s = state{exists, o.revision}
		}
		removal := c.Removed && c.Why == ""
		switch {
		case c.Revision == 0:
		case removal && s.exists && c.Revision < s.revision:
			return false
		case removal:
		case s.exists && c.Revision <= s.revision, !s.exists && c.Revision <= m.cursor:
			return false
		}
		states[c.Name] = state{!c.Removed, c.Revision}
		return true
	})
}

// mergeComplete merges a reader's complete copy at position p into this one, which is of
// the same era, and returns all objects of the result. An object that only this copy has
// is kept if it has changed since p. The caller holds mu.
func (m *Mirror[T]) mergeComplete(changes []Change[T], p Position) []Change[T] {
	merged := m.selectNewer(changes)
	inCopy := lo.SliceToMap(changes, func(c Change[T]) (string, bool) { return c.Name, true })
	taken := lo.SliceToMap(merged, func(c Change[T]) (string, bool) { return c.Name, true })
	for name, o := range m.objects {
		if !taken[name] && (inCopy[name] || o.revision > p.Cursor) {
			merged = append(merged, Change[T]{Name: name, Value: o.value, Revision: o.revision})
		}
	}
	return merged
}

// applyChanges applies changes, which reach the era and cursor of p, to the copy,
// passes them to Apply and notifies the followers. If complete is set, changes
// replaces the whole copy. held is what a reader holds, or nil. confirmed is the time at which the copy with these
// changes was current, or zero if that is not known. The caller holds applyMu.
func (m *Mirror[T]) applyChanges(changes []Change[T], complete bool, p Position, held *heldDelta[T], confirmed time.Time) {
	m.mu.Lock()
	before, base, newEra := m.objects, copyPosition{m.era, m.cursor}, m.objects != nil && p.Era > m.era
	if complete || m.objects == nil {
		m.objects = make(map[string]object[T], len(changes))
	}
	if p.Era != m.era {
		m.era, m.cursor, m.newestRevision = p.Era, 0, 0
	}
	m.newestRevision = max(m.newestRevision, p.Newest)
	for _, c := range changes {
		if c.Removed {
			delete(m.objects, c.Name)
		} else {
			m.objects[c.Name] = object[T]{c.Value, c.Revision}
		}
		m.newestRevision = max(m.newestRevision, c.Revision)
	}
	m.sequence += uint64(len(changes))
	m.listed, m.cursor = true, max(p.Cursor, m.cursor)
	shown := changes
	switch {
	case newEra:
		m.beginHold(before, base)
	case len(m.held) > 0:
		m.releaseWritten(before, changes, complete)
	}
	m.reached = max(m.reached, m.cursor)
	if complete {
		m.takeHeld(held)
		shown = m.withHeld(changes)
	}
	for _, c := range changes {
		m.changeLog = append(m.changeLog, loggedChange[T]{c, m.cursor})
	}
	if excess := len(m.changeLog) - maxLoggedChanges; excess > 0 {
		m.logStart = m.changeLog[excess-1].reached
		m.changeLog = m.changeLog[excess:]
	}
	if complete {
		// A list does not contain the objects that were removed, so that followers
		// cannot learn of their removal from changeLog and need the complete copy.
		m.changeLog, m.logStart = nil, m.cursor
		m.sequence++
	}
	if len(changes) > 0 || complete {
		m.encoded = nil
	}
	if confirmed.After(m.lastConfirmed) {
		m.lastConfirmed = confirmed
	}
	m.mu.Unlock()
	m.Apply(shown, complete)
	if len(changes) > 0 || complete {
		m.replicator.notifyFollowers()
	}
}
