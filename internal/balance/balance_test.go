package balance

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// snapshotOf returns a snapshot of n engines that are distributed round robin over the data centres.
func snapshotOf(n int, dataCentres ...string) *catalog.Snapshot {
	snap := &catalog.Snapshot{DisabledDataCentres: map[string]bool{}, Upstreams: map[string][]*catalog.Upstream{}}
	for i := range n {
		u := &catalog.Upstream{ID: fmt.Sprintf("e%02d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 8,
			DataCentre: dataCentres[i%len(dataCentres)]}
		snap.Upstreams["s"] = append(snap.Upstreams["s"], u)
	}
	return snap
}

func newTable() (*Table, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return NewTable("a", clock, zerolog.Nop()), clock
}

var engineCriteria = Criteria{Engine: true, AffinityHash: 42}

func TestOrderIsSameOnAllHosts(t *testing.T) {
	is := is.New(t)
	snap := snapshotOf(9, "a", "b", "c")
	one, _ := newTable()
	other := NewTable("c", clockwork.NewFakeClock(), zerolog.Nop())
	is.Equal(one.Order(snap, "s", engineCriteria)[0].ID, other.Order(snap, "s", engineCriteria)[0].ID)
}

func TestOrderDefersEngineOverLoadBound(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	snap := snapshotOf(9, "a")
	for _, u := range snap.Upstreams["s"] {
		table.RecordLoad(u.Key(), 4)
	}
	order := table.Order(snap, "s", engineCriteria)
	table.RecordLoad(order[0].Key(), 30)
	is.Equal(table.Order(snap, "s", engineCriteria)[0].ID, order[1].ID)
}

// A high load in a single response must take effect at once, since concurrent requests use the same estimate.
// A load that is not reported again must decay, since engines that receive fewer requests report less often.
func TestLoadEstimateRisesAtOnceAndDecays(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	key := catalog.UpstreamKey{ID: "e"}
	load := func() (float64, float64) {
		s, now := table.statsByKey[key], clock.Now()
		return s.load(now), s.meanLoad(now)
	}
	table.RecordLoad(key, 2)
	table.RecordLoad(key, 20)
	high, mean := load()
	is.Equal(high, 20.0)
	is.Equal(mean, 2+newLoadWeight*18)
	clock.Advance(loadDecayTime / 2)
	high, decayed := load()
	is.Equal(decayed, mean/2)
	is.Equal(high, decayed)
	clock.Advance(loadDecayTime)
	_, decayed = load()
	is.Equal(decayed, 0.0)
	table.RecordRequestStart(key)
	high, _ = load()
	is.Equal(high, 1.0) // this host's own request in flight
}

// This host may have a few requests at engines that have not reported their load. They must not lower the mean load.
func TestMeanLoadExcludesUnknownLoads(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(9, "a")
	first := table.Order(snap, "s", engineCriteria)[0]
	table.RecordLoad(first.Key(), 9)
	clock.Advance(loadDecayTime / 2)
	is.Equal(table.Order(snap, "s", engineCriteria)[0].ID, first.ID)
}

// Guards against a request that finds no upstream, because it is sent to those that have ended first: their entries stay published for
// some heartbeats, and nothing is known of their load.
func TestUpstreamsThatStartedLaterAtSameAddressComeFirst(t *testing.T) {
	for _, tt := range []struct {
		name             string
		earlier, later   int64
		service, address string
		first            bool
	}{
		{"later start", 1000, 2000, "s", "same", true}, {"earlier start is unknown", 0, 2000, "s", "same", false}, {"same start", 2000, 2000, "s", "same", false},
		{"other address", 1000, 2000, "s", "other", false}, {"other service", 1000, 2000, "t", "same", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const n = 5
			snap := &catalog.Snapshot{DisabledDataCentres: map[string]bool{}, Upstreams: map[string][]*catalog.Upstream{}}
			table, _ := newTable()
			for i := range n {
				address := fmt.Sprintf("10.0.0.%d:80", i)
				earlier := &catalog.Upstream{ID: fmt.Sprintf("a%d", i), Service: "s", Address: address, Slots: 8, DataCentre: "a", StartedAtMs: tt.earlier}
				later := &catalog.Upstream{ID: fmt.Sprintf("b%d", i), Service: tt.service, Address: address, Slots: 8, DataCentre: "a", StartedAtMs: tt.later}
				if tt.address == "other" {
					later.Address = fmt.Sprintf("10.0.1.%d:80", i)
				}
				snap.Upstreams["s"] = append(snap.Upstreams["s"], earlier)
				snap.Upstreams[tt.service] = append(snap.Upstreams[tt.service], later)
				table.RecordLoad(later.Key(), 7)
				table.RecordBrokenResponse(later, ErrResponseTimeout)
			}
			order := table.Order(snap, "s", Criteria{})
			is.Equal(order[0].StartedAtMs == tt.later && tt.later != tt.earlier, tt.first)
			for i, c := range order { // upstreams that started earlier stay usable, as the last ones
				is.Equal(c.Tier == tierSuperseded, tt.first && i >= n)
			}
		})
	}
}

