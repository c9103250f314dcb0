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

// fleetOf returns a snapshot with engines spread over the data centres in turn.
func fleetOf(n int, dataCentres ...string) *catalog.Snapshot {
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

var engineWant = Criteria{Engine: true, AffinityHash: 42}

func TestHostsAgreeOnTheEngineOfAPrompt(t *testing.T) {
	is := is.New(t)
	snap := fleetOf(9, "a", "b", "c")
	one, _ := newTable()
	other := NewTable("c", clockwork.NewFakeClock(), zerolog.Nop())
	is.Equal(one.Order(snap, "s", engineWant)[0].ID, other.Order(snap, "s", engineWant)[0].ID)
}

func TestAnEngineOverTheBoundIsPassedOver(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	snap := fleetOf(9, "a")
	for _, u := range snap.Upstreams["s"] {
		table.RecordLoad(u.Key(), 4)
	}
	order := table.Order(snap, "s", engineWant)
	table.RecordLoad(order[0].Key(), 30)
	is.Equal(table.Order(snap, "s", engineWant)[0].ID, order[1].ID)
}

// A single answer that tells a high load counts at once, and a load of which nothing more is heard fades: requests that
// come together follow one estimate, and engines that get less tell their load less often.
func TestLoadsRiseAtOnceAndFade(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	key := catalog.UpstreamKey{ID: "e"}
	load := func() (float64, float64) {
		v, now := table.views[key], clock.Now()
		return v.load(now), v.meanLoad(now)
	}
	table.RecordLoad(key, 2)
	table.RecordLoad(key, 20)
	high, mean := load()
	is.Equal(high, 20.0)
	is.Equal(mean, 2+toldWeight*18)
	clock.Advance(loadAge / 2)
	high, faded := load()
	is.Equal(faded, mean/2)
	is.Equal(high, faded)
	clock.Advance(loadAge)
	_, faded = load()
	is.Equal(faded, 0.0)
	table.RecordRequestStart(key)
	high, _ = load()
	is.Equal(high, 1.0) // what this host has there itself
}

// A host has a few requests of its own at engines that did not tell their load; these do not draw the mean down.
func TestUnknownLoadsDoNotCountInTheMean(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := fleetOf(9, "a")
	first := table.Order(snap, "s", engineWant)[0]
	table.RecordLoad(first.Key(), 9)
	clock.Advance(loadAge / 2)
	is.Equal(table.Order(snap, "s", engineWant)[0].ID, first.ID)
}

func TestWhichFailuresPassAnUpstreamOver(t *testing.T) {
	reset := errors.New("connection reset")
	tests := []struct {
		name  string
		fault func(*Table, *catalog.Upstream)
		over  bool
	}{
		{"no connection", func(t *Table, u *catalog.Upstream) { t.RecordConnectFailure(u, errors.New("refused")) }, true},
		{"silence", func(t *Table, u *catalog.Upstream) { t.RecordBrokenResponse(u, ErrResponseTimeout) }, true},
		{"one broken answer", func(t *Table, u *catalog.Upstream) { t.RecordBrokenResponse(u, reset) }, false},
		{"two broken answers in a row", func(t *Table, u *catalog.Upstream) {
			t.RecordBrokenResponse(u, reset)
			t.RecordBrokenResponse(u, reset)
		}, true},
		{"an answer between two broken ones", func(t *Table, u *catalog.Upstream) {
			t.RecordBrokenResponse(u, reset)
			t.RecordResponseStart(u)
			t.RecordBrokenResponse(u, reset)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, clock := newTable()
			snap := fleetOf(3, "a")
			first := table.Order(snap, "s", engineWant)[0]
			tt.fault(table, first.Upstream)
			is.Equal(table.Order(snap, "s", engineWant)[0].ID != first.ID, tt.over)
			clock.Advance(maxSuspect)
			is.Equal(table.Order(snap, "s", engineWant)[0].ID, first.ID)
		})
	}
}

// An upstream that fails often gets no requests; it must get some again, to show that it no longer fails.
func TestAFailingUpstreamIsTriedAgain(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := fleetOf(3, "a")
	first := table.Order(snap, "s", engineWant)[0]
	for range 10 {
		table.RecordOutcome(first.Upstream, true)
	}
	is.True(table.Order(snap, "s", engineWant)[0].ID != first.ID)
	clock.Advance(failureAge)
	is.Equal(table.Order(snap, "s", engineWant)[0].ID, first.ID)
}

func TestHostsHearOfLoadsAndFailures(t *testing.T) {
	is := is.New(t)
	snap := fleetOf(9, "a")
	knows, _ := newTable()
	hears, _ := newTable()
	first := hears.Order(snap, "s", engineWant)[0]
	for _, u := range snap.Upstreams["s"] {
		knows.RecordLoad(u.Key(), 2)
	}
	knows.RecordLoad(first.Key(), 60)
	hears.Hear(knows.Reports())
	is.True(hears.Order(snap, "s", engineWant)[0].ID != first.ID)
	other := hears.Order(snap, "s", engineWant)[0]
	for range 10 {
		knows.RecordOutcome(other.Upstream, true)
	}
	knows.clock.(*clockwork.FakeClock).Advance(time.Millisecond)
	knows.RecordLoad(other.Key(), 2)
	hears.clock.(*clockwork.FakeClock).Advance(time.Second)
	hears.Hear(knows.Reports())
	is.True(hears.Order(snap, "s", engineWant)[0].ID != other.ID)
}

func TestThePathToADataCentreIsCut(t *testing.T) {
	local := func(order []Choice, n int) bool {
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
		name  string
		fault func(*Table, *catalog.Snapshot, *clockwork.FakeClock)
		cut   func(*Table, time.Time) bool
		want  bool
	}{
		{"one silent upstream is its own fault", func(t *Table, s *catalog.Snapshot, c *clockwork.FakeClock) {
			fail(t, s, ErrResponseTimeout, 1)
		}, func(t *Table, now time.Time) bool { return t.cutOff(now)("b") }, false},
		{"two silent upstreams", func(t *Table, s *catalog.Snapshot, c *clockwork.FakeClock) {
			fail(t, s, ErrResponseTimeout, 1, 5)
		}, func(t *Table, now time.Time) bool { return t.cutOff(now)("b") }, true},
		{"resets show that the path works", func(t *Table, s *catalog.Snapshot, c *clockwork.FakeClock) {
			fail(t, s, errors.New("connection reset"), 1, 5)
		}, func(t *Table, now time.Time) bool { return t.cutOff(now)("b") }, false},
		{"an answer ends it", func(t *Table, s *catalog.Snapshot, c *clockwork.FakeClock) {
			fail(t, s, ErrResponseTimeout, 1, 5)
			t.RecordResponseStart(s.Upstreams["s"][1])
		}, func(t *Table, now time.Time) bool { return t.cutOff(now)("b") }, false},
		{"it is tried again", func(t *Table, s *catalog.Snapshot, c *clockwork.FakeClock) {
			fail(t, s, ErrResponseTimeout, 1, 5)
			c.Advance(cutFor)
		}, func(t *Table, now time.Time) bool { return t.cutOff(now)("b") }, false},
		{"two cut paths cut off the own data centre", func(t *Table, s *catalog.Snapshot, c *clockwork.FakeClock) {
			fail(t, s, ErrResponseTimeout, 1, 5, 2, 6)
		}, func(t *Table, now time.Time) bool {
			return local(t.Order(fleetOf(9, "a", "b", "c", "d"), "s", engineWant), 3)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, clock := newTable()
			tt.fault(table, fleetOf(9, "a", "b", "c", "d"), clock)
			is.Equal(tt.cut(table, clock.Now()), tt.want)
		})
	}
}

// Whatever is known of the upstreams, each usable one stands in the order once, and none that is not usable.
func TestEveryUsableUpstreamStandsInTheOrderOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, clock := newTable()
		snap := fleetOf(rapid.IntRange(1, 20).Draw(t, "upstreams"), "a", "b", "c")
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
		want := Criteria{Engine: rapid.Bool().Draw(t, "engine"), AffinityHash: rapid.Uint64().Draw(t, "affinity")}
		seen := map[string]bool{}
		for _, u := range table.Order(snap, "s", want) {
			if seen[u.ID] || !snap.AcceptsNewWork(u.Upstream) {
				t.Fatalf("upstream %s stands twice or is not usable", u.ID)
			}
			seen[u.ID] = true
		}
		if len(seen) != min(usable, maxOrder) {
			t.Fatalf("%d of %d usable upstreams", len(seen), usable)
		}
	})
}

func TestTheHolderIsTheFormerPlaceOfAKeyThatMoved(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	before := fleetOf(8, "a")
	was := table.Order(before, "s", engineWant)[0]
	was.Leaving = true
	now := table.Order(before, "s", engineWant)[0]
	is.True(now.ID != was.ID)
	is.Equal(table.LikelyCacheHolder(before, "s", engineWant.AffinityHash, now.Upstream).ID, was.ID)
}
