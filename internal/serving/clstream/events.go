// Package clstream splits a stream of server-sent events into whole events, so
// that a stream that breaks off can go on elsewhere without a gap or a repeat.
package clstream

import (
	"bytes"
	"strconv"
)

// Splitter gathers bytes into events. The zero value is ready.
type Splitter struct {
	buf []byte
	// from is where the search for the end of an event goes on.
	from int
}

// Event is one event with the blank line that ends it.
type Event struct {
	Raw []byte
	// ID is the event's number; HasID is false if it has none.
	ID    int64
	HasID bool
}

// Write adds bytes of the stream.
func (s *Splitter) Write(p []byte) { s.buf = append(s.buf, p...) }

// Next returns the next whole event; its bytes are valid until the next Write.
func (s *Splitter) Next() (Event, bool) {
	end := eventEnd(s.buf, s.from)
	if end < 0 {
		// The separator has up to four bytes, of which three may have arrived.
		s.from = max(0, len(s.buf)-3)
		return Event{}, false
	}
	e := Event{Raw: s.buf[:end]}
	s.buf, s.from = s.buf[end:], 0
	e.ID, e.HasID = eventID(e.Raw)
	return e, true
}

// Remaining returns the bytes of an event that has not ended.
func (s *Splitter) Remaining() []byte { return s.buf }

func eventEnd(b []byte, from int) int {
	lf := bytes.Index(b[from:], []byte("\n\n"))
	crlf := bytes.Index(b[from:], []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case crlf < 0 || lf >= 0 && lf < crlf:
		return from + lf + 2
	}
	return from + crlf + 4
}

func eventID(raw []byte) (int64, bool) {
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
