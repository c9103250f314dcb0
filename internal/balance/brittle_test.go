package balance

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
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
