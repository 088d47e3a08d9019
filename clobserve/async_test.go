// This file tests the writer of log lines that never blocks.

package clobserve

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against requests that wait because nobody reads the log: a full pipe
// must cost lines, which are counted, and no time.
func TestUnreadLogDoesNotBlock(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	out := NewAsyncWriter(w)
	l, err := NewLogger(out, "info", "json")
	require.NoError(t, err)
	done := make(chan struct{})
	ended := make(chan error, 1)
	go func() { ended <- out.Run(done) }()
	begin := time.Now()
	for range 30_000 {
		l.Info("sent", zap.String("request", "r1"), zap.String("endpoint", "e1"))
	}
	require.Less(t, time.Since(begin), 5*time.Second)
	require.Positive(t, out.Dropped())
	require.NoError(t, r.Close())
	close(done)
	require.Error(t, <-ended, "the pipe is closed")
	require.NoError(t, w.Close())
}

// Guards against lines that are lost when the process ends.
func TestLogIsFlushedAtTheEnd(t *testing.T) {
	var b bytes.Buffer
	out := NewAsyncWriter(&b)
	for range 100 {
		_, err := out.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	done := make(chan struct{})
	close(done)
	require.NoError(t, out.Run(done))
	require.Equal(t, 100, bytes.Count(b.Bytes(), []byte("line\n")))
	require.Zero(t, out.Dropped())
}

// Guards against a process that does not end because nobody reads its log.
func TestUnreadLogDoesNotHoldUpTheEnd(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	defer w.Close()
	out := NewAsyncWriter(w)
	line := bytes.Repeat([]byte("x"), 1000)
	for range 1000 {
		_, err := out.Write(line)
		require.NoError(t, err)
	}
	done := make(chan struct{})
	close(done)
	begin := time.Now()
	require.ErrorContains(t, out.Run(done), "nobody reads the log")
	require.Less(t, time.Since(begin), 2*flushTimeout)
}
