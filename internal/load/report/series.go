package report

import (
	"math"
)

func buildSeries(in *Input, cached []int) []Second {
	seconds := make([]Second, int(math.Ceil(in.Duration.Seconds())))
	hists := make([]histogram, len(seconds))
	for i := range seconds {
		seconds[i].At = i
		hists[i] = newHistogram()
	}
	for i := range in.Requests {
		req := &in.Requests[i]
		at := min(int(req.Due.Seconds()), len(seconds)-1)
		seconds[at].add(req, cached[i])
		if req.Status == OK {
			hists[at].add(req.FirstByte - req.Due)
		}
	}
	for i := range seconds {
		seconds[i].FirstByteP50 = hists[i].milliseconds(50)
		seconds[i].FirstByteP99 = hists[i].milliseconds(99)
	}
	addLoads(seconds, in.Loads)
	return seconds
}

func (s *Second) add(req *CompletedRequest, cached int) {
	s.Requests++
	s.PromptTokens += req.PromptTokens
	s.CachedTokens += req.CachedTokens
	s.OracleTokens += cached
	switch req.Status {
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
		highest, mean := loads[i].peakAndMean()
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
