// This file defines the body of an answer that is a stream of events.

package clentry

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxBatchBytes bounds the events that are sent in one write, and
	// maxKeptBytes the buffer that a stream keeps between writes.
	maxBatchBytes = 4 << 10
	maxKeptBytes  = 1 << 10
)

type (
	// eventSource yields the events of one caller's stream.
	eventSource interface {
		// appendEvents waits for the next events and appends them to b; it
		// reports the end of the stream.
		appendEvents(b []byte) ([]byte, bool)
		// end is called once after the last write; callerGone says that the
		// caller ended the stream before all events were sent.
		end(callerGone bool)
	}

	// streamBody writes a source's events to the caller. The server calls
	// WriteTo in the connection's own goroutine, and each write reaches the
	// caller at once. A SetBodyStreamWriter would add a goroutine, a pipe and a
	// buffer for each stream, and a hand-over for each event.
	streamBody struct {
		source eventSource
		// arm sets the deadline of the next write, writeTimeout from now.
		arm          func(time.Time) error
		writeTimeout time.Duration
		// buf holds events of which the first read bytes have been read.
		buf    []byte
		read   int
		done   bool
		closed bool
	}
)

var (
	_ io.ReadCloser         = (*streamBody)(nil)
	_ fasthttp.BodyWriterTo = (*streamBody)(nil)
)

// SupportsBodyWriteTo implements fasthttp.BodyWriterTo: WriteTo writes what Read returns.
func (s *streamBody) SupportsBodyWriteTo() bool { return true }

// WriteTo implements io.WriterTo until the stream's end or the first failed write.
func (s *streamBody) WriteTo(w io.Writer) (int64, error) {
	var total int64
	for s.fill() {
		n, err := w.Write(s.buf[s.read:])
		s.read += n
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// Read implements io.Reader for callers whose protocol has no chunks.
func (s *streamBody) Read(p []byte) (int, error) {
	if !s.fill() {
		return 0, io.EOF
	}
	n := copy(p, s.buf[s.read:])
	s.read += n
	return n, nil
}

// Close implements io.Closer.
func (s *streamBody) Close() error {
	if !s.closed {
		s.closed = true
		s.source.end(!s.done || s.read < len(s.buf))
	}
	return nil
}

// fill waits for events if all have been read; it reports whether there are any.
func (s *streamBody) fill() bool {
	if s.read == len(s.buf) {
		s.read = 0
		if s.buf = s.buf[:0]; cap(s.buf) > maxKeptBytes {
			s.buf = nil
		}
		for !s.done && len(s.buf) == 0 {
			s.buf, s.done = s.source.appendEvents(s.buf)
		}
	}
	// Without a deadline, a caller that does not read is waited for longer; a
	// connection on which none can be set fails with the write.
	_ = s.arm(time.Now().Add(s.writeTimeout))
	return s.read < len(s.buf)
}

// appendData appends an event's data, which holds no line break, and the end of the event.
func appendData(b, data []byte) []byte {
	return append(append(append(b, "data: "...), data...), "\n\n"...)
}
