// Package soak runs real routers with stand-ins of the platform, the servers and the callers while it injects faults. It
// checks the promises to the users against what callers and servers observed.
package soak

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/orioleusher/orioleusher/internal/testfleet"
	"github.com/orioleusher/orioleusher/platform/standin"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed of the soak")
	seeds     = flag.Int("soak.seeds", 1, "number of seeds")
	length    = flag.Duration("soak.length", 8*time.Second, "length of the run of a seed")
	block     = flag.Int("soak.block", 60, "block of loopback addresses; runs on different blocks may run at the same time")
)

// regressions are seeds that failed earlier, with the cause. They run in addition to the seeds of the command line.
var regressions = []struct {
	seed  uint64
	cause string
}{}

const (
	routerCount = 3
	serverCount = 5
	clientCount = 8
	teams       = 3
	// routerMemoryMB is the memory of the smallest hosts.
	routerMemoryMB = 184
)

func TestSoak(t *testing.T) {
	list := []uint64{}
	for _, r := range regressions {
		list = append(list, r.seed)
	}
	for i := range *seeds {
		list = append(list, *firstSeed+uint64(i))
	}
	for _, seed := range list {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runFaults(t, seed, *length) })
	}
}

// soakRun is the state of the run of one seed.
type soakRun struct {
	t *testing.T
	// mu guards rand and faults, because two actions may run concurrently.
	mu      sync.Mutex
	rand    *rand.Rand
	network *testfleet.Network
	store   *standin.Store
	servers *servers
	clients *clients
	routers []*testfleet.Process
	faults  faultLog
	version int
	// releases counts the software versions that were released.
	releases int
	// routeTimeout is the timeout of all routes; 0 if each has its own.
	routeTimeout time.Duration
	fleet        fleet
	// stranded are the IPs of the routers that were cut off from servers last.
	stranded []string
	// keys are the API keys in the configuration by team.
	keys map[string][]string
}

// fleet is what a run consists of.
type fleet struct {
	hosts   []string // the data centre of each router
	servers []serverSpec
	// services and the routes at paths are published.
	services []map[string]any
	paths    []string
	// heartbeat is the interval at which servers publish their entries.
	heartbeat  time.Duration
	retrySlack int
	// unproxied is set if routers connect to servers themselves, so that no link can be cut.
	unproxied bool
}

var smallFleet = fleet{
	hosts: slices.Repeat([]string{"z"}, routerCount), servers: slices.Repeat([]serverSpec{{service: "s", zone: "z", slots: 8}}, serverCount),
	services: []map[string]any{{"name": "s", "health_path": healthPath, "max_connections": 100}}, paths: paths, heartbeat: 400 * time.Millisecond, retrySlack: 60,
}

func routerIP(n int) string { return fmt.Sprintf("127.%d.1.%d", *block, n+1) }
func serverIP(n int) string { return fmt.Sprintf("127.%d.2.%d", *block, n+1) }
func storeIP() string       { return fmt.Sprintf("127.%d.3.1", *block) }

// runFaults injects faults and the further actions on routers while callers send, and checks the results.
func runFaults(t *testing.T, seed uint64, length time.Duration, further ...func(*soakRun)) *soakRun {
	f := startRun(t, seed, 0.05)
	f.clients.dropShare = 0.1
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var addresses []string
	for n := range routerCount {
		addresses = append(addresses, routerIP(n)+":8080")
	}
	for n := range clientCount {
		wg.Go(func() { f.clients.run(n, addresses, seed, stop) })
	}
	wg.Go(func() { f.publishHeartbeats(stop) })
	f.injectFaults(time.Now().Add(length), further)
	close(stop)
	wg.Wait()
	f.checkResults()
	return f
}

func startRun(t *testing.T, seed uint64, faultShare float64) *soakRun {
	return startFleet(t, smallFleet, seed, faultShare)
}

