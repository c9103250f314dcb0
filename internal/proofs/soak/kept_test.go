package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/orioleusher/orioleusher/internal/testfleet"
)

var (
	firstKeptSeed = flag.Uint64("soak.kept.seed", 1, "first seed of the runs with callers that keep connections")
	keptLength    = flag.Duration("soak.kept.length", 15*time.Second, "least length of each run with callers that keep connections")
	keptRouters   = flag.Int("soak.kept.routers", 4, "number of routers of the runs with callers that keep connections")
)

const (
	callersPerRouter = 16
	// keyPeriod is how often each team gets a new key.
	keyPeriod = 6 * time.Second
	// connectInStop is how long after SIGTERM callers still open connections, and drainTime how long routers take requests.
	connectInStop = 700 * time.Millisecond
	drainTime     = time.Second
	hangupPeriod  = 1700 * time.Millisecond
)

// routerState is what callers learn from the readiness check of a router.
type routerState struct {
	down         bool
	stoppingFrom time.Time
}

// keptRun is a run in which callers keep connections and follow the limits of the configurations.
type keptRun struct {
	*soakRun
	limits limitHistory
	began  time.Time

	mu       sync.Mutex
	states   []routerState
	requests []keptRequest
	kills    []disturbance
	drains   []disturbance
}

// Guards against requests on kept connections that end without a response though their callers keep to the limits of all
// configurations that may be in force, while configurations change, routers are stopped, killed and stand still.
func TestKeptConnectionsAndHeadsInParts(t *testing.T) {
	for i := range *seeds {
		seed := *firstKeptSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runKept(t, seed) })
	}
}

func runKept(t *testing.T, seed uint64) {
	fleet := smallFleet
	fleet.hosts = slices.Repeat([]string{"z"}, *keptRouters)
	fleet.servers = slices.Concat(specs(serverSpec{service: "s", slots: 16}, "zzz"), specs(serverSpec{service: "other", slots: 16}, "zzz"))
	fleet.services = []map[string]any{{"name": "s", "health_path": healthPath, "max_connections": 400}, {"name": "other", "max_connections": 400}}
	fleet.unproxied = true
	k := &keptRun{soakRun: startFleet(t, fleet, seed, 0), began: time.Now(), states: make([]routerState, *keptRouters)}
	// The configuration of startFleet allows callers less time than all others.
	k.limits.publish(connLimits{idle: 5 * time.Second, header: 5 * time.Second, timeout: requestTimeout}, k.began)
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { k.publishHeartbeats(stop) })
	background.Go(func() { k.changeLimits(rand.New(rand.NewPCG(seed, 3)), stop) })
	background.Go(func() { k.repeat(stop, hangupPeriod, k.hangUp) })
	background.Go(func() {
		k.repeat(stop, hangupPeriod, func() { k.stall(k.servers.list[k.randomInt(len(k.servers.list))]) })
	})
	time.Sleep(configLimit) // the first configuration with the routes of these callers is in force
	var callers sync.WaitGroup
	enough := make(chan struct{})
	for n := range *keptRouters * callersPerRouter {
		c := &keptCaller{run: k, rand: rand.New(rand.NewPCG(seed, uint64(100+n))), name: fmt.Sprint(n), stop: enough}
		callers.Go(c.send)
	}
	k.disturbRouters(time.Now().Add(*keptLength))
	close(enough)
	callers.Wait()
	close(stop)
	background.Wait()
	testfleet.Eventually(t, 5*time.Second, "all servers are done", k.servers.idle)
	for _, r := range k.requests {
		k.clients.record(r.call)
	}
	k.checkResults()
	k.checkKept()
}

// repeat calls the function in intervals until the run is stopped.
func (k *keptRun) repeat(stop <-chan struct{}, interval time.Duration, call func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
			call()
		}
	}
}

