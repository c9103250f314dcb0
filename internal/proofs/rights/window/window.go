// Package window checks recorded admissions against a rate and a burst. It shares no code with the limiter.
package window

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// tolerance allows for the rounding of floating-point sums, in requests.
const tolerance = 1e-6

// Check returns an error unless every time window of length t contains at most burst + rate * t admissions. The rate is in
// requests per second. The times need not be sorted.
func Check(admitted []time.Time, rate, burst float64) error {
	times := slices.Clone(admitted)
	slices.SortFunc(times, time.Time.Compare)
	// The maximum excess over the rate of all windows that end at the current admission.
	excess := 0.0
	for i, at := range times {
		if i > 0 {
			excess = max(0, excess-rate*at.Sub(times[i-1]).Seconds())
		}
		excess++
		if excess > burst+tolerance {
			return errors.Errorf("admission %d of %d at %s: a window exceeds its rate by %.3f requests (rate %g per second, burst %g)",
				i+1, len(times), at.Format(time.StampMicro), excess, rate, burst)
		}
	}
	return nil
}
