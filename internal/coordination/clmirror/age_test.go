// This file tests what is said of the age of copies.

package clmirror

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against log lines that state an age of 2562047h47m for copies that have never been
// complete.
func TestCopiesThatWereNeverConfirmedHaveNoAge(t *testing.T) {
	var readerCopy, followerCopy objectCopy
	reader := newReplicator(t, 1, &Mirror[int]{Name: "k", Source: &scriptedSource{}, WatchWait: time.Second, Apply: readerCopy.apply, ProbesStore: true})
	follower := newReplicator(t, 2, &Mirror[int]{Name: "k", Source: &scriptedSource{}, WatchWait: time.Second, Apply: followerCopy.apply, ProbesStore: true})
	core, logs := observer.New(zap.InfoLevel)
	follower.Logger = zap.New(core)
	ctx, stop := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- reader.Run(ctx) }()
	var err error
	require.Eventually(t, func() bool {
		err = follower.fetchChanges(ctx, reader.ListenAddress)
		return err != nil && !errors.Is(err, syscall.ECONNREFUSED)
	}, 5*time.Second, time.Millisecond)
	require.EqualError(t, err, "reader is stale: its copies have not been confirmed since its start")
	follower.avoidReader(reader.ListenAddress, err)
	fields := logs.FilterMessage("reader lost").All()[0].ContextMap()
	require.Equal(t, false, fields["copy_confirmed"])
	require.NotContains(t, fields, "copy_age")
	stop()
	require.NoError(t, <-runErr)
}
