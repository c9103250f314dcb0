package load

import (
	"context"
	"time"

	"github.com/orioleusher/orioleusher/internal/load/watch"
)

// controlSample is the number of control bytes that a router had counted at a given time.
type controlSample struct {
	bytes float64
	at    time.Time
}

func (r *run) readControlBytes(ctx context.Context) map[string]controlSample {
	counts := map[string]controlSample{}
	for _, h := range r.sampler.Hosts {
		if h.AdminAddress == "" {
			continue
		}
		if bytes, ok := watch.ControlBytes(ctx, h.AdminAddress); ok {
			counts[h.Name] = controlSample{bytes: bytes, at: time.Now()}
		}
	}
	return counts
}

// controlByteRates returns the control bytes per second of each router since the samples in before. Routers that
// restarted in the meantime are omitted because their counters started again at zero.
func (r *run) controlByteRates(ctx context.Context, before map[string]controlSample) map[string]float64 {
	rates := map[string]float64{}
	for name, current := range r.readControlBytes(ctx) {
		previous, ok := before[name]
		if ok && current.bytes >= previous.bytes {
			rates[name] = (current.bytes - previous.bytes) / current.at.Sub(previous.at).Seconds()
		}
	}
	return rates
}
