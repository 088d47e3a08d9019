// This file defines the deltas that a reader sends to its followers.

package clmirror

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

type (
	// Position is a position in the changes of a mirror: the one that a follower
	// has reached in a reader's mirror, or a mirror's own. It is zero if a follower
	// has received nothing yet.
	Position struct {
		// Reader is the BootID of the reader. Sequence starts again with each boot
		// of the reader.
		Reader uint64
		// Sequence is the number of changes of the mirror up to this position.
		Sequence uint64
		// Cursor is the store revision that the mirror's copy has reached, and
		// Newest is the revision of the last change in that copy. Both are of Era.
		Cursor, Newest, Era uint64
	}

	// delta holds the changes of one mirror that a reader sends to a follower. If
	// Complete is set, Changes holds all existing objects.
	delta[T any] struct {
		Changes  []Change[T]
		Complete bool
		// Position is the reader's position, which the follower reaches by
		// applying Changes.
		Position Position
		// Held is what the reader holds, with its complete copy.
		Held *heldDelta[T]
	}
)

const (
	// completeDelta is the key of the complete copy in Mirror.encoded.
	completeDelta = -1
	// maxLoggedChanges is the length to which changeLog is cut. A follower that
	// lacks more changes receives the complete copy.
	maxLoggedChanges = 1024
)

// errReaderBehind is returned by applyDelta if the reader's copy is older than the
// follower's.
var errReaderBehind = errors.New("the reader's copy is older than the follower's; request its changes again later")

func (m *Mirror[T]) position() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed {
		return Position{}
	}
	return Position{Sequence: m.sequence, Cursor: m.cursor, Newest: m.newestRevision, Era: m.era}
}

func (m *Mirror[T]) changesSince(p Position) ([]byte, error) {
	m.mu.Lock()
	if !m.listed {
		m.mu.Unlock()
		return nil, nil
	}
	missing := m.missingChanges(p)
	if missing == 0 && p.Reader == m.replicator.BootID {
		m.mu.Unlock()
		return nil, nil
	}
	sequence := m.sequence
	encoded, ok := m.encoded[missing]
	d := delta[T]{Position: Position{Reader: m.replicator.BootID, Sequence: sequence, Cursor: m.cursor, Newest: m.newestRevision, Era: m.era}}
	switch {
	case ok:
	case missing == completeDelta:
		d.Complete, d.Held = true, m.encodeHeld()
		for name, o := range m.objects {
			d.Changes = append(d.Changes, Change[T]{Name: name, Value: o.value, Revision: o.revision})
		}
	default:
		for _, c := range m.changeLog[len(m.changeLog)-missing:] {
			d.Changes = append(d.Changes, c.Change)
		}
	}
	m.mu.Unlock()
	if ok {
		return encoded, nil
	}
	encoded, err := encodeDelta(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode changes")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sequence == sequence {
		if m.encoded == nil {
			m.encoded = make(map[int][]byte)
		}
		m.encoded[missing] = encoded
	}
	return encoded, nil
}

// missingChanges returns how many of the last entries of changeLog a follower at p
// lacks, or completeDelta if it needs the complete copy. The position of a follower
// that comes from another reader, or that has read the store itself, tells by its
// store revision what it lacks. The caller holds mu.
func (m *Mirror[T]) missingChanges(p Position) int {
	if p.Reader == m.replicator.BootID {
		if missing := m.sequence - p.Sequence; p.Sequence <= m.sequence && missing <= uint64(len(m.changeLog)) {
			return int(missing)
		}
		return completeDelta
	}
	// A follower of another reader lacks what is held here.
	if len(m.held) > 0 || p.Cursor == 0 || p.Era != m.era || p.Cursor < m.logStart {
		return completeDelta
	}
	first, _ := slices.BinarySearchFunc(m.changeLog, p.Cursor, func(c loggedChange[T], cursor uint64) int {
		if c.reached > cursor {
			return 1
		}
		return -1
	})
	return len(m.changeLog) - first
}

// encodeDelta encodes a delta as compressed gob: a complete copy goes to all followers
// of a data centre at once, over the link of one machine.
func encodeDelta[T any](d delta[T]) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(w).Encode(d); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func (m *Mirror[T]) applyDelta(data []byte) (Position, error) {
	var d delta[T]
	decompressed := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxFeedBytes)
	if err := gob.NewDecoder(decompressed).Decode(&d); err != nil {
		return Position{}, errors.Wrap(err, "decode changes")
	}
	latest := m.replicator.latestEra()
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.mu.Lock()
	// A copy from which no watch can continue still holds all changes up to its cursor.
	changes, sameEra := d.Changes, m.objects != nil && m.era == d.Position.Era
	switch {
	// A reader that listed the objects after a removal has no record of the
	// removal, so that its Newest may be lower than this mirror's although its copy
	// is not older; its Cursor is then the store revision of the list.
	case d.Position.Era < max(m.era, latest), sameEra && max(d.Position.Newest, d.Position.Cursor) < m.newestRevision:
		m.mu.Unlock()
		return Position{}, errReaderBehind
	case !d.Complete && !sameEra:
		// The changes follow a copy that this mirror no longer has.
		m.mu.Unlock()
		return Position{}, nil
	case d.Complete && sameEra:
		changes = m.mergeComplete(changes, d.Position)
	case !d.Complete:
		changes = m.selectNewer(changes)
	}
	m.mu.Unlock()
	returned := m.replicator.learnEra(d.Position.Era)
	if d.Held != nil {
		d.Held.copy = d.Changes
		m.replicator.ensureHold()
	}
	m.applyChanges(changes, d.Complete, d.Position, d.Held, time.Time{})
	if returned {
		m.replicator.relistAll(d.Position.Era)
	}
	return d.Position, nil
}
