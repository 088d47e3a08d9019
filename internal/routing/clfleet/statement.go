// This file records what endpoints say of themselves in their responses.

package clfleet

import (
	"maps"
	"time"
)

type (
	// statement is what one start of an endpoint has said of itself. It outlives the
	// endpoint's entry, which may lapse while the registry is away.
	statement struct {
		// born is the start that has said it; see clcatalog.Endpoint.Born.
		born int64
		// leaving is set once the endpoint has said that it leaves.
		leaving bool
		// quietUntil is the end of the time for which the endpoint wants no requests
		// from this gateway, or zero.
		quietUntil time.Time
		// expiresAt is when the statement is forgotten.
		expiresAt time.Time
	}
)

const (
	// maxQuietTime limits how long an endpoint may close itself. One that needs longer
	// can leave; a wrong figure must not take it out for good.
	maxQuietTime = time.Hour
	// statementLifetime is longer than any endpoint that leaves goes on serving, and
	// than maxQuietTime.
	statementLifetime = 2 * time.Hour
	// returnPeriod is how long an endpoint that was quiet is taken back gradually: what
	// made it ask for quiet would come again with all requests at once.
	returnPeriod = 3 * time.Second
	// maxStatements is the number of statements from which on those that have expired
	// are removed.
	maxStatements = 1024
)

// MarkLeaving records that the chosen endpoint has said that it leaves, and reports
// whether that is news. The endpoint gets no further requests until it is started anew,
// whatever the registry says meanwhile: its entry may be older than its word.
func (f *Fleet) MarkLeaving(c *Choice, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.statementOf(c, now)
	news := !s.leaving
	s.leaving = true
	return news
}

// MarkQuiet records that the chosen endpoint wants no requests from this gateway for the
// given time, of which at most maxQuietTime counts, and returns until when it gets none.
// An earlier statement with a later end stays.
func (f *Fleet) MarkQuiet(c *Choice, d time.Duration, now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.statementOf(c, now)
	if until := now.Add(min(d, maxQuietTime)); until.After(s.quietUntil) {
		s.quietUntil = until
	}
	return s.quietUntil
}

// statementOf returns the statement of the chosen endpoint, creating it if necessary. If
// the endpoint has been started anew since the choice, that of the former start is not
// kept. f.mu must be held.
func (f *Fleet) statementOf(c *Choice, now time.Time) *statement {
	e := f.endpoints[c.Endpoint]
	if e != nil && e.Born != c.Born {
		return &statement{}
	}
	if len(f.statements) >= maxStatements {
		maps.DeleteFunc(f.statements, func(_ string, s *statement) bool { return now.After(s.expiresAt) })
	}
	if f.statements == nil {
		f.statements = make(map[string]*statement)
	}
	s := f.statements[c.Endpoint]
	if s == nil || s.born != c.Born {
		s = &statement{born: c.Born}
		f.statements[c.Endpoint] = s
	}
	s.expiresAt = now.Add(statementLifetime)
	if e != nil {
		e.statement = s
	}
	return s
}

// isLeaving reports whether the endpoint leaves by its entry or by its own word.
func (e *endpoint) isLeaving() bool {
	return e.Leaving || e.statement != nil && e.statement.leaving
}

// isQuiet reports whether the endpoint wants no requests from this gateway now.
func (e *endpoint) isQuiet(now time.Time) bool {
	return e.statement != nil && now.Before(e.statement.quietUntil)
}

// mayReturn reports whether an endpoint whose quiet time has ended may get one more
// request. In returnPeriod the number of this gateway's attempts that may run there at
// once grows from one to the endpoint's slots.
func (e *endpoint) mayReturn(now time.Time) bool {
	if e.statement == nil || e.statement.quietUntil.IsZero() {
		return true
	}
	back := now.Sub(e.statement.quietUntil)
	return back >= returnPeriod || e.running < 1+int(back.Seconds()/returnPeriod.Seconds()*float64(e.Slots))
}
