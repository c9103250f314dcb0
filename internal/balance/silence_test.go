package balance

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// Guards against requests that pile up at an upstream that stands still and cannot tell its load.
func TestSilentUpstreamIsDeferred(t *testing.T) {
	for _, tt := range []struct {
		name string
		// then happens after the first choice received a request and 250 ms passed, 50 ms before the next choice.
		then     func(*Table, *catalog.Upstream)
		deferred bool
	}{
		{"nothing is heard", func(*Table, *catalog.Upstream) {}, true},
		{"a response starts", func(t *Table, u *catalog.Upstream) { t.RecordResponseStart(u) }, false},
		{"data of a response", func(t *Table, u *catalog.Upstream) { t.RecordData(u) }, false},
		{"the request ends", func(t *Table, u *catalog.Upstream) { t.RecordRequestEnd(u.Key()) }, false},
		{"another host heard of it", func(t *Table, u *catalog.Upstream) {
			t.MergeReports([]LoadReport{{IncarnationID: IncarnationID(u.Key()), Load: 1}})
		}, false},
		{"another host tells of before", func(t *Table, u *catalog.Upstream) {
			t.MergeReports([]LoadReport{{IncarnationID: IncarnationID(u.Key()), Load: 1, Age: 300 * time.Millisecond}})
		}, true},
		{"another request", func(t *Table, u *catalog.Upstream) { t.RecordRequestStart(u.Key()) }, true},
	} {
		for _, criteria := range []Criteria{engineCriteria, {}} {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				table, clock := newTable()
				snap := snapshotOf(9, "a")
				first := table.Order(snap, "s", criteria)[0].Upstream
				for _, u := range snap.Upstreams["s"] {
					if u != first {
						table.RecordLoad(u.Key(), 5)
					}
				}
				table.RecordRequestStart(first.Key())
				clock.Advance(250 * time.Millisecond)
				tt.then(table, first)
				clock.Advance(50 * time.Millisecond)
				is.Equal(table.Order(snap, "s", criteria)[0].ID != first.ID, tt.deferred)
			})
		}
	}
}

// Guards against upstreams that count as silent while they keep to what their routes allow.
func TestSilenceLimitsFollowRoutesOfService(t *testing.T) {
	to := func(service string, objective, gap time.Duration) catalog.Route {
		return catalog.Route{LatencyObjective: objective, MaxEventGap: gap, WeightedServices: []catalog.WeightedService{{Service: service, Weight: 1}}}
	}
	const ms = time.Millisecond
	for _, tt := range []struct {
		name   string
		routes []catalog.Route
		want   silenceLimits
	}{
		{"no route", nil, silenceLimits{300 * ms, 300 * ms}},
		{"quick responses", []catalog.Route{to("s", 100*ms, 0)}, silenceLimits{300 * ms, 300 * ms}},
		{"the longest gap", []catalog.Route{to("s", 600*ms, 400*ms), to("s", 800*ms, time.Second)}, silenceLimits{time.Second, time.Second}},
		{"the shortest objective", []catalog.Route{to("s", 5*time.Second, 0), to("s", 2*time.Second, 0)}, silenceLimits{2 * time.Second, 300 * ms}},
		{"routes to other services", []catalog.Route{to("other", 5*time.Second, 2*time.Second)}, silenceLimits{300 * ms, 300 * ms}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(newSilenceLimits(&catalog.Config{Routes: tt.routes}, "s"), tt.want)
		})
	}
}

// Guards against a sound upstream that all hosts of a data centre avoid, since a response to one of them takes long to begin.
func TestSlowFirstResponseIsNoSilence(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(9, "a")
	snap.Config = &catalog.Config{Routes: []catalog.Route{{LatencyObjective: 600 * time.Millisecond, WeightedServices: []catalog.WeightedService{{Service: "s", Weight: 1}}}}}
	first := table.Order(snap, "s", engineCriteria)[0].Upstream
	table.RecordRequestStart(first.Key())
	for range 10 {
		is.Equal(table.Order(snap, "s", engineCriteria)[0].ID, first.ID)
		is.Equal(len(table.SilenceReports()), 0)
		clock.Advance(59 * time.Millisecond)
	}
	clock.Advance(10 * time.Millisecond)
	is.True(table.Order(snap, "s", engineCriteria)[0].ID != first.ID)
	is.Equal(len(table.SilenceReports()), 0) // for this host only
}

// Guards against hosts that wait in vain one after another for an upstream of which another host knows that it is silent.
func TestReportedSilenceCountsUntilUpstreamIsHeard(t *testing.T) {
	const silence = 350 * time.Millisecond
	for _, tt := range []struct {
		name string
		// before happens 200 ms before the report, after happens after it.
		before, after func(*Table, *clockwork.FakeClock, *catalog.Upstream)
		deferred      bool
	}{
		{name: "nothing is awaited", deferred: true},
		{name: "a request was just sent", after: func(t *Table, _ *clockwork.FakeClock, u *catalog.Upstream) { t.RecordRequestStart(u.Key()) }, deferred: true},
		{name: "heard since", after: func(t *Table, _ *clockwork.FakeClock, u *catalog.Upstream) { t.RecordData(u) }},
		{name: "heard within the silence", before: func(t *Table, _ *clockwork.FakeClock, u *catalog.Upstream) { t.RecordData(u) }},
		{name: "not told again", after: func(_ *Table, c *clockwork.FakeClock, _ *catalog.Upstream) { c.Advance(300 * time.Millisecond) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, clock := newTable()
			snap := snapshotOf(9, "a")
			first := table.Order(snap, "s", engineCriteria)[0].Upstream
			if tt.before != nil {
				tt.before(table, clock, first)
			}
			clock.Advance(200 * time.Millisecond)
			table.MergeSilenceReports([]SilenceReport{{IncarnationID: IncarnationID(first.Key()), Silence: silence}, {IncarnationID: 1, Silence: silence}})
			if tt.after != nil {
				tt.after(table, clock, first)
			}
			is.Equal(table.Order(snap, "s", engineCriteria)[0].ID != first.ID, tt.deferred)
			is.Equal(len(table.SilenceReports()), 0) // what others told is not passed on
		})
	}
}

