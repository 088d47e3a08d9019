// This file defines the settings of a gateway process.

package clnode

import (
	"net/netip"
	"time"
)

// Settings configures a gateway process. Of a limit for all gateways combined, each
// gateway uses a share.
type Settings struct {
	// Name identifies the gateway among all gateways. It stays the same after a
	// restart.
	Name string
	// DataCentre is the name of the data centre in which the process runs.
	DataCentre string

	// CallerAddress is the address on which the gateway listens for callers'
	// requests.
	CallerAddress netip.AddrPort
	// ReadinessAddress is the address on which the gateway listens for the readiness
	// checks of the ingress.
	ReadinessAddress netip.AddrPort
	// PeerAddress is the address on which the gateway listens for other gateways: on
	// UDP for digests, and on TCP for gateways that follow its mirrors.
	PeerAddress netip.AddrPort
	// MetricsAddress is the address on which the gateway serves metrics and health
	// checks. The zero value disables both.
	MetricsAddress netip.AddrPort
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort
	// CloudAddress is the address of the platform's cloud service, which receives
	// usage reports and orders for endpoints. If it is the zero value, the gateway
	// does not compete for the lease of the duties.
	CloudAddress netip.AddrPort

	// MemoryBytes is the memory limit of the process; 0 means that it is unknown.
	MemoryBytes int64
	// MaxDescriptors is the limit of the process's open file descriptors; 0 means that it
	// is unknown.
	MaxDescriptors int
	// Grace is the maximum time from the request to stop until the process ends.
	Grace time.Duration
	// Revocation is the maximum time for which an API key is still accepted after
	// its removal from the configuration.
	Revocation time.Duration
	// StrictRevocation makes Revocation apply also while the gateway cannot reach the
	// store: when the configuration has not been confirmed for most of that time,
	// the gateway refuses requests that need an API key.
	StrictRevocation bool
	// ChangeDeadline is the time within which each gateway must act on a change in the
	// store, such as a new configuration or an endpoint that leaves.
	ChangeDeadline time.Duration
	// LeaseTTL is how long the lease of the duties lasts without renewal.
	LeaseTTL time.Duration

	// RetryRatio and RetryFloor limit the retries of all gateways combined within
	// RetryWindow: to a fraction of the requests, plus an absolute number.
	RetryRatio, RetryFloor float64
	RetryWindow            time.Duration

	// ReportsUsage and OrdersEndpoints enable the duties of reporting usage and of
	// ordering endpoints.
	ReportsUsage, OrdersEndpoints bool
	// UsageWindow is the length of a usage window, which is a period whose usage is
	// reported together. The report must be made within UsageDue after the end of
	// the window.
	UsageWindow, UsageDue time.Duration

	// QuotaOvershoot and QuotaSlack limit by how much all gateways combined may
	// exceed a quota: by a fraction of the quota, plus an absolute amount.
	QuotaOvershoot, QuotaSlack float64

	// CostAware chooses the endpoints of services whose endpoints state a pace by the
	// likely cost of requests. It is read at the start only.
	CostAware bool
	// FairShares divides the capacity of a service in shortage among the accounts by
	// their quotas, if these differ. It is read at the start only.
	FairShares bool

	// TrialShare and TrialFloor limit the requests that a bad version may receive
	// during its rollout: to a fraction of the service's requests, plus an
	// absolute number.
	TrialShare, TrialFloor float64
}

// Defaults for settings that are not positive. The default of UsageDue is twice
// the UsageWindow.
const (
	defaultGracePeriod       = 8 * time.Second
	defaultRevocationTime    = 5 * time.Second
	defaultChangeDeadline    = 2 * time.Second
	defaultLeaseTTL          = 3 * time.Second
	defaultRetryRatio        = 0.1
	defaultRetryWindowLength = 10 * time.Second
	defaultUsageWindowLength = 5 * time.Second
	defaultTrialShare        = 0.05
)

// withDefaults returns a copy of the settings with the defaults filled in.
func (s Settings) withDefaults() Settings {
	setDefault(&s.Grace, defaultGracePeriod)
	setDefault(&s.Revocation, defaultRevocationTime)
	setDefault(&s.ChangeDeadline, defaultChangeDeadline)
	setDefault(&s.LeaseTTL, defaultLeaseTTL)
	setDefault(&s.RetryRatio, defaultRetryRatio)
	setDefault(&s.RetryWindow, defaultRetryWindowLength)
	setDefault(&s.UsageWindow, defaultUsageWindowLength)
	setDefault(&s.UsageDue, 2*s.UsageWindow)
	setDefault(&s.TrialShare, defaultTrialShare)
	return s
}

// setDefault sets *field to fallback if it is not positive.
func setDefault[T int64 | float64 | time.Duration](field *T, fallback T) {
	if *field <= 0 {
		*field = fallback
	}
}
