package fleet

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/loadshare"
	"github.com/orioleusher/orioleusher/internal/promptblame"
	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/quarantine"
)

// surge is a fleet that sends prompts to engines while some teams send many times their usual rate. Its hosts use the
// real balance tables and gossip; time is virtual and there is no network.
type surge struct {
	*simulation
	rand    *rand.Rand
	hosts   []*surgeHost
	byName  map[string]*surgeHost
	snap    *catalog.Snapshot
	running map[string]int
	total   int
	// rate is the usual number of requests per second for each engine.
	rate float64
	// silentUntil is when an engine that stands still goes on.
	silentUntil map[string]time.Time
	// arrivals and overfull count, by second, the requests that reached an engine, and those that reached one beyond
	// the bound.
	arrivals, overfull map[int]int
	// first counts the requests that went to the engine that the prompt alone chooses.
	first int
	// datagrams counts the datagrams with observed loads.
	datagrams int
	keys      []surgeKey
	// usual and surging are the cumulative weights of the keys.
	usual, surging []float64
}

type surgeHost struct {
	*Fleet
	table  *balance.Table
	sharer *loadshare.Sharer
}

// surgeKey is a shared prompt prefix.
type surgeKey struct {
	hash     uint64
	weight   float64
	duration time.Duration
	hot      bool
}

const (
	surgeEngines = 160
	// surgeRate is the usual number of requests per second for each engine.
	surgeRate     = 7.4
	surgeStart    = 3 * time.Second
	surgeEnd      = 9 * time.Second
	surgeLength   = 11 * time.Second
	surgeFactor   = 20
	responseDelay = 60 * time.Millisecond
	// eventInterval is the time between two events of a stream.
	eventInterval = 100 * time.Millisecond
	// Requests may reach an engine beyond surgeBoundFactor times the mean load plus surgeBoundSlack only rarely.
	surgeBoundFactor = 2
	surgeBoundSlack  = 3
	surgeWindow      = 5 // seconds
	minOverfull      = 20
	maxOverfull      = 0.03
	// stallPause is the time between two stalls of engines.
	stallPause = 200 * time.Millisecond
)

// newSurge returns a fleet whose hosts know each other.
func newSurge(hosts, dataCentres, engines int, seed uint64) *surge {
	s := &surge{
		simulation: newSimulation(), rand: rand.New(rand.NewPCG(seed, 0)), byName: map[string]*surgeHost{},
		rate: surgeRate, silentUntil: map[string]time.Time{}, running: map[string]int{}, arrivals: map[int]int{}, overfull: map[int]int{},
		snap: &catalog.Snapshot{DisabledDataCentres: map[string]bool{}, Upstreams: map[string][]*catalog.Upstream{}, Config: &catalog.Config{Routes: []catalog.Route{
			{LatencyObjective: 600 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, WeightedServices: []catalog.WeightedService{{Service: "s", Weight: 1}}},
		}}},
	}
	for i := range engines {
		s.snap.Upstreams["s"] = append(s.snap.Upstreams["s"], &catalog.Upstream{
			ID: fmt.Sprintf("e%d", i), Service: "s", Address: fmt.Sprintf("10.1.0.%d:1", i), Slots: 32, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres),
		})
	}
	for i := range hosts {
		dc := fmt.Sprintf("dc-%d", i%dataCentres)
		table := balance.NewTable(dc, s.clock, zerolog.Nop())
		h := &surgeHost{table: table, Fleet: New(Options{
			Self: fmt.Sprintf("10.0.%d.%d:9", i/200, i%200), Incarnation: uint64(i + 1), MinHosts: 2 * dataCentres, GossipInterval: time.Second,
			DataCentre: dc, Mirror: published.NewMirror(published.MirrorOptions{Clock: s.clock, OnChange: func([]published.Item) {}}),
			Store: &fakeStore{reading: true}, Loads: table,
			Crashes: quarantine.NewTable(quarantine.Limits{CrashThreshold: 2, Lifetime: time.Minute}, s.clock, nil), Clock: s.clock,
			Prompts: promptblame.NewTable(uint64(i+1), s.clock, zerolog.Nop()),
			Rand:    rand.New(rand.NewPCG(seed, uint64(i))), Log: zerolog.Nop(), Scope: tally.NoopScope,
		})}
		h.sharer = loadshare.New(loadshare.Options{Loads: table, Peers: h.Fleet, Clock: s.clock, Scope: tally.NoopScope})
		s.hosts = append(s.hosts, h)
		s.byName[h.Self] = h
	}
	for _, h := range s.hosts {
		for _, other := range s.hosts {
			if h != other {
				h.members[other.Self] = &member{incarnation: other.Incarnation, dataCentreHash: other.dataCentreHash, lastSeen: s.start}
			}
		}
		s.gossip(h, s.upTo(time.Second))
		s.share(h, h.LocalPeers(), s.upTo(shareInterval))
	}
	s.addKeys()
	s.weighKeys(surgeFactor)
	return s
}

