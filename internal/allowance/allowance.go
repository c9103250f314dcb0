// Package allowance enforces fleet-wide limits without communication between hosts: each host has a fixed share, and the
// shares add up to at most the limit even while hosts disagree about fleet membership.
package allowance

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

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
	// Slack is the number of additional retries allowed in any time window of the length Window.
	Slack  float64
	Window time.Duration
}

// RetryBudget is this host's share of the retry budget of each service. It is safe for concurrent use.
type RetryBudget struct {
	limits    RetryLimits
	fleet     FleetView
	clock     clockwork.Clock
	startedAt time.Time

	mu       sync.Mutex
	accounts map[string]*account
}

// account is the retry budget of a service.
type account struct {
	balance float64
	// withdrawn is what was withdrawn before the account got its share of the slack.
	withdrawn float64
	hasSlack  bool
}

// NewRetryBudget returns a budget without its share of the slack.
func NewRetryBudget(limits RetryLimits, fleet FleetView, clock clockwork.Clock) *RetryBudget {
	return &RetryBudget{limits: limits, fleet: fleet, clock: clock, startedAt: clock.Now(), accounts: map[string]*account{}}
}

// share returns this host's share of the slack. Within a time window at most a full balance and what the requests of the
// window add can be withdrawn, so that the sum over the hosts stays below the limit.
func (r *RetryBudget) share() float64 {
	return splitFraction * r.limits.Slack / float64(r.fleet.ShareCount())
}

// account returns the account of the service. A process that was killed may have spent its share just before, so that its
// successor has none until it has run for a window, and then only what it has not withdrawn meanwhile. The caller holds mu.
func (r *RetryBudget) account(service string) *account {
	a := r.accounts[service]
	if a == nil {
		a = &account{}
		r.accounts[service] = a
	}
	if !a.hasSlack && r.clock.Since(r.startedAt) >= r.limits.Window {
		a.balance, a.hasSlack = max(a.balance, r.share()-a.withdrawn), true
	}
	return a
}

// RecordRequest counts a request for the service.
func (r *RetryBudget) RecordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deposit(r.account(service), r.limits.Ratio)
}

// deposit adds to the balance of the account. The caller holds mu.
func (r *RetryBudget) deposit(a *account, retries float64) {
	a.balance = min(max(1, r.share()), a.balance+retries) // The balance can reach one retry even if the share is smaller.
}

// Available reports whether the balance of the service allows a retry.
func (r *RetryBudget) Available(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.account(service).balance >= 1
}

// TryWithdraw takes one retry from the balance of the service. It returns false if none is left.
func (r *RetryBudget) TryWithdraw(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(service)
	if a.balance < 1 {
		return false
	}
	a.balance--
	if !a.hasSlack {
		a.withdrawn++
	}
	return true
}

// Return gives back a retry that was withdrawn and is not sent.
func (r *RetryBudget) Return(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deposit(r.account(service), 1)
}
