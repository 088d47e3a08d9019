// This file tests how a body is stopped while it arrives.

package clgateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/limits/clmemory"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// stoppingWriter stops the transfer in the stopAt-th call of SetReadDeadline, before the
// deadline takes effect. As the body, it fails after a deadline in the past.
type stoppingWriter struct {
	*httptest.ResponseRecorder
	g             *Gateway
	stopAt, calls int
	stopped       bool
	deadline      time.Time
	// lost counts the reads after the stop without its deadline.
	lost int
}

func (w *stoppingWriter) SetReadDeadline(deadline time.Time) error {
	w.calls++
	if w.calls == w.stopAt {
		w.stopped = w.g.memory.bodies.StopStalled(time.Now().Add(clmemory.StalledAfter))
	}
	w.deadline = deadline
	return nil
}

func (w *stoppingWriter) Read(p []byte) (int, error) {
	if w.deadline.Equal(past) {
		return 0, os.ErrDeadlineExceeded
	}
	if w.stopped {
		w.lost++
	}
	return len(p), nil
}

func (*stoppingWriter) Close() error { return nil }

// Guards against a body that continues to arrive after it was stopped, because a deadline
// that was set at the same time replaced that of the stop.
func TestStopIsNotLost(t *testing.T) {
	for stopAt := range 6 {
		g := &Gateway{Logger: zap.NewNop()}
		g.memory.budget.SetLimit(0)
		w := &stoppingWriter{ResponseRecorder: httptest.NewRecorder(), g: g, stopAt: stopAt}
		r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(w))
		r.ContentLength = -1
		c := &call{w: w, r: r, deadline: time.Now().Add(time.Hour)}
		errResp := g.readBody(c, &clcatalog.Catalog{Limits: clcatalog.Limits{BodyBytes: 1 << 20}})
		require.NotNil(t, errResp)
		require.Zero(t, w.lost, "stopped in call %d", stopAt)
		if stopAt == 2 {
			require.True(t, w.stopped, "the deadline of the minimum rate")
		}
		if w.stopped {
			require.Equal(t, "memory_short", errResp.reason)
		}
	}
}
