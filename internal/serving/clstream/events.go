// Package clstream splits a stream of server-sent events into complete events, so
// that an interrupted stream can be resumed at another endpoint without missing
// or repeated events.
package clstream

import (
	"bytes"
	"strconv"
)

// Splitter buffers the bytes of a stream and splits them into events. The zero
// value is ready to use.
type Splitter struct {
	buf []byte
	// searchFrom is the offset in buf before which no separator begins.
	searchFrom int
}

// Event is a complete event.
type Event struct {
	// Raw holds the event's bytes, including the blank line that ends it.
	Raw []byte
	// ID is the value of the id field. HasID is false if there is no id field or
	// it is not an integer.
	ID    int64
	HasID bool
}

// Write appends bytes of the stream.
func (s *Splitter) Write(p []byte) { s.buf = append(s.buf, p...) }

// Next returns the next complete event, if there is one. Its bytes are valid until
// the next call of Write.
func (s *Splitter) Next() (Event, bool) {
	end := eventEnd(s.buf, s.searchFrom)
	if end < 0 {
		// The buffer may end with the first three bytes of a four-byte separator.
		s.searchFrom = max(0, len(s.buf)-3)
		return Event{}, false
	}
	e := Event{Raw: s.buf[:end]}
	s.buf, s.searchFrom = s.buf[end:], 0
	e.ID, e.HasID = eventID(e.Raw)
	return e, true
}

// Remaining returns the bytes that follow the last complete event.
func (s *Splitter) Remaining() []byte { return s.buf }

// eventEnd returns the offset after the first event separator at or after from, or
// -1 if there is none.
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

// eventID returns the value of the first id field, and whether it is an integer.
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
