package balance

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

// Selector chooses upstreams within the limits that all hosts share.
type Selector struct {
	table   *Table
	limiter *allowance.UpstreamLimiter
	cold    allowance.ColdLimits
	clock   clockwork.Clock
}

// NewSelector returns a selector of upstreams by their statistics in the table.
func NewSelector(table *Table, limiter *allowance.UpstreamLimiter, cold allowance.ColdLimits, clock clockwork.Clock) *Selector {
	return &Selector{table: table, limiter: limiter, cold: cold, clock: clock}
}

// Select returns the first upstream in the order of preference that may receive a request now, or nil. The request
// counts against the limits of that upstream.
func (s *Selector) Select(snap *catalog.Snapshot, service string, criteria Criteria) *Choice {
	return s.selectFrom(snap, service, criteria, func(*Choice) bool { return true })
}

// SelectUntried is Select among the upstreams that were not tried for the request and are not silent: a send is given up only
// for one that promises more.
func (s *Selector) SelectUntried(snap *catalog.Snapshot, service string, criteria Criteria) *Choice {
	criteria.TakenUp = false
	return s.selectFrom(snap, service, criteria, func(c *Choice) bool { return c.Tier < tierTried && !c.Silent })
}

func (s *Selector) selectFrom(snap *catalog.Snapshot, service string, criteria Criteria, accepts func(*Choice) bool) *Choice {
	order := s.order(snap, service, criteria, s.clock.Now())
	for i := range order {
		if u := &order[i]; accepts(u) && (len(u.limits) == 0 || s.limiter.TryAcquire(u.target, u.limits...)) {
			return u
		}
	}
	return nil
}

// Release takes back the request that was counted against the limits of the selected upstream, and is not sent.
func (s *Selector) Release(c *Choice) {
	if len(c.limits) > 0 {
		s.limiter.Release(c.target)
	}
}

// availableFunc returns the limits on requests to an upstream, and whether they allow one now. It is called with the
// table's lock held.
type availableFunc func(*member) (limits []allowance.RateLimit, ok bool)

// selectAvailable keeps the candidates that are available and may receive the request, with their limits.
func selectAvailable(list []candidate, criteria Criteria, available availableFunc) []candidate {
	kept := list[:0]
	for i := range list {
		c := &list[i]
		if slices.Contains(criteria.Rejected, c.member.key) || !criteria.accepts(c.member.upstream) {
			continue
		}
		var ok bool
		if c.limits, ok = available(c.member); ok {
			kept = append(kept, *c)
		}
	}
	return kept
}

// order returns the upstreams that their limits allow to receive a request, in the order of preference.
func (s *Selector) order(snap *catalog.Snapshot, service string, criteria Criteria, now time.Time) []Choice {
	return s.table.order(snap, service, criteria, func(m *member) ([]allowance.RateLimit, bool) {
		limits := s.limits(snap, m.upstream, m.stats.said.limit, criteria, now)
		if len(limits) > 0 && criteria.Version == nil && m.stats.pool.waiting[m.upstream.Version] > 0 {
			return nil, false
		}
		return limits, len(limits) == 0 || s.limiter.Available(m.target(), limits...)
	})
}

// limits returns the limits on the request at the upstream; nil if there are none.
func (s *Selector) limits(snap *catalog.Snapshot, u *catalog.Upstream, named requestLimit, criteria Criteria, now time.Time) []allowance.RateLimit {
	var limits []allowance.RateLimit
	if rate := snap.ColdRequestsPerSecond(u.Service); rate > 0 && now.Before(u.ColdUntil) {
		limits = append(limits, s.cold.RateLimit(rate))
	}
	if named.inForce(now) {
		limit := allowance.NamedRateLimit(named.perSecond)
		if criteria.TakenUp {
			limit = limit.Tolerated()
		}
		limits = append(limits, limit)
	}
	return limits
}