// Guards against silence that no other host is told.
func TestHostReportsUpstreamsThatItFindsSilent(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(9, "a")
	first := table.Order(snap, "s", engineCriteria)[0].Upstream
	table.RecordRequestStart(first.Key())
	table.RecordData(first)
	table.SilenceReports()
	for range 2 {
		clock.Advance(149 * time.Millisecond)
		is.Equal(len(table.SilenceReports()), 0)
	}
	clock.Advance(2 * time.Millisecond)
	is.Equal(table.SilenceReports(), []SilenceReport{{IncarnationID: IncarnationID(first.Key()), Silence: 300 * time.Millisecond}})
	table.RecordData(first)
	is.Equal(len(table.SilenceReports()), 0)
}

// Guards against a prompt that waits for the cache of an engine that stands still, which is why it was sent elsewhere.
func TestSilentEngineIsNoCacheHolder(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(9, "a")
	order := table.Order(snap, "s", engineCriteria)
	holder := func() string {
		return table.LikelyCacheHolder(snap, "s", engineCriteria.AffinityHash, order[1].Upstream).ID
	}
	table.RecordRequestStart(order[0].Key())
	is.Equal(holder(), order[0].ID)
	clock.Advance(300 * time.Millisecond)
	is.Equal(holder(), order[2].ID)
	table.RecordData(order[0].Upstream)
	is.Equal(holder(), order[0].ID)
}

// Guards against a host that stood still itself, and takes all upstreams for silent.
func TestHostThatStoodStillFindsNoSilence(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	first := table.Order(snapshotOf(9, "a"), "s", engineCriteria)[0].Upstream
	snap := snapshotOf(9, "a")
	table.RecordRequestStart(first.Key())
	table.RecordData(first)
	table.SilenceReports()
	clock.Advance(time.Second)
	is.Equal(len(table.SilenceReports()), 0)
	is.Equal(table.Order(snap, "s", engineCriteria)[0].ID, first.ID)
	for range 2 {
		clock.Advance(150 * time.Millisecond)
		is.Equal(len(table.SilenceReports()) > 0, table.Order(snap, "s", engineCriteria)[0].ID != first.ID)
	}
	is.Equal(len(table.SilenceReports()), 1) // still nothing heard
}

// Guards against requests that pile up at a silent upstream since the others have just refused one, or fail at times.
func TestSilentUpstreamIsNotPreferredToBusyOnes(t *testing.T) {
	for _, tt := range []struct {
		name   string
		record func(*Table, *catalog.Upstream)
	}{
		{"full", func(t *Table, u *catalog.Upstream) { t.MarkFull(u.Key()) }},
		{"failing at times", func(t *Table, u *catalog.Upstream) {
			for range 8 {
				t.RecordOutcome(u, true)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, clock := newTable()
			snap := snapshotOf(9, "a")
			first := table.Order(snap, "s", engineCriteria)[0].Upstream
			table.RecordRequestStart(first.Key())
			clock.Advance(time.Second)
			for _, u := range snap.Upstreams["s"] {
				if u != first {
					tt.record(table, u)
				}
			}
			is.True(table.Order(snap, "s", engineCriteria)[0].ID != first.ID)
		})
	}
}

// Guards against requests that are sent one after another to an upstream that responded to none of them.
func TestSilenceIsRememberedAfterRequestEnds(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(9, "a")
	first := table.Order(snap, "s", engineCriteria)[0].Upstream
	table.RecordRequestStart(first.Key())
	clock.Advance(500 * time.Millisecond)
	table.RecordRequestEnd(first.Key()) // its caller left
	is.True(table.Order(snap, "s", engineCriteria)[0].ID != first.ID)
	clock.Advance(299 * time.Millisecond)
	is.True(table.Order(snap, "s", engineCriteria)[0].ID != first.ID)
	clock.Advance(time.Millisecond)
	is.Equal(table.Order(snap, "s", engineCriteria)[0].ID, first.ID) // one request may find out
}

// Guards against upstreams that send fast, each read of whose responses keeps the choice of an upstream waiting.
func TestDataIsRecordedWithoutLock(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	u := snapshotOf(1, "b").Upstreams["s"][0]
	table.RecordData(u) // the first one is recorded under the lock
	for range 2 {
		clock.Advance(time.Second)
		table.mu.Lock()
		recorded := make(chan struct{})
		go func() {
			defer close(recorded)
			table.RecordData(u)
		}()
		select {
		case <-recorded:
		case <-time.After(10 * time.Second):
			t.Fatal("data is recorded with the lock held")
		}
		is.Equal(table.statsByKey[u.Key()].heardAt(), clock.Now())
		is.Equal(table.path("b").lastResponse, clock.Now())
		table.mu.Unlock()
	}
	clock.Advance(statsExpiry + 1)
	table.Order(snapshotOf(0), "s", Criteria{}) // drops the statistics
	is.Equal(len(table.statsByKey), 0)
	table.RecordData(u)
	is.Equal(table.statsByKey[u.Key()].heardAt(), clock.Now())
}
