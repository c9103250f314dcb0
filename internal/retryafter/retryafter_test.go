package retryafter

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const earliest = 250 * time.Millisecond

// arrivals is a queue of the times at which callers arrive.
type arrivals []arrival

type arrival struct {
	at       time.Duration
	refusals int
}

func (q arrivals) Len() int           { return len(q) }
func (q arrivals) Less(i, j int) bool { return q[i].at < q[j].at }
func (q arrivals) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *arrivals) Push(x any)        { *q = append(*q, x.(arrival)) }
func (q *arrivals) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// herd plays callers that all arrive at once before a service of the given number of places, each busy for the given
// time, and come back when they are told to. It returns the number of refusals and the time until all were served.
func herd(callers, places int, busy time.Duration, advise func(a *Advisor) time.Duration) (refusals int, all time.Duration) {
	clock := clockwork.NewFakeClock()
	random := rand.New(rand.NewPCG(1, 1))
	a := NewAdvisor(clock, random.Float64)
	queue := make(arrivals, callers)
	var ends []time.Duration
	now := time.Duration(0)
	for len(queue) > 0 {
		next := heap.Pop(&queue).(arrival)
		clock.Advance(next.at - now)
		now = next.at
		running := ends[:0]
		for _, end := range ends {
			if end > now {
				running = append(running, end)
			} else {
				a.Served("s")
			}
		}
		ends = running
		if len(ends) < places {
			ends = append(ends, now+busy)
			continue
		}
		refusals++
		next.refusals++
		next.at = now + advise(a)
		heap.Push(&queue, next)
	}
	return refusals, now
}

// Pattern: after all hosts lost power, or after a cut has healed, everyone returns in the same second.
func TestHerdIsSpreadOverTheTimeThatCapacityNeeds(t *testing.T) {
	is := is.New(t)
	const callers, places, busy = 1000, 20, 100 * time.Millisecond
	needed := callers / places * busy
	refusals, all := herd(callers, places, busy, func(a *Advisor) time.Duration { return a.Refused("s", earliest, 0) })
	constant, _ := herd(callers, places, busy, func(*Advisor) time.Duration { return earliest })
	t.Logf("refusals %d in %s, with a constant %d", refusals, all, constant)
	is.True(all <= 2*needed)                     // capacity is not left unused
	is.True(refusals <= 3*callers)               // each caller is refused three times on average at most
	is.True(refusals*2 <= constant)              // and half as often as with a constant
	is.True(float64(all) >= 0.9*float64(needed)) // the service cannot be faster
}

func TestReturnDependsOnRefusalsAndTimeLeft(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	a := NewAdvisor(clock, func() float64 { return 1 })
	for range 100 {
		a.Served("quiet")
		a.Served("busy")
	}
	is.Equal(a.Refused("quiet", earliest, 0), 2*earliest) // one refusal among many served requests
	var last time.Duration
	for range 300 {
		last = a.Refused("busy", earliest, 0)
	}
	is.True(last > 3*window-time.Millisecond && last < 3*window+2*earliest) // three times as many as were served
	for range 1000 {
		last = a.Refused("busy", earliest, 0)
	}
	is.Equal(last, earliest+maxSpread)
	is.Equal(a.Refused("busy", earliest, 600*time.Millisecond), 300*time.Millisecond)
	clock.Advance(20 * window)
	is.Equal(a.Refused("busy", earliest, 0).Round(time.Millisecond), earliest+window) // what happened long ago does not count
}

// Callers that were refused at the same moment come back at different times.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	a := NewAdvisor(clockwork.NewFakeClock(), rand.New(rand.NewPCG(1, 1)).Float64)
	buckets := map[time.Duration]int{}
	for range 1000 {
		after := a.Refused("s", earliest, 0)
		is.True(after >= earliest && after <= earliest+maxSpread)
		buckets[after/(500*time.Millisecond)]++
	}
	for _, n := range buckets {
		is.True(n < 250)
	}
}
