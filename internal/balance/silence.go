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

// silentTime returns the time without any data after which an upstream of the service that owes responses counts as silent:
// longer than the time between the events of its streams, and a part of the time in which its responses are expected.
func silentTime(config *catalog.Config, service string) time.Duration {
	var gap, objective time.Duration
	if config == nil {
		return minSilentTime
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
	return max(minSilentTime, gap, objective/2)
}

// RecordData records that this host received data of a response of the upstream, which shows that the path to it works.
func (t *Table) RecordData(u *catalog.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.stats(u.Key(), now).heardAt = now
	t.path(u.DataCentre).responded(now)
}

// silence returns how long this host, or one that told it so lately, has waited for any response of the upstream, and nothing
// was heard of it; zero while nothing is awaited.
func (s *stats) silence(now time.Time) time.Duration {
	own, told := s.ownSilence(now), time.Duration(0)
	if now.Sub(s.toldSilentAt) < silenceReportTime {
		told = now.Sub(s.lastHeard(s.toldSilentSince))
	}
	return max(own, told)
}

// ownSilence is the part of silence that this host knows by itself.
func (s *stats) ownSilence(now time.Time) time.Duration {
	if s.inFlight == 0 {
		return 0
	}
	return now.Sub(s.lastHeard(s.waitingSince))
}

// lastHeard returns when something was last heard of the upstream, or the given time if that is later.
func (s *stats) lastHeard(since time.Time) time.Time {
	for _, heard := range []time.Time{s.heardAt, s.avgLoadAt, s.lastLoadAt} {
		if heard.After(since) {
			since = heard
		}
	}
	return since
}

// silent reports whether the upstream has been silent for so long that what it told of its load says little. Its requests
// do not end, so that each one adds to its load until it goes on.
func (s *stats) silent(now time.Time) bool { return s.silence(now) >= s.pool.silentTime }

// deferSilent defers the upstreams that are silent. The caller holds mu.
func (t *Table) deferSilent(list []candidate) {
	now := t.clock.Now()
	for i := range list {
		c := &list[i]
		silent := c.member.stats.silent(now)
		if silent {
			c.deferred = deferredBySilence
		}
		t.logSilence(c, silent)
	}
}

// logSilence logs that the upstream has become silent, or was heard again. The caller holds mu.
func (t *Table) logSilence(c *candidate, silent bool) {
	s := c.member.stats
	if silent == s.loggedSilent {
		return
	}
	s.loggedSilent = silent
	event := "upstream-heard"
	if silent {
		event = "upstream-silent"
	}
	t.log.Info().Str("event", event).Str("upstream", s.key.ID).Str("peer", s.key.Address).Dur("silence_ms", c.silence).
		Int("in_flight", s.inFlight).Float64("load", c.load).Send()
}

// SilenceReports returns the upstreams that this host finds silent, at most maxSilenceReports. It is called at short
// intervals. After a pause of this process, what upstreams sent meanwhile may not have been read yet, and nothing is
// reported.
func (t *Table) SilenceReports() []SilenceReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	paused := now.Sub(t.silenceReportedAt) > maxSilenceReportGap
	t.silenceReportedAt = now
	if paused {
		return nil
	}
	var reports []SilenceReport
	for id, s := range t.statsByID {
		if s.pool == nil || len(reports) == maxSilenceReports {
			continue
		}
		if silence := s.ownSilence(now); silence >= s.pool.silentTime {
			reports = append(reports, SilenceReport{IncarnationID: id, Silence: silence})
		}
	}
	return reports
}

// MergeSilenceReports records what another host finds silent. It counts as far as this host has heard nothing either.
func (t *Table) MergeSilenceReports(reports []SilenceReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
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
