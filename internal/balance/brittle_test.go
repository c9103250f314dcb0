package balance

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

func rejections(n int) *int { return &n }

// Guards against logs and state dumps from which nobody can tell that upstreams are brittle, who said so and when, and what
// they rejected.
func TestBrittleNoticeIsShownWithSourceAndAge(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	clock := clockwork.NewFakeClock()
	table := NewTable("a", clock, zerolog.New(&log))
	snap := snapshotOf(2, "a")
	said, silent := snap.Upstreams["s"][0], snap.Upstreams["s"][1]
	table.Order(snap, "s", engineCriteria)
	table.RecordBrittle(said, nil)
	table.MarkFull(said.Key())
	is.Equal(log.Len(), 0) // nothing is brittle
	for range 3 {
		table.RecordBrittle(said, rejections(4))
	}
	is.Equal(strings.Count(log.String(), "service-brittle"), 1)
	is.True(strings.Contains(log.String(), `"rejections_per_second":4`))
	table.MarkFull(silent.Key())
	is.Equal(strings.Count(log.String(), "upstream-rejected"), 1)
	clock.Advance(2 * time.Second)
	for _, s := range table.State() {
		is.Equal(s.Rejections, 1)
		is.Equal(*s.Brittle, 4) // of one that said nothing, too
		is.Equal(s.BrittleAge, 2*time.Second)
		is.Equal(s.BrittleSource, SourceResponse)
	}
}

// Guards against a notice that outlasts the upstreams' saying so, or ends while some still say so.
func TestBrittleNoticeEndsWithResponsesThatDoNotSaySo(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(2, "a")
	first, second := snap.Upstreams["s"][0], snap.Upstreams["s"][1]
	table.Order(snap, "s", engineCriteria)
	brittle := func() bool { return table.State()[0].Brittle != nil }
	table.RecordBrittle(first, rejections(4))
	for range 10 { // one of them does not say so
		clock.Advance(brittleGrace / 4)
		table.RecordBrittle(second, nil)
		table.RecordBrittle(first, rejections(4))
		is.True(brittle())
	}
	clock.Advance(brittleGrace)
	is.True(brittle())
	table.RecordBrittle(first, nil)
	is.True(!brittle())
	table.RecordBrittle(second, rejections(2))
	is.True(brittle())
	clock.Advance(brittleExpiry)
	is.True(!brittle())
}

// selectAll selects an upstream as often as the selector allows, at most 100 times.
func selectAll(s *Selector, snap *catalog.Snapshot) (choices []*Choice) {
	for len(choices) < 100 {
		c := s.Select(snap, "s", Criteria{})
		if c == nil {
			break
		}
		choices = append(choices, c)
	}
	return choices
}

// Guards against a host that sends a brittle upstream more than its share of the slots and of the rejections that the upstream
// survives, and against places that are lost when sends end.
func TestBrittleUpstreamHoldsHostsShareOfPlaces(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(1, "a") // 8 slots
	u := snap.Upstreams["s"][0]
	s := newSelector(table, clock)
	table.Order(snap, "s", engineCriteria)
	before := selectAll(s, snap)
	is.Equal(len(before), 100) // nothing is brittle
	table.RecordBrittle(u, rejections(4))
	is.True(s.Select(snap, "s", Criteria{}) == nil) // what was selected before counts
	for _, c := range before {
		s.Finish(c)
	}
	for range 3 {
		choices := selectAll(s, snap)
		is.Equal(len(choices), 8) // 0.75 x 12 places, less the margin for hosts that are unaware of others
		s.Release(choices[0])
		for _, c := range choices[1:] {
			s.Finish(c)
		}
	}
}

// Guards against a host that sends on to a brittle upstream that has just rejected its requests.
func TestRejectionTakesPlaceForASecond(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(1, "a")
	u := snap.Upstreams["s"][0]
	s := newSelector(table, clock)
	table.Order(snap, "s", engineCriteria)
	places := func() int {
		choices := selectAll(s, snap)
		for _, c := range choices {
			s.Finish(c)
		}
		return len(choices)
	}
	table.RecordBrittle(u, rejections(4))
	for i := range 3 {
		table.MarkFull(u.Key())
		is.Equal(places(), 7-i)
		clock.Advance(100 * time.Millisecond)
	}
	clock.Advance(700 * time.Millisecond) // the first was rejected a second ago
	is.Equal(places(), 5)
	clock.Advance(rejectionHold - time.Second)
	is.Equal(places(), 6)
	next := *u
	next.StartedAtMs = 1
	restarted := *snap
	restarted.Upstreams = map[string][]*catalog.Upstream{"s": {&next}}
	is.Equal(len(selectAll(s, &restarted)), 8) // of one that has just started and said nothing
}

// Guards against hosts that learn too late that upstreams are brittle, or forget it by what another host heard earlier.
func TestBrittleNoticeIsToldToOtherHosts(t *testing.T) {
	is := is.New(t)
	told, clock := newTable()
	hears := NewTable("b", clock, zerolog.Nop())
	snap := snapshotOf(2, "a", "b")
	u := snap.Upstreams["s"][0]
	for _, table := range []*Table{told, hears} {
		table.Order(snap, "s", engineCriteria)
	}
	is.Equal(len(told.BrittleReports()), 0)
	told.RecordBrittle(u, rejections(4))
	told.RecordBrittle(u, rejections(4))
	is.Equal(told.BrittleReports(), []BrittleReport{{Service: "s", Rejections: 4}})
	changed := told.TakeChangedBrittle()
	is.Equal(changed, told.BrittleReports())
	is.Equal(len(told.TakeChangedBrittle()), 0) // told once
	hears.MergeBrittleReports(nil)              // an older build says nothing
	is.True(!hears.Brittle("s"))
	hears.MergeBrittleReports([]BrittleReport{{Service: "unknown", Rejections: 4}, {Service: "s", Rejections: 4, Age: brittleExpiry}, {Service: "s", Rejections: -1}})
	is.True(!hears.Brittle("s"))
	hears.MergeBrittleReports(changed)
	is.True(hears.Brittle("s"))
	is.Equal(len(hears.TakeChangedBrittle()), 0) // only what a response said is told at once
	clock.Advance(5 * time.Second)
	hears.RecordBrittle(u, nil)
	is.True(!hears.Brittle("s"))
	hears.MergeBrittleReports([]BrittleReport{{Service: "s", Rejections: 4, Age: 4 * time.Second}})
	is.True(!hears.Brittle("s")) // an upstream has said later that it is not
	hears.MergeBrittleReports([]BrittleReport{{Service: "s", Rejections: 2, Age: time.Millisecond}})
	is.True(hears.Brittle("s"))
}

// Guards against digests that grow with the number of services.
func TestBrittleReportsAreLimited(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	for i := range 2 * maxBrittleReports {
		table.RecordBrittle(&catalog.Upstream{ID: fmt.Sprint(i), Service: fmt.Sprint(i)}, rejections(1))
	}
	is.Equal(len(table.BrittleReports()), maxBrittleReports)
	is.Equal(len(table.TakeChangedBrittle()), maxBrittleReports)
}