// startFleet starts the store, the servers, a share of whose responses are faults, and the routers.
func startFleet(t *testing.T, fleet fleet, seed uint64, faultShare float64) *soakRun {
	testfleet.LockBlock(t, *block)
	f := &soakRun{
		t: t, fleet: fleet, rand: rand.New(rand.NewPCG(seed, 0)), network: testfleet.NewNetwork(t),
		faults: faultLog{drainStarted: map[string]time.Time{}},
		keys:   map[string][]string{}, clients: &clients{keys: map[string]string{}, paths: paths},
	}
	f.store = startStore(t, storeIP()+":8000")
	f.network.Proxy(storeIP()+":9000", storeIP()+":8000")
	f.startServers(seed, faultShare)
	f.publishConfig()
	f.startRouters()
	return f
}

func startStore(t *testing.T, address string) *standin.Store {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := standin.NewStore()
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
	return s
}

func (f *soakRun) checkResults() {
	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	served := 0
	for _, c := range f.clients.calls {
		if c.status == http.StatusOK && c.complete {
			served++
		}
	}
	f.t.Logf("%d requests, %d successful, %d received by servers", len(f.clients.calls), served, len(f.servers.arrivals))
	if served*2 < len(f.clients.calls) {
		f.t.Errorf("only %d of %d requests were successful", served, len(f.clients.calls))
	}
	f.checkMemory()
	f.checkPromises()
}

func (f *soakRun) checkMemory() {
	for n, p := range f.routers {
		if peak := peakMemoryMB(f.t, p); peak > routerMemoryMB {
			f.t.Errorf("router %d used %d MB at its peak, of %d MB", n, peak, routerMemoryMB)
		}
	}
}

// checkPromises reports every violation of a promise.
func (f *soakRun) checkPromises() {
	f.faults.serving = f.servers.serving
	streams := joinStreams(f.clients.calls, writersByRequest(f.servers.arrivals))
	f.t.Logf("%s; at undisturbed routers: %+v", countStreams(streams), undisturbedShares(streams, &f.faults))
	for _, violation := range findViolations(f.clients.calls, f.servers.arrivals, &f.faults) {
		f.t.Error(violation)
	}
}

// peakMemoryMB returns the highest resident memory of the process since its last start.
func peakMemoryMB(t *testing.T, p *testfleet.Process) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				t.Fatal(err)
			}
			return kb >> 10
		}
	}
	t.Fatal("the process status holds no peak memory")
	return 0
}

func (f *soakRun) startServers(seed uint64, faultShare float64) {
	f.servers = &servers{rand: rand.New(rand.NewPCG(seed, 1)), faultShare: faultShare, eventInterval: 10 * time.Millisecond, store: f.store}
	for n, spec := range f.fleet.servers {
		s := &server{serverSpec: spec, all: f.servers, listen: serverIP(n) + ":8000", public: serverIP(n) + ":9000", version: "v1"}
		if f.fleet.unproxied {
			s.public = s.listen
		} else {
			f.network.Proxy(s.public, s.listen)
		}
		f.servers.list = append(f.servers.list, s)
		if err := s.start(); err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(s.crash)
	}
}

// publishHeartbeats publishes the entry of every server that neither is draining nor stands still at each heartbeat, until the
// run ends.
func (f *soakRun) publishHeartbeats(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(f.fleet.heartbeat):
		}
		for _, s := range f.servers.list {
			s.mu.Lock()
			quiet := s.draining
			s.mu.Unlock()
			if !quiet && s.stalledFor() == 0 {
				s.publish()
			}
		}
	}
}

func (f *soakRun) publishConfig() {
	f.version++
	var published []map[string]any
	for _, path := range f.fleet.paths {
		r := routes[path]
		published = append(published, map[string]any{
			"name": strings.Trim(path, "/"), "host": "soak.example", "prefix": path, "kind": r.kind, "service": r.service,
			"timeout_ms": cmp.Or(f.routeTimeout, r.timeout).Milliseconds(), "target_latency_ms": r.objective.Milliseconds(),
			"max_attempts": r.attempts, "resume_streams": r.events > 0, "gap_aim_ms": r.gap.Milliseconds(), "priority": r.priority,
		})
	}
	var tenants []map[string]any
	for n := range teams {
		team := fmt.Sprintf("t%d", n)
		if f.keys[team] == nil {
			f.keys[team] = []string{"key-0-" + team}
			f.clients.keys[team] = f.keys[team][0]
		}
		tenants = append(tenants, map[string]any{"name": team, "api_keys": f.keys[team]})
	}
	f.store.Put("op/config", map[string]any{
		"version": f.version, "tenants": tenants, "routes": published,
		"services": f.fleet.services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "idle_timeout_ms": 5000},
	})
}

