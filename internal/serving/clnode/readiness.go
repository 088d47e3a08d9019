// This file defines the answer to the ingress's question whether this process takes callers.

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

// readinessTimeout bounds a question's header.
const readinessTimeout = 2 * time.Second

// serveReadiness answers 200 on any path while the process is ready, and 503
// with the reasons otherwise.
func serveReadiness(ctx context.Context, addr netip.AddrPort, r *clobserve.Readiness) error {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Wrap(err, "set the readiness address to a free port")
	}
	srv := &http.Server{ReadHeaderTimeout: readinessTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reasons := r.Reasons(); len(reasons) > 0 {
			http.Error(w, strings.Join(reasons, "\n"), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "the readiness server stopped")
	}
	return nil
}
