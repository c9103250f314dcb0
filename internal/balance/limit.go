package balance

import (
	"time"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// limitExpiry is how long a request limit stays in force after the last response that named it. It is longer than the
// time in which all hosts learn of such a response.
const limitExpiry = 20 * time.Second

// requestLimit is the number of requests per second that an upstream accepts from all hosts together.
type requestLimit struct {
	perSecond float64
	// named is false if the upstream names no limit.
	named bool
	// origin tells when the upstream last said so; namedAt is when it last named a limit.
	origin
	namedAt time.Time
}

func (l *requestLimit) inForce(now time.Time) bool { return l.named && now.Sub(l.at) < limitExpiry }

// LimitReport is what an upstream says of its request limit, as hosts exchange it.
type LimitReport struct {
	// IncarnationID identifies the incarnation of the upstream, as returned by the function IncarnationID.
	IncarnationID uint32
	PerSecond     float64
	// Named is false if the upstream names no limit any more.
	Named bool
	// Age is the time since the upstream said so.
	Age time.Duration
	// Leaving is set if the upstream is leaving.
	Leaving bool
}

// maxLimitReports is the maximum number of limits in one message. If there are more, each message carries a different
// subset.
const maxLimitReports = 64

// RecordRequestLimit records the request limit that the upstream named in a response; nil if it named none.
func (t *Table) RecordRequestLimit(u *catalog.Upstream, perSecond *float64) {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	s := t.stats(u.Key(), now)
	report := LimitReport{Named: perSecond != nil}
	if perSecond != nil {
		report.PerSecond = *perSecond
	}
	t.updateLimit(s, report, now, SourceResponse)
}

// updateLimit records what the upstream says of its limit. The caller holds mu.
func (t *Table) updateLimit(s *stats, r LimitReport, now time.Time, source Source) {
	at := now.Add(-r.Age)
	before := s.said.limit
	if at.Before(before.at) {
		return
	}
	limit := requestLimit{perSecond: r.PerSecond, named: r.Named, origin: origin{at, source}, namedAt: before.namedAt}
	if r.Named {
		limit.namedAt = at
	}
	s.said.limit = limit
	if limit.inForce(now) == before.inForce(now) && (!r.Named || r.PerSecond == before.perSecond) {
		return
	}
	t.recordChange(s, CauseLimit, source)
	t.logLater("upstream-limit").Str("upstream", s.key.ID).Str("peer", s.key.Address).Bool("named", r.Named).
		Float64("per_second", r.PerSecond).Float64("before", before.perSecond).Str("source", string(source)).Dur("age_ms", r.Age)
}

// limitReport returns the report of the limit.
func (s *stats) limitReport(now time.Time) LimitReport {
	limit := s.said.limit
	return LimitReport{IncarnationID: s.id, PerSecond: limit.perSecond, Named: limit.named, Age: now.Sub(limit.at), Leaving: s.said.isLeaving()}
}

// LimitReports returns the limits that upstreams named recently, including those that they name no longer, and the upstreams
// that are leaving, at most maxLimitReports.
func (t *Table) LimitReports() []LimitReport {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	var reports []LimitReport
	for _, s := range t.statsByID {
		if s.said.isLeaving() || !s.said.limit.namedAt.IsZero() && now.Sub(s.said.limit.namedAt) < limitExpiry {
			reports = append(reports, s.limitReport(now))
		}
		if len(reports) == maxLimitReports {
			break // Map iteration order is random, so that each message has a different subset.
		}
	}
	return reports
}

// TakeChangedLimits returns the limits that responses to this host changed since the last call, at most maxLimitReports.
func (t *Table) TakeChangedLimits() []LimitReport {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	reports := make([]LimitReport, len(t.changedLimits))
	for i, s := range t.changedLimits {
		s.said.changed = false
		reports[i] = s.limitReport(now)
	}
	t.changedLimits = t.changedLimits[:0]
	return reports
}

// MergeLimitReports records what upstreams said to another host.
func (t *Table) MergeLimitReports(reports []LimitReport) {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	for _, r := range reports {
		s := t.statsByID[r.IncarnationID]
		if s == nil {
			continue
		}
		if r.Age < limitExpiry {
			t.updateLimit(s, r, now, SourcePeer)
		}
		if r.Leaving {
			t.markLeaving(s, now, SourcePeer)
		}
	}
}

// RequestLimit returns the request limit that the incarnation of the upstream names, and whether it names one.
func (t *Table) RequestLimit(key catalog.UpstreamKey) (perSecond float64, named bool) {
	t.mu.Lock()
	defer t.unlock()
	s := t.statsByKey[key]
	if s == nil || !s.said.limit.inForce(t.clock.Now()) {
		return 0, false
	}
	return s.said.limit.perSecond, true
}
