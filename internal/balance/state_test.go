package balance

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// Guards against a state dump that shares memory with statistics which change after the table's lock is released.
func TestStateIsEncodedWhileLimitsChange(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	u := snapshotOf(1, "a").Upstreams["s"][0]
	table.RecordRequestLimit(u, perSecond(1))
	var writer sync.WaitGroup
	writer.Go(func() {
		for i := range 1000 {
			table.RecordRequestLimit(u, perSecond(float64(i)))
		}
	})
	for range 1000 {
		_, err := json.Marshal(table.State())
		is.NoErr(err)
	}
	writer.Wait()
}

// Guards against an entry of the state dump that follows what the upstream says later.
func TestStateKeepsLimitOfItsMoment(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	u := snapshotOf(1, "a").Upstreams["s"][0]
	table.RecordRequestLimit(u, perSecond(4))
	state := table.State()
	table.RecordRequestLimit(u, perSecond(9))
	is.Equal(*state[0].RequestLimit, 4.0)
}

// Guards against a state dump from which nobody can tell who told the host what an upstream says of itself, and when.
func TestStateShowsSourceAndAgeOfWhatUpstreamsSay(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(2, "a")
	told, heard := snap.Upstreams["s"][0], snap.Upstreams["s"][1]
	table.Order(snap, "s", engineCriteria)
	table.RecordRequestLimit(told, perSecond(4))
	table.MarkPaused(told, time.Minute)
	clock.Advance(time.Second)
	table.MarkLeaving(told)
	table.MergeLimitReports([]LimitReport{{IncarnationID: IncarnationID(heard.Key()), PerSecond: 3, Named: true, Age: 2 * time.Second, Leaving: true}})
	clock.Advance(time.Second)
	table.MarkLeaving(heard) // known since a second
	for _, s := range table.State() {
		if s.ID == told.ID {
			is.Equal(s.RequestLimitAge, 2*time.Second)
			is.Equal(s.RequestLimitSource, SourceResponse)
			is.Equal(s.LeavingAge, time.Second)
			is.Equal(s.LeavingSource, SourceResponse)
			is.Equal(s.PausedAge, 2*time.Second)
			continue
		}
		is.Equal(s.RequestLimitAge, 3*time.Second)
		is.Equal(s.RequestLimitSource, SourcePeer)
		is.Equal(s.LeavingAge, time.Second)
		is.Equal(s.LeavingSource, SourcePeer)
		is.Equal(s.PausedAge, time.Duration(0))
	}
	clock.Advance(2 * time.Minute)
	for _, s := range table.State() {
		is.Equal(s.RequestLimitSource, Source(""))
		is.Equal(s.PausedAge, time.Duration(0)) // has ended
		is.True(s.Leaving)
	}
}

// Each change is told once, with who told this host, and other hosts hear only of what an upstream said to this one.
func TestChangesOfWhatUpstreamsSay(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	snap := snapshotOf(2, "a")
	told, heard := snap.Upstreams["s"][0], snap.Upstreams["s"][1]
	table.Order(snap, "s", engineCriteria)
	var changes []Change
	table.OnChange(func(c Change) {
		changes = append(changes, c)
		table.State() // the table is not locked
	})
	report := LimitReport{IncarnationID: IncarnationID(heard.Key()), PerSecond: 3, Named: true, Leaving: true}
	for range 2 {
		table.RecordRequestLimit(told, perSecond(4))
		table.MarkLeaving(told)
		table.MergeLimitReports([]LimitReport{report})
	}
	table.MarkPaused(told, time.Minute)
	table.MarkPaused(told, time.Second)
	is.Equal(changes, []Change{
		{told.Key(), CauseLimit, SourceResponse}, {told.Key(), CauseLeaving, SourceResponse}, {heard.Key(), CauseLimit, SourcePeer},
		{heard.Key(), CauseLeaving, SourcePeer}, {told.Key(), CausePause, SourceResponse},
	})
	is.Equal(len(table.TakeChangedLimits()), 1)
}

// stateWriter is a log that reads the table's state before each line.
type stateWriter struct {
	table *Table
	lines int
}

func (w *stateWriter) Write(p []byte) (int, error) {
	w.table.State()
	w.lines++
	return len(p), nil
}

// Guards against requests that wait for each other's log lines, because these are written with the table's lock held.
func TestLogIsWrittenWithoutLock(t *testing.T) {
	is := is.New(t)
	log := &stateWriter{}
	clock := clockwork.NewFakeClock()
	table := NewTable("a", clock, zerolog.New(log))
	log.table = table
	snap := snapshotOf(2, "b")
	u := snap.Upstreams["s"][0]
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, u := range snap.Upstreams["s"] {
			table.RecordConnectFailure(u, ErrResponseTimeout) // suspected, and the second one takes the data centre's path down
		}
		table.RecordResponseStart(u)
		table.RecordRequestStart(u.Key())
		clock.Advance(time.Minute)
		table.Order(snap, "s", Criteria{}) // silent
		table.MarkReplaced(u)
		table.MarkLeaving(u)
		table.MarkPaused(u, time.Second)
		limit := 1.0
		table.RecordRequestLimit(u, &limit)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a line is written with the lock held")
	}
	is.Equal(log.lines, 9)
}
