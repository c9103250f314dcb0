// Package loadbound computes how many requests an upstream may carry: at most a configured multiple of the mean load of
// its pool. It also stores the load reports of other owners, from which the mean is computed.
//
// The load of an upstream is its number of requests in flight; the mean is weighted by capacity.
package loadbound

import "math"

// NoLimit is the limit of an upstream that is not bounded.
const NoLimit = math.MaxInt

// idleShare is the share of an upstream's capacity up to which it counts as idle. The limit is never lower, so that a
// pool without load can accept its first requests.
const idleShare = 1.0 / 8

// roundingTolerance absorbs the floating-point error of the division before a result is rounded to whole requests.
const roundingTolerance = 1e-9

// Totals sums the load of upstreams of one pool, in requests.
type Totals struct {
	Load float64
	// Waiting is the number of queued requests.
	Waiting  float64
	Capacity int
}

// Add returns the sum of both totals.
func (t Totals) Add(o Totals) Totals {
	return Totals{Load: t.Load + o.Load, Waiting: t.Waiting + o.Waiting, Capacity: t.Capacity + o.Capacity}
}

// Limit returns the maximum number of requests that an upstream of this capacity may carry, including the request to be
// admitted, when its whole pool carries totals. It is factor times the mean load, rounded down, but at least the mean
// load including this request and the queued ones, rounded up, since some upstream has to carry that much. It is at
// least IdleThreshold and at most the capacity.
func Limit(factor float64, capacity int, totals Totals) int {
	if capacity < 1 {
		return 1
	}
	if totals.Capacity == 0 {
		return capacity
	}
	share := float64(capacity) / float64(totals.Capacity)
	current, expected := totals.Load*share, (totals.Load+totals.Waiting+1)*share
	limit := max(math.Floor(factor*current+roundingTolerance), math.Ceil(expected-roundingTolerance), IdleThreshold(capacity))
	return int(min(limit, float64(capacity)))
}

// IdleThreshold returns the load up to which an upstream of this capacity counts as idle. It is at least 1.
func IdleThreshold(capacity int) float64 {
	return max(1, math.Floor(idleShare*float64(capacity)))
}
