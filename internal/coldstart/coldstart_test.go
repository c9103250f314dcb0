package coldstart

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	capacity = 16
	lag      = 1500 * time.Millisecond
)

// at returns the time some milliseconds after the start of a test.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func warm() *Ramp {
	r := New(capacity)
	r.RecordBootID("1", at(0))
	r.RecordColdReport(false, lag, at(0))
	return r
}

func TestAColdStartIsFound(t *testing.T) {
	for _, c := range []struct {
		name  string
		event func(r *Ramp)
		cold  bool
	}{
		{"nothing happens", func(*Ramp) {}, false},
		{"a new boot id", func(r *Ramp) { r.RecordBootID("2", at(100)) }, true},
		{"the same boot id again", func(r *Ramp) { r.RecordBootID("1", at(100)) }, false},
		{"its report", func(r *Ramp) { r.RecordColdReport(true, lag, at(100)) }, true},
		{"it was lost", func(r *Ramp) { r.RecordLoss(8, at(100)) }, true},
		{"its behaviour", func(r *Ramp) { r.Suspect(at(100)) }, true},
		{"a late report of before the restart", func(r *Ramp) { r.RecordBootID("2", at(100)); r.RecordColdReport(false, lag, at(600)) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := warm()
			is.Equal(r.Limit(at(0)), Unlimited)
			c.event(r)
			if c.cold {
				is.Equal(r.Limit(at(700)), firstLimit)
			} else {
				is.Equal(r.Limit(at(700)), Unlimited)
			}
		})
	}
}

func TestTheLimitRisesByStepsOnceWarm(t *testing.T) {
	is := is.New(t)
	r := warm()
	r.RecordColdReport(true, lag, at(0))
	is.Equal(r.Limit(at(2900)), firstLimit)
	r.RecordColdReport(false, lag, at(3000))
	is.Equal(r.Limit(at(3000)), firstLimit)
	is.Equal(r.Limit(at(4000)), 9)
	is.Equal(r.Limit(at(5000)), Unlimited)
}

func TestColdTwiceInARowStartsAgain(t *testing.T) {
	is := is.New(t)
	r := warm()
	r.RecordColdReport(true, lag, at(0))
	r.RecordColdReport(false, lag, at(3000))
	is.True(r.Limit(at(4000)) > firstLimit)
	r.RecordBootID("2", at(4100))
	is.Equal(r.Limit(at(4200)), firstLimit)
	r.RecordBootID("3", at(5000))
	r.RecordColdReport(true, lag, at(5100))
	is.Equal(r.Limit(at(30000)), firstLimit)
}

func TestItLearnsWhatTheUpstreamBears(t *testing.T) {
	is := is.New(t)
	r := warm()
	coldStart := func(ms, carried int) {
		r.RecordColdReport(true, lag, at(ms))
		r.RecordLoad(carried)
		r.RecordColdReport(false, lag, at(ms+3000))
	}
	coldStart(0, firstLimit)
	is.Equal(r.ColdLimit(), 3) // it bore the whole limit
	coldStart(10000, 1)
	is.Equal(r.ColdLimit(), 3) // it was not tried
	coldStart(20000, 3)
	coldStart(30000, 4)
	coldStart(40000, 4)
	is.Equal(r.ColdLimit(), 4) // never above its share of the capacity
	r.RecordColdReport(true, lag, at(50000))
	r.RecordLoss(4, at(51000))
	is.Equal(r.ColdLimit(), 3) // it fell over at 4
	r.RecordBootID("2", at(53000))
	r.RecordLoad(3)
	r.RecordColdReport(true, lag, at(53000))
	r.RecordColdReport(false, lag, at(56000))
	coldStart(60000, 3)
	is.Equal(r.ColdLimit(), 3) // and is never given 4 again
}

func TestAnUpstreamWithoutReportsWarmsUpInTime(t *testing.T) {
	is := is.New(t)
	r := warm()
	r.RecordLoss(8, at(0))
	is.Equal(r.Limit(at(4900)), firstLimit)
	is.Equal(r.Limit(at(5100)), firstLimit)
	is.Equal(r.Limit(at(7200)), Unlimited)
}

func TestASuspicionEndsByItself(t *testing.T) {
	is := is.New(t)
	r := warm()
	r.Suspect(at(0))
	is.Equal(r.Limit(at(100)), firstLimit)
	is.Equal(r.Limit(at(1600)), Unlimited)
	r.Suspect(at(2000))
	r.ClearSuspicion()
	is.Equal(r.Limit(at(2100)), Unlimited)
}

func TestPaceFindsASlowUpstream(t *testing.T) {
	is := is.New(t)
	var p SlowdownDetector
	for range 100 {
		is.True(!p.Observe(5 * time.Millisecond))
	}
	is.True(!p.Observe(18 * time.Millisecond)) // one hiccup
	slowAfter := 0
	for !p.Observe(20 * time.Millisecond) {
		slowAfter++
	}
	is.True(slowAfter <= 4)
	for range 1000 {
		is.True(p.Observe(20 * time.Millisecond)) // slow does not become usual
	}
	back := 0
	for p.Observe(5 * time.Millisecond) {
		back++
	}
	is.True(back <= 8)
}

func TestPiecesWrittenTogetherSayNothingOfThePace(t *testing.T) {
	is := is.New(t)
	var p SlowdownDetector
	for range 1000 {
		is.True(!p.Observe(50 * time.Microsecond)) // the end of a short answer
	}
	for range 1000 {
		is.True(!p.Observe(5 * time.Millisecond)) // long answers at the usual pace
	}
}

func TestAnAcceptedPaceBecomesTheUsualOne(t *testing.T) {
	is := is.New(t)
	var p SlowdownDetector
	for range 100 {
		p.Observe(5 * time.Millisecond)
	}
	for range 100 {
		p.Observe(20 * time.Millisecond)
	}
	is.True(p.Observe(20 * time.Millisecond))
	p.ResetBaseline()
	is.True(!p.Observe(20 * time.Millisecond))
}

func TestASuspicionLastsFromItsFirstSign(t *testing.T) {
	is := is.New(t)
	r := warm()
	is.Equal(r.SuspectedFor(at(0)), time.Duration(0))
	r.Suspect(at(100))
	r.Suspect(at(1100))
	is.Equal(r.SuspectedFor(at(2000)), 1900*time.Millisecond)
	is.Equal(r.SuspectedFor(at(2600)), time.Duration(0)) // ended by itself
	r.Suspect(at(3000))
	is.Equal(r.SuspectedFor(at(3100)), 100*time.Millisecond)
}
