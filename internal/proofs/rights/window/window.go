// Package window checks recorded admissions against a rate and a burst. It shares no code with the limiter.
package window

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// tolerance allows for the rounding of floating-point sums, in requests.
const tolerance = 1e-6

// Check returns an error unless every window of length t holds at most burst + rate * t of the admissions. Rate is in
// requests a second. The times need not be sorted.
func Check(admitted []time.Time, rate, burst float64) error {
	times := slices.Clone(admitted)
	slices.SortFunc(times, time.Time.Compare)
	// Level is the largest excess over the rate of any window that ends at the current admission.
	level := 0.0
	for i, at := range times {
		if i > 0 {
			level = max(0, level-rate*at.Sub(times[i-1]).Seconds())
		}
		level++
		if level > burst+tolerance {
			return errors.Errorf("admission %d of %d at %s: some window holds %.3f requests above its rate %g, burst is %g",
				i+1, len(times), at.Format(time.StampMicro), level, rate, burst)
		}
	}
	return nil
}
