// This file defines the reader of responses.

package clframing

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

type (
	// Reader passes on what a peer sends as long as it is a sequence of well-formed
	// responses, one for each Expect, and fails at the first byte that is not. A head is
	// passed on as a whole. Its methods may not be called concurrently, except that Expect
	// may be called during a Read that waits for the peer.
	Reader struct {
		// R is what the peer sends. It must be set before the first Read.
		R io.Reader

		// buf holds bytes that have been read from R. The first ready of them, beginning
		// at start, have been checked and may be passed on.
		buf          []byte
		start, ready int
		state        state
		// left is the number of bytes to come of a body or a chunk, in stateBody and
		// stateChunk.
		left int64
		// trailerBytes is the size of the trailer so far.
		trailerBytes int
		// err is the first violation, which all further reads return.
		err error
		// awaited is what Expect has announced and no head has answered yet.
		awaited atomic.Int32
		noBody  bool
	}

	// state is what the next byte belongs to.
	state int
)

const (
	// stateIdle is that between two responses.
	stateIdle state = iota
	stateHead
	stateBody
	stateUntilClose
	stateChunkSize
	stateChunk
	stateChunkEnd
	stateTrailer
)

// Values of Reader.awaited.
const (
	awaitsNothing = iota
	awaitsResponse
	awaitsHead
)

const (
	// MaxHeadBytes is the maximum size of a head, a trailer, and the line of a chunk.
	MaxHeadBytes = 8 << 10
	// firstBufferBytes is the size of the buffer of a Reader at first. It holds most heads
	// with a short body, which are then read at once.
	firstBufferBytes = 2 << 10
)

var errUnasked = errors.New("peer sends bytes without a request")

// Expect announces that a request is about to be sent. noBody says that its response has
// no body (HEAD).
func (r *Reader) Expect(noBody bool) {
	v := int32(awaitsResponse)
	if noBody {
		v = awaitsHead
	}
	r.awaited.Store(v)
}

// Buffered returns the number of bytes that the peer has sent and Read has not passed on.
func (r *Reader) Buffered() int { return len(r.buf) - r.start }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	for len(p) > 0 {
		if r.ready > 0 {
			n := copy(p, r.buf[r.start:r.start+r.ready])
			r.advance(n)
			return n, nil
		}
		if r.err != nil {
			return 0, r.err
		}
		if r.passesThrough() && r.Buffered() == 0 {
			return r.readThrough(p)
		}
		if r.Buffered() > 0 {
			if more, err := r.check(); err != nil {
				r.err = err
				continue
			} else if !more {
				continue
			}
		}
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	return 0, nil
}

// passesThrough reports whether the next bytes are of a body and need no check.
func (r *Reader) passesThrough() bool {
	return r.state == stateBody || r.state == stateUntilClose || r.state == stateChunk
}

