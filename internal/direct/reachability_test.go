package direct

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// Guards against streams that are moved from an upstream that accepts connections, since the result of the probe that they
// share is forgotten before they ask for it.
func TestSharedProbeCountsForAllWhoRelyOnIt(t *testing.T) {
	for _, tt := range []struct {
		name  string
		later time.Duration
		opens int
	}{
		{"at once", 0, 1}, {"just before the next probe", probeInterval - time.Millisecond, 1}, {"with the next probe", probeInterval, 2},
		{"much later", time.Minute, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			opened := make(chan struct{}, 2)
			r := &reachability{clock: clock, probes: map[string]*probe{}, open: func(context.Context, string) error {
				opened <- struct{}{}
				return nil
			}}
			await := func() {
				<-opened
				for !r.accepts("a") {
					time.Sleep(time.Millisecond)
				}
			}
			is.True(!r.accepts("a"))
			r.probe("a")
			await()
			clock.Advance(tt.later)
			r.probe("a")
			if tt.opens > 1 {
				await()
			}
			clock.Advance(probeTimeout)
			is.True(r.accepts("a"))
			is.Equal(len(opened), 0)
		})
	}
}

// Guards against the state of addresses that is kept for good, and against a probe that counts for too long.
func TestProbeIsForgotten(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := &reachability{clock: clock, probes: map[string]*probe{}, open: func(context.Context, string) error { return nil }}
	r.probe("a")
	for !r.accepts("a") {
		time.Sleep(time.Millisecond)
	}
	clock.Advance(probeTTL)
	is.True(!r.accepts("a"))
	for range 1000 {
		r.mu.Lock()
		n := len(r.probes)
		r.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the state of the address is kept")
}