// changeLimits publishes configurations. Each changes some of the limits and of the routes.
func (k *keptRun) changeLimits(r *rand.Rand, stop <-chan struct{}) {
	milliseconds := func(least, most int) time.Duration {
		return time.Duration(least+r.IntN(most-least+1)) * time.Millisecond
	}
	limits := connLimits{idle: 5 * time.Second, header: 5 * time.Second, timeout: 3 * time.Second}
	for {
		switch r.IntN(6) {
		case 0:
			limits.idle = milliseconds(700, 15000)
		case 1:
			limits.idle = milliseconds(700, 2500)
		case 2:
			limits.header = milliseconds(500, 6000)
		case 3:
			limits.timeout = milliseconds(1500, 6000)
		}
		k.publish(r, limits)
		select {
		case <-stop:
			return
		case <-time.After(milliseconds(50, 1500)):
		}
	}
}

func (k *keptRun) publish(r *rand.Rand, l connLimits) {
	k.version++
	var published []map[string]any
	for _, path := range keptPaths {
		shape := routes[path]
		published = append(published, map[string]any{
			"name": path[1 : len(path)-1], "host": "soak.example", "prefix": path, "kind": shape.kind,
			"service": []string{"s", "other"}[r.IntN(2)], "timeout_ms": l.timeout.Milliseconds(),
			"target_latency_ms": shape.objective.Milliseconds(), "max_attempts": shape.attempts,
			"resume_streams": shape.events > 0 && r.IntN(2) == 0, "gap_aim_ms": shape.gap.Milliseconds(),
		})
	}
	var tenants []map[string]any
	for n := range teams {
		team := fmt.Sprintf("t%d", n)
		var keys []string
		for period := k.keyPeriod() - 2; period <= k.keyPeriod()+1; period++ {
			keys = append(keys, keyOf(team, period))
		}
		tenants = append(tenants, map[string]any{"name": team, "api_keys": keys})
	}
	k.limits.publish(l, time.Now())
	k.store.Put("op/config", map[string]any{
		"version": k.version, "tenants": tenants, "routes": published, "services": k.fleet.services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
			"idle_timeout_ms": l.idle.Milliseconds(), "header_timeout_ms": l.header.Milliseconds(),
		},
	})
}

func (k *keptRun) keyPeriod() int { return int(time.Since(k.began) / keyPeriod) }

func keyOf(team string, period int) string { return fmt.Sprintf("key-%d-%s", period, team) }

// key returns the key that a caller uses at present. All configurations that may be in force have it.
func (k *keptRun) key(team string) string { return keyOf(team, k.keyPeriod()) }

// pickRouter returns the address of a router that takes connections.
func (k *keptRun) pickRouter(r *rand.Rand) (address string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, n := range r.Perm(len(k.states)) {
		s := k.states[n]
		if !s.down && (s.stoppingFrom.IsZero() || time.Since(s.stoppingFrom) < connectInStop) {
			return routerIP(n) + ":8080", true
		}
	}
	return "", false
}

func (k *keptRun) setState(n int, s routerState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.states[n] = s
}

func (k *keptRun) record(r keptRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requests = append(k.requests, r)
}

// hangUp sends SIGHUP to half of the routers.
func (k *keptRun) hangUp() {
	for n, p := range k.routers {
		k.mu.Lock()
		up := !k.states[n].down && k.states[n].stoppingFrom.IsZero()
		k.mu.Unlock()
		if up && k.randomInt(2) == 0 {
			p.Signal(syscall.SIGHUP)
		}
	}
}

// disturbRouters runs each action on the routers, and then random ones until the end.
func (k *keptRun) disturbRouters(end time.Time) {
	actions := []func(){k.stopInTurn, k.pauseRouter, k.killAndRestartAll, k.idle}
	for _, action := range actions {
		k.sleepRandom(500, 1000)
		action()
	}
	for time.Now().Before(end) {
		k.sleepRandom(500, 2000)
		actions[k.randomInt(len(actions))]()
	}
}

