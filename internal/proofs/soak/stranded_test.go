package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/orioleusher/orioleusher/internal/testfleet"
)

var (
	firstStrandedSeed  = flag.Uint64("soak.stranded.seed", 1, "first seed of the runs with routers that are cut off from servers")
	strandedSeeds      = flag.Int("soak.stranded.seeds", 1, "number of seeds of the runs with routers that are cut off from servers")
	strandedLength     = flag.Duration("soak.stranded.length", 7*time.Second, "length of the cut of each run with routers that are cut off")
	strandedPlayLength = flag.Duration("soak.stranded.play", 30*time.Second, "length of the soak with routers that are cut off")
	strandedStreams    = flag.Float64("soak.stranded.streams", 60, "streams a second of the runs with routers that are cut off")
)

const (
	// beforeStrand and afterHeal are how long clients send before and after a cut. What a partition has kept in the kernel of a
	// router arrives by then.
	beforeStrand = 1500 * time.Millisecond
	afterHeal    = 7 * time.Second
	// flapPeriod is how long cuts that come and go last, and how long they are away.
	flapPeriod, flaps = time.Second, 3
	// inStrand is the time after the cut at which something else happens.
	inStrand = 3500 * time.Millisecond
	// surgeNumber is the number of the first request of a surge.
	surgeNumber = 1 << 20
)

// strandedPlay is a run in which routers are cut off from servers while clients, the store and the other routers reach them.
type strandedPlay struct {
	name string
	how  testfleet.Cut
	// zone is the data centre whose routers are cut off; if it is empty, most of all are.
	zone string
	// all is set if the routers of all data centres are cut off.
	all bool
	// left is the number of servers that the routers still reach.
	left int
	// twice is set if the cut lasts twice as long.
	twice bool
	// flaps is set if shorter cuts come first.
	flaps bool
	// meanwhile happens during the cut.
	meanwhile func(*soakRun)
	long      bool
}

const mostRouters = 4

var strandedPlays = []strandedPlay{
	{name: "most, no answer", how: testfleet.CutDrop},
	{name: "most, another router killed", how: testfleet.CutDrop, meanwhile: (*soakRun).killServing},
	{name: "data centre, no answer", how: testfleet.CutDrop, zone: "a", long: true},
	{name: "most, refused", how: testfleet.CutReject, long: true},
	{name: "data centre, refused", how: testfleet.CutReject, zone: "a", long: true},
	{name: "most, open connections live on", how: testfleet.CutNew, long: true},
	{name: "most, all servers but one", how: testfleet.CutDrop, left: 1, long: true},
	{name: "most, coming and going", how: testfleet.CutDrop, flaps: true, long: true},
	{name: "most, refused, coming and going", how: testfleet.CutReject, flaps: true, long: true},
	{name: "most, another router stands still", how: testfleet.CutDrop, meanwhile: (*soakRun).freezeServing, long: true},
	{name: "most, another router stopped", how: testfleet.CutDrop, meanwhile: (*soakRun).stopServing, long: true},
	{name: "most, a router that is cut off restarts", how: testfleet.CutDrop, meanwhile: (*soakRun).killStranded, twice: true, long: true},
	{name: "most, all routers stopped in turn", how: testfleet.CutDrop, meanwhile: (*soakRun).stopAllInTurn, twice: true, long: true},
	{name: "all, no answer", how: testfleet.CutDrop, all: true, long: true},
	{name: "most, servers in need", how: testfleet.CutDrop, meanwhile: (*soakRun).needServers, long: true},
	{name: "most, surge", how: testfleet.CutDrop, meanwhile: (*soakRun).surge, long: true},
}

// deafPlays are cuts behind something that accepts connections in the servers' place.
var deafPlays = []strandedPlay{
	{name: "most, accepted and closed", how: testfleet.CutRefuse, long: true},
	{name: "most, accepted and silent", how: testfleet.CutBlackhole, long: true},
}

// Guards against routers that serve nothing while they are cut off from all servers, although other routers reach both, and
// against requests that run twice, or after they have been refused, because of what a cut keeps and delivers later.
func TestRoutersCutOffFromServers(t *testing.T) { runStranded(t, strandedPlays) }

// Guards against routers that take a connection that something between them and the server accepts for one to the server.
func TestRoutersCutOffBehindOpenPorts(t *testing.T) { runStranded(t, deafPlays) }

