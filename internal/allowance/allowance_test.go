package allowance

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// fleetView is a host's view of the fleet: which of all hosts it knows, itself among them.
type fleetView struct {
	self  string
	known []string
	floor int
}

func (v *fleetView) Split() int { return max(v.floor, len(v.known)) }

func (v *fleetView) Chosen(key uint64, n int) bool {
	before := 0
	for _, name := range v.known {
		if name != v.self && loadbalancer.Score(key, name) > loadbalancer.Score(key, v.self) {
			before++
		}
	}
	return before < n
}

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = string(rune('a'+i%26)) + string(rune('a'+i/26))
	}
	return list
}

// views draws hosts of which each misses a few others; the floor covers small fleets, as in the assembled process.
func views(t *rapid.T) []*fleetView {
	all := names(rapid.IntRange(1, 88).Draw(t, "hosts"))
	list := make([]*fleetView, len(all))
	for i, name := range all {
		v := &fleetView{self: name, floor: 8}
		missing := rapid.IntRange(0, len(all)/4).Draw(t, "missing")
		for j, other := range all {
			if other == name || (j+i)%len(all) >= missing {
				v.known = append(v.known, other)
			}
		}
		list[i] = v
	}
	return list
}

// In any window all hosts together retry at most ratio x requests + slack, whatever a host misses of the others.
func TestRetriesStayUnderTheBudgetInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		list := views(t)
		// The slack of the small and of the grown deployment.
		bounds := RetryLimits{Ratio: 0.2, Slack: 54}
		const window = 10 * time.Second
		if len(list) > 8 {
			bounds.Slack = 216
		}
		hosts := make([]*RetryBudget, len(list))
		for i, v := range list {
			hosts[i] = NewRetryBudget(bounds, v)
		}
		type moment struct {
			at                time.Time
			requests, retries int
		}
		var moments []moment
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			m := moment{at: clock.Now()}
			h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				h.RecordRequest("s")
				m.requests++
			}
			for range rapid.IntRange(0, 60).Draw(t, "tries") {
				if h.TryWithdraw("s") {
					m.retries++
				}
			}
			moments = append(moments, m)
		}
		for i := range moments {
			requests, retries := 0, 0
			for _, m := range moments[i:] {
				if m.at.Sub(moments[i].at) > window {
					break
				}
				requests, retries = requests+m.requests, retries+m.retries
			}
			limit := bounds.Ratio*float64(requests) + bounds.Slack
			if float64(retries) > limit {
				t.Fatalf("%d retries for %d requests, at most %.1f", retries, requests, limit)
			}
		}
	})
}

// In any second all hosts together send a cold upstream no more than the bound, whatever a host misses of the others.
func TestColdUpstreamsStayUnderTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 16
		bounds := ColdLimits{Overage: 1.5, Slack: 5}
		clock := clockwork.NewFakeClock()
		list := views(t)
		hosts := make([]*ColdLimiter, len(list))
		for i, v := range list {
			hosts[i] = NewColdLimiter(bounds, v, clock)
		}
		var sent []time.Time
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			for _, h := range hosts {
				for range rapid.IntRange(0, 4).Draw(t, "tries") {
					if h.TryAcquire("u", rate) {
						sent = append(sent, clock.Now())
					}
				}
			}
		}
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					n++
				}
			}
			if float64(n) > rate*bounds.Overage+bounds.Slack {
				t.Fatalf("%d requests in a second", n)
			}
		}
	})
}

func TestAFleetLargerThanTheBoundStillServesColdUpstreams(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := names(88)
	taken := 0
	for _, name := range all {
		c := NewColdLimiter(ColdLimits{Overage: 1.5, Slack: 5}, &fleetView{self: name, known: all}, clock)
		if c.TryAcquire("u", 16) {
			taken++
		}
	}
	is.Equal(taken, 10) // half of three quarters of 29
}
