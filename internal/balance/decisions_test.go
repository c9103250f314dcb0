package balance

import (
	"bytes"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// Guards against an order by load for engines with a shared prompt, and against an order by the prompt for all others.
func TestOnlyEnginesWithPromptAreChosenByIt(t *testing.T) {
	for _, tt := range []struct {
		name     string
		criteria Criteria
		byLoad   bool
	}{
		{"engine and prompt", Criteria{Engine: true, AffinityHash: 42}, false},
		{"engine without prompt", Criteria{Engine: true}, true},
		{"no engine", Criteria{AffinityHash: 42}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, _ := newTable()
			snap := snapshotOf(3, "a")
			preferred := table.Order(snap, "s", engineCriteria)[0]
			table.RecordLoad(preferred.Key(), 1)
			is.Equal(table.Order(snap, "s", tt.criteria)[0].ID != preferred.ID, tt.byLoad)
		})
	}
}

// Guards against a load bound that is one request lower than promised.
func TestEngineAtLoadBoundIsNotDeferred(t *testing.T) {
	is := is.New(t)
	list := []candidate{{load: 18}, {load: 18.5}} // the bound is 1.7 * 10 + 2
	deferOverBound(list, 10)
	is.Equal(list[0].deferred, notDeferred)
	is.Equal(list[1].deferred, deferredByLoad)
}

// Guards against local upstreams that are left for remote ones too early or too late.
func TestLocalUpstreamIsPreferredBelowItsShare(t *testing.T) {
	for _, tt := range []struct {
		slots    int
		load     float64
		deferred deferral
	}{{10, 6.9, notDeferred}, {10, 7, deferredByLoad}, {0, 0, notDeferred}, {0, 50, notDeferred}} {
		is := is.New(t)
		table, _ := newTable()
		list := []candidate{{member: &member{upstream: &catalog.Upstream{DataCentre: "a", Slots: tt.slots}}, load: tt.load}}
		table.deferRemote(list)
		is.Equal(list[0].deferred, tt.deferred)
	}
}

// Guards against a mean that unknown loads lower, and one that is zero while no load is known.
func TestMeanLoad(t *testing.T) {
	for _, tt := range []struct {
		list []candidate
		want float64
	}{
		{nil, 0},
		{[]candidate{{load: 4}, {load: 2}}, 3},
		{[]candidate{{load: 4, mean: 4, known: true}, {load: 2, mean: 2, known: true}, {load: 0}}, 3},
	} {
		is.New(t).Equal(meanLoad(tt.list), tt.want)
	}
}

// Guards against messages beyond the limit on their size.
func TestLimitReportsAreBounded(t *testing.T) {
	for _, count := range []int{maxLimitReports - 1, maxLimitReports, maxLimitReports + 1} {
		is := is.New(t)
		table, _ := newTable()
		for _, u := range snapshotOf(count, "a").Upstreams["s"] {
			table.RecordRequestLimit(u, perSecond(1))
		}
		is.Equal(len(table.LimitReports()), min(count, maxLimitReports))
		is.Equal(len(table.TakeChangedLimits()), min(count, maxLimitReports))
	}
}

// Guards against a limit that is in force, or told to other hosts, for ever.
func TestLimitEndsAfterExpiry(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	u := snapshotOf(1, "a").Upstreams["s"][0]
	table.RecordRequestLimit(u, perSecond(1))
	clock.Advance(limitExpiry - 1)
	is.Equal(len(table.LimitReports()), 1)
	is.True(table.State()[0].RequestLimit != nil)
	clock.Advance(1)
	is.Equal(len(table.LimitReports()), 0)
	is.True(table.State()[0].RequestLimit == nil)
}