func TestFailuresThatMakeUpstreamSuspect(t *testing.T) {
	reset := errors.New("connection reset")
	tests := []struct {
		name        string
		fault       func(*Table, *catalog.Upstream)
		wantSuspect bool
	}{
		{"no connection", func(t *Table, u *catalog.Upstream) { t.RecordConnectFailure(u, errors.New("refused")) }, true},
		{"timeout", func(t *Table, u *catalog.Upstream) { t.RecordBrokenResponse(u, ErrResponseTimeout) }, true},
		{"one broken response", func(t *Table, u *catalog.Upstream) { t.RecordBrokenResponse(u, reset) }, false},
		{"two consecutive broken responses", func(t *Table, u *catalog.Upstream) {
			t.RecordBrokenResponse(u, reset)
			t.RecordBrokenResponse(u, reset)
		}, true},
		{"a response between two broken ones", func(t *Table, u *catalog.Upstream) {
			t.RecordBrokenResponse(u, reset)
			t.RecordResponseStart(u)
			t.RecordBrokenResponse(u, reset)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, clock := newTable()
			snap := snapshotOf(3, "a")
			first := table.Order(snap, "s", engineCriteria)[0]
			tt.fault(table, first.Upstream)
			is.Equal(table.Order(snap, "s", engineCriteria)[0].ID != first.ID, tt.wantSuspect)
			clock.Advance(maxSuspectTime)
			is.Equal(table.Order(snap, "s", engineCriteria)[0].ID, first.ID)
		})
	}
}

// An upstream with a high failure share receives no requests. It must receive some again later, since it could not
// otherwise show that it has recovered.
func TestFailureShareDecaysSoUpstreamIsRetried(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(3, "a")
	first := table.Order(snap, "s", engineCriteria)[0]
	for range 10 {
		table.RecordOutcome(first.Upstream, true)
	}
	is.True(table.Order(snap, "s", engineCriteria)[0].ID != first.ID)
	clock.Advance(failureDecayTime)
	is.Equal(table.Order(snap, "s", engineCriteria)[0].ID, first.ID)
}

func TestMergeReportsAppliesLoadsAndFailures(t *testing.T) {
	is := is.New(t)
	snap := snapshotOf(9, "a")
	sender, _ := newTable()
	receiver, _ := newTable()
	first := receiver.Order(snap, "s", engineCriteria)[0]
	for _, u := range snap.Upstreams["s"] {
		sender.RecordLoad(u.Key(), 2)
	}
	sender.RecordLoad(first.Key(), 60)
	receiver.MergeReports(sender.Reports())
	is.True(receiver.Order(snap, "s", engineCriteria)[0].ID != first.ID)
	other := receiver.Order(snap, "s", engineCriteria)[0]
	for range 10 {
		sender.RecordOutcome(other.Upstream, true)
	}
	sender.clock.(*clockwork.FakeClock).Advance(time.Millisecond)
	sender.RecordLoad(other.Key(), 2)
	receiver.clock.(*clockwork.FakeClock).Advance(time.Second)
	receiver.MergeReports(sender.Reports())
	is.True(receiver.Order(snap, "s", engineCriteria)[0].ID != other.ID)
}

