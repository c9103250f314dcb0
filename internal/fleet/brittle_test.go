package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

const (
	// Upstreams say that they are brittle from brittleStart to brittleEnd, and are brittle brittleSettled later.
	brittleStart   = 6 * time.Second
	brittleSettled = 3 * time.Second
	brittleEnd     = 28 * time.Second
	brittleLength  = 34 * time.Second
	// brittleRejections is the number of requests that an upstream survives to reject in a second.
	brittleRejections = 4
	// An upstream that fell over is back after brittleRestart.
	brittleRestart = 3 * time.Second
	brittleSlots   = 4
	soundQueue     = 12
	brittleWork    = 100 * time.Millisecond
	brittleTransit = 500 * time.Microsecond
	// Upstreams may fall over brittleFalls times, plus brittleFallShare times their number.
	brittleFalls     = 2
	brittleFallShare = 0.1
	// Surges multiply the rate.
	brittleSurge = 1.5
	// The requests' objective, their timeout, and how often callers try and upstreams may run them.
	brittleObjective = 600 * time.Millisecond
	brittleTimeout   = 3 * time.Second
	brittleTries     = 4
	brittleAttempts  = 2
	brittleSends     = 5
)

var errBrittleReset = errors.New("connection reset")

// brittleSurges are when a surge begins and ends.
var brittleSurges = [][2]time.Duration{{12 * time.Second, 14 * time.Second}, {20 * time.Second, 24 * time.Second}}

// brittlePool is a fleet that sends plain requests to upstreams that are brittle for a time.
type brittlePool struct {
	*limitedPool
	budgets map[*surgeHost]*allowance.RetryBudget
	servers map[string]*brittleServer
	// weights are the cumulative weights of the hosts.
	weights []float64
	// load is the usual rate of requests, as a share of what the upstreams can do. room is how many may wait at one that is brittle.
	load  float64
	room  int
	falls int
	// rejected counts what upstreams rejected, and runs what they began to run.
	rejected, runs int
	// offered and answered count the callers' requests by the second of their first try.
	offered, answered map[int]int
}

// brittleServer is an upstream that runs as many requests as it has slots.
type brittleServer struct {
	upstream         *catalog.Upstream
	running, waiting []*brittleSend
	rejectedAt       []time.Time
	down             bool
}

// brittleRequest is a request of a caller, over all its tries.
type brittleRequest struct {
	safe    bool
	startAt time.Time
	tries   int
}

// brittleTry is a try of a caller at a host.
type brittleTry struct {
	*brittleRequest
	host            *surgeHost
	tried, rejected []catalog.UpstreamKey
	sends, runs     int
	waitUntil       time.Time
}

// brittleSend is one send of a try.
type brittleSend struct {
	*brittleTry
	choice *balance.Choice
	ended  bool
}

func newBrittlePool(hosts, dataCentres, upstreams int, unaware, load float64, room int, seed uint64) *brittlePool {
	p := &brittlePool{
		limitedPool: newLimitedPool(hosts, dataCentres, upstreams, unaware, seed), budgets: map[*surgeHost]*allowance.RetryBudget{},
		servers: map[string]*brittleServer{}, load: load, room: room, offered: map[int]int{}, answered: map[int]int{},
	}
	random := rand.New(rand.NewPCG(seed, 2))
	sum := 0.0
	for _, h := range p.hosts {
		sum += 0.5 + random.Float64()
		p.weights = append(p.weights, sum)
		p.budgets[h] = allowance.NewRetryBudget(allowance.RetryLimits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}, p.views[h], p.clock)
	}
	for _, u := range p.snap.Upstreams["s"] {
		u.Slots = brittleSlots
		p.servers[u.ID] = &brittleServer{upstream: u}
	}
	return p
}

func (p *brittlePool) run() {
	p.arrive()
	p.runFor(brittleLength)
}

// arrive begins one request and schedules the next.
func (p *brittlePool) arrive() {
	elapsed := p.clock.Since(p.start)
	rate := p.load * float64(len(p.servers)*brittleSlots) / brittleWork.Seconds()
	for _, s := range brittleSurges {
		if elapsed >= s[0] && elapsed < s[1] {
			rate *= brittleSurge
		}
	}
	p.offered[int(elapsed/time.Second)]++
	p.tryAtHost(&brittleRequest{safe: p.rand.IntN(3) > 0, startAt: p.clock.Now()})
	p.after(time.Duration(p.rand.ExpFloat64()/rate*float64(time.Second)), p.arrive)
}

// tryAtHost sends the request to a host, which depends on the caller.
func (p *brittlePool) tryAtHost(r *brittleRequest) {
	r.tries++
	point := p.rand.Float64() * p.weights[len(p.weights)-1]
	i, _ := slices.BinarySearch(p.weights, point)
	h := p.hosts[i]
	p.budgets[h].RecordRequest("s")
	p.dispatch(&brittleTry{brittleRequest: r, host: h})
}