// readThrough reads bytes of a body.
func (r *Reader) readThrough(p []byte) (int, error) {
	if r.state != stateUntilClose && int64(len(p)) > r.left {
		p = p[:r.left]
	}
	n, err := r.R.Read(p)
	r.consume(int64(n))
	if err == io.EOF && r.state != stateUntilClose && r.state != stateIdle {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// consume records that n bytes of a body have been passed on.
func (r *Reader) consume(n int64) {
	if r.state == stateUntilClose {
		return
	}
	if r.left -= n; r.left > 0 {
		return
	}
	if r.state == stateChunk {
		r.state = stateChunkEnd
		return
	}
	r.state = stateIdle
}

// advance drops n bytes that have been passed on.
func (r *Reader) advance(n int) {
	r.start += n
	r.ready -= n
	if r.start == len(r.buf) {
		r.buf, r.start = r.buf[:0], 0
	}
}

// fill reads more bytes into the buffer.
func (r *Reader) fill() error {
	if r.start > 0 {
		r.buf = r.buf[:copy(r.buf, r.buf[r.start:])]
		r.start = 0
	}
	switch {
	case cap(r.buf) == 0:
		r.buf = make([]byte, 0, firstBufferBytes)
	case len(r.buf) == cap(r.buf):
		r.buf = append(r.buf, 0)[:len(r.buf)]
	}
	n, err := r.R.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	switch {
	case n > 0:
		// An error comes again with the next read.
		return nil
	case err == io.EOF && (len(r.buf) > 0 || r.state != stateIdle):
		return io.ErrUnexpectedEOF
	}
	return err
}

// check checks buffered bytes and makes some of them ready, or reports that it needs more.
func (r *Reader) check() (more bool, err error) {
	b := r.buf[r.start:]
	if r.state == stateIdle {
		awaited := r.awaited.Swap(awaitsNothing)
		if awaited == awaitsNothing {
			return false, errUnasked
		}
		r.state, r.noBody = stateHead, awaited == awaitsHead
	}
	switch r.state {
	case stateHead:
		return r.checkHead(b)
	case stateUntilClose:
		r.ready = len(b)
	case stateBody, stateChunk:
		r.ready = int(min(int64(len(b)), r.left))
		r.consume(int64(r.ready))
	default:
		return r.checkLine(b)
	}
	return false, nil
}

// checkHead checks a head once it is complete.
func (r *Reader) checkHead(b []byte) (more bool, err error) {
	end := bytes.Index(b, headEnd)
	if end < 0 && len(b) < MaxHeadBytes {
		return true, checkBegin(b)
	}
	if end += len(headEnd); end < len(headEnd) || end > MaxHeadBytes {
		return false, errors.Wrapf(errMalformed, "head exceeds %d bytes", MaxHeadBytes)
	}
	f, err := parseHead(b[:end], r.noBody)
	if err != nil {
		return false, err
	}
	r.ready = end
	switch {
	case f.status < 200:
		// Another head follows.
	case f.length == untilClose:
		r.state = stateUntilClose
	case f.length == chunked:
		r.state, r.trailerBytes = stateChunkSize, 0
	case f.length == 0:
		r.state = stateIdle
	default:
		r.state, r.left = stateBody, f.length
	}
	return false, nil
}

// checkBegin fails early if a part of a head can't become one, so that nobody waits for
// the rest.
func checkBegin(b []byte) error {
	const begin = "HTTP/1."
	if n := min(len(b), len(begin)); string(b[:n]) != begin[:n] {
		return errors.Wrapf(errMalformed, "begin %q", b[:n])
	}
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		if b[i-1] != '\r' {
			return errors.Wrap(errMalformed, "line that ends with LF alone")
		}
		_, _, err := parseStatusLine(b[:i-1])
		return err
	}
	return nil
}

// checkLine checks a line of the chunked coding once it is complete.
func (r *Reader) checkLine(b []byte) (more bool, err error) {
	end := bytes.Index(b, crlf)
	if end < 0 {
		if len(b) > MaxHeadBytes || r.state == stateChunkEnd && b[0] != '\r' {
			return false, errors.Wrapf(errMalformed, "line of the chunked coding begins with %q", b[:min(len(b), 32)])
		}
		return true, nil
	}
	line := b[:end]
	switch r.state {
	case stateChunkSize:
		if r.left, err = parseChunkLine(line); err != nil {
			return false, err
		}
		r.state = stateChunk
		if r.left == 0 {
			r.state = stateTrailer
		}
	case stateChunkEnd:
		if len(line) > 0 {
			return false, errors.Wrapf(errMalformed, "chunk is followed by %q", line[:min(len(line), 32)])
		}
		r.state = stateChunkSize
	case stateTrailer:
		if r.trailerBytes += end; r.trailerBytes > MaxHeadBytes {
			return false, errors.Wrapf(errMalformed, "trailer exceeds %d bytes", MaxHeadBytes)
		}
		if len(line) == 0 {
			r.state = stateIdle
			break
		}
		if _, _, err := parseFieldLine(line); err != nil {
			return false, err
		}
	}
	r.ready = end + len(crlf)
	return false, nil
}
