// This file defines a writer of log lines that never blocks.

package clobserve

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// AsyncWriter passes lines on from a bounded queue, so that a slow reader of
// the log never holds up a request. Lines that do not fit are dropped and
// counted. Exported fields are set before Run.
type AsyncWriter struct {
	Out io.Writer

	lines   chan []byte
	dropped atomic.Uint64
}

const (
	// queuedLines bounds the memory of a log that nobody reads, at about 300 B a line.
	queuedLines = 8192
	// batchBytes is what is gathered into one write.
	batchBytes = 32 << 10
	// flushEvery bounds how long a line waits for others.
	flushEvery = 50 * time.Millisecond
	// flushTimeout bounds the wait for a reader of the log at the end of the process.
	flushTimeout = time.Second
)

// NewAsyncWriter returns a writer to out; its lines are written once Run runs.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{Out: out, lines: make(chan []byte, queuedLines)}
}

// Write queues a copy of the line, or drops it if the queue is full.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Run writes the queued lines until done is closed, and then what is left. It returns an
// error if a line could not be written, or if nobody reads what is left in time.
func (w *AsyncWriter) Run(done <-chan struct{}) error {
	ended := make(chan error, 1)
	go w.loop(done, ended)
	select {
	case err := <-ended:
		return err
	case <-done:
	}
	select {
	case err := <-ended:
		return err
	case <-time.After(flushTimeout):
		return errors.New("nobody reads the log; its last lines are lost")
	}
}

// loop writes the queued lines until done is closed, and then what is left, and sends the
// first error of a write.
func (w *AsyncWriter) loop(done <-chan struct{}, ended chan<- error) {
	var failed error
	buf := make([]byte, 0, 2*batchBytes)
	flush := func() {
		if len(buf) > 0 {
			if _, err := w.Out.Write(buf); err != nil && failed == nil {
				failed = err
			}
			buf = buf[:0]
		}
	}
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for {
		select {
		case line := <-w.lines:
			if buf = append(buf, line...); len(buf) >= batchBytes {
				flush()
			}
			continue
		default:
		}
		flush()
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
			// Others that come with it go into the same write.
			select {
			case <-t.C:
			case <-done:
			}
		case <-done:
			if len(w.lines) == 0 {
				flush()
				ended <- failed
				return
			}
		}
	}
}