// refuse ends a try that was not executed. The caller comes back later.
func (p *brittlePool) refuse(t *brittleTry) {
	wait := 250*time.Millisecond + p.upTo(750*time.Millisecond)
	if t.tries < brittleTries && p.clock.Since(t.startAt)+wait < brittleTimeout {
		p.after(wait, func() { p.tryAtHost(t.brittleRequest) })
	}
}

// dispatch makes the host choose an upstream, for which it may wait.
func (p *brittlePool) dispatch(t *brittleTry) {
	t.waitUntil = p.clock.Now().Add(brittleObjective / 8)
	p.choose(t)
}

func (p *brittlePool) choose(t *brittleTry) {
	choice := p.selectors[t.host].Select(p.snap, "s", balance.Criteria{Tried: t.tried, Rejected: t.rejected})
	switch {
	case choice != nil:
		p.sendTo(t, choice)
	case p.clock.Now().Before(t.waitUntil):
		p.after(20*time.Millisecond, func() { p.choose(t) })
	default:
		p.refuse(t)
	}
}

// sendTo sends the request to the upstream, which may be down, run it, queue it or reject it.
func (p *brittlePool) sendTo(t *brittleTry, choice *balance.Choice) {
	u := choice.Upstream
	s, send := p.servers[u.ID], &brittleSend{brittleTry: t, choice: choice}
	t.tried = append(t.tried, u.Key())
	if s.down || s.upstream.StartedAtMs != u.StartedAtMs {
		p.after(brittleTransit, func() {
			t.host.table.RecordConnectFailure(u, errBrittleReset)
			p.release(send)
			p.retry(t, len(t.tried) < 8)
		})
		return
	}
	t.sends++
	t.host.table.RecordRequestStart(u.Key())
	p.after(brittleTransit, func() {
		switch {
		case s.down || s.upstream.StartedAtMs != u.StartedAtMs:
			p.breakOff(send)
		case len(s.running) < brittleSlots:
			p.begin(s, send)
		case len(s.waiting) < p.queueLength():
			s.waiting = append(s.waiting, send)
		default:
			p.reject(s, send)
		}
	})
}

func (p *brittlePool) saysBrittle() bool {
	elapsed := p.clock.Since(p.start)
	return elapsed >= brittleStart && elapsed < brittleEnd
}

func (p *brittlePool) isBrittle() bool {
	return p.saysBrittle() && p.clock.Since(p.start) >= brittleStart+brittleSettled
}

func (p *brittlePool) queueLength() int {
	if p.isBrittle() {
		return p.room
	}
	return soundQueue
}

// begin makes the upstream run the request.
func (p *brittlePool) begin(s *brittleServer, send *brittleSend) {
	p.runs++
	s.running = append(s.running, send)
	p.after(brittleWork*4/5+p.upTo(brittleWork*2/5), func() {
		if send.ended {
			return // the upstream fell over
		}
		send.ended = true
		s.running = slices.DeleteFunc(s.running, func(other *brittleSend) bool { return other == send })
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			p.begin(s, next)
		}
		p.respond(s, send, func() {
			t := send.brittleTry
			t.host.table.RecordOutcome(s.upstream, false)
			p.release(send)
			p.answered[int(t.startAt.Sub(p.start)/time.Second)]++
		})
	})
}

// respond makes the host receive a response, which tells the upstream's load and that it is brittle.
func (p *brittlePool) respond(s *brittleServer, send *brittleSend, then func()) {
	load, u, table := len(s.running)+len(s.waiting), send.choice.Upstream, send.host.table
	var rejections *int
	if n := brittleRejections; p.saysBrittle() {
		rejections = &n
	}
	p.after(brittleTransit, func() {
		table.RecordResponseStart(u)
		table.RecordLoad(u.Key(), load)
		table.RecordBrittle(u, rejections)
		then()
		table.RecordRequestEnd(u.Key())
	})
}