func runStranded(t *testing.T, plays []strandedPlay) {
	for i := range *strandedSeeds {
		seed := *firstStrandedSeed + uint64(i)
		for _, play := range plays {
			if play.long && testing.Short() {
				continue
			}
			t.Run(fmt.Sprintf("seed %d, %s", seed, play.name), func(t *testing.T) { play.run(t, seed) })
		}
	}
}

func (p strandedPlay) run(t *testing.T, seed uint64) {
	fleet := largeFleet
	fleet.unproxied = false
	f := startFleet(t, fleet, seed, 0)
	f.servers.mu.Lock()
	f.servers.firstEvent, f.servers.eventInterval = 62*time.Millisecond, 15*time.Millisecond
	f.servers.mu.Unlock()
	f.clients.dropShare = 0.15
	stop := make(chan struct{})
	var background, play sync.WaitGroup
	background.Go(func() { f.publishHeartbeats(stop) })
	length := beforeStrand + p.length() + afterHeal
	if p.flaps {
		length += 2 * flaps * flapPeriod
	}
	play.Go(func() { f.sendMix(rand.New(rand.NewPCG(seed, 2)), 0, *strandedStreams, time.Now().Add(length)) })
	play.Go(f.rotateKey)
	time.Sleep(beforeStrand)
	healed := p.strand(f)
	play.Wait()
	healed.to = time.Now()
	close(stop)
	background.Wait()
	testfleet.Eventually(t, 5*time.Second, "all servers are done", f.servers.idle)
	if p.all {
		f.checkSafety()
	} else {
		f.checkResults()
	}
	f.checkStranded()
	n := countTries(f.clients.calls, healed, &f.faults)
	f.t.Logf("after the cut: %v", n)
	if n.broken() || p.all && n.cut.share() < servedShare {
		f.t.Errorf("after the cut only %v", n)
	}
}

// checkSafety checks all promises but how many requests are served.
func (f *soakRun) checkSafety() {
	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	f.checkMemory()
	f.checkPromises()
}

// length returns the length of the cut.
func (p strandedPlay) length() time.Duration {
	if p.twice {
		return 2 * *strandedLength
	}
	return *strandedLength
}

// strand cuts routers off and heals the cut. It returns the period that begins then.
func (p strandedPlay) strand(f *soakRun) (healed strand) {
	chosen := p.chooseRouters(f)
	if p.flaps {
		for range flaps {
			f.cutOff(p.how, p.left, chosen, flapPeriod)
			time.Sleep(flapPeriod)
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(inStrand)
		f.drainServer()
	})
	if p.meanwhile != nil {
		wg.Go(func() {
			time.Sleep(inStrand)
			p.meanwhile(f)
		})
	}
	f.cutOff(p.how, p.left, chosen, p.length())
	healed = strand{routers: routerIPs(chosen), from: time.Now()}
	wg.Wait()
	return healed
}

func routerIPs(routers []int) (ips []string) {
	for _, n := range routers {
		ips = append(ips, routerIP(n))
	}
	return ips
}

// chooseRouters draws the routers that are cut off.
func (p strandedPlay) chooseRouters(f *soakRun) (chosen []int) {
	if p.zone == "" && !p.all {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.rand.Perm(len(f.routers))[:mostRouters]
	}
	for n, zone := range f.fleet.hosts {
		if p.all || zone == p.zone {
			chosen = append(chosen, n)
		}
	}
	return chosen
}

// cutOff cuts the routers off from all servers but the first few for a while.
func (f *soakRun) cutOff(how testfleet.Cut, left int, chosen []int, length time.Duration) {
	s := strand{routers: routerIPs(chosen), fromAll: left == 0, from: time.Now()}
	for _, router := range s.routers {
		for n := left; n < len(f.servers.list); n++ {
			f.network.Cut(router, serverIP(n), how)
		}
	}
	f.mu.Lock()
	f.stranded = s.routers
	f.mu.Unlock()
	time.Sleep(length)
	s.to = time.Now()
	f.network.Heal()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults.strands = append(f.faults.strands, s)
}

// Plays the soak with one more action: some or all of the routers are cut off from all servers. Callers reuse open connections to
// a router until its process is gone.
func TestSoakWithRoutersCutOffFromServers(t *testing.T) {
	if testing.Short() {
		t.Skip("takes as long as -soak.stranded.play")
	}
	for i := range *strandedSeeds {
		seed := *firstStrandedSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runFaults(t, seed, *strandedPlayLength, (*soakRun).strandSome).checkStranded()
		})
	}
}

