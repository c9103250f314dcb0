package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/balance"
)

const (
	// Engines turn all requests away from sheddingStart on, and ask each host for a pause of askedPause.
	sheddingStart  = 3 * time.Second
	sheddingLength = 6 * time.Second
	askedPause     = 2 * time.Second
	// A host may send pauseArrivals requests to an engine between pauseTransit after it was turned away and the end of the pause.
	pauseTransit  = 500 * time.Millisecond
	pauseArrivals = 2
	// In a returnWindow the returning hosts may send an engine maxReturnRate times its usual rate plus returnSlack requests.
	returnWindow  = 500 * time.Millisecond
	maxReturnRate = 2
	returnSlack   = 8
)

// sheddingPool is a fleet that sends prompts to engines of which some turn requests away with a Retry-After.
type sheddingPool struct {
	*limitedPool
	shedding map[string]bool
	// turnedAway holds when each engine turned a host away.
	turnedAway map[*surgeHost]map[string][]time.Time
}

func newSheddingPool(hosts, dataCentres, engines int, seed uint64) *sheddingPool {
	p := &sheddingPool{
		limitedPool: newLimitedPool(hosts, dataCentres, engines, 0, seed), shedding: map[string]bool{},
		turnedAway: map[*surgeHost]map[string][]time.Time{},
	}
	p.deliver = p.send
	return p
}

// run plays requests while every third engine sheds load for a time.
func (p *sheddingPool) run() {
	p.after(sheddingStart, func() {
		for i, u := range p.snap.Upstreams["s"] {
			p.shedding[u.ID] = i%3 == 0
		}
	})
	p.after(sheddingStart+sheddingLength, func() { clear(p.shedding) })
	p.arrive()
	p.runFor(limitLength)
}

// send sends a request to the engine that the host chooses, and once more if that engine turns it away.
func (p *sheddingPool) send(h *surgeHost, k surgeKey) {
	choice := p.selectors[h].Select(p.snap, "s", balance.Criteria{Engine: true, AffinityHash: k.hash})
	if choice == nil {
		p.refused[h]++
		return
	}
	u := choice.Upstream
	p.received[u.ID] = append(p.received[u.ID], arrival{p.clock.Now(), h})
	h.table.RecordRequestStart(u.Key())
	if p.shedding[u.ID] {
		p.after(responseDelay, func() {
			h.table.MarkPaused(u, askedPause)
			h.table.MarkFull(u.Key())
			h.table.RecordRequestEnd(u.Key())
			if p.turnedAway[h] == nil {
				p.turnedAway[h] = map[string][]time.Time{}
			}
			p.turnedAway[h][u.ID] = append(p.turnedAway[h][u.ID], p.clock.Now())
			p.send(h, k)
		})
		return
	}
	p.served[h]++
	p.running[u.ID]++
	p.total++
	p.after(responseDelay, func() {
		h.table.RecordLoad(u.Key(), p.running[u.ID])
		p.stream(h, u, k.duration-responseDelay)
	})
}

// arrivalsInPauses returns the most requests that an engine received from a host in a pause that it had asked for.
func (p *sheddingPool) arrivalsInPauses() int {
	worst := 0
	for engine, arrivals := range p.received {
		for host, engines := range p.turnedAway {
			for _, at := range engines[engine] {
				n := 0
				for _, a := range arrivals {
					if since := a.at.Sub(at); a.host == host && since >= pauseTransit && since < askedPause {
						n++
					}
				}
				worst = max(worst, n)
			}
		}
	}
	return worst
}

// busiestReturn returns the most requests that an engine received in a returnWindow after it had begun to accept requests again.
func (p *sheddingPool) busiestReturn() int {
	worst := 0
	for i, u := range p.snap.Upstreams["s"] {
		if i%3 != 0 {
			continue
		}
		first := 0
		arrivals := p.received[u.ID]
		for last, a := range arrivals {
			for a.at.Sub(arrivals[first].at) >= returnWindow {
				first++
			}
			if arrivals[first].at.Sub(p.start) >= sheddingStart+sheddingLength {
				worst = max(worst, last-first+1)
			}
		}
	}
	return worst
}

// Guards against requests to engines in the pause that they asked this host for, and against all hosts returning at once.
// Pattern: a third of the engines turn all requests away for six seconds, with a pause of two seconds each time.
func TestPauseOfUpstreamIsKeptByEachHost(t *testing.T) {
	for _, size := range []struct{ hosts, dataCentres, engines int }{{7, 4, 9}, {90, 4, 60}, {295, 6, 160}} {
		t.Run(fmt.Sprintf("%d hosts", size.hosts), func(t *testing.T) {
			if testing.Short() && size.hosts > 90 {
				t.Skip("takes a minute with the race detector")
			}
			t.Parallel()
			is := is.New(t)
			p := newSheddingPool(size.hosts, size.dataCentres, size.engines, 1)
			p.run()
			turnedAway := 0
			for _, engines := range p.turnedAway {
				for _, times := range engines {
					turnedAway += len(times)
				}
			}
			refused, _ := p.refusedShare()
			inPauses, returning := p.arrivalsInPauses(), p.busiestReturn()
			t.Logf("%d turned away, at most %d from one host in a pause, at most %d in %s at the return, %.4f refused",
				turnedAway, inPauses, returning, returnWindow, refused)
			is.True(turnedAway > 0)
			is.True(inPauses <= pauseArrivals)
			is.True(float64(returning) <= maxReturnRate*surgeRate*returnWindow.Seconds()+returnSlack)
			is.True(refused <= maxRefused)
		})
	}
}