// reject makes the upstream turn the request away, and fall over if it did so too often.
func (p *brittlePool) reject(s *brittleServer, send *brittleSend) {
	p.rejected++
	now := p.clock.Now()
	s.rejectedAt = append(slices.DeleteFunc(s.rejectedAt, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	p.respond(s, send, func() {
		t := send.brittleTry
		t.host.table.MarkFull(send.choice.Key())
		t.rejected = append(t.rejected, send.choice.Key())
		p.release(send)
		p.retry(t, t.sends < brittleSends && p.budgets[t.host].TryWithdraw("s"))
	})
	if p.isBrittle() && len(s.rejectedAt) > brittleRejections {
		p.fall(s)
	}
}

// retry sends the request on, or refuses it.
func (p *brittlePool) retry(t *brittleTry, allowed bool) {
	if allowed {
		p.dispatch(t)
		return
	}
	p.refuse(t)
}

// breakOff ends a send whose connection broke. Only a safe request may be sent again.
func (p *brittlePool) breakOff(send *brittleSend) {
	if send.ended {
		return
	}
	send.ended = true
	p.after(brittleTransit, func() {
		t := send.brittleTry
		t.host.table.RecordBrokenResponse(send.choice.Upstream, errBrittleReset)
		t.host.table.RecordRequestEnd(send.choice.Key())
		p.release(send)
		t.runs++
		if t.safe && t.runs < brittleAttempts && t.sends < brittleSends && p.budgets[t.host].TryWithdraw("s") {
			p.dispatch(t)
		}
	})
}

// fall makes the upstream fall over. It comes back under its ID.
func (p *brittlePool) fall(s *brittleServer) {
	p.falls++
	s.down = true
	for _, send := range slices.Concat(s.running, s.waiting) {
		p.breakOff(send)
	}
	s.running, s.waiting, s.rejectedAt = nil, nil, nil
	p.after(brittleRestart, func() {
		next := *s.upstream
		next.StartedAtMs++
		s.down, s.upstream = false, &next
		snap := *p.snap
		snap.Upstreams = map[string][]*catalog.Upstream{"s": slices.Clone(p.snap.Upstreams["s"])}
		i := slices.IndexFunc(snap.Upstreams["s"], func(u *catalog.Upstream) bool { return u.ID == next.ID })
		snap.Upstreams["s"][i] = &next
		p.snap = &snap
	})
}

// release ends the send at its host.
func (p *brittlePool) release(send *brittleSend) { p.selectors[send.host].Finish(send.choice) }

// served returns the share of the requests of a time that were answered, in one of their tries.
func (p *brittlePool) served(from, to time.Duration) float64 {
	offered, answered := 0, 0
	for second := int(from / time.Second); second < int(to/time.Second); second++ {
		offered += p.offered[second]
		answered += p.answered[second]
	}
	return float64(answered) / float64(offered)
}

// capacity returns how many requests the upstreams can run in a time, as a share of those that were offered.
func (p *brittlePool) capacity(from, to time.Duration) float64 {
	offered := 0
	for second := int(from / time.Second); second < int(to/time.Second); second++ {
		offered += p.offered[second]
	}
	return float64(len(p.servers)*brittleSlots) * float64(to-from) / float64(brittleWork) / float64(offered)
}

// check checks the falls and logs what was served.
func (p *brittlePool) check(t *testing.T) {
	t.Helper()
	t.Logf("%d falls, %d rejections, %d runs, served at 6-9 s %.2f, 9-12 s %.2f, 12-20 s %.2f, 20-28 s %.2f, after %.2f", p.falls, p.rejected, p.runs,
		p.served(6*time.Second, 9*time.Second), p.served(9*time.Second, 12*time.Second), p.served(12*time.Second, 20*time.Second),
		p.served(20*time.Second, 28*time.Second), p.served(29*time.Second, 31*time.Second))
	is.New(t).True(float64(p.falls) <= brittleFalls+brittleFallShare*float64(len(p.servers)))
}

// checkServed checks that the upstreams are used while they are brittle.
func (p *brittlePool) checkServed(t *testing.T) {
	t.Helper()
	from, to := brittleStart+brittleSettled, brittleEnd
	is.New(t).True(p.served(from, to) >= minLimitUse*min(1, p.capacity(from, to)))
}

// Guards against upstreams that say that they are brittle and fall over again and again since the hosts together send them more
// than they have room for (LIMIT).
func TestBrittleUpstreamsDoNotFallOver(t *testing.T) {
	for _, unaware := range []float64{0, 0.25} {
		for _, load := range []float64{0.7, 1, 1.3} {
			for _, room := range []int{2, 0} {
				for seed := range uint64(3) {
					t.Run(fmt.Sprintf("unaware %.2f, load %.1f, room %d, seed %d", unaware, load, room, seed), func(t *testing.T) {
						t.Parallel()
						p := newBrittlePool(7, 4, 9, unaware, load, room, seed)
						p.run()
						p.check(t)
						p.checkServed(t)
					})
				}
			}
		}
	}
}

// Guards against the same in fleets in which each host has places at few of the upstreams, or at none.
func TestBrittleUpstreamsOfLargeFleetDoNotFallOver(t *testing.T) {
	for _, load := range []float64{0.7, 1.3} {
		for _, upstreams := range []int{60, 9} {
			t.Run(fmt.Sprintf("%d upstreams, load %.1f", upstreams, load), func(t *testing.T) {
				if testing.Short() && upstreams == 60 && load > 1 {
					t.Skip("takes a minute with the race detector")
				}
				t.Parallel()
				p := newBrittlePool(88, 5, upstreams, 0.25, load, 0, 1)
				p.run()
				p.check(t)
				if upstreams == 60 {
					p.checkServed(t)
				}
			})
		}
	}
}

// Guards against hosts of a large fleet that have no place at any upstream of a small service and refuse what the upstreams could
// do. The test above checks that these don't fall over.
func TestBrittleServiceOfFewerPlacesThanHostsIsServed(t *testing.T) {
	for _, load := range []float64{0.7, 1.3} {
		t.Run(fmt.Sprintf("load %.1f", load), func(t *testing.T) {
			t.Parallel()
			p := newBrittlePool(88, 5, 9, 0.25, load, 0, 1)
			p.run()
			p.checkServed(t)
		})
	}
}
