package report

import (
	"math"
)

func series(in *Input, cached []int) []Second {
	seconds := make([]Second, int(math.Ceil(in.Duration.Seconds())))
	hists := make([]latencies, len(seconds))
	for i := range seconds {
		seconds[i].At = i
		hists[i] = newLatencies()
	}
	for i := range in.Finished {
		f := &in.Finished[i]
		at := min(int(f.Due.Seconds()), len(seconds)-1)
		seconds[at].add(f, cached[i])
		if f.Ending == OK {
			hists[at].add(f.FirstByte - f.Due)
		}
	}
	for i := range seconds {
		seconds[i].FirstByteP50 = hists[i].ms(50)
		seconds[i].FirstByteP99 = hists[i].ms(99)
	}
	addLoads(seconds, in.Loads)
	return seconds
}

func (s *Second) add(f *Finished, cached int) {
	s.Requests++
	s.PromptTokens += f.PromptTokens
	s.CachedTokens += f.CachedTokens
	s.OracleTokens += cached
	switch f.Ending {
	case OK:
		s.OK++
	case RateRefused:
		s.RateRefused++
	default:
		s.Lost++
	}
}

func addLoads(seconds []Second, loads []LoadSample) {
	counts := make([]int, len(seconds))
	skewed := make([]int, len(seconds))
	for i := range loads {
		at := int(loads[i].At.Seconds())
		if at >= len(seconds) {
			continue
		}
		highest, mean := loads[i].peak()
		counts[at]++
		seconds[at].MeanInFlight += mean
		if mean >= minMeanLoad {
			skewed[at]++
			seconds[at].HighestOverMean += highest / mean
		}
	}
	for i := range seconds {
		seconds[i].MeanInFlight /= float64(max(1, counts[i]))
		seconds[i].HighestOverMean /= float64(max(1, skewed[i]))
	}
}
