// This file defines the settings of a gateway process.

package clnode

import (
	"net/netip"
	"time"
)

// Settings are what the platform tells a gateway process.
type Settings struct {
	// Name is the gateway's name, which a restart keeps.
	Name       string
	DataCentre string

	CallerAddress    netip.AddrPort
	ReadinessAddress netip.AddrPort
	// PeerAddress is where the other gateways' digests arrive.
	PeerAddress    netip.AddrPort
	MetricsAddress netip.AddrPort
	StoreAddress   netip.AddrPort
	// CloudAddress is not valid where there are no duties.
	CloudAddress netip.AddrPort

	// MemoryBytes is what the process may use; 0 means unknown.
	MemoryBytes int64
	// Grace is the time between the request to stop and the end.
	Grace time.Duration
	// Revocation is how long after its removal a key may still be used.
	Revocation time.Duration
	// StrictRevocation says that Revocation also binds gateways that cannot
	// reach the store.
	StrictRevocation bool
	// LeaseTTL is how long the duties' lease lasts without renewal.
	LeaseTTL time.Duration

	// RetryRatio and RetryFloor bound the retries of all gateways within
	// RetryWindow.
	RetryRatio, RetryFloor float64
	RetryWindow            time.Duration

	// ReportsUsage and OrdersEndpoints say which duties there are.
	ReportsUsage, OrdersEndpoints bool
	// UsageWindow is the length of a usage window, and UsageDue how long
	// after its end it must be reported.
	UsageWindow, UsageDue time.Duration

	// QuotaOvershoot and QuotaSlack are by how much the gateways together may
	// exceed a quota: a part of it, and an amount besides.
	QuotaOvershoot, QuotaSlack float64

	// TrialShare and TrialFloor bound the requests that a bad version may get.
	TrialShare, TrialFloor float64
}

// Defaults for settings that are missing.
const (
	defaultGrace       = 8 * time.Second
	defaultRevocation  = 5 * time.Second
	defaultLeaseTTL    = 3 * time.Second
	defaultRetryRatio  = 0.1
	defaultRetryWindow = 10 * time.Second
	defaultUsageWindow = 5 * time.Second
	defaultTrialShare  = 0.05
)

// withDefaults returns the settings with defaults in place of what is missing.
func (s Settings) withDefaults() Settings {
	or(&s.Grace, defaultGrace)
	or(&s.Revocation, defaultRevocation)
	or(&s.LeaseTTL, defaultLeaseTTL)
	or(&s.RetryRatio, defaultRetryRatio)
	or(&s.RetryWindow, defaultRetryWindow)
	or(&s.UsageWindow, defaultUsageWindow)
	or(&s.UsageDue, 2*s.UsageWindow)
	or(&s.TrialShare, defaultTrialShare)
	return s
}

func or[T int64 | float64 | time.Duration](v *T, fallback T) {
	if *v <= 0 {
		*v = fallback
	}
}
