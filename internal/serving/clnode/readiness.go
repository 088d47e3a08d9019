// This file answers the readiness checks of the ingress.

package clnode

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/go-faster/errors"
)

const (
	// readinessReadTimeout limits the time to read a readiness check, which usually is a
	// single packet.
	readinessReadTimeout = 2 * time.Second
	// readinessIdleTimeout is many times the interval between two checks of the ingress.
	readinessIdleTimeout = 30 * time.Second
	// readinessHeaderBytes limits the header of a check, so that connections can't fill the
	// memory. net/http adds 4 KiB; its default is 1 MiB.
	readinessHeaderBytes = 4 << 10
)

// serveReadiness answers readiness checks on addr until ctx ends. The answer on any
// path is 200 while all conditions of r are met, and otherwise 503 with the
// conditions that are not met and the reasons, one per line.
func serveReadiness(ctx context.Context, addr netip.AddrPort, r *clobserve.Readiness) error {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Wrap(err, "listen on the readiness address; it needs a free port")
	}
	srv := &http.Server{ReadTimeout: readinessReadTimeout, IdleTimeout: readinessIdleTimeout, MaxHeaderBytes: readinessHeaderBytes, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reasons := r.Reasons(); len(reasons) > 0 {
			http.Error(w, strings.Join(reasons, "\n"), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve readiness checks")
	}
	return nil
}