// stopInTurn stops and restarts all routers as planned. Stops overlap with restarts and other stops, of half of the routers
// at most.
func (k *keptRun) stopInTurn() {
	places := make(chan struct{}, max(1, len(k.routers)/2))
	var wg sync.WaitGroup
	for n := range k.routers {
		places <- struct{}{}
		wg.Go(func() {
			k.stopAndRestart(n)
			<-places
		})
		k.sleepRandom(100, 1200)
	}
	wg.Wait()
}

func (k *keptRun) stopAndRestart(n int) {
	stopped := time.Now()
	k.setState(n, routerState{stoppingFrom: stopped})
	if code := k.routers[n].Stop(); code != 0 {
		k.t.Errorf("router %d ended with code %d", n, code)
	}
	k.mu.Lock()
	k.drains = append(k.drains, disturbance{router: routerIP(n), from: stopped.Add(drainTime), to: time.Now()})
	k.mu.Unlock()
	k.restartDown(n)
}

// restartDown starts a router that has ended.
func (k *keptRun) restartDown(n int) {
	k.setState(n, routerState{down: true})
	k.routers[n].Restart()
	k.waitReady(n)
	k.setState(n, routerState{})
}

// killAndRestartAll kills all routers at the same time.
func (k *keptRun) killAndRestartAll() {
	var wg sync.WaitGroup
	for n := range k.routers {
		wg.Go(func() {
			killed := time.Now()
			k.setState(n, routerState{down: true})
			k.routers[n].Kill()
			k.mu.Lock()
			k.kills = append(k.kills, disturbance{router: routerIP(n), from: killed, to: time.Now()})
			k.mu.Unlock()
			k.restartDown(n)
		})
	}
	wg.Wait()
}

// pauseRouter makes a router stand still for about a second.
func (k *keptRun) pauseRouter() {
	p := k.routers[k.randomInt(len(k.routers))]
	p.Freeze()
	k.sleepRandom(300, 1200)
	p.Thaw()
}

// checkKept checks what the callers saw.
func (k *keptRun) checkKept() {
	check := keptCheck{limits: &k.limits, kills: k.kills, drains: k.drains, arrived: map[string]bool{}}
	for _, a := range k.servers.arrivals {
		check.arrived[a.request] = true
	}
	last := map[string]*keptRequest{}
	statuses := map[int]int{}
	var inParts, within, killed int
	for i := range k.requests {
		r := &k.requests[i]
		last[r.caller] = r
		statuses[r.status]++
		inParts += count(r.parts > 1)
		within += count(r.parts > 1 && r.withinLimits(&k.limits))
		switch fault := check.fault(r); {
		case fault != noFault:
			k.t.Errorf("a request %s: %v", fault, r)
		case r.status == 0 && check.killed(r):
			killed++
		case r.status == 0:
			k.t.Logf("a request ended without a response beyond its limits or as its connection ended: %v", r)
		}
	}
	k.t.Logf("%d requests, %d in parts, %d of them within all limits; statuses %v, %d on killed routers without a response; %d configurations",
		len(k.requests), inParts, within, statuses, killed, k.version)
	if within < 50 || 5*inParts < len(k.requests) {
		k.t.Errorf("only %d of %d requests were sent in parts, %d within the limits", inParts, len(k.requests), within)
	}
	k.checkHeadEvents(&check, last)
}

// checkHeadEvents checks that no router gave up a head that arrived within the limits.
func (k *keptRun) checkHeadEvents(check *keptCheck, last map[string]*keptRequest) {
	events := map[string]int{}
	for _, p := range k.routers {
		log, err := os.ReadFile(p.LogPath)
		if err != nil {
			k.t.Fatal(err)
		}
		for _, e := range headEvents(string(log)) {
			events[e.event+" "+e.cause]++
			if r := check.givenUp(e, last); r != nil {
				k.t.Errorf("%s gave up the head of %v: %s", p.Name, r, e.line)
			}
		}
	}
	k.t.Logf("events of connections: %v", events)
}