// strandSome cuts some or all of the routers off from all servers.
func (f *soakRun) strandSome() {
	f.mu.Lock()
	chosen := f.rand.Perm(len(f.routers))[:1+f.rand.IntN(len(f.routers))]
	f.mu.Unlock()
	how := []testfleet.Cut{testfleet.CutDrop, testfleet.CutNew, testfleet.CutReject}[f.randomInt(3)]
	length := time.Duration(500+f.randomInt(7500)) * time.Millisecond
	f.cutOff(how, 0, chosen, length)
}

// servingRouter draws a router that reaches servers.
func (f *soakRun) servingRouter() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		if n := f.rand.IntN(len(f.routers)); !slices.Contains(f.stranded, routerIP(n)) {
			return n
		}
	}
}

func (f *soakRun) killServing() { f.killRouter(f.servingRouter()) }

// killStranded kills a router that is cut off. It starts without any connection to a server.
func (f *soakRun) killStranded() {
	f.mu.Lock()
	n := 0
	for !slices.Contains(f.stranded, routerIP(n)) {
		n++
	}
	f.mu.Unlock()
	f.killRouter(n)
}

func (f *soakRun) killRouter(n int) {
	defer f.disturb(routerIP(n))()
	f.routers[n].Kill()
	f.sleepRandom(100, 500)
	f.routers[n].Restart()
	f.waitReady(n)
}

func (f *soakRun) freezeServing() {
	n := f.servingRouter()
	d := disturbance{router: routerIP(n), from: time.Now(), frozen: true}
	f.routers[n].Freeze()
	f.sleepRandom(1000, 2500)
	f.routers[n].Thaw()
	f.addDisturbance(d)
}

func (f *soakRun) stopServing() { f.stopRouter(f.servingRouter()) }

func (f *soakRun) stopAllInTurn() {
	for n := range f.routers {
		f.stopRouter(n)
	}
}

func (f *soakRun) stopRouter(n int) {
	defer f.disturb(routerIP(n))()
	f.routers[n].Stop()
	f.routers[n].Restart()
	f.waitReady(n)
}

// surge sends as much again as the mix for a while.
func (f *soakRun) surge() {
	f.sendMix(rand.New(rand.NewPCG(uint64(f.randomInt(surgeNumber)), 3)), surgeNumber, *strandedStreams, time.Now().Add(inStrand))
}

// needServers makes servers name limits, refuse for a time and say that they leave.
func (f *soakRun) needServers() {
	var wg sync.WaitGroup
	for _, need := range []func(){f.limitServer, f.pauseServer, f.leaveUnpublished} {
		wg.Go(need)
	}
	wg.Wait()
}

// checkStranded checks what clients and servers observed while routers were cut off.
func (f *soakRun) checkStranded() {
	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	calls, runs := f.clients.calls, f.servers.arrivals
	for _, s := range f.faults.strands {
		f.t.Logf("cut for %v: %v", s.to.Sub(s.from).Round(time.Millisecond), countTries(calls, s, &f.faults))
	}
	for _, violation := range strandedViolations(calls, runs, &f.faults) {
		f.t.Error(violation)
	}
	worked, dropped := droppedStreams(calls, runs, &f.faults, f.servers.eventInterval)
	if float64(worked) > goneShare*float64(dropped) {
		f.t.Errorf("servers were at work on %d of %d streams over %v after their clients had closed", worked, dropped, closeLimit)
	}
	bad, _ := badDeadlines(calls, runs)
	f.t.Logf("%d of %d streams worked on after their clients had closed; %d bad deadlines", worked, dropped, bad)
	statuses := map[bool]map[int]int{true: {}, false: {}}
	for i := range calls {
		if c := &calls[i]; f.faults.cutOff(c.routerIP(), c.started, c.ended) {
			statuses[true][c.status]++
		} else {
			statuses[false][c.status]++
		}
	}
	f.t.Logf("statuses at routers while they are cut off %v, else %v; %d requests ran without a response, %d arrived after it, %d overlaps, %d with too many attempts",
		statuses[true], statuses[false], len(unansweredRuns(calls, runs, &f.faults)), arrivedLate(calls, runs), len(strandedOverlaps(runs, &f.faults)), len(overAttempts(runs, &f.faults)))
}
