package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	lowestLatency     = time.Microsecond
	highestLatency    = 10 * time.Minute
	significantDigits = 3
)

// histogram is a histogram of latencies in microseconds.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(int64(lowestLatency/time.Microsecond), int64(highestLatency/time.Microsecond), significantDigits)}
}

func (l histogram) add(d time.Duration) {
	// Values are clamped to the range of the histogram, so recording cannot fail.
	_ = l.h.RecordValue(int64(min(max(d, lowestLatency), highestLatency) / time.Microsecond))
}

func (l histogram) milliseconds(quantile float64) float64 {
	return float64(l.h.ValueAtQuantile(quantile)) / 1000
}

func (l histogram) percentiles() Percentiles {
	return Percentiles{
		Count: l.h.TotalCount(), P50: l.milliseconds(50), P90: l.milliseconds(90), P95: l.milliseconds(95), P99: l.milliseconds(99),
		Max: float64(l.h.Max()) / 1000,
	}
}
