package fleet

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// limitedPool is a fleet that sends prompts to engines of which some name a request limit.
type limitedPool struct {
	*surge
	selectors map[*surgeHost]*balance.Selector
	views     map[*surgeHost]*partialView
	// limits are the limits that engines name, in requests per second. Engines that are missing name none.
	limits map[string]*float64
	// leaving are the engines that say in their answers that they leave.
	leaving map[string]bool
	// told is when an answer first told the host of the engine's limit, or that it leaves.
	told map[*surgeHost]map[string]time.Time
	// arrivals are the requests that engines received.
	received map[string][]arrival
	// deliver sends one request.
	deliver         func(h *surgeHost, k surgeKey)
	served, refused map[*surgeHost]int
}

// arrival is a request that an engine received.
type arrival struct {
	at   time.Time
	host *surgeHost
}

const (
	limitStart  = 3 * time.Second
	limitLength = 15 * time.Second
	// limitSettled is the time after limitStart from which on the limit must be kept, in any limitWindow.
	limitSettled = 3 * time.Second
	limitWindow  = 4 * time.Second
	// An engine may receive limitFactor times what its limit allows in a window, plus limitSlack requests.
	limitFactor = 1.5
	limitSlack  = 5
	// limitShare is what engines name, as a share of the requests that they usually receive.
	limitShare = 0.5
	// minLimitUse is the least share of the limits that must be used while there are more requests than they allow.
	minLimitUse = 0.7
	// minHostShare is the least that a host serves, as a share of the mean of all hosts.
	minHostShare = 0.25
	// maxRefused is the share of requests that may be refused while engines without limits have room.
	maxRefused = 0.01
)

// partialView is the view of a host that is unaware of some others.
type partialView struct {
	*Fleet
	unaware map[string]bool
}

func (v *partialView) ShareCount() int { return max(v.MinHosts, len(v.members)+1-len(v.unaware)) }

func (v *partialView) Rank(key uint64) (rank, hosts int) {
	own := loadbalancer.Score(key, v.Self)
	for address := range v.members {
		if !v.unaware[address] && loadbalancer.Score(key, address) > own {
			rank++
		}
	}
	return rank, len(v.members) + 1 - len(v.unaware)
}

func (v *partialView) Ranked(key uint64) []string {
	hosts := []scoredHost{{v.Self, loadbalancer.Score(key, v.Self)}}
	for address := range v.members {
		if !v.unaware[address] {
			hosts = append(hosts, scoredHost{address, loadbalancer.Score(key, address)})
		}
	}
	return rankHosts(hosts)
}

// newLimitedPool returns a fleet whose hosts are each unaware of a share of the others.
func newLimitedPool(hosts, dataCentres, engines int, unaware float64, seed uint64) *limitedPool {
	p := &limitedPool{
		surge: newSurge(hosts, dataCentres, engines, seed), selectors: map[*surgeHost]*balance.Selector{},
		views: map[*surgeHost]*partialView{}, limits: map[string]*float64{}, leaving: map[string]bool{},
		told: map[*surgeHost]map[string]time.Time{}, received: map[string][]arrival{}, served: map[*surgeHost]int{}, refused: map[*surgeHost]int{},
	}
	p.deliver = p.send
	random := rand.New(rand.NewPCG(seed, 1))
	for _, h := range p.hosts {
		view := &partialView{Fleet: h.Fleet, unaware: map[string]bool{}}
		for _, i := range random.Perm(hosts)[:int(unaware*float64(hosts))] {
			if other := p.hosts[i]; other != h {
				view.unaware[other.Self] = true
			}
		}
		p.views[h] = view
		p.selectors[h] = balance.NewSelector(h.table, allowance.NewUpstreamLimiter(view, p.clock), allowance.ColdLimits{}, p.clock)
		p.told[h] = map[string]time.Time{}
	}
	return p
}

// run plays requests while the share of engines names limits from limitStart on.
func (p *limitedPool) run(share float64) {
	p.after(limitStart, func() {
		engines := p.snap.Upstreams["s"]
		for _, u := range engines[:int(share*float64(len(engines)))] {
			limit := limitShare * surgeRate
			p.limits[u.ID] = &limit
		}
	})
	p.arrive()
	p.runFor(limitLength)
}

// arrive sends one request and schedules the next.
func (p *limitedPool) arrive() {
	sum := p.usual[len(p.usual)-1]
	key := p.keys[sort.SearchFloat64s(p.usual, p.rand.Float64()*sum)]
	p.deliver(p.hosts[p.rand.IntN(len(p.hosts))], key)
	rate := surgeRate * float64(len(p.snap.Upstreams["s"])) * sum
	p.after(time.Duration(p.rand.ExpFloat64()/rate*float64(time.Second)), p.arrive)
}

// send sends a request to the engine that the host chooses, whose answer names the engine's limit.
func (p *limitedPool) send(h *surgeHost, k surgeKey) {
	choice := p.selectors[h].Select(p.snap, "s", balance.Criteria{Engine: true, AffinityHash: k.hash})
	settled := p.clock.Since(p.start) >= limitStart+limitSettled
	if choice == nil {
		if settled {
			p.refused[h]++
		}
		return
	}
	if settled {
		p.served[h]++
	}
	u := choice.Upstream
	p.received[u.ID] = append(p.received[u.ID], arrival{p.clock.Now(), h})
	p.running[u.ID]++
	p.total++
	h.table.RecordRequestStart(u.Key())
	p.after(responseDelay, func() {
		h.table.RecordLoad(u.Key(), p.running[u.ID])
		h.table.RecordRequestLimit(u, p.limits[u.ID])
		if p.leaving[u.ID] {
			h.table.MarkLeaving(u)
		}
		if _, told := p.told[h][u.ID]; !told && (p.limits[u.ID] != nil || p.leaving[u.ID]) {
			p.told[h][u.ID] = p.clock.Now()
		}
		p.stream(h, u, k.duration-responseDelay)
	})
}

