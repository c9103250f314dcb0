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

// latencies is a histogram of latencies in microseconds.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(int64(lowestLatency/time.Microsecond), int64(highestLatency/time.Microsecond), significantDigits)}
}

func (l latencies) add(d time.Duration) {
	// Values are held to the histogram's range, so that recording cannot fail.
	_ = l.h.RecordValue(int64(min(max(d, lowestLatency), highestLatency) / time.Microsecond))
}

func (l latencies) ms(quantile float64) float64 {
	return float64(l.h.ValueAtQuantile(quantile)) / 1000
}

func (l latencies) percentiles() Percentiles {
	return Percentiles{
		Count: l.h.TotalCount(), P50: l.ms(50), P90: l.ms(90), P95: l.ms(95), P99: l.ms(99),
		Max: float64(l.h.Max()) / 1000,
	}
}
