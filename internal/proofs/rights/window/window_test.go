package window

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestCheckMatchesExhaustiveCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 50).Draw(t, "rate")
		burst := float64(rapid.IntRange(1, 8).Draw(t, "burst"))
		start := time.Unix(1000, 0)
		var times []time.Time
		at := start
		for range rapid.IntRange(0, 30).Draw(t, "count") {
			at = at.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			times = append(times, at)
		}
		over := false
		for i := range times {
			for j := i; j < len(times); j++ {
				over = over || float64(j-i+1) > burst+rate*times[j].Sub(times[i]).Seconds()+tolerance
			}
		}
		if got := Check(times, rate, burst) != nil; got != over {
			t.Fatalf("Check reports over=%v, the exhaustive count %v", got, over)
		}
	})
}

func TestCheckSortsItsInput(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	is.NoErr(Check([]time.Time{start.Add(time.Second), start}, 1, 1))
	is.True(Check([]time.Time{start, start.Add(time.Second), start}, 1, 1) != nil)
}