// Guards against a limit told by another host that counts after its expiry.
func TestMergedLimitOfExpiryAgeIsIgnored(t *testing.T) {
	for age, changes := range map[time.Duration]int{limitExpiry - 1: 1, limitExpiry: 0} {
		is := is.New(t)
		table, _ := newTable()
		snap := snapshotOf(1, "a")
		is.Equal(len(table.Order(snap, "s", Criteria{})), 1)
		got := 0
		table.OnChange(func(Change) { got++ })
		table.MergeLimitReports([]LimitReport{{IncarnationID: IncarnationID(snap.Upstreams["s"][0].Key()), Named: true, PerSecond: 1, Age: age}})
		is.Equal(got, changes)
	}
}

// Guards against notices of upstreams that are forgotten with their statistics while they count, and statistics kept for ever.
func TestStatisticsWithNoticeAreKept(t *testing.T) {
	for _, tt := range []struct {
		name   string
		notice func(*Table, *catalog.Upstream)
		kept   time.Duration
	}{
		{"nothing", func(*Table, *catalog.Upstream) {}, statsExpiry},
		{"leaving", func(t *Table, u *catalog.Upstream) { t.MarkLeaving(u) }, leavingExpiry - 1},
		{"pause", func(t *Table, u *catalog.Upstream) {
			t.MarkPaused(u, time.Minute)
			t.statsByKey[u.Key()].said.pausedUntil = t.clock.Now().Add(statsExpiry + 2)
		}, statsExpiry + 1},
		{"limit", func(t *Table, u *catalog.Upstream) { t.RecordRequestLimit(u, perSecond(1)) }, limitExpiry - 1},
		{"request in flight", func(t *Table, u *catalog.Upstream) { t.RecordRequestStart(u.Key()) }, time.Hour},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for _, after := range []time.Duration{tt.kept, tt.kept + 1} {
				table, clock := newTable()
				u := snapshotOf(1, "a").Upstreams["s"][0]
				table.RecordOutcome(u, false)
				tt.notice(table, u)
				clock.Advance(after)
				table.Order(&catalog.Snapshot{}, "s", Criteria{}) // a snapshot without the upstream
				is.Equal(table.statsByKey[u.Key()] != nil, after == tt.kept || tt.name == "request in flight")
				is.Equal(len(table.statsByKey), len(table.statsByID))
			}
		})
	}
}

// Guards against more requests after a pause than the step allows, and against none.
func TestRequestsInFlightAfterPause(t *testing.T) {
	for _, tt := range []struct {
		sinceEnd time.Duration
		inFlight int
		accepts  bool
	}{
		{-1, 0, false},
		{0, 0, true},
		{0, 1, false},
		{rampStep - 1, 1, false},
		{rampStep, 1, true},
		{rampStep, 2, false},
		{2 * rampStep, 3, true},
		{2 * rampStep, 4, false},
		{rampSteps*rampStep - 1, 1 << (rampSteps - 1), false},
		{rampSteps * rampStep, 1 << rampSteps, true},
	} {
		is := is.New(t)
		table, clock := newTable()
		s := &stats{inFlight: tt.inFlight, said: selfReport{pausedUntil: clock.Now().Add(-tt.sinceEnd)}}
		is.Equal(s.acceptsWork(table.clock.Now()), tt.accepts)
	}
}

// Guards against an upstream that counts as leaving without a word of its own, or unknown ones that do.
func TestOnlyUpstreamThatSaidSoIsLeaving(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	upstreams := snapshotOf(3, "a").Upstreams["s"]
	table.RecordOutcome(upstreams[1], false)
	table.MarkLeaving(upstreams[2])
	for i, leaving := range []bool{false, false, true} {
		is.Equal(table.Leaving(upstreams[i].Key()), leaving)
	}
}

