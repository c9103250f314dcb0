package load

import (
	"context"
	"time"

	"github.com/orioleusher/orioleusher/internal/load/watch"
)

// controlCount is a router's count of control bytes at a time.
type controlCount struct {
	bytes float64
	at    time.Time
}

func (r *run) controlBytes(ctx context.Context) map[string]controlCount {
	counts := map[string]controlCount{}
	for _, h := range r.sampler.Hosts {
		if h.Admin == "" {
			continue
		}
		if bytes, ok := watch.ControlBytes(ctx, h.Admin); ok {
			counts[h.Name] = controlCount{bytes: bytes, at: time.Now()}
		}
	}
	return counts
}

// controlPerSecond leaves out routers that restarted meanwhile, whose count began anew.
func (r *run) controlPerSecond(ctx context.Context, before map[string]controlCount) map[string]float64 {
	rates := map[string]float64{}
	for name, now := range r.controlBytes(ctx) {
		then, ok := before[name]
		if ok && now.bytes >= then.bytes {
			rates[name] = (now.bytes - then.bytes) / now.at.Sub(then.at).Seconds()
		}
	}
	return rates
}
