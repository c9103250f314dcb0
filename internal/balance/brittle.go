package balance

import (
	"time"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

const (
	// brittleExpiry is how long the upstreams of a service count as brittle after one last said so. It is longer than the time
	// in which all hosts learn of such a response.
	brittleExpiry = 20 * time.Second
	// brittleGrace is the time for which responses must not have said so, while others arrive, until the upstreams of the
	// service no longer count as brittle.
	brittleGrace = time.Second
)

// brittleNotice is what the upstreams of a service say of the rejections for lack of capacity that they survive. It holds for
// all of them, also for one that has just started and has said nothing yet.
type brittleNotice struct {
	// rejections is the number of requests that an upstream may reject in a second without falling over.
	rejections int
	// origin tells when an upstream last said so; soundAt is when a response last did not.
	origin
	soundAt time.Time
	// logged is set while the latest log line says that the upstreams are brittle.
	logged bool
}

func (n *brittleNotice) inForce(now time.Time) bool {
	return n.source != "" && now.Sub(n.at) < brittleExpiry && n.soundAt.Sub(n.at) < brittleGrace
}

// RecordBrittle records how many requests the upstream may reject in a second without falling over, as it said in a response;
// nil if it said nothing.
func (t *Table) RecordBrittle(u *catalog.Upstream, rejections *int) {
	t.mu.Lock()
	defer t.unlock()
	pool, now := t.pool(u.Service), t.clock.Now()
	if rejections != nil {
		t.updateBrittle(pool, brittleNotice{rejections: *rejections, origin: origin{now, SourceResponse}}, u.Key(), now)
		return
	}
	if pool.brittle.source != "" {
		pool.brittle.soundAt = now
		t.logBrittle(pool, u.Key(), now)
	}
}

// updateBrittle records a notice unless a later one is known. The caller holds mu.
func (t *Table) updateBrittle(pool *poolStats, n brittleNotice, upstream catalog.UpstreamKey, now time.Time) {
	before := pool.brittle
	if n.at.Before(before.at) {
		return
	}
	pool.brittle.origin, pool.brittle.rejections = n.origin, n.rejections
	pool.brittle.logged = before.logged && before.inForce(now) && n.rejections == before.rejections
	t.logBrittle(pool, upstream, now)
}

// logBrittle logs whether the upstreams of the service are brittle, if that has changed. The caller holds mu.
func (t *Table) logBrittle(pool *poolStats, upstream catalog.UpstreamKey, now time.Time) {
	n := &pool.brittle
	if n.inForce(now) == n.logged {
		return
	}
	n.logged = !n.logged
	t.changes = append(t.changes, Change{Upstream: upstream, Cause: CauseBrittle, Source: n.source})
	t.logLater("service-brittle").Str("service", pool.service).Bool("brittle", n.logged).Int("rejections_per_second", n.rejections).
		Str("upstream", upstream.ID).Str("peer", upstream.Address).Str("source", string(n.source)).Dur("age_ms", now.Sub(n.at))
}

// recordRejection counts a rejection for lack of capacity. The caller holds mu.
func (t *Table) recordRejection(s *stats, now time.Time) {
	s.rejections++
	if s.pool != nil && s.pool.brittle.inForce(now) {
		t.logLater("upstream-rejected").Str("upstream", s.key.ID).Str("peer", s.key.Address).Str("service", s.pool.service).
			Int("in_flight", s.inFlight).Int("rejections", s.rejections).Int("rejections_per_second", s.pool.brittle.rejections).
			Dur("age_ms", now.Sub(s.pool.brittle.at))
	}
}

// fillBrittle sets what the upstream's entry in the state dump says of rejections.
func (s *stats) fillBrittle(state *UpstreamState, now time.Time) {
	state.Rejections = s.rejections
	if s.pool != nil && s.pool.brittle.inForce(now) {
		n := s.pool.brittle
		state.Brittle, state.BrittleAge, state.BrittleSource = &n.rejections, now.Sub(n.at), n.source
	}
}
