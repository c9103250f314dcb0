// Package allowance enforces fleet-wide limits without communication between hosts: each host has a fixed share, and the
// shares add up to at most the limit even while hosts disagree about fleet membership.
package allowance

import "sync"

// FleetView provides the number of hosts over which a limit is split. The number must not be lower than the number of
// hosts that may share the limit.
type FleetView interface {
	// ShareCount returns the number of shares.
	ShareCount() int
	// Rank returns this host's position in the rendezvous order of all known hosts for the key, and their number.
	Rank(key uint64) (rank, hosts int)
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
	r.deposit(service, r.limits.Ratio)
}

// deposit adds to the balance of the service. The caller holds mu.
func (r *RetryBudget) deposit(service string, retries float64) {
	b := r.balance(service)
	*b = min(max(1, r.share()), *b+retries) // The balance can reach one retry even if the share is smaller.
}

// Available reports whether the balance of the service allows a retry.
func (r *RetryBudget) Available(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *r.balance(service) >= 1
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

// Return gives back a retry that was withdrawn and is not sent.
func (r *RetryBudget) Return(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deposit(service, 1)
}