// upTo returns a random duration.
func (s *surge) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.rand.Float64() * float64(limit))
}

// addKeys adds the prompts of three kinds of requests: few long ones, others, and many short ones. The teams that surge
// send one in twenty requests otherwise.
func (s *surge) addKeys() {
	for _, class := range []struct {
		keys     int
		share    float64
		duration time.Duration
	}{{947, 0.235, 1300 * time.Millisecond}, {497, 0.277, 950 * time.Millisecond}, {872, 0.488, 120 * time.Millisecond}} {
		var sum float64
		for i := range class.keys {
			sum += math.Pow(float64(i+1), -0.3)
		}
		for i := range class.keys {
			w := class.share * math.Pow(float64(i+1), -0.3) / sum
			k := surgeKey{hash: s.rand.Uint64(), weight: w, duration: class.duration, hot: s.rand.Float64() < 0.05}
			s.keys = append(s.keys, k)
		}
	}
}

// weighKeys sets the weights of the keys, with hot keys requested more often by the factor during a surge.
func (s *surge) weighKeys(factor float64) {
	s.usual, s.surging = nil, nil
	var usual, surging float64
	for _, k := range s.keys {
		usual += k.weight
		if surging += k.weight; k.hot {
			surging += (factor - 1) * k.weight
		}
		s.usual, s.surging = append(s.usual, usual), append(s.surging, surging)
	}
}

// gossip makes the host exchange digests once per interval.
func (s *surge) gossip(h *surgeHost, in time.Duration) {
	s.after(in, func() {
		if other := s.byName[h.pickTarget()]; other != nil {
			reply, err := other.Exchange(context.Background(), h.digest(other.dataCentreHash, unknownMembers))
			if err != nil {
				panic(err) // Exchange calls no other host
			}
			h.merge(reply)
		}
		s.gossip(h, h.GossipInterval)
	})
}

// shareInterval is the time between two datagrams of a host with observed loads.
const shareInterval = 100 * time.Millisecond

// share makes the host send its observed loads to its peers once per interval.
func (s *surge) share(h *surgeHost, peers []string, in time.Duration) {
	s.after(in, func() {
		datagram, err := h.sharer.Datagram()
		if datagram != nil {
			s.datagrams += len(peers)
		}
		for _, peer := range peers {
			if err == nil && datagram != nil && s.rand.IntN(100) > 0 { // one in a hundred is lost
				err = s.byName[peer].sharer.Merge(datagram)
			}
		}
		if err != nil {
			panic(err)
		}
		s.share(h, peers, shareInterval)
	})
}

// run plays the surge.
func (s *surge) run() {
	s.arrive()
	s.runFor(surgeLength)
}

// arrive sends one request and schedules the next.
func (s *surge) arrive() {
	elapsed := s.clock.Since(s.start)
	weights := s.usual
	if elapsed >= surgeStart && elapsed < surgeEnd {
		weights = s.surging
	}
	sum := weights[len(weights)-1]
	rate := s.rate * float64(len(s.snap.Upstreams["s"])) * sum
	point := s.rand.Float64() * sum
	s.send(s.hosts[s.rand.IntN(len(s.hosts))], s.keys[sort.SearchFloat64s(weights, point)])
	s.after(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), s.arrive)
}

// send sends a request to the engine that the host chooses.
func (s *surge) send(h *surgeHost, k surgeKey) {
	u := h.table.Order(s.snap, "s", balance.Criteria{Engine: true, AffinityHash: k.hash})[0].Upstream
	if s.preferred(k.hash) == u.ID {
		s.first++
	}
	second := int(s.clock.Since(s.start) / time.Second)
	s.arrivals[second]++
	if float64(s.running[u.ID]) > surgeBoundFactor*float64(s.total)/float64(len(s.snap.Upstreams["s"]))+surgeBoundSlack {
		s.overfull[second]++
	}
	s.running[u.ID]++
	s.total++
	h.table.RecordRequestStart(u.Key())
	s.work(u, responseDelay, func() {
		h.table.RecordResponseStart(u)
		h.table.RecordLoad(u.Key(), s.running[u.ID])
		s.stream(h, u, k.duration-responseDelay)
	})
}

// stream makes the engine send the events of a response and then end it.
func (s *surge) stream(h *surgeHost, u *catalog.Upstream, left time.Duration) {
	step := min(eventInterval, left)
	s.work(u, step, func() {
		h.table.RecordData(u)
		if left > step {
			s.stream(h, u, left-step)
			return
		}
		s.running[u.ID]--
		s.total--
		h.table.RecordRequestEnd(u.Key())
	})
}

