// Package allowance keeps bounds that count over all hosts without asking any of them: each host has a fixed part, and
// the parts add up to no more than the bound even while hosts disagree about who is alive.
package allowance

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// FleetView returns how many hosts a bound is split over. It never returns fewer than may share the bound.
type FleetView interface {
	// Split is the number of parts.
	Split() int
	// Chosen reports whether this host is among the first n of all hosts in the rendezvous order of the key.
	Chosen(key uint64, n int) bool
}

// agreement is the part of a bound that is split: a host that misses a quarter of the others takes a third more than its
// part, and the sum still holds.
const agreement = 0.75

// RetryLimits is the bound on requests sent once more, over all hosts together.
type RetryLimits struct {
	// Ratio is the retries for each request.
	Ratio float64
	// Slack is how many more are allowed in any span of the stated length, whatever that is.
	Slack float64
}

// RetryBudget is this host's part of the retry budget of each service. It is safe for concurrent use.
type RetryBudget struct {
	bounds RetryLimits
	hosts  FleetView

	mu       sync.Mutex
	services map[string]*float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(b RetryLimits, hosts FleetView) *RetryBudget {
	return &RetryBudget{bounds: b, hosts: hosts, services: map[string]*float64{}}
}

// part is this host's part of the slack, with which a bucket begins. What a window sees is at most a full bucket and
// what its own requests add, so that the sum over the hosts stays under the bound.
func (r *RetryBudget) part() float64 { return agreement * r.bounds.Slack / float64(r.hosts.Split()) }

// bucket returns the service's bucket; the caller holds mu.
func (r *RetryBudget) bucket(service string) *float64 {
	b := r.services[service]
	if b == nil {
		part := r.part()
		b = &part
		r.services[service] = b
	}
	return b
}

// RecordRequest counts a request for the service.
func (r *RetryBudget) RecordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(service)
	*b = min(max(1, r.part()), *b+r.bounds.Ratio) // at least one retry, or small parts would never add up to one
}

// TryWithdraw uses one retry at the service. It returns false when none is left.
func (r *RetryBudget) TryWithdraw(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(service)
	if *b < 1 {
		return false
	}
	*b--
	return true
}

// ColdLimits is the bound on requests to one cold upstream in any second, over all hosts together.
type ColdLimits struct {
	// Overage times the service's rate, and Slack more, are allowed.
	Overage float64
	Slack   float64
}

// coldWindow is the span in which the bound on cold upstreams holds; a little more than the stated second, since
// requests that were sent apart may arrive together.
const coldWindow = 1050 * time.Millisecond

// ColdLimiter is this host's part of what cold upstreams may get. It is safe for concurrent use.
type ColdLimiter struct {
	bounds ColdLimits
	hosts  FleetView
	clock  clockwork.Clock

	mu   sync.Mutex
	sent map[string][]time.Time
}

// NewColdLimiter returns the limiter.
func NewColdLimiter(b ColdLimits, hosts FleetView, clock clockwork.Clock) *ColdLimiter {
	return &ColdLimiter{bounds: b, hosts: hosts, clock: clock, sent: map[string][]time.Time{}}
}

// part returns how many requests this host may send to the cold upstream in a window. If there are more hosts than
// requests, some hosts get one each, so few that disagreement about who they are stays under the bound.
func (c *ColdLimiter) part(upstream string, rate float64) int {
	bound := agreement * math.Floor(rate*c.bounds.Overage+c.bounds.Slack)
	part := int(bound) / c.hosts.Split()
	if part > 0 {
		return part
	}
	if c.hosts.Chosen(loadbalancer.HashKey(upstream), int(bound)/2) {
		return 1
	}
	return 0
}

// TryAcquire uses one request to the upstream, whose service bears rate requests a second while cold. It returns false if
// this host has used its part of the present window.
func (c *ColdLimiter) TryAcquire(upstream string, rate float64) bool {
	now := c.clock.Now()
	part := c.part(upstream, rate)
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := c.sent[upstream][:0]
	for _, t := range c.sent[upstream] {
		if now.Sub(t) < coldWindow {
			recent = append(recent, t)
		}
	}
	if len(recent) >= part {
		c.sent[upstream] = recent
		return false
	}
	c.sent[upstream] = append(recent, now)
	return true
}

// Remove drops what is kept of the upstream.
func (c *ColdLimiter) Remove(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sent, upstream)
}
