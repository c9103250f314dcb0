package balance

import (
	"time"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

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
