// This file defines the reader of an answer's body.

package clendpoint

import (
	"io"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// body reads an answer's body as it arrives and gives the connection back at its end.
// That holds for an empty body, too: before its first Read, it isn't known whether the
// answer is the one that was asked for.
type body struct {
	c    *conn
	h    *HTTP
	src  io.Reader
	left int64 // bytes to come; lengthChunked or lengthUntilClose
	// keep says that the connection may be reused after the body.
	keep bool
	// kept says that the body ended and its reader has the connection; it is set
	// if there is no h to give it to.
	kept  bool
	ended atomic.Bool
	err   error // returned by all further reads
}

const (
	// MaxDiscardedBytes limits how much is usually read of a body that is not used. A
	// connection can be used again only if the whole body has been read.
	MaxDiscardedBytes = 4 << 10
	// DiscardTimeout is the usual limit of the time for that. Such a body mostly arrives
	// with the header, and a caller may be waiting.
	DiscardTimeout = 20 * time.Millisecond

	// lengthChunked and lengthUntilClose are lengths of bodies that are not known
	// beforehand, as in fasthttp.
	lengthChunked    = -1
	lengthUntilClose = -2
)

var _ BodyReader = (*body)(nil)

func newBody(c *conn, h *HTTP, length int64, closes bool) *body {
	b := &body{c: c, h: h, src: c.br, left: length, keep: !closes && length != lengthUntilClose}
	if length == lengthChunked {
		b.src = httputil.NewChunkedReader(c.br)
	}
	return b
}

// Read returns what has arrived, io.EOF at the end of the whole body, and an
// *Error if the connection broke or stayed silent before.
func (b *body) Read(p []byte) (int, error) {
	if b.err == nil && b.left == 0 {
		b.end()
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.left >= 0 && int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.src.Read(p)
	if b.left > 0 {
		b.left -= int64(n)
		if b.left == 0 {
			b.end()
			return n, nil
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	}
	if err == io.EOF && b.left == lengthChunked {
		err = b.readTrailer()
	}
	switch {
	case err == io.EOF:
		b.end()
	case err != nil:
		b.fail(err)
	}
	return n, b.err
}

// Close abandons the attempt if the body has not been read to its end.
func (b *body) Close() error {
	if b.ended.CompareAndSwap(false, true) {
		b.c.abandon()
	}
	return nil
}

// Discard reads and drops the rest of the body, so that its connection can be reused,
// if that takes neither more than maxBytes nor longer than wait. Otherwise it closes the
// body.
func Discard(b BodyReader, maxBytes int64, wait time.Duration) error {
	if own, ok := b.(*body); ok && !own.ended.Load() {
		own.c.timeouts.BetweenReads, own.c.keepWaiting = wait, nil
	}
	buf := make([]byte, min(maxBytes, discardBufferBytes))
	before := time.Now().Add(wait)
	for maxBytes > 0 && time.Now().Before(before) {
		n, err := b.Read(buf[:min(int64(len(buf)), maxBytes)])
		maxBytes -= int64(n)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return b.Close()
}

// discardBufferBytes is the size of the buffer of Discard.
const discardBufferBytes = 4 << 10

// readTrailer reads what follows the last chunk, and returns io.EOF if that succeeds.
func (b *body) readTrailer() error {
	var hdr fasthttp.ResponseHeader
	if err := hdr.ReadTrailer(b.c.br); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return errors.Wrap(err, "read trailer")
	}
	return io.EOF
}

// end gives the connection back; bytes beyond the body make it unusable.
func (b *body) end() {
	b.err = io.EOF
	if !b.ended.CompareAndSwap(false, true) {
		return
	}
	if b.c.finish() && b.keep && !b.c.unread() && len(b.c.ids) < maxIDs {
		if b.h == nil {
			b.kept = true
		} else {
			b.h.release(b.c)
		}
		return
	}
	_ = b.c.Conn.Close()
}

func (b *body) fail(err error) {
	b.err = b.c.classify(err, true)
	if b.ended.CompareAndSwap(false, true) {
		b.c.abandon()
	}
}
