package balance

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// Guards against the load of the latest response, or of any, that counts for longer than it may.
func TestReportedLoadCountsForItsTime(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	u := snapshotOf(1, "a").Upstreams["s"][0]
	clock.Advance(time.Hour)
	table.RecordLoad(u.Key(), 0)
	table.RecordLoad(u.Key(), 10) // the mean is 4
	s := table.statsByKey[u.Key()]
	for _, tt := range []struct {
		after time.Duration
		load  float64
		known bool
	}{
		{0, 10, true}, {lastLoadTime - 1, 10, true}, {lastLoadTime, 3.2, true}, {loadDecayTime, 0, true}, {loadDecayTime + 1, 0, false},
	} {
		now := clock.Now().Add(tt.after)
		is.True(math.Abs(s.load(now)-tt.load) < 1e-6)
		is.Equal(s.fresh(now), tt.known)
	}
}

// Guards against requests for any version that take limited upstreams from those that wait for one version, and against a wait
// that never ends.
func TestLimitedUpstreamIsLeftToWaitingRequests(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOfVersions("v1", "v2")
	for _, u := range snap.Upstreams["s"] {
		table.RecordRequestLimit(u, perSecond(100))
	}
	selector := newSelector(table, clock)
	chosen := func() (versions string) {
		for range 8 {
			if c := selector.Select(snap, "s", Criteria{}); c != nil {
				versions += c.Version
				table.RecordRequestStart(c.Key()) // the other one has less load now
			}
		}
		return versions
	}
	is.True(strings.Contains(chosen(), "v1"))
	endFirst := table.WaitForVersion(snap, "s", "v1")
	endSecond := table.WaitForVersion(snap, "s", "v1")
	is.True(!strings.Contains(chosen(), "v1"))
	endFirst()
	is.True(!strings.Contains(chosen(), "v1"))
	endSecond()
	is.True(strings.Contains(chosen(), "v1"))
	is.Equal(len(table.poolStats["s"].waiting), 0)
	snap.Upstreams["s"] = append(snap.Upstreams["s"], &catalog.Upstream{ID: "free", Service: "s", Address: "10.0.1.1:80", DataCentre: "a", Version: "v3"})
	next := *snap
	defer table.WaitForVersion(&next, "s", "v3")()
	c := selector.Select(&next, "s", Criteria{})
	is.True(c != nil)
	is.Equal(c.ID, "free") // it has no limit that the waiting requests would need
	newer, _ := newTable()
	newer.WaitForVersion(snap, "s", "v1")() // before any choice
}

// Guards against messages with more observations than fit, or the same upstream twice.
func TestObservationsAreBounded(t *testing.T) {
	for _, count := range []int{1, maxObservations, maxObservations + 1} {
		is := is.New(t)
		table, _ := newTable()
		for range 2 {
			for _, u := range snapshotOf(count, "a").Upstreams["s"] {
				table.RecordLoad(u.Key(), 1)
			}
		}
		is.Equal(len(table.TakeObservations()), min(count, maxObservations))
		is.Equal(len(table.TakeObservations()), 0)
	}
	table, _ := newTable()
	for _, u := range snapshotOf(maxReports+1, "a").Upstreams["s"] {
		table.RecordLoad(u.Key(), 1)
	}
	is.New(t).Equal(len(table.Reports()), maxReports)
}

