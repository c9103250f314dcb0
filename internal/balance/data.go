package balance

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// moment is the time of the latest of many events. It may be set without the table's lock.
type moment struct {
	// start is before all events, and after the time from then on; 0 if there was none.
	start time.Time
	after atomic.Int64
	// unseen is set by an event until takeUnseen.
	unseen atomic.Bool
}

func newMoment(start time.Time) *moment { return &moment{start: start} }

func (m *moment) set(clock clockwork.Clock) {
	m.after.Store(int64(clock.Since(m.start)))
	m.unseen.Store(true)
}

// takeUnseen reports whether there was an event since the last call.
func (m *moment) takeUnseen() bool { return m.unseen.Load() && m.unseen.Swap(false) }

// time returns the time of the latest event, or the zero time.
func (m *moment) time() time.Time {
	after := m.after.Load()
	if after == 0 {
		return time.Time{}
	}
	return m.start.Add(time.Duration(after))
}

// RecordData records that this host received data of a response of the upstream, which shows that the path to it works. It is
// called with each read of a response, and does not wait for the table's lock if the upstream and the path are known.
func (t *Table) RecordData(u *catalog.Upstream) {
	data, known := t.dataOf.Load(u.Key())
	pathData, pathKnown := t.pathDataOf.Load(u.DataCentre)
	if !known || !pathKnown {
		data, pathData = t.addData(u)
	}
	data.(*moment).set(t.clock)
	pathData.(*moment).set(t.clock)
}

// addData returns the times of the latest data of the upstream and of its data centre.
func (t *Table) addData(u *catalog.Upstream) (data, pathData any) {
	t.mu.Lock()
	defer t.unlock()
	return t.stats(u.Key(), t.clock.Now()).data, t.path(u.DataCentre).data
}

// heardAt returns when this host last received data of a response of the upstream.
func (s *stats) heardAt() time.Time {
	if at := s.data.time(); at.After(s.respondedAt) {
		return at
	}
	return s.respondedAt
}
