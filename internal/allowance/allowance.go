// Package allowance enforces fleet-wide limits without communication between hosts: each host has a fixed share, and the
// shares add up to at most the limit even while hosts disagree about fleet membership.
package allowance

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// FleetView provides the number of hosts over which a limit is split. The number must not be lower than the number of
// hosts that may share the limit.
type FleetView interface {
	// ShareCount returns the number of shares.
	ShareCount() int
	// RanksAmongFirst reports whether this host is among the first n of all hosts in the rendezvous order of the key.
	RanksAmongFirst(key uint64, n int) bool
}

// splitFraction is the fraction of a limit that is split over the hosts. A host that is unaware of a quarter of the
// other hosts takes a third more than its share, and the sum still does not exceed the limit.
const splitFraction = 0.75

// RetryLimits limit the retries of all hosts together.
type RetryLimits struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of additional retries allowed in any time window, whatever its length.
	Slack float64
}

// RetryBudget is this host's share of the retry budget of each service. It is safe for concurrent use.
type RetryBudget struct {
	limits RetryLimits
	fleet  FleetView

	mu       sync.Mutex
	balances map[string]*float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(limits RetryLimits, fleet FleetView) *RetryBudget {
	return &RetryBudget{limits: limits, fleet: fleet, balances: map[string]*float64{}}
}

// share returns this host's share of the slack, which is also the initial balance. Within a time window at most a full
// balance and what the requests of the window add can be withdrawn, so that the sum over the hosts stays below the
// limit.
func (r *RetryBudget) share() float64 {
	return splitFraction * r.limits.Slack / float64(r.fleet.ShareCount())
}

// balance returns the balance of the service. The caller holds mu.
func (r *RetryBudget) balance(service string) *float64 {
	b := r.balances[service]
	if b == nil {
		share := r.share()
		b = &share
		r.balances[service] = b
	}
	return b
}

// RecordRequest counts a request for the service.
func (r *RetryBudget) RecordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.balance(service)
	*b = min(max(1, r.share()), *b+r.limits.Ratio) // The balance can reach one retry even if the share is smaller.
}

// TryWithdraw takes one retry from the balance of the service. It returns false if none is left.
func (r *RetryBudget) TryWithdraw(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.balance(service)
	if *b < 1 {
		return false
	}
	*b--
	return true
}

// ColdLimits limit the requests of all hosts together to one cold upstream in any second.
type ColdLimits struct {
	// The limit is Overage times the service's cold rate, plus Slack requests.
	Overage float64
	Slack   float64
}

// coldWindow is the time window of the limit on cold upstreams. It is slightly longer than the specified second, since
// requests may arrive closer together than they were sent.
const coldWindow = 1050 * time.Millisecond

// ColdLimiter limits this host's requests to cold upstreams to its share. It is safe for concurrent use.
type ColdLimiter struct {
	limits ColdLimits
	fleet  FleetView
	clock  clockwork.Clock

	mu   sync.Mutex
	sent map[string][]time.Time
	// sweptAt is when the records of upstreams without recent requests were last deleted.
	sweptAt time.Time
}

// NewColdLimiter returns a limiter without recorded requests.
func NewColdLimiter(limits ColdLimits, fleet FleetView, clock clockwork.Clock) *ColdLimiter {
	return &ColdLimiter{limits: limits, fleet: fleet, clock: clock, sent: map[string][]time.Time{}}
}

// share returns the number of requests that this host may send to the cold upstream within a window. If there are more
// hosts than requests, only some hosts may send one each: half as many as there are requests, so that the limit holds
// even if hosts disagree on which hosts these are.
func (c *ColdLimiter) share(upstream string, rate float64) int {
	limit := splitFraction * math.Floor(rate*c.limits.Overage+c.limits.Slack)
	share := int(limit) / c.fleet.ShareCount()
	if share > 0 {
		return share
	}
	if c.fleet.RanksAmongFirst(loadbalancer.HashKey(upstream), int(limit)/2) {
		return 1
	}
	return 0
}

// TryAcquire counts one request to the upstream, whose service can handle rate requests per second while cold. It
// returns false if this host has used up its share of the current window.
func (c *ColdLimiter) TryAcquire(upstream string, rate float64) bool {
	now := c.clock.Now()
	share := c.share(upstream, rate)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	recent := c.sent[upstream][:0]
	for _, t := range c.sent[upstream] {
		if now.Sub(t) < coldWindow {
			recent = append(recent, t)
		}
	}
	if len(recent) >= share {
		c.sent[upstream] = recent
		return false
	}
	c.sent[upstream] = append(recent, now)
	return true
}

// sweep deletes the records of upstreams without requests in the window, once per window. The caller holds mu.
func (c *ColdLimiter) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < coldWindow {
		return
	}
	c.sweptAt = now
	for upstream, sent := range c.sent {
		if len(sent) == 0 || now.Sub(sent[len(sent)-1]) >= coldWindow {
			delete(c.sent, upstream)
		}
	}
}