// Guards against refusals "all have asked for a pause" that unusable upstreams prevent, or that end too late.
func TestAllPausedCountsUsableUpstreamsOnly(t *testing.T) {
	for _, tt := range []struct {
		name   string
		other  func(*Table, *catalog.Snapshot, *catalog.Upstream)
		paused bool
	}{
		{"other is usable", func(*Table, *catalog.Snapshot, *catalog.Upstream) {}, false},
		{"other was replaced", func(t *Table, _ *catalog.Snapshot, u *catalog.Upstream) { t.MarkReplaced(u) }, true},
		{"other says that it is leaving", func(t *Table, _ *catalog.Snapshot, u *catalog.Upstream) { t.MarkLeaving(u) }, true},
		{"other is published as leaving", func(_ *Table, _ *catalog.Snapshot, u *catalog.Upstream) { u.Leaving = true }, true},
		{"other's data centre is disabled", func(_ *Table, s *catalog.Snapshot, _ *catalog.Upstream) { s.DisabledDataCentres["b"] = true }, true},
		{"other is paused for longer", func(t *Table, _ *catalog.Snapshot, u *catalog.Upstream) { t.MarkPaused(u, maxPause) }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, clock := newTable()
			snap := snapshotOf(2, "a", "b")
			table.MarkPaused(snap.Upstreams["s"][0], time.Second)
			until := table.statsByKey[snap.Upstreams["s"][0].Key()].said.pausedUntil
			tt.other(table, snap, snap.Upstreams["s"][1])
			want := time.Time{}
			if tt.paused {
				want = until
			}
			is.Equal(table.AllPausedUntil(snap, "s"), want)
			clock.Advance(until.Sub(clock.Now()))
			is.True(table.AllPausedUntil(snap, "s").IsZero())
		})
	}
}

// Guards against resets and refusals that count as a path that is down.
func TestIsTimeout(t *testing.T) {
	for _, tt := range []struct {
		err  error
		want bool
	}{
		{errors.Wrap(&net.OpError{Op: "dial", Err: timeoutError(true)}, "connect"), true},
		{&net.OpError{Op: "read", Err: timeoutError(false)}, false},
		{errors.New("refused"), false},
		{ErrResponseTimeout, true},
	} {
		is.New(t).Equal(IsTimeout(tt.err), tt.want)
	}
}

type timeoutError bool

func (e timeoutError) Error() string   { return "timeout " + strconv.FormatBool(bool(e)) }
func (e timeoutError) Timeout() bool   { return bool(e) }
func (e timeoutError) Temporary() bool { return false }

// Guards against a limit on cold upstreams of a service that sets none.
func TestColdUpstreamWithoutRateIsNotLimited(t *testing.T) {
	for _, tt := range []struct {
		rate    float64
		limited bool
	}{{0, false}, {2, true}} {
		is := is.New(t)
		table, clock := newTable()
		snap := snapshotOf(1, "a")
		snap.Config = &catalog.Config{Services: map[string]catalog.Service{"s": {ColdRequestsPerSecond: tt.rate}}}
		snap.Upstreams["s"][0].ColdUntil = clock.Now().Add(time.Hour)
		is.Equal(selectable(newSelector(table, clock), snap) < 100, tt.limited)
	}
}

// Guards against an upstream that counts as silent too early or too late, before and after the first data of a response.
func TestSilenceBeginsAtItsLimit(t *testing.T) {
	const objective = time.Second
	for _, tt := range []struct {
		name   string
		begin  func(*Table, *catalog.Upstream)
		after  time.Duration
		silent bool
	}{
		{"no data, before the objective", func(*Table, *catalog.Upstream) {}, objective - 1, false},
		{"no data, at the objective", func(*Table, *catalog.Upstream) {}, objective, true},
		{"after data, before the limit", func(t *Table, u *catalog.Upstream) { t.RecordData(u) }, minSilentTime - 1, false},
		{"after data, at the limit", func(t *Table, u *catalog.Upstream) { t.RecordData(u) }, minSilentTime, true},
		{"told, before the limit", func(t *Table, u *catalog.Upstream) {
			t.MergeSilenceReports([]SilenceReport{{IncarnationID: IncarnationID(u.Key()), Silence: minSilentTime - 2}})
		}, 1, false},
		{"told, at the limit", func(t *Table, u *catalog.Upstream) {
			t.MergeSilenceReports([]SilenceReport{{IncarnationID: IncarnationID(u.Key()), Silence: minSilentTime - 1}})
		}, 1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, clock := newTable()
			snap := snapshotOf(1, "a")
			snap.Config = &catalog.Config{Routes: []catalog.Route{{LatencyObjective: objective, WeightedServices: []catalog.WeightedService{{Service: "s", Weight: 1}}}}}
			u := snap.Upstreams["s"][0]
			clock.Advance(time.Minute)
			table.RecordRequestStart(u.Key())
			table.Order(snap, "s", Criteria{})
			tt.begin(table, u)
			clock.Advance(tt.after)
			c := table.Order(snap, "s", Criteria{})[0]
			is.Equal(c.Silent, tt.silent)
			is.Equal(c.Tier, map[bool]int{false: tierHealthy, true: tierDegraded}[tt.silent])
		})
	}
}