// worstWindow returns the most requests that a limited engine received in a window that ends after limitSettled, as a
// share of what its limit allows. It counts the requests of all hosts, or of those that had an answer with the limit half
// a second before.
func (p *limitedPool) worstWindow(toldOnly bool) float64 {
	worst := 0.0
	for engine, limit := range p.limits {
		allowed := limitFactor**limit*limitWindow.Seconds() + limitSlack
		var counted []time.Time
		for _, a := range p.received[engine] {
			told, ok := p.told[a.host][engine]
			if ok && a.at.Sub(told) >= 500*time.Millisecond || !toldOnly && a.at.Sub(p.start) >= limitStart+limitSettled {
				counted = append(counted, a.at)
			}
		}
		first := 0
		for last, at := range counted {
			for at.Sub(counted[first]) >= limitWindow {
				first++
			}
			if at.Sub(p.start) >= limitStart+limitSettled {
				worst = max(worst, float64(last-first+1)/allowed)
			}
		}
	}
	return worst
}

// limitUse returns the share of the limits that was used once they had settled.
func (p *limitedPool) limitUse() float64 {
	var allowed, used float64
	for engine, limit := range p.limits {
		allowed += *limit * (limitLength - limitStart - limitSettled).Seconds()
		for _, a := range p.received[engine] {
			if a.at.Sub(p.start) >= limitStart+limitSettled {
				used++
			}
		}
	}
	return used / allowed
}

// refusedShare returns the share of refused requests, and the least that a host served as a share of the mean.
func (p *limitedPool) refusedShare() (refused, leastServed float64) {
	served, least := 0, len(p.keys)*len(p.hosts)
	for _, h := range p.hosts {
		served += p.served[h]
		refused += float64(p.refused[h])
		least = min(least, p.served[h])
	}
	return refused / (refused + float64(served)), float64(least*len(p.hosts)) / float64(served)
}

// Guards against engines that receive more requests from all hosts together than the limit that they name.
// Pattern: seven of ten engines, or all of them, name half of their usual rate; each host is unaware of a quarter of the others.
func TestRequestLimitHoldsOverAllHosts(t *testing.T) {
	for _, size := range []struct{ hosts, dataCentres, engines int }{{7, 4, 9}, {90, 4, 60}, {295, 6, 160}} {
		for _, unaware := range []float64{0, 0.25} {
			for _, share := range []float64{0.7, 1} {
				t.Run(fmt.Sprintf("%d hosts, unaware %.2f, limited %.1f", size.hosts, unaware, share), func(t *testing.T) {
					if testing.Short() && size.hosts > 90 && (unaware == 0 || share == 1) {
						t.Skip("takes a minute with the race detector")
					}
					t.Parallel()
					is := is.New(t)
					p := newLimitedPool(size.hosts, size.dataCentres, size.engines, unaware, 1)
					p.run(share)
					told, all := p.worstWindow(true), p.worstWindow(false)
					refused, leastServed := p.refusedShare()
					t.Logf("worst window %.2f of what is allowed by hosts that were told, %.2f by all; %.2f of the limits used; %.3f refused; least host %.2f of the mean",
						told, all, p.limitUse(), refused, leastServed)
					is.True(told <= 1)
					is.True(all <= 1)
					is.True(p.limitUse() >= minLimitUse)
					is.True(leastServed >= minHostShare)
					is.True(share == 1 || refused <= maxRefused)
				})
			}
		}
	}
}

// leavingSettled is the time after which no host sends to an engine that leaves, also those that heard of it from others.
// Deployments allow two to four seconds to hosts that the engine itself told.
const leavingSettled = 4 * time.Second

// Guards against requests to an upstream that says in its answers that it leaves, from hosts that it told, and from hosts
// that can only learn of it from others since the store does not say so.
func TestLeavingUpstreamIsLeftByAllHosts(t *testing.T) {
	for _, size := range []struct{ hosts, dataCentres, engines int }{{7, 4, 9}, {90, 4, 60}, {295, 6, 160}} {
		t.Run(fmt.Sprintf("%d hosts", size.hosts), func(t *testing.T) {
			if testing.Short() && size.hosts > 90 {
				t.Skip("takes a minute with the race detector")
			}
			t.Parallel()
			p := newLimitedPool(size.hosts, size.dataCentres, size.engines, 0, 1)
			p.after(limitStart, func() {
				for _, u := range p.snap.Upstreams["s"][:size.engines/4] {
					p.leaving[u.ID] = true
				}
			})
			p.run(0)
			late, untold := 0, 0
			for engine := range p.leaving {
				for _, a := range p.received[engine] {
					if told, ok := p.told[a.host][engine]; ok && a.at.After(told) {
						late++
					}
					if a.at.Sub(p.start) > limitStart+leavingSettled {
						untold++
					}
				}
			}
			refused, _ := p.refusedShare()
			t.Logf("%d requests from hosts that were told, %d from others after %s, %.3f refused", late, untold, leavingSettled, refused)
			is := is.New(t)
			is.Equal(late, 0)
			is.Equal(untold, 0)
			is.True(refused <= maxRefused)
		})
	}
}