func (f *soakRun) startRouters() {
	dir := f.t.ArtifactDir()
	dataCentres := slices.Compact(slices.Clone(f.fleet.hosts))
	for n, zone := range f.fleet.hosts {
		ip := routerIP(n)
		raw, err := json.Marshal(map[string]any{
			"name": fmt.Sprintf("r%d", n), "data_centre": zone, "data_centres": dataCentres, "caller_address": ip + ":8080",
			"ready_address": ip + ":8081", "peer_address": ip + ":7080", "admin_address": ip + ":9080",
			"store_address": storeIP() + ":9000", "seed_peers": []string{routerIP(0) + ":7080", routerIP(1) + ":7080"},
			"memory_mb": routerMemoryMB, "retry": map[string]any{"ratio": 0.2, "slack": f.fleet.retrySlack},
			"cold": map[string]any{"overage": 1.5, "slack": 5}, "timeouts": map[string]any{"drain": "1s", "stop": "6s"},
		})
		if err != nil {
			f.t.Fatal(err)
		}
		file := filepath.Join(dir, fmt.Sprintf("r%d.json", n))
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			f.t.Fatal(err)
		}
		f.routers = append(f.routers, testfleet.StartProcess(f.t, dir, fmt.Sprintf("r%d", n),
			filepath.Join(testfleet.Binaries(f.t), "oriole-router"), "--direct", "--settings", file))
	}
	for n := range f.routers {
		f.waitReady(n)
	}
}

