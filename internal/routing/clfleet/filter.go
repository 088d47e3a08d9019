// This file decides which endpoints a request may go to.

package clfleet

import (
	"slices"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
)

// usableConnShare is the fraction of an endpoint's connection limit that is
// used; the rest is left for connections that are being opened or closed.
const usableConnShare = 0.85

// filter decides which endpoints a request may go to. It holds what is the same for
// all endpoints.
type filter struct {
	fleet          *Fleet
	service        *service
	cfg            *clcatalog.Service
	request        Request
	onSplitVersion bool
	now            time.Time
	// maxConns is the number of connections that this gateway may use at an endpoint;
	// 0 means no limit.
	maxConns int
}

// newFilter returns the filter for a request.
func (f *Fleet) newFilter(s *service, cfg *clcatalog.Service, r Request, onSplitVersion bool, now time.Time) filter {
	out := filter{fleet: f, service: s, cfg: cfg, request: r, onSplitVersion: onSplitVersion, now: now}
	if cfg.MaxConns > 0 {
		out.maxConns = max(1, int(float64(cfg.MaxConns)*usableConnShare/float64(f.gatewayCount())))
	}
	return out
}

// excludedBy returns the first condition that excludes the endpoint for the request,
// or "" if there is none.
func (x *filter) excludedBy(e *endpoint) Reason {
	f := x.fleet
	switch {
	case f.isExcluded(e.DataCentre):
		return ReasonDataCentreOut
	case e.isLeaving():
		return ReasonLeaving
	case e.isQuiet(x.now):
		return ReasonQuiet
	case !x.service.allowsVersion(e.Version, x.onSplitVersion, x.now):
		return ReasonVersion
	case x.now.Before(e.blockedUntil):
		return ReasonBlocked
	case slices.Contains(x.request.Tried, e.ID):
		return ReasonTried
	case !f.hasColdCapacity(x.cfg, e, x.now):
		return ReasonCold
	case !e.mayReturn(x.now):
		return ReasonReturning
	case x.maxConns > 0 && e.conns >= x.maxConns:
		return ReasonFull
	}
	return ""
}

// isExcluded reports whether a data centre gets no requests.
func (f *Fleet) isExcluded(dataCentre string) bool {
	return len(f.excludedDataCentres) > 0 && f.excludedDataCentres[dataCentre]
}