func TestPathToDataCentreIsDown(t *testing.T) {
	allLocal := func(order []Choice, n int) bool {
		for _, u := range order[:n] {
			if u.DataCentre != "a" {
				return false
			}
		}
		return true
	}
	fail := func(t *Table, snap *catalog.Snapshot, cause error, ids ...int) {
		for _, i := range ids {
			t.RecordBrokenResponse(snap.Upstreams["s"][i], cause)
		}
	}
	tests := []struct {
		name     string
		fault    func(*Table, *catalog.Snapshot, *clockwork.FakeClock)
		down     func(*Table, time.Time) bool
		wantDown bool
	}{
		{"one timed-out upstream does not take the path down", func(t *Table, s *catalog.Snapshot, c *clockwork.FakeClock) {
			fail(t, s, ErrResponseTimeout, 1)
		}, func(t *Table, now time.Time) bool { return t.pathDown(now)("b") }, false},
		{"two timed-out upstreams", func(t *Table, s *catalog.Snapshot, c *clockwork.FakeClock) {
			fail(t, s, ErrResponseTimeout, 1, 5)
		}, func(t *Table, now time.Time) bool { return t.pathDown(now)("b") }, true},
		{"resets show that the path works", func(t *Table, s *catalog.Snapshot, c *clockwork.FakeClock) {
			fail(t, s, errors.New("connection reset"), 1, 5)
		}, func(t *Table, now time.Time) bool { return t.pathDown(now)("b") }, false},
		{"a response ends it", func(t *Table, s *catalog.Snapshot, c *clockwork.FakeClock) {
			fail(t, s, ErrResponseTimeout, 1, 5)
			t.RecordResponseStart(s.Upstreams["s"][1])
		}, func(t *Table, now time.Time) bool { return t.pathDown(now)("b") }, false},
		{"the path is retried", func(t *Table, s *catalog.Snapshot, c *clockwork.FakeClock) {
			fail(t, s, ErrResponseTimeout, 1, 5)
			c.Advance(pathDownTime)
		}, func(t *Table, now time.Time) bool { return t.pathDown(now)("b") }, false},
		{"two paths down isolate the local data centre", func(t *Table, s *catalog.Snapshot, c *clockwork.FakeClock) {
			fail(t, s, ErrResponseTimeout, 1, 5, 2, 6)
		}, func(t *Table, now time.Time) bool {
			return allLocal(t.Order(snapshotOf(9, "a", "b", "c", "d"), "s", engineCriteria), 3)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, clock := newTable()
			tt.fault(table, snapshotOf(9, "a", "b", "c", "d"), clock)
			is.Equal(tt.down(table, clock.Now()), tt.wantDown)
		})
	}
}

// Whatever the state of the upstreams, the order contains each usable one once and no unusable one.
func TestOrderContainsEveryUsableUpstreamOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, clock := newTable()
		snap := snapshotOf(rapid.IntRange(1, 20).Draw(t, "upstreams"), "a", "b", "c")
		snap.DisabledDataCentres["b"] = rapid.Bool().Draw(t, "b is out")
		usable := 0
		for _, u := range snap.Upstreams["s"] {
			u.Leaving = rapid.Bool().Draw(t, "leaving")
			switch rapid.IntRange(0, 3).Draw(t, "state") {
			case 0:
				table.RecordBrokenResponse(u, ErrResponseTimeout)
			case 1:
				table.RecordLoad(u.Key(), rapid.IntRange(0, 99).Draw(t, "load"))
			case 2:
				table.MarkFull(u.Key())
			}
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if snap.AcceptsNewWork(u) {
				usable++
			}
		}
		criteria := Criteria{Engine: rapid.Bool().Draw(t, "engine"), AffinityHash: rapid.Uint64().Draw(t, "affinity")}
		seen := map[string]bool{}
		for _, u := range table.Order(snap, "s", criteria) {
			if seen[u.ID] || !snap.AcceptsNewWork(u.Upstream) {
				t.Fatalf("upstream %s occurs twice or is not usable", u.ID)
			}
			seen[u.ID] = true
		}
		if len(seen) != min(usable, maxChoices) {
			t.Fatalf("order has %d of %d usable upstreams", len(seen), usable)
		}
	})
}

func TestLikelyCacheHolderIsFormerTargetOfMovedKey(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	before := snapshotOf(8, "a")
	was := table.Order(before, "s", engineCriteria)[0]
	was.Leaving = true
	now := table.Order(before, "s", engineCriteria)[0]
	is.True(now.ID != was.ID)
	is.Equal(table.LikelyCacheHolder(before, "s", engineCriteria.AffinityHash, now.Upstream).ID, was.ID)
}

// Hosts are told at once of engines that are near the bound, and of those that no longer are.
func TestOnlyNotableLoadsAreObservations(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	snap := snapshotOf(9, "a")
	table.Order(snap, "s", engineCriteria)
	for _, u := range snap.Upstreams["s"] {
		table.RecordLoad(u.Key(), 10)
	}
	table.TakeObservations()
	table.Order(snap, "s", engineCriteria)
	key := snap.Upstreams["s"][0].Key()
	for _, step := range []struct{ load, observations int }{{11, 0}, {10 * notableFactor, 1}, {9, 1}, {8, 0}} {
		table.RecordLoad(key, step.load)
		is.Equal(len(table.TakeObservations()), step.observations)
	}
}

