package coldstart

import "time"

// The rules by which the time between two pieces of streamed answers shows a cold upstream.
const (
	// paceMinimum is how many gaps must be known before the pace says anything.
	paceMinimum = 32
	// recentWeight and normalWeight are the weights of a new gap in the recent and in the usual mean.
	recentWeight = 0.3
	normalWeight = 0.02
	// slowFactor times the usual gap is slow; below recoveredFactor the pace is usual again.
	slowFactor      = 2.5
	recoveredFactor = 1.5
	// minimumGap is the least gap that says anything: pieces that come closer were written together.
	minimumGap = time.Millisecond
)

// SlowdownDetector compares the recent gaps between pieces of an upstream's answers with its usual ones. The zero value is ready.
type SlowdownDetector struct {
	normal float64
	recent float64
	known  int
	slow   bool
}

// Observe records a gap and returns whether the upstream is slow now.
func (p *SlowdownDetector) Observe(gap time.Duration) bool {
	if gap < minimumGap {
		return p.slow
	}
	g := float64(gap)
	if p.known == 0 {
		p.normal, p.recent = g, g
	}
	p.known++
	p.recent += recentWeight * (g - p.recent)
	switch {
	case p.known < paceMinimum:
	case p.recent > slowFactor*p.normal:
		p.slow = true
	case p.recent < recoveredFactor*p.normal:
		p.slow = false
	}
	if !p.slow {
		p.normal += normalWeight * (g - p.normal)
	}
	return p.slow
}

// ResetBaseline takes the recent gaps for the usual ones, because the upstream itself says that it is warm.
func (p *SlowdownDetector) ResetBaseline() {
	p.normal, p.slow = p.recent, false
}
