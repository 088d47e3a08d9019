// This file defines the settings of a gateway process.

package clnode

import (
	"net/netip"
	"time"
)

// Settings configures a gateway process.
type Settings struct {
	// Name is the gateway's name. It stays the same after a restart.
	Name       string
	DataCentre string

	// CallerAddress is the listen address for requests of callers.
	CallerAddress netip.AddrPort
	// ReadinessAddress is the listen address for readiness checks.
	ReadinessAddress netip.AddrPort
	// PeerAddress is the listen address for other gateways: UDP for digests and
	// TCP for followers of this gateway's mirrors.
	PeerAddress    netip.AddrPort
	MetricsAddress netip.AddrPort
	StoreAddress   netip.AddrPort
	// CloudAddress is the zero value in a deployment without duties.
	CloudAddress netip.AddrPort

	// MemoryBytes is the memory limit of the process; 0 means unknown.
	MemoryBytes int64
	// Grace is the time between the request to stop and the end of the process.
	Grace time.Duration
	// Revocation is how long a removed API key may still be accepted.
	Revocation time.Duration
	// StrictRevocation applies Revocation also to gateways that cannot reach the
	// store.
	StrictRevocation bool
	// LeaseTTL is how long the lease for the duties lasts without renewal.
	LeaseTTL time.Duration

	// RetryRatio and RetryFloor limit the retries of all gateways combined within
	// RetryWindow.
	RetryRatio, RetryFloor float64
	RetryWindow            time.Duration

	// ReportsUsage and OrdersEndpoints enable the individual duties.
	ReportsUsage, OrdersEndpoints bool
	// UsageWindow is the length of a usage window, and UsageDue the time after its
	// end within which it must be reported.
	UsageWindow, UsageDue time.Duration

	// QuotaOvershoot and QuotaSlack are the amounts by which all gateways combined
	// may exceed a quota: a fraction of the quota, plus an absolute amount.
	QuotaOvershoot, QuotaSlack float64

	// TrialShare and TrialFloor limit the requests that a bad version may receive:
	// a fraction of the service's requests, plus an absolute number.
	TrialShare, TrialFloor float64
}

// Defaults for missing settings.
const (
	defaultGrace       = 8 * time.Second
	defaultRevocation  = 5 * time.Second
	defaultLeaseTTL    = 3 * time.Second
	defaultRetryRatio  = 0.1
	defaultRetryWindow = 10 * time.Second
	defaultUsageWindow = 5 * time.Second
	defaultTrialShare  = 0.05
)

// withDefaults returns the settings with defaults for the missing ones.
func (s Settings) withDefaults() Settings {
	setDefault(&s.Grace, defaultGrace)
	setDefault(&s.Revocation, defaultRevocation)
	setDefault(&s.LeaseTTL, defaultLeaseTTL)
	setDefault(&s.RetryRatio, defaultRetryRatio)
	setDefault(&s.RetryWindow, defaultRetryWindow)
	setDefault(&s.UsageWindow, defaultUsageWindow)
	setDefault(&s.UsageDue, 2*s.UsageWindow)
	setDefault(&s.TrialShare, defaultTrialShare)
	return s
}

// setDefault sets a field that is not positive to fallback.
func setDefault[T int64 | float64 | time.Duration](field *T, fallback T) {
	if *field <= 0 {
		*field = fallback
	}
}
