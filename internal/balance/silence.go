package balance

import (
	"time"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// minSilentTime is the least time without any data after which an upstream that owes responses counts as silent.
const minSilentTime = 300 * time.Millisecond

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

// RecordData records that this host received data of a response of the upstream.
func (t *Table) RecordData(key catalog.UpstreamKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.stats(key, now).heardAt = now
}

// silence returns how long this host has waited for any response of the upstream, and nothing was heard of it; zero while
// this host waits for nothing.
func (s *stats) silence(now time.Time) time.Duration {
	if s.inFlight == 0 {
		return 0
	}
	last := s.waitingSince
	for _, heard := range []time.Time{s.heardAt, s.avgLoadAt, s.lastLoadAt} {
		if heard.After(last) {
			last = heard
		}
	}
	return now.Sub(last)
}

// silent reports whether the upstream has been silent for so long that what it told of its load says little. Its requests
// do not end, so that each one adds to its load until it goes on.
func (s *stats) silent(now time.Time) bool { return s.silence(now) >= s.pool.silentTime }

// deferSilent defers the upstreams that are silent. The caller holds mu.
func (t *Table) deferSilent(list []candidate) {
	now := t.clock.Now()
	for i := range list {
		if list[i].member.stats.silent(now) {
			list[i].deferred = deferredBySilence
		}
	}
}