// Pattern: a data centre is cut off. A request whose connection to it timed out must not lose the rest of its time on
// another upstream there, or in a data centre that may be cut off as well.
func TestRequestAvoidsDataCentresThatItCannotReach(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(9, "a", "b", "c")
	clock.Advance(time.Minute)
	for _, u := range snap.Upstreams["s"] {
		if u.DataCentre == "c" {
			table.RecordResponseStart(u)
		}
	}
	criteria := engineCriteria
	criteria.Unreached = []string{"b"}
	for _, choice := range table.Order(snap, "s", criteria)[:3] {
		is.Equal(choice.DataCentre, "c")
	}
	is.Equal(len(table.Order(snap, "s", criteria)), 9) // the others are tried last
	clock.Advance(pathDownTime)
	is.Equal(table.Order(snap, "s", criteria)[0].ID, table.Order(snap, "s", engineCriteria)[0].ID) // none has responded lately
}

func TestPlainServicesPreferLocalUpstreamsWithCapacity(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	snap := snapshotOf(4, "a", "b")
	is.Equal(table.Order(snap, "s", Criteria{})[0].DataCentre, "a")
	is.Equal(table.Order(snap, "s", Criteria{})[1].DataCentre, "a")
	for _, u := range snap.Upstreams["s"] {
		if u.DataCentre == "a" {
			table.RecordLoad(u.Key(), 6) // of 8 slots
		}
	}
	is.Equal(table.Order(snap, "s", Criteria{})[0].DataCentre, "b")
}

func TestOrderHoldsTheBestOfManyUpstreams(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	snap := snapshotOf(60, "a")
	for i, u := range snap.Upstreams["s"] {
		u.Slots = 0
		table.RecordLoad(u.Key(), i*7%60)
	}
	order := table.Order(snap, "s", Criteria{})
	is.Equal(len(order), maxChoices)
	for i, choice := range order {
		is.Equal(choice.Load, float64(i))
	}
}

func TestOlderObservationIsIgnored(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	key := catalog.UpstreamKey{ID: "e"}
	table.RecordLoad(key, 9)
	table.MergeObservations([]LoadReport{{IncarnationID: IncarnationID(key), Load: 1, Age: time.Millisecond}})
	is.Equal(table.State()[0].Load, 9.0)
	clock.Advance(time.Second)
	table.MergeObservations([]LoadReport{{IncarnationID: IncarnationID(key), Load: 30}, {IncarnationID: 1, Load: 50}})
	is.Equal(table.State()[0].Load, 30.0)
}

func TestStatisticsOfGoneUpstreamsAreDeleted(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	table.Order(snapshotOf(9, "a"), "s", engineCriteria)
	is.Equal(len(table.statsByID), 9)
	clock.Advance(statsExpiry / 2)
	table.Order(snapshotOf(3, "a"), "s", engineCriteria)
	is.Equal(len(table.statsByKey), 9) // kept for a while, since the entry may return
	for range 3 {
		clock.Advance(statsExpiry)
		table.Order(snapshotOf(3, "a"), "s", engineCriteria)
	}
	is.Equal(len(table.statsByKey), 3)
	is.Equal(len(table.statsByID), 3)
}

// Guards against requests that no longer count since another host reports a load of before they were sent.
func TestOlderReportDoesNotHideRequestsSentSince(t *testing.T) {
	for _, tt := range []struct {
		name  string
		merge func(*Table, LoadReport)
	}{
		{"average", func(t *Table, r LoadReport) { t.MergeReports([]LoadReport{r}) }},
		{"observation", func(t *Table, r LoadReport) { t.MergeObservations([]LoadReport{r}) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, clock := newTable()
			u := snapshotOf(1, "a").Upstreams["s"][0]
			load := func() float64 { return table.State()[0].Load }
			table.RecordLoad(u.Key(), 4)
			clock.Advance(500 * time.Millisecond)
			for range 6 {
				table.RecordRequestStart(u.Key())
			}
			report := LoadReport{IncarnationID: IncarnationID(u.Key()), Load: 4}
			clock.Advance(100 * time.Millisecond)
			report.Age = 150 * time.Millisecond
			tt.merge(table, report)
			is.True(load() >= 9.5) // some of the older load has decayed
			clock.Advance(100 * time.Millisecond)
			report.Age = 150 * time.Millisecond
			tt.merge(table, report)
			is.True(load() < 7) // the six requests in flight are the minimum
		})
	}
}
