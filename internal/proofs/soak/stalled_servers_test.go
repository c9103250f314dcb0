package soak

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/orioleusher/orioleusher/internal/testfleet"
)

var (
	firstStallSeed = flag.Uint64("soak.stall.seed", 2, "first seed of the runs with servers that stand still")
	stallLength    = flag.Duration("soak.stall.length", 20*time.Second, "length of each run with servers that stand still")
)

const (
	engineCount = 9
	// idleReuse is how long clients keep an idle connection, of the idle timeout of the configuration.
	idleReuse = 4 * time.Second
)

// largeFleet has several data centres, engines and plain servers.
var largeFleet = fleet{
	hosts: []string{"a", "a", "b", "b", "c", "d"},
	servers: append(specs(serverSpec{service: "engines", slots: 64, tellsLoad: true}, "aaabbccdd"),
		specs(serverSpec{service: "billing", slots: 6, tellsLoad: true}, "abcd")...),
	services: []map[string]any{
		{"name": "engines", "health_path": healthPath, "max_connections": 360, "cold_per_s": 16, "engine": map[string]any{}},
		{"name": "billing", "health_path": healthPath, "max_connections": 96},
	},
	paths: []string{"/diagnosis/", "/question/", "/tag/", "/charge/", "/lookup/"}, heartbeat: 1200 * time.Millisecond, retrySlack: 52,
	unproxied: true,
}

// specs returns the specification for each data centre, which has a name of one letter.
func specs(spec serverSpec, zones string) (list []serverSpec) {
	for _, zone := range zones {
		spec.zone = string(zone)
		list = append(list, spec)
	}
	return list
}

// traffic is a kind of request on a route of largeFleet.
type traffic struct {
	path      string
	perSecond float64
	// prompts begin with one of the templates, followed by one of the sessions.
	templates, templateTokens, sessions, sessionTokens, ownTokens int
}

var mix = []traffic{
	{longStream, 16.8, 3, 512, 38, 10000, 1300},
	{"/question/", 23.7, 20, 119, 80, 580, 130},
	{"/tag/", 32.9, 40, 341, 74, 1700, 360},
	{"/charge/", 18.3, 0, 0, 0, 0, 0},
	{"/lookup/", 8.0, 0, 0, 0, 0, 0},
}

// longStream is the path of the longest streams of the mix.
const longStream = "/diagnosis/"

// mixRates returns the requests and the streams a second in the mix.
func mixRates() (all, streams float64) {
	for _, kind := range mix {
		all += kind.perSecond
		streams += float64(count(isStream(kind.path))) * kind.perSecond
	}
	return all, streams
}

// stallPlay is a run in which servers stand still.
type stallPlay struct {
	name    string
	streams float64 // streams a second
	// engines and plain servers stand still at once.
	engines, plain int
	// configs is set if the configuration changes all the while.
	configs bool
	long    bool
}

var stallPlays = []stallPlay{
	{name: "one engine", streams: 140, engines: 1},
	{name: "three engines, a plain server and configurations", streams: 80, engines: 3, plain: 1, configs: true},
	{name: "three engines and a plain server", streams: 80, engines: 3, plain: 1, long: true},
	{name: "one engine and configurations", streams: 80, engines: 1, configs: true, long: true},
	{name: "none", streams: 140, long: true},
}

// Guards against servers that get more requests than the load bound allows, streams that are cut and requests that run twice
// at the same time because sound servers stand still for a second or two.
func TestServersThatStandStill(t *testing.T) {
	for i := range *seeds {
		seed := *firstStallSeed + uint64(i)
		for _, play := range stallPlays {
			if play.long && testing.Short() {
				continue
			}
			t.Run(fmt.Sprintf("seed %d, %s", seed, play.name), func(t *testing.T) { play.run(t, seed) })
		}
	}
}

