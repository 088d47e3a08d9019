// This file defines the splitter of server-sent events.

package clstream

import (
	"bytes"
	"strconv"
)

// Splitter buffers the bytes of a stream and splits them into events. An event ends
// with a blank line. Lines may end with LF or CRLF, but a blank line that ends with
// CRLF is recognized only if the line before it also does. The zero value is ready to use.
type Splitter struct {
	// buf holds the bytes that Next has not returned yet.
	buf []byte
	// searchFrom is an offset in buf before which no event separator begins.
	searchFrom int
}

// Event is a server-sent event that has arrived in full.
type Event struct {
	// Raw holds the event's bytes, including the blank line that ends it.
	Raw []byte
	// ID is the value of the first id field. HasID is false if there is no id
	// field or the value is not an integer.
	ID    int64
	HasID bool
	// HasData is false for an event without a data field, such as a comment that keeps
	// the connection open.
	HasData bool
}

var (
	dataField    = []byte("data")
	lineWithData = []byte("\ndata")
)

// Write appends a copy of p, the next bytes of the stream, to the buffer.
func (s *Splitter) Write(p []byte) { s.buf = append(s.buf, p...) }

// Next removes the next complete event from the buffer and returns it, or returns
// false if the buffer holds no complete event. Raw refers to the buffer and is valid
// until the next call of Write.
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
	e.HasData = bytes.HasPrefix(e.Raw, dataField) || bytes.Contains(e.Raw, lineWithData)
	return e, true
}

// Remaining returns the bytes that Next has not returned yet. After Next has returned
// false, they are the beginning of an incomplete event, or empty.
func (s *Splitter) Remaining() []byte { return s.buf }

// eventEnd returns the offset in b after the first event separator that begins at or
// after from, or -1 if there is none. A separator is the end of a line and the blank
// line that follows. "\r\n\n" is found too, since it ends with "\n\n".
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

// eventID returns the value of the first id field, and whether there is one and its
// value is an integer.
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
