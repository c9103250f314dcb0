package balance

import (
	"slices"
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
	// rejectionHold is how long a rejection occupies a place at an upstream that is brittle. It is slightly longer than the
	// second for which the upstream counts it.
	rejectionHold = 1050 * time.Millisecond
	// maxBrittleReports is the maximum number of notices in one message. If there are more, each message carries a different
	// subset.
	maxBrittleReports = 64
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
	// changed is set while the notice is in the table's list of those of which other hosts are told at once.
	changed bool
}

// BrittleReport is what the upstreams of a service say of the rejections that they survive, as hosts exchange it.
type BrittleReport struct {
	Service string
	// Rejections is the number of requests that an upstream may reject in a second without falling over.
	Rejections int
	// Age is the time since an upstream of the service last said so.
	Age time.Duration
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
	if n.logged && n.source == SourceResponse && !n.changed && len(t.changedBrittle) < maxBrittleReports {
		n.changed = true
		t.changedBrittle = append(t.changedBrittle, pool)
	}
	t.logLater("service-brittle").Str("service", pool.service).Bool("brittle", n.logged).Int("rejections_per_second", n.rejections).
		Str("upstream", upstream.ID).Str("peer", upstream.Address).Str("source", string(n.source)).Dur("age_ms", now.Sub(n.at))
}

// recordRejection counts a rejection for lack of capacity. The caller holds mu.
func (t *Table) recordRejection(s *stats, now time.Time) {
	s.rejections++
	if s.pool != nil && s.pool.brittle.inForce(now) {
		s.rejectedAt = append(slices.DeleteFunc(s.rejectedAt, func(at time.Time) bool { return now.Sub(at) >= rejectionHold }), now)
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

// places returns how many places of the upstream this host has taken: its requests for which it was selected, until their sends
// end, and its recent rejections. If each host takes no more than its share of the slots and of the rejections that the upstream survives,
// the upstream survives: all hosts together exceed the slots by as many requests at most, and each rejection takes one of them
// for as long as the upstream counts it.
func (s *stats) places(now time.Time) int {
	taken := s.held
	for _, at := range s.rejectedAt {
		if now.Sub(at) < rejectionHold {
			taken++
		}
	}
	return taken
}

// hold takes a place at the upstream, of which this host may take at most the given number; noPlaceLimit if there is no limit. It
// returns false if none is free.
func (t *Table) hold(key catalog.UpstreamKey, places int) bool {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	s := t.stats(key, now)
	if places != noPlaceLimit && s.places(now) >= places {
		return false
	}
	s.held++
	return true
}

// unhold gives back a place at the upstream.
func (t *Table) unhold(key catalog.UpstreamKey) {
	t.mu.Lock()
	defer t.unlock()
	if s := t.statsByKey[key]; s != nil && s.held > 0 {
		s.held--
	}
}

// Brittle reports whether the upstreams of the service say that they are brittle.
func (t *Table) Brittle(service string) bool {
	t.mu.Lock()
	defer t.unlock()
	pool := t.poolStats[service]
	return pool != nil && pool.brittle.inForce(t.clock.Now())
}

func (p *poolStats) brittleReport(now time.Time) BrittleReport {
	return BrittleReport{Service: p.service, Rejections: p.brittle.rejections, Age: now.Sub(p.brittle.at)}
}

// BrittleReports returns the notices in force, at most maxBrittleReports.
func (t *Table) BrittleReports() []BrittleReport {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	var reports []BrittleReport
	for _, pool := range t.poolStats {
		if pool.brittle.inForce(now) {
			reports = append(reports, pool.brittleReport(now))
		}
		if len(reports) == maxBrittleReports {
			break // Map iteration order is random, so that each message has a different subset.
		}
	}
	return reports
}

// TakeChangedBrittle returns the notices that responses to this host changed since the last call, at most maxBrittleReports.
func (t *Table) TakeChangedBrittle() []BrittleReport {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	var reports []BrittleReport
	for _, pool := range t.changedBrittle {
		pool.brittle.changed = false
		if pool.brittle.inForce(now) {
			reports = append(reports, pool.brittleReport(now))
		}
	}
	t.changedBrittle = t.changedBrittle[:0]
	return reports
}

// MergeBrittleReports records what the upstreams of services said to another host.
func (t *Table) MergeBrittleReports(reports []BrittleReport) {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	for _, r := range reports {
		pool := t.poolStats[r.Service]
		if pool == nil || r.Age < 0 || r.Age >= brittleExpiry || r.Rejections < 0 {
			continue
		}
		t.updateBrittle(pool, brittleNotice{rejections: r.Rejections, origin: origin{now.Add(-r.Age), SourcePeer}}, catalog.UpstreamKey{}, now)
	}
}
