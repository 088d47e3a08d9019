// This file defines what is granted beyond an account's quota, and what a decision is
// based on.

package clquota

import "time"

type (
	// Tolerance is by how much all gateways together may exceed a quota in any window
	// of windowSeconds: by the fraction Overshoot of the quota for the window, plus
	// the cost Slack.
	Tolerance struct{ Overshoot, Slack float64 }

	// Decision is the result of Limiter.Decide.
	Decision struct {
		// Admitted is set if the request is admitted, and otherwise RetryAfter is the
		// time after which to retry and Basis the reason.
		Admitted   bool
		RetryAfter time.Duration
		Basis      Basis
		// Level is the cost that could be admitted as far as the gateways have
		// reported their spending, Needed what the request needs of it, and Unreported
		// the estimate of what the peers have spent beyond that.
		Level, Needed, Unreported float64
	}

	// Basis is why a request is refused.
	Basis string
)

const (
	// BasisAboveLimit is the basis if the reported spending leaves too little.
	BasisAboveLimit Basis = "above_limit"
	// BasisUnreported is the basis if the reported spending leaves enough, but not
	// with the estimate of unreported spending.
	BasisUnreported Basis = "unreported"
	// BasisStartup is the basis if the process has just started and the spending of
	// the peers is not known yet.
	BasisStartup Basis = "startup"
)

const (
	// windowSeconds is the length in seconds of the window of a quota, as in the
	// quota bound of docs/hard-load.md.
	windowSeconds = 8
	// grantedOvershootFraction is the fraction of the tolerated overshoot that is
	// granted in advance with few gateways, so that requests within the quota are not
	// refused because the counts of the other gateways arrive late. The rest of the
	// tolerance covers the overshoot that the late counts themselves cause.
	grantedOvershootFraction = 0.5
	// overshootCutoff is the number of gateways from which no overshoot is granted on
	// the rate. What each of them admits between two digests adds up.
	overshootCutoff = 13
	// surgeReserveIntervals and minSurgeReserve are the part of the tolerance that
	// covers what is admitted before the gateways learn of a surge: the account's rate
	// over this many intervals between digests, or over this time if it is longer.
	surgeReserveIntervals = 2.6
	minSurgeReserve       = time.Second
	// grantedReserveFraction is the fraction of the tolerance beyond that reserve
	// that is granted as burst.
	grantedReserveFraction = 0.3
)

// of returns the tolerance for a quota.
func (t Tolerance) of(rate, burst float64) float64 {
	return t.Overshoot*(rate*windowSeconds+burst) + t.Slack
}

// Grant returns the rate and the burst that are granted to an account with the given
// quota. The burst is increased by a part of the tolerance that a surge does not need,
// which matters for accounts whose burst is only a few requests. With fewer than
// overshootCutoff gateways, the rate is increased by a part of the overshoot, and the
// burst by at least a quarter of the slack, but at most by a quarter of itself. An
// unlimited account stays unlimited.
func (t Tolerance) Grant(rate, burst float64, gatewayCount int, digestInterval time.Duration) (float64, float64) {
	if rate <= 0 {
		return rate, burst
	}
	reserve := rate * max(minSurgeReserve.Seconds(), surgeReserveIntervals*digestInterval.Seconds())
	if gatewayCount >= overshootCutoff {
		return rate, burst + t.spare(rate, burst, reserve)
	}
	granted := grantedOvershootFraction * t.Overshoot * rate
	return rate + granted, burst + max(t.spare(rate, burst, reserve+windowSeconds*granted), min(t.Slack, burst)/4)
}

// spare returns the granted fraction of the tolerance beyond the given reserve, at
// most that of the slack.
func (t Tolerance) spare(rate, burst, reserve float64) float64 {
	return grantedReserveFraction * max(0, min(t.Slack, t.of(rate, burst)-reserve))
}
