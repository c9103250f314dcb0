package coldstart

import "time"

// Parameters for the detection of a cold upstream by the time between two chunks of a streamed response.
const (
	// minGaps is the number of observed gaps below which no slowdown is detected.
	minGaps = 32
	// recentWeight and baselineWeight are the weights of a new gap in the recent and in the baseline moving average.
	recentWeight   = 0.3
	baselineWeight = 0.02
	// An upstream is slow when its recent gap exceeds slowFactor times the baseline, and recovers when the recent gap is
	// below recoveredFactor times the baseline.
	slowFactor      = 2.5
	recoveredFactor = 1.5
	// minGap is the shortest gap that is observed. Chunks that arrive closer together were written together.
	minGap = time.Millisecond
)

// SlowdownDetector compares the recent gaps between chunks of an upstream's responses with a baseline. The zero value is
// ready for use.
type SlowdownDetector struct {
	baseline float64
	recent   float64
	count    int
	slow     bool
}

// Observe records a gap and reports whether the upstream is slow now.
func (d *SlowdownDetector) Observe(gap time.Duration) bool {
	if gap < minGap {
		return d.slow
	}
	g := float64(gap)
	if d.count == 0 {
		d.baseline, d.recent = g, g
	}
	d.count++
	d.recent += recentWeight * (g - d.recent)
	switch {
	case d.count < minGaps:
	case d.recent > slowFactor*d.baseline:
		d.slow = true
	case d.recent < recoveredFactor*d.baseline:
		d.slow = false
	}
	if !d.slow {
		d.baseline += baselineWeight * (g - d.baseline)
	}
	return d.slow
}

// ResetBaseline makes the recent gaps the baseline, because the upstream itself reports that it is warm.
func (d *SlowdownDetector) ResetBaseline() {
	d.baseline, d.slow = d.recent, false
}