// Guards against a state that shows the shorter of the silences that this host and others know.
func TestStateShowsLongestSilence(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	u := snapshotOf(1, "a").Upstreams["s"][0]
	clock.Advance(time.Minute)
	table.RecordRequestStart(u.Key())
	is.Equal(table.State()[0].Silence, time.Duration(0))
	table.MergeSilenceReports([]SilenceReport{{IncarnationID: IncarnationID(u.Key()), Silence: time.Second}})
	is.Equal(table.State()[0].Silence, time.Second)
	clock.Advance(silenceReportTime)
	is.Equal(table.State()[0].Silence, silenceReportTime) // what others told has expired
}

// Guards against a line for each request to a silent upstream, and against none when it is heard again.
func TestSilenceIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	clock := clockwork.NewFakeClock()
	table := NewTable("a", clock, zerolog.New(&log))
	snap := snapshotOf(1, "a")
	u := snap.Upstreams["s"][0]
	counts := func() [2]int {
		for range 3 {
			table.Order(snap, "s", Criteria{})
		}
		return [2]int{strings.Count(log.String(), "upstream-silent"), strings.Count(log.String(), "upstream-heard")}
	}
	table.RecordRequestStart(u.Key())
	is.Equal(counts(), [2]int{0, 0})
	clock.Advance(time.Minute)
	is.Equal(counts(), [2]int{1, 0})
	table.RecordData(u)
	is.Equal(counts(), [2]int{1, 1})
	clock.Advance(time.Minute)
	is.Equal(counts(), [2]int{2, 1})
}

// Guards against silences reported after a standstill of this host, and against none after a late round.
func TestGapBetweenSilenceReportsIsAStandstill(t *testing.T) {
	for gap, reported := range map[time.Duration]int{maxSilenceReportGap: 1, maxSilenceReportGap + 1: 0} {
		is := is.New(t)
		table, clock := newTable()
		snap := snapshotOf(1, "a")
		u := snap.Upstreams["s"][0]
		table.Order(snap, "s", Criteria{})
		table.RecordRequestStart(u.Key())
		table.RecordData(u)
		table.SilenceReports()
		clock.Advance(maxSilenceReportGap)
		table.SilenceReports()
		clock.Advance(gap)
		is.Equal(len(table.SilenceReports()), reported)
	}
}

// Guards against an older report of another host that hides a later one.
func TestShortestToldSilenceCounts(t *testing.T) {
	for _, order := range [][]time.Duration{{time.Second, time.Minute}, {time.Minute, time.Second}} {
		is := is.New(t)
		table, clock := newTable()
		u := snapshotOf(1, "a").Upstreams["s"][0]
		clock.Advance(time.Hour)
		table.RecordRequestStart(u.Key())
		for _, silence := range order {
			table.MergeSilenceReports([]SilenceReport{{IncarnationID: IncarnationID(u.Key()), Silence: silence}})
		}
		is.Equal(table.State()[0].Silence, time.Second)
	}
}