// work schedules what the engine does after a time, or when it goes on if it stands still then.
func (s *surge) work(u *catalog.Upstream, d time.Duration, do func()) {
	s.after(d, func() {
		if wait := s.silentUntil[u.ID].Sub(s.clock.Now()); wait > 0 {
			s.after(wait, do)
			return
		}
		do()
	})
}

// stall makes some engines at a time stand still for a random time, with pauses in between.
func (s *surge) stall(count int, shortest, longest time.Duration) {
	engines := s.snap.Upstreams["s"]
	for _, i := range s.rand.Perm(len(engines))[:count] {
		s.silentUntil[engines[i].ID] = s.clock.Now().Add(shortest + s.upTo(longest-shortest))
	}
	s.after(longest+stallPause, func() { s.stall(count, shortest, longest) })
}

// preferred returns the engine that the prompt alone chooses.
func (s *surge) preferred(key uint64) string {
	best, bestScore := "", uint64(0)
	for _, u := range s.snap.Upstreams["s"] {
		if score := loadbalancer.ScoreHashed(key, loadbalancer.HashKey(u.ID)); best == "" || score > bestScore {
			best, bestScore = u.ID, score
		}
	}
	return best
}

// worstWindow returns the largest share of requests beyond the bound in any window of the bound.
func (s *surge) worstWindow() float64 {
	worst := 0.0
	for from := range s.arrivals {
		all, over := s.window(from)
		worst = max(worst, float64(over)/float64(max(all, 1)))
	}
	return worst
}

// window returns the requests of a window of the bound, and those of them beyond it.
func (s *surge) window(from int) (all, over int) {
	for second := from; second < from+surgeWindow; second++ {
		all += s.arrivals[second]
		over += s.overfull[second]
	}
	return all, over
}

// breaksBound reports whether too many requests reached engines beyond the bound in some window.
func (s *surge) breaksBound() bool {
	for from := range s.arrivals {
		if all, over := s.window(from); over >= minOverfull && float64(over) > maxOverfull*float64(all) {
			return true
		}
	}
	return false
}

// Pattern: teams that send twenty times their usual, in fleets in which each host sees few of an engine's requests.
func TestLoadBoundHoldsWhenTeamsSurge(t *testing.T) {
	for _, tt := range []struct{ hosts, dataCentres int }{{7, 3}, {30, 6}, {295, 6}, {300, 6}, {1000, 17}} {
		t.Run(fmt.Sprintf("%d hosts", tt.hosts), func(t *testing.T) {
			if testing.Short() && tt.hosts > 295 {
				t.Skip("takes half a minute")
			}
			t.Parallel()
			s := newSurge(tt.hosts, tt.dataCentres, surgeEngines, 1)
			s.run()
			all := 0
			for _, n := range s.arrivals {
				all += n
			}
			t.Logf("worst window %.4f, at the preferred engine %.3f, %d datagrams a second by a host, beyond the bound by second %v", s.worstWindow(),
				float64(s.first)/float64(all), s.datagrams/tt.hosts/int(surgeLength/time.Second), s.overfull)
			is.New(t).True(s.worstWindow() <= maxOverfull)
		})
	}
}

// Guards against requests that pile up at engines that stand still for a second and cannot tell their load meanwhile.
func TestLoadBoundHoldsWhileEnginesStandStill(t *testing.T) {
	for _, tt := range []struct {
		hosts, dataCentres, engines, stalled int
		rate, factor                         float64
		seeds                                uint64
	}{
		{6, 4, 9, 1, 15.5, 1, 10}, {6, 4, 9, 1, 8.7, 5, 10}, {6, 4, 9, 3, 8.7, 1, 10}, {7, 4, 9, 2, 15.5, 20, 10},
		{80, 5, 60, 6, 8.4, 5, 2}, {295, 6, 160, 16, 7.4, 5, 1},
	} {
		for seed := range tt.seeds {
			t.Run(fmt.Sprintf("%d hosts, %d of %d engines, %v a second, surge %v, seed %d", tt.hosts, tt.stalled, tt.engines, tt.rate, tt.factor, seed), func(t *testing.T) {
				t.Parallel()
				s := newSurge(tt.hosts, tt.dataCentres, tt.engines, seed)
				s.rate = tt.rate
				s.weighKeys(tt.factor)
				s.after(time.Second, func() { s.stall(tt.stalled, 700*time.Millisecond, 1900*time.Millisecond) })
				s.run()
				t.Logf("worst window %.4f, beyond the bound by second %v", s.worstWindow(), s.overfull)
				is.New(t).True(!s.breaksBound())
			})
		}
	}
}
