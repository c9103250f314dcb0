package balance

import (
	"time"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// minSilentTime is the least time without any data after which an upstream that owes responses counts as silent.
const minSilentTime = 300 * time.Millisecond

// silenceReportTime is how long another host's report that an upstream is silent counts. Hosts repeat it several times in
// this time.
const silenceReportTime = 300 * time.Millisecond

// maxSilenceReportGap is the time between two calls of SilenceReports above which this process probably stood still itself.
const maxSilenceReportGap = 250 * time.Millisecond

// maxSilenceReports is the maximum number of silent upstreams in one message.
const maxSilenceReports = 64

// SilenceReport is a host's information that an upstream is silent, as hosts exchange it.
type SilenceReport struct {
	// IncarnationID identifies the incarnation of the upstream, as returned by the function IncarnationID.
	IncarnationID uint32
	Silence       time.Duration
}

// silenceLimits are how long an upstream of a service that owes responses may send nothing before it counts as silent.
type silenceLimits struct {
	// first applies to a host that has received no data yet of the responses that it awaits, and next to the others.
	first, next time.Duration
}

// newSilenceLimits returns the limits of the service. A stream's data follows within the longest gap between events that a
// route of the service allows, and a first response within the shortest objective.
func newSilenceLimits(config *catalog.Config, service string) silenceLimits {
	var gap, objective time.Duration
	if config == nil {
		return silenceLimits{first: minSilentTime, next: minSilentTime}
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		if !r.SendsTo(service) {
			continue
		}
		gap = max(gap, r.MaxEventGap)
		if objective == 0 || r.LatencyObjective < objective {
			objective = r.LatencyObjective
		}
	}
	next := max(minSilentTime, gap)
	return silenceLimits{first: max(next, objective), next: next}
}

// silence returns how long this host, or one that told it so lately, has waited for any response of the upstream, and nothing
// was heard of it; zero while nothing is awaited. The caller holds mu.
func (t *Table) silence(s *stats, now time.Time) time.Duration {
	return max(t.ownSilence(s, now), s.toldSilence(now))
}

// ownSilence is the part of silence that this host knows by itself. The caller holds mu.
func (t *Table) ownSilence(s *stats, now time.Time) time.Duration {
	if s.inFlight == 0 {
		return 0
	}
	since := s.waitingSince
	if t.resumedAt.After(since) {
		since = t.resumedAt
	}
	return now.Sub(s.lastHeard(since))
}

// toldSilence is the part of silence that this host knows from others.
func (s *stats) toldSilence(now time.Time) time.Duration {
	if now.Sub(s.toldSilentAt) >= silenceReportTime {
		return 0
	}
	return now.Sub(s.lastHeard(s.toldSilentSince))
}

// lastHeard returns when something was last heard of the upstream, or the given time if that is later.
func (s *stats) lastHeard(since time.Time) time.Time {
	for _, heard := range []time.Time{s.heardAt(), s.avgLoadAt, s.lastLoadAt} {
		if heard.After(since) {
			since = heard
		}
	}
	return since
}

// begun reports whether this host has received data of the responses that it awaits.
func (s *stats) begun() bool { return s.inFlight > 0 && !s.heardAt().Before(s.waitingSince) }

// silent reports whether the upstream has been silent for so long that what it told of its load says little. Its requests
// do not end, so that each one adds to its load until it goes on. The caller holds mu.
func (t *Table) silent(s *stats, now time.Time) bool {
	limits := s.pool.silence
	own := limits.first
	if s.begun() {
		own = limits.next
	}
	return t.ownSilence(s, now) >= own || s.toldSilence(now) >= limits.next
}

// deferSilent defers the upstreams that are silent. The caller holds mu.
func (t *Table) deferSilent(list []candidate) {
	for i := range list {
		c := &list[i]
		if c.silent {
			c.deferred = deferredBySilence
		}
		t.logSilence(c)
	}
}

// logSilence logs that the upstream has become silent, or was heard again. The caller holds mu.
func (t *Table) logSilence(c *candidate) {
	s := c.member.stats
	if c.silent == s.loggedSilent {
		return
	}
	s.loggedSilent = c.silent
	event := "upstream-heard"
	if c.silent {
		event = "upstream-silent"
	}
	t.logLater(event).Str("upstream", s.key.ID).Str("peer", s.key.Address).Dur("silence_ms", c.silence).
		Int("in_flight", s.inFlight).Float64("load", c.load)
}

// SilenceReports returns the upstreams that this host finds silent, at most maxSilenceReports, as far as data of them was
// received before: one request whose response takes long to begin says too little for other hosts. It is called at short
// intervals, which also shows a pause of this process, after which all upstreams have time to be heard again.
func (t *Table) SilenceReports() []SilenceReport {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	if now.Sub(t.silenceReportedAt) > maxSilenceReportGap {
		t.resumedAt = now
	}
	t.silenceReportedAt = now
	var reports []SilenceReport
	for id, s := range t.statsByID {
		if s.pool == nil || !s.begun() || len(reports) == maxSilenceReports {
			continue
		}
		if silence := t.ownSilence(s, now); silence >= s.pool.silence.next {
			reports = append(reports, SilenceReport{IncarnationID: id, Silence: silence})
		}
	}
	return reports
}

// MergeSilenceReports records what another host finds silent. It counts as far as this host has heard nothing either.
func (t *Table) MergeSilenceReports(reports []SilenceReport) {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	for _, r := range reports {
		s := t.statsByID[r.IncarnationID]
		if s == nil {
			continue
		}
		s.toldSilentAt = now
		if since := now.Add(-r.Silence); since.After(s.toldSilentSince) {
			s.toldSilentSince = since
		}
	}
}