func (p stallPlay) run(t *testing.T, seed uint64) {
	f := startFleet(t, largeFleet, seed, 0)
	f.servers.mu.Lock()
	f.servers.firstEvent, f.servers.eventInterval, f.servers.slowdown = 62*time.Millisecond, 22890*time.Microsecond, 576*time.Microsecond
	f.servers.mu.Unlock()
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { f.publishHeartbeats(stop) })
	if p.configs {
		background.Go(func() { f.changeConfig(stop) })
	}
	if p.engines > 0 {
		background.Go(func() { f.stallServers(p, stop) })
	}
	f.sendMix(rand.New(rand.NewPCG(seed, 2)), 0, p.streams, time.Now().Add(*stallLength))
	close(stop)
	background.Wait()
	testfleet.Eventually(t, 5*time.Second, "all servers are done", f.servers.idle)
	f.checkResults()
	f.checkStalls()
}

// idle reports whether no server holds a request.
func (a *servers) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.list {
		if s.held > 0 {
			return false
		}
	}
	return true
}

// changeConfig publishes a configuration with other timeouts and routes every half a second.
func (f *soakRun) changeConfig(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		f.fleet.paths, f.routeTimeout = largeFleet.paths, 0
		if f.version%2 == 1 {
			f.fleet.paths, f.routeTimeout = append(slices.Clip(largeFleet.paths), "/added/"), longDeadline
		}
		f.publishConfig()
	}
}

// stallServers makes servers stand still again and again, those of the play at once.
func (f *soakRun) stallServers(p stallPlay, stop <-chan struct{}) {
	for {
		f.mu.Lock()
		chosen := f.rand.Perm(engineCount)[:p.engines]
		for _, n := range f.rand.Perm(len(f.servers.list) - engineCount)[:p.plain] {
			chosen = append(chosen, engineCount+n)
		}
		f.mu.Unlock()
		var wg sync.WaitGroup
		for _, n := range chosen {
			wg.Go(func() { f.stall(f.servers.list[n]) })
		}
		wg.Wait()
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+f.randomInt(200)) * time.Millisecond):
		}
	}
}

// sendMix sends the mix with the given number of streams a second until the end, however long responses take. The requests are
// numbered from first on.
func (f *soakRun) sendMix(r *rand.Rand, first int, streams float64, end time.Time) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100, IdleConnTimeout: idleReuse}
	client := &http.Client{Timeout: longDeadline + time.Second, Transport: transport}
	defer client.CloseIdleConnections()
	all, mixed := mixRates()
	perSecond := all * streams / mixed
	var wg sync.WaitGroup
	for i, at := first, time.Now(); at.Before(end); i++ {
		at = at.Add(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(at))
		v := f.drawCall(r, i)
		if v.path == longStream && f.clients.dropShare > 0 && r.Float64() < f.clients.dropShare {
			v.dropAfter = 1
		}
		wg.Go(func() { f.clients.sendAndRecord(client, v) })
	}
	wg.Wait()
}

// drawCall draws a request of the mix. All data centres receive equally many.
func (f *soakRun) drawCall(r *rand.Rand, n int) call {
	all, _ := mixRates()
	rest, kind := r.Float64()*all, mix[0]
	for _, kind = range mix {
		if rest -= kind.perSecond; rest < 0 {
			break
		}
	}
	host := []int{0, 1, 2, 3, 4, 4, 5, 5}[r.IntN(8)]
	team := fmt.Sprintf("t%d", r.IntN(teams))
	v := call{id: fmt.Sprint(n), path: kind.path, team: team, key: f.clients.key(team), router: routerIP(host) + ":8080"}
	if kind.templates > 0 {
		session := drawSkewed(r, kind.sessions)
		v.prompt = fmt.Sprintf("%x%04x:%d,%x%06x:%d,%x%08x:%d", kind.templates, session%kind.templates, kind.templateTokens,
			kind.templates, session, kind.sessionTokens, kind.templates, n, kind.ownTokens)
	}
	return v
}

// drawSkewed draws one of n numbers, of which number i has a weight of (i + 1) to the power of -0.3.
func drawSkewed(r *rand.Rand, n int) int {
	for {
		i := r.IntN(n)
		if r.Float64() < math.Pow(float64(i+1), -0.3) {
			return i
		}
	}
}