// Guards against reports of unknown upstreams, and older ones that replace newer ones.
func TestOnlyNewerReportsOfKnownUpstreamsAreMerged(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	u := snapshotOf(1, "a").Upstreams["s"][0]
	clock.Advance(time.Hour)
	table.RecordLoad(u.Key(), 4)
	clock.Advance(time.Second)
	id := IncarnationID(u.Key())
	load := func() float64 { return table.statsByKey[u.Key()].avgLoad }
	table.MergeReports([]LoadReport{{IncarnationID: id + 1, Load: 9}, {IncarnationID: id, Load: 9, Age: time.Second}})
	table.MergeObservations([]LoadReport{{IncarnationID: id + 1, Load: 9}, {IncarnationID: id, Load: 9, Age: time.Second}})
	is.Equal(load(), 4.0)
	is.Equal(len(table.statsByKey), 1)
	table.MergeReports([]LoadReport{{IncarnationID: id, Load: 9, FailureShare: 0.5, Age: time.Second - 1}})
	is.Equal(load(), 9.0)
	is.True(table.State()[0].FailureShare > 0)
}

// Guards against failures that do not make an upstream less preferred, or do so for ever.
func TestFailureShare(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	u := snapshotOf(1, "a").Upstreams["s"][0]
	share := func() float64 { return table.State()[0].FailureShare }
	near := func(want float64) { t.Helper(); is.True(math.Abs(share()-want) < 1e-9) }
	is.True(!table.RecordBrokenResponse(u, errors.New("reset"))) // the first one
	near(0.1)
	is.True(!table.RecordConnectFailure(u, errors.New("refused")))
	near(0.19)
	is.True(!table.RecordBrokenResponse(u, errors.New("reset"))) // of the third failure it is suspect
	near(0.271)
	table.RecordOutcome(u, false)
	near(0.2439)
	clock.Advance(failureDecayTime / 2)
	near(0.12195)
	clock.Advance(failureDecayTime)
	near(0)
}

// Guards against upstreams that are chosen while they are full, or left out for longer.
func TestFullUpstreamIsDegradedForItsTime(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(1, "a")
	table.MarkFull(snap.Upstreams["s"][0].Key())
	tier := func() int { return table.Order(snap, "s", Criteria{})[0].Tier }
	is.Equal(tier(), tierDegraded)
	clock.Advance(fullTime - 1)
	is.Equal(tier(), tierDegraded)
	clock.Advance(1)
	is.Equal(tier(), tierHealthy)
}

// Guards against requests to an address that another instance has taken, and lines without number about it and about responses.
func TestReplacedUpstreamIsNotChosen(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	table := NewTable("a", clockwork.NewFakeClock(), zerolog.New(&log))
	snap := snapshotOf(2, "a")
	replaced, other := snap.Upstreams["s"][0], snap.Upstreams["s"][1]
	for range 2 {
		table.MarkReplaced(replaced)
		table.RecordResponseStart(other)
	}
	order := table.Order(snap, "s", Criteria{})
	is.Equal(len(order), 1)
	is.Equal(order[0].ID, other.ID)
	is.Equal(strings.Count(log.String(), "upstream-replaced"), 1)
	is.Equal(strings.Count(log.String(), "upstream-back"), 0)
	table.RecordConnectFailure(other, errors.New("refused"))
	table.RecordResponseStart(other)
	is.Equal(strings.Count(log.String(), "upstream-back"), 1)
}

// Guards against data centres that count as doubtful, or isolated from this one, at the time of a response.
func TestDataCentreIsDoubtfulAfterItsTime(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	clock.Advance(time.Hour)
	table.RecordResponseStart(&catalog.Upstream{ID: "e", DataCentre: "b"})
	for after, doubtful := range map[time.Duration]bool{0: false, pathDownTime / 2: false, pathDownTime/2 + 1: true} {
		is.Equal(table.isDoubtful("b", []string{"c"}, clock.Now().Add(after)), doubtful)
	}
	for _, dc := range []string{"c", "d"} {
		for _, id := range []string{"1", "2"} {
			table.RecordConnectFailure(&catalog.Upstream{ID: dc + id, DataCentre: dc}, ErrResponseTimeout)
		}
	}
	for after, down := range map[time.Duration]bool{0: false, pathDownTime / 2: false, pathDownTime/2 + 1: true} {
		is.Equal(table.pathDown(clock.Now().Add(after))("b"), down)
	}
}
