package published

import (
	"slices"
	"time"
)

// HistorySpan estimates the time that a part of a store's history covers. Changes carry no times, but upstreams repeat their
// entries at one steady interval: the repetitions after a version whose time is known tell the interval, and those before it
// how long the history before it is.
type HistorySpan struct {
	split      uint64
	equivalent EquivalentFunc
	last       map[string]Item
	// before and after count the repetitions of each key up to the split and after it.
	before, after map[string]int
}

// NewHistorySpan returns the span of an empty history that the revision split divides into two parts.
func NewHistorySpan(split uint64, equivalent EquivalentFunc) *HistorySpan {
	return &HistorySpan{split: split, equivalent: equivalent, last: map[string]Item{}, before: map[string]int{}, after: map[string]int{}}
}

// Add adds changes that follow those added before.
func (s *HistorySpan) Add(items []Item) {
	for _, item := range items {
		before, known := s.last[item.Key]
		s.last[item.Key] = item
		switch {
		case !known || before.Removed || item.Removed || !s.equivalent(before, item):
		case item.Revision <= s.split:
			s.before[item.Key]++
		default:
			s.after[item.Key]++
		}
	}
}

// Before returns a lower bound on the time that the history covers up to the split, given the time since then. It returns 0
// while too few repetitions are known.
//
// Some writers may have begun, stopped or repeated at an interval of their own. The quartiles hold while three quarters of
// the writers do not, and favour a bound that is too low.
func (s *HistorySpan) Before(sinceSplit time.Duration) time.Duration {
	counts := make([]int, 0, len(s.before))
	repetitions := make([]int, 0, len(s.before))
	for key, n := range s.before {
		counts = append(counts, n)
		repetitions = append(repetitions, s.after[key])
	}
	if len(counts) == 0 {
		return 0
	}
	slices.Sort(counts)
	slices.Sort(repetitions)
	upper := (len(counts) - 1) * 3 / 4
	if repetitions[upper] == 0 {
		return 0
	}
	// n repetitions within a time take at most n+1 intervals of it; the first write of each key opens its first interval.
	interval := sinceSplit / time.Duration(repetitions[upper]+1)
	return time.Duration(counts[upper]) * interval
}
