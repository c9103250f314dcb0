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

// at returns the time ms milliseconds after the start of the test.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func warmRamp() *Ramp {
	r := New(capacity)
	r.RecordBootID("1", at(0))
	r.RecordColdReport(false, lag, at(0))
	return r
}

func TestColdStartIsDetected(t *testing.T) {
	for _, c := range []struct {
		name  string
		event func(r *Ramp)
		cold  bool
	}{
		{"nothing happens", func(*Ramp) {}, false},
		{"a new boot id", func(r *Ramp) { r.RecordBootID("2", at(100)) }, true},
		{"the same boot id again", func(r *Ramp) { r.RecordBootID("1", at(100)) }, false},
		{"a cold report", func(r *Ramp) { r.RecordColdReport(true, lag, at(100)) }, true},
		{"loss of the upstream", func(r *Ramp) { r.RecordLoss(8, at(100)) }, true},
		{"a suspicion", func(r *Ramp) { r.Suspect(at(100)) }, true},
		{"a late report from before the restart", func(r *Ramp) { r.RecordBootID("2", at(100)); r.RecordColdReport(false, lag, at(600)) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := warmRamp()
			is.Equal(r.Limit(at(0)), Unlimited)
			c.event(r)
			if c.cold {
				is.Equal(r.Limit(at(700)), initialLimit)
			} else {
				is.Equal(r.Limit(at(700)), Unlimited)
			}
		})
	}
}

func TestLimitRisesGraduallyOnceWarm(t *testing.T) {
	is := is.New(t)
	r := warmRamp()
	r.RecordColdReport(true, lag, at(0))
	is.Equal(r.Limit(at(2900)), initialLimit)
	r.RecordColdReport(false, lag, at(3000))
	is.Equal(r.Limit(at(3000)), initialLimit)
	is.Equal(r.Limit(at(4000)), 9)
	is.Equal(r.Limit(at(5000)), Unlimited)
}

func TestSecondColdStartRestartsRamp(t *testing.T) {
	is := is.New(t)
	r := warmRamp()
	r.RecordColdReport(true, lag, at(0))
	r.RecordColdReport(false, lag, at(3000))
	is.True(r.Limit(at(4000)) > initialLimit)
	r.RecordBootID("2", at(4100))
	is.Equal(r.Limit(at(4200)), initialLimit)
	r.RecordBootID("3", at(5000))
	r.RecordColdReport(true, lag, at(5100))
	is.Equal(r.Limit(at(30000)), initialLimit)
}

func TestColdLimitFollowsHandledLoad(t *testing.T) {
	is := is.New(t)
	r := warmRamp()
	coldStart := func(ms, inFlight int) {
		r.RecordColdReport(true, lag, at(ms))
		r.RecordLoad(inFlight)
		r.RecordColdReport(false, lag, at(ms+3000))
	}
	coldStart(0, initialLimit)
	is.Equal(r.ColdLimit(), 3) // It handled the whole limit.
	coldStart(10000, 1)
	is.Equal(r.ColdLimit(), 3) // The limit was not reached.
	coldStart(20000, 3)
	coldStart(30000, 4)
	coldStart(40000, 4)
	is.Equal(r.ColdLimit(), 4) // The limit never exceeds the share of the capacity.
	r.RecordColdReport(true, lag, at(50000))
	r.RecordLoss(4, at(51000))
	is.Equal(r.ColdLimit(), 3) // It crashed at 4.
	r.RecordBootID("2", at(53000))
	r.RecordLoad(3)
	r.RecordColdReport(true, lag, at(53000))
	r.RecordColdReport(false, lag, at(56000))
	coldStart(60000, 3)
	is.Equal(r.ColdLimit(), 3) // The limit never rises to 4 again.
}

func TestUpstreamWithoutReportsWarmsUpAfterAssumedTime(t *testing.T) {
	is := is.New(t)
	r := warmRamp()
	r.RecordLoss(8, at(0))
	is.Equal(r.Limit(at(4900)), initialLimit)
	is.Equal(r.Limit(at(5100)), initialLimit)
	is.Equal(r.Limit(at(7200)), Unlimited)
}

func TestSuspicionExpires(t *testing.T) {
	is := is.New(t)
	r := warmRamp()
	r.Suspect(at(0))
	is.Equal(r.Limit(at(100)), initialLimit)
	is.Equal(r.Limit(at(1600)), Unlimited)
	r.Suspect(at(2000))
	r.ClearSuspicion()
	is.Equal(r.Limit(at(2100)), Unlimited)
}

func TestDetectorFindsSlowUpstream(t *testing.T) {
	is := is.New(t)
	var d SlowdownDetector
	for range 100 {
		is.True(!d.Observe(5 * time.Millisecond))
	}
	is.True(!d.Observe(18 * time.Millisecond)) // A single slow chunk is not a slowdown.
	slowAfter := 0
	for !d.Observe(20 * time.Millisecond) {
		slowAfter++
	}
	is.True(slowAfter <= 4)
	for range 1000 {
		is.True(d.Observe(20 * time.Millisecond)) // Slow gaps do not change the baseline.
	}
	recoveredAfter := 0
	for d.Observe(5 * time.Millisecond) {
		recoveredAfter++
	}
	is.True(recoveredAfter <= 8)
}

func TestDetectorIgnoresChunksWrittenTogether(t *testing.T) {
	is := is.New(t)
	var d SlowdownDetector
	for range 1000 {
		is.True(!d.Observe(50 * time.Microsecond)) // The end of a short response.
	}
	for range 1000 {
		is.True(!d.Observe(5 * time.Millisecond)) // Long responses with the usual gaps.
	}
}

func TestResetBaselineAcceptsRecentGaps(t *testing.T) {
	is := is.New(t)
	var d SlowdownDetector
	for range 100 {
		d.Observe(5 * time.Millisecond)
	}
	for range 100 {
		d.Observe(20 * time.Millisecond)
	}
	is.True(d.Observe(20 * time.Millisecond))
	d.ResetBaseline()
	is.True(!d.Observe(20 * time.Millisecond))
}

func TestSuspectedForCountsFromFirstSuspicion(t *testing.T) {
	is := is.New(t)
	r := warmRamp()
	is.Equal(r.SuspectedFor(at(0)), time.Duration(0))
	r.Suspect(at(100))
	r.Suspect(at(1100))
	is.Equal(r.SuspectedFor(at(2000)), 1900*time.Millisecond)
	is.Equal(r.SuspectedFor(at(2600)), time.Duration(0)) // The suspicion has expired.
	r.Suspect(at(3000))
	is.Equal(r.SuspectedFor(at(3100)), 100*time.Millisecond)
}
