package report

import (
	"math"
	"slices"
	"sort"
	"time"
)

// minMeanLoad is the lowest mean in-flight count at which the skew of a pool is counted. Below it, a single request
// dominates the ratio.
const minMeanLoad = 1.0

// peakAndMean returns the highest in-flight count and the mean.
func (s *LoadSample) peakAndMean() (highest, mean float64) {
	if len(s.InFlight) == 0 {
		return 0, 0
	}
	sum := 0
	for _, n := range s.InFlight {
		sum += n
	}
	return float64(slices.Max(s.InFlight)), float64(sum) / float64(len(s.InFlight))
}

func loadSkew(samples []LoadSample, warmup time.Duration) LoadSkew {
	k := LoadSkew{MinMean: minMeanLoad}
	var ratios []float64
	over := 0
	for i := range samples {
		highest, mean := samples[i].peakAndMean()
		if samples[i].At < warmup || mean < minMeanLoad {
			continue
		}
		ratios = append(ratios, highest/mean)
		if highest > math.Ceil(samples[i].Factor*mean) {
			over++
		}
	}
	if k.Samples = len(ratios); k.Samples == 0 {
		return k
	}
	sort.Float64s(ratios)
	k.P50 = quantile(ratios, 0.50)
	k.P99 = quantile(ratios, 0.99)
	k.Max = ratios[len(ratios)-1]
	k.OverBound = float64(over) / float64(len(ratios))
	return k
}

// quantile returns the nearest-rank quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(0, rank)]
}

func controlTraffic(bytesPerSecond map[string]float64) Control {
	c := Control{Available: len(bytesPerSecond) > 0}
	for _, b := range bytesPerSecond {
		c.MeanBytesPerSecond += b / float64(len(bytesPerSecond))
		c.MaxBytesPerSecond = max(c.MaxBytesPerSecond, b)
	}
	return c
}