func (f *soakRun) waitReady(n int) {
	testfleet.Eventually(f.t, 10*time.Second, fmt.Sprintf("router %d is ready", n), func() bool {
		resp, err := http.Get("http://" + routerIP(n) + ":8081/")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (f *soakRun) randomInt(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.IntN(n)
}

// disturb records a disturbance of the router, or of all routers for "", from now until the returned function is called.
func (f *soakRun) disturb(ip string) (end func()) {
	d := disturbance{router: ip, from: time.Now()}
	return func() { f.addDisturbance(d) }
}

// addDisturbance records a disturbance that ends now.
func (f *soakRun) addDisturbance(d disturbance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.to = time.Now()
	f.faults.disturbances = append(f.faults.disturbances, d)
}

func (f *soakRun) sleepRandom(minMS, maxMS int) {
	time.Sleep(time.Duration(minMS+f.randomInt(maxMS-minMS+1)) * time.Millisecond)
}

// injectFaults runs random actions until the end, one after another. A third of the time it runs an action on a router
// concurrently with one on the servers or the store.
func (f *soakRun) injectFaults(end time.Time, further []func(*soakRun)) {
	routers := []func(){f.freeze, f.killAndRestart, f.killAll, f.restart, f.sendSIGHUP, f.cutStore, f.cutServer}
	for _, action := range further {
		routers = append(routers, func() { action(f) })
	}
	others := []func(){f.failStore, f.restoreStore, f.dropHistory, f.crashServer, f.drainServer, f.leaveUnpublished, f.pauseServer, f.stallServer, f.limitServer, f.rotateKey, f.release, f.idle}
	for time.Now().Before(end) {
		router, other := routers[f.randomInt(len(routers))], others[f.randomInt(len(others))]
		var wg sync.WaitGroup
		switch f.randomInt(3) {
		case 0:
			router()
		case 1:
			other()
		case 2:
			wg.Go(router)
			other()
		}
		wg.Wait()
		f.sleepRandom(50, 400)
	}
}

func (f *soakRun) randomRouter() (int, *testfleet.Process) {
	n := f.randomInt(routerCount)
	return n, f.routers[n]
}

func (f *soakRun) idle() { f.sleepRandom(500, 1500) }

func (f *soakRun) freeze() {
	n, p := f.randomRouter()
	d := disturbance{router: routerIP(n), from: time.Now(), frozen: true}
	p.Freeze()
	f.sleepRandom(300, 2500)
	p.Thaw()
	f.addDisturbance(d)
}

func (f *soakRun) killAndRestart() {
	n, p := f.randomRouter()
	defer f.disturb(routerIP(n))()
	p.Kill()
	f.sleepRandom(100, 500)
	p.Restart()
	f.waitReady(n)
}

func (f *soakRun) restart() {
	n, p := f.randomRouter()
	defer f.disturb(routerIP(n))()
	p.Stop()
	p.Restart()
	f.waitReady(n)
}

func (f *soakRun) sendSIGHUP() {
	_, p := f.randomRouter()
	p.Signal(syscall.SIGHUP)
}

func (f *soakRun) cutStore() {
	n, _ := f.randomRouter()
	defer f.disturb(routerIP(n))()
	f.network.Cut(routerIP(n), storeIP(), f.randomCut())
	f.sleepRandom(500, 2500)
	f.network.Heal()
}

func (f *soakRun) cutServer() {
	n, _ := f.randomRouter()
	defer f.disturb(routerIP(n))()
	f.network.Cut(routerIP(n), serverIP(f.randomInt(serverCount)), f.randomCut())
	f.sleepRandom(300, 2000)
	f.network.Heal()
}

func (f *soakRun) randomCut() testfleet.Cut {
	if f.randomInt(2) == 0 {
		return testfleet.CutBlackhole
	}
	return testfleet.CutRefuse
}

func (f *soakRun) failStore() {
	defer f.disturb("")()
	f.store.SetFailing(true)
	f.sleepRandom(500, 2500)
	f.store.SetFailing(false)
}

// restoreStore takes the store away for a moment and brings it back from an older copy. What it has lost is written again.
func (f *soakRun) restoreStore() {
	defer f.disturb("")()
	f.store.SetFailing(true)
	f.sleepRandom(100, 1500)
	lost := f.store.Restore(time.Duration(500+f.randomInt(6000)) * time.Millisecond)
	f.store.SetFailing(false)
	f.sleepRandom(0, 300)
	for _, item := range lost {
		f.store.Change(item)
	}
}

func (f *soakRun) dropHistory() {
	f.store.DropHistory()
}

func (f *soakRun) crashServer() {
	s := f.servers.list[f.randomInt(serverCount)]
	s.crash()
	f.sleepRandom(100, 1000)
	if err := s.start(); err != nil {
		f.t.Fatal(err)
	}
}

func (f *soakRun) drainServer() {
	s := f.servers.list[f.randomInt(serverCount)]
	at := s.drain()
	f.mu.Lock()
	f.faults.drainStarted[s.instance] = at
	f.mu.Unlock()
	time.Sleep(drainLimit + 700*time.Millisecond)
	s.crash()
	if err := s.start(); err != nil {
		f.t.Fatal(err)
	}
}

// rotateKey adds a second API key to a team, makes its callers use that one and then revokes the first.
func (f *soakRun) rotateKey() {
	team := fmt.Sprintf("t%d", f.randomInt(teams))
	old := f.keys[team][0]
	next := fmt.Sprintf("key-%d-%s", f.version, team)
	f.keys[team] = []string{old, next}
	f.publishConfig()
	time.Sleep(configLimit + 200*time.Millisecond)
	f.clients.mu.Lock()
	f.clients.keys[team] = next
	f.clients.mu.Unlock()
	time.Sleep(requestTimeout + time.Second) // all requests with the first key have ended
	f.keys[team] = []string{next}
	f.publishConfig()
	time.Sleep(configLimit)
	client := &http.Client{Timeout: requestTimeout + time.Second}
	defer client.CloseIdleConnections()
	for n := range routerCount {
		f.clients.sendAndRecord(client, call{
			id: fmt.Sprintf("old-%d-%d", f.version, n), path: f.fleet.paths[0], team: team, router: routerIP(n) + ":8080", key: old,
			revoked: true,
		})
	}
}
