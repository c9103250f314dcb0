// Package loadbound decides how many requests an upstream may carry: no more than a set multiple of its pool's mean
// load. It also keeps what other owners report, from which the mean is known.
//
// Load is the number of requests in flight, in proportion to the upstream's capacity.
package loadbound

import "math"

// NoLimit is the limit of an upstream that is not bounded.
const NoLimit = math.MaxInt

// idleShare is the part of an upstream's capacity up to which it counts as idle: the bound never lies below it, so that
// a pool without load can take its first requests.
const idleShare = 1.0 / 8

// rounding absorbs the error of the division before a result is rounded to whole requests.
const rounding = 1e-9

// Totals sums what upstreams of one pool carry, in requests.
type Totals struct {
	Load float64
	// Waiting is the number of requests that wait for a place.
	Waiting  float64
	Capacity int
}

// Add returns the sum of both totals.
func (t Totals) Add(o Totals) Totals {
	return Totals{Load: t.Load + o.Load, Waiting: t.Waiting + o.Waiting, Capacity: t.Capacity + o.Capacity}
}

// Limit returns the most requests that an upstream of this capacity may carry, including the one that asks, when its
// whole pool carries totals. It is factor times the mean load, rounded down, but never below the mean that this request
// and the waiting ones will bring, rounded up, since some upstream has to carry that much. It is never below the idle
// share nor above the capacity.
func Limit(factor float64, capacity int, totals Totals) int {
	if capacity < 1 {
		return 1
	}
	if totals.Capacity == 0 {
		return capacity
	}
	share := float64(capacity) / float64(totals.Capacity)
	before, after := totals.Load*share, (totals.Load+totals.Waiting+1)*share
	limit := max(math.Floor(factor*before+rounding), math.Ceil(after-rounding), IdleThreshold(capacity))
	return int(min(limit, float64(capacity)))
}

// IdleThreshold returns the load up to which an upstream of this capacity counts as idle, at least 1.
func IdleThreshold(capacity int) float64 {
	return max(1, math.Floor(idleShare*float64(capacity)))
}
