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
		if u := &order[i]; accepts(u) && s.tryAcquire(u) {
			return u
		}
	}
	return nil
}

// tryAcquire counts a request against the limits of the upstream, and takes a place there.
func (s *Selector) tryAcquire(c *Choice) bool {
	if len(c.limits) > 0 && !s.limiter.TryAcquire(c.target, c.limits...) {
		return false
	}
	if s.Hold(c) {
		return true
	}
	s.Refund(c)
	return false
}

// Release takes back the request that was counted against the limits of the selected upstream, and is not sent.
func (s *Selector) Release(c *Choice) {
	s.Refund(c)
	s.Finish(c)
}

// Refund takes back the request that was counted against the limits of the upstream, after Finish.
func (s *Selector) Refund(c *Choice) {
	if len(c.limits) > 0 {
		s.limiter.Release(c.target)
	}
}

// Hold takes a place at the upstream until Finish, and reports whether this host may take one.
func (s *Selector) Hold(c *Choice) bool { return s.table.hold(c.Key(), c.places) }

// Finish ends the send for which the upstream was selected.
func (s *Selector) Finish(c *Choice) { s.table.unhold(c.Key()) }

// available is what an upstream that is available allows.
type available struct {
	limits []allowance.RateLimit
	// places is how many places this host may take; noPlaceLimit if there is no limit.
	places int
}

// availableFunc returns what the upstream allows, and whether that is a request now. It is called with the table's lock held.
type availableFunc func(*member) (allowed available, ok bool)

// selectAvailable keeps the candidates that are available and may receive the request, with their limits.
func selectAvailable(list []candidate, criteria Criteria, isAvailable availableFunc) []candidate {
	kept := list[:0]
	for i := range list {
		c := &list[i]
		if slices.Contains(criteria.Rejected, c.member.key) || !criteria.accepts(c.member.upstream) {
			continue
		}
		if allowed, ok := isAvailable(c.member); ok {
			c.limits, c.places = allowed.limits, allowed.places
			kept = append(kept, *c)
		}
	}
	return kept
}

// order returns the upstreams that their limits allow to receive a request, in the order of preference.
func (s *Selector) order(snap *catalog.Snapshot, service string, criteria Criteria, now time.Time) []Choice {
	return s.table.order(snap, service, criteria, func(m *member) (available, bool) {
		places := s.places(m, now)
		if places != noPlaceLimit && m.stats.places(now) >= places {
			return available{}, false
		}
		limits := s.limits(snap, m.upstream, m.stats.said.limit, criteria, now)
		if len(limits) > 0 && criteria.Version == nil && m.stats.pool.waiting[m.upstream.Version] > 0 {
			return available{}, false
		}
		return available{limits, places}, len(limits) == 0 || s.limiter.Available(m.target(), limits...)
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

// places returns how many places this host may take at the upstream; noPlaceLimit if there is no limit.
func (s *Selector) places(m *member, now time.Time) int {
	pool := m.stats.pool
	if pool == nil || !pool.brittle.inForce(now) {
		return noPlaceLimit
	}
	return s.limiter.Places(m.target(), m.upstream.Slots, pool.brittle.rejections)
}

// Exhausted is an upstream that could take a request, if this host had not used up its share of the upstream's limits.
type Exhausted struct {
	// IncarnationID identifies the incarnation of the upstream.
	IncarnationID uint32

	target allowance.Target
	limits []allowance.RateLimit
}

// Exhausted returns the upstreams that could take the request and probably respond at once, if this host had not used up its
// share of their limits.
func (s *Selector) Exhausted(snap *catalog.Snapshot, service string, criteria Criteria) []Exhausted {
	var list []Exhausted
	now := s.clock.Now()
	s.table.order(snap, service, criteria, func(m *member) (available, bool) {
		limits := s.limits(snap, m.upstream, m.stats.said.limit, criteria, now)
		if len(limits) > 0 && s.table.responsive(m.stats, now) && !s.limiter.Available(m.target(), limits...) {
			list = append(list, Exhausted{m.stats.id, m.target(), limits})
		}
		return available{}, false
	})
	return list
}

// Holders returns the other hosts that have a share of the limits of the upstream, and the number of all hosts, as far as this
// host knows.
func (s *Selector) Holders(e Exhausted) (holders []string, hosts int) {
	return s.limiter.Holders(e.target, e.limits...)
}

// Lend counts a request that another host may send within the given time against this host's share of the limits of an
// upstream, and returns the upstream's incarnation, which is one of those that are wanted. A host lends nothing while a request of
// its own waits for the software version.
func (s *Selector) Lend(snap *catalog.Snapshot, service string, criteria Criteria, wanted []uint32, within time.Duration) (incarnationID uint32, ok bool) {
	now := s.clock.Now()
	order := s.table.order(snap, service, criteria, func(m *member) (available, bool) {
		limits := s.limits(snap, m.upstream, m.stats.said.limit, criteria, now)
		if len(limits) == 0 || m.stats.pool.waiting[m.upstream.Version] > 0 || !slices.Contains(wanted, m.stats.id) {
			return available{}, false
		}
		return available{limits: limits, places: noPlaceLimit}, s.limiter.Available(m.target(), limits...)
	})
	for i := range order {
		u := &order[i]
		if u.Tier < tierTried && !u.Silent && s.limiter.TryLend(u.target, within, u.limits...) {
			return IncarnationID(u.Key()), true
		}
	}
	return 0, false
}

// Borrowed returns the upstream with the incarnation if it may receive the request, or nil. The request counts against the
// share of the host that lent it, and must be sent before the given time.
func (s *Selector) Borrowed(snap *catalog.Snapshot, service string, criteria Criteria, incarnationID uint32, sendBefore time.Time) *Choice {
	now := s.clock.Now()
	order := s.table.order(snap, service, criteria, func(m *member) (available, bool) {
		return available{places: s.places(m, now)}, m.stats.id == incarnationID
	})
	if len(order) == 0 || !s.Hold(&order[0]) {
		return nil
	}
	choice := &order[0]
	choice.Borrowed, choice.SendBefore = true, sendBefore
	return choice
}
