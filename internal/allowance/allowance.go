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
	// Ranked returns the addresses of all known hosts, this one included, in the rendezvous order for the key.
	Ranked(key uint64) []string
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
	// divisions are how the slack is divided among the hosts.
	divisions divisions
}

// account is the retry budget of a service.
type account struct {
	balance float64
	// withdrawn is what was withdrawn before the account got its share of the slack.
	withdrawn float64
	hasSlack  bool
	// recent is what the requests of the last window added less what was withdrawn meanwhile.
	recent windowSum
}

// windowSlots is the number of parts of a window whose sums are kept.
const windowSlots = 10

// windowSum is a sum over the last windowSlots parts of time.
type windowSum struct {
	slots [windowSlots]float64
	last  int64
}

// add adds to the sum of the slot. Slots ascend.
func (w *windowSum) add(slot int64, n float64) {
	for w.last = max(w.last, slot-windowSlots); w.last < slot; {
		w.last++
		w.slots[w.last%windowSlots] = 0
	}
	w.slots[slot%windowSlots] += n
}

// total returns the sum of the slots up to the given one.
func (w *windowSum) total(slot int64) float64 {
	w.add(slot, 0)
	total := 0.0
	for _, n := range w.slots {
		total += n
	}
	return total
}

// NewRetryBudget returns a budget without its share of the slack.
func NewRetryBudget(limits RetryLimits, fleet FleetView, clock clockwork.Clock) *RetryBudget {
	return &RetryBudget{limits: limits, fleet: fleet, clock: clock, startedAt: clock.Now(), accounts: map[string]*account{}, divisions: newDivisions(fleet)}
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

// slot returns the number of the current part of a window.
func (r *RetryBudget) slot() int64 {
	return int64(r.clock.Since(r.startedAt) / max(1, r.limits.Window/windowSlots))
}

// holdsSlack reports whether this host may hold a retry of the slack. If the slack has less than one for each host, some
// hosts may. The caller holds mu.
func (r *RetryBudget) holdsSlack(service string) bool {
	if r.share() >= 1 {
		return true
	}
	limit := RateLimit{Requests: int(splitFraction * r.limits.Slack), Max: int(r.limits.Slack)}
	return limit.Requests > 0 && r.divisions.of(service, r.clock.Now()).share(Target{Service: service}, limit) > 0
}

// available reports whether the balance of the service allows a retry. A host without a part of the slack must have earned
// it within the last window. The caller holds mu.
func (r *RetryBudget) available(a *account, service string) bool {
	return a.balance >= 1 && (r.holdsSlack(service) || a.recent.total(r.slot()) >= 1)
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
	a.recent.add(r.slot(), retries)
}

// Available reports whether the balance of the service allows a retry.
func (r *RetryBudget) Available(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.available(r.account(service), service)
}

// TryWithdraw takes one retry from the balance of the service. It returns false if none is left.
func (r *RetryBudget) TryWithdraw(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(service)
	if !r.available(a, service) {
		return false
	}
	a.balance--
	a.recent.add(r.slot(), -1)
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
