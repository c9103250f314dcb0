package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// Limits of the promise about brittle servers, as the users' documentation states them, and the play.
const (
	brittleSettled     = 3 * time.Second
	maxFalls           = 2
	maxFallShare       = 0.1
	brittleServerCount = 9
	brittleSlots       = 4
	brittleWork        = 100 * time.Millisecond
	// Servers let soundRoom requests wait, and brittleRoom once they are brittle.
	soundRoom         = 12
	brittleRoom       = 2
	brittleRejections = 4
	brittleRestart    = 3 * time.Second
	// Servers say that they are brittle from brittleFrom to brittleTo, with a surge meanwhile.
	brittleFrom     = 2 * time.Second
	brittleTo       = 14 * time.Second
	brittleLength   = 16 * time.Second
	brittleSurge    = 1.5
	brittleSurgeAt  = 8 * time.Second
	brittleSurgeEnd = 11 * time.Second
	// minBrittleUse is the share of what the servers can do that must be used while they are brittle.
	minBrittleUse = 0.7
	callerTries   = 3
)

var (
	brittleLoad      = flag.Float64("soak.brittle.load", 1, "load of brittle servers, as a share of what they can do")
	firstBrittleSeed = flag.Uint64("soak.brittle.seed", 1, "seed of the run with brittle servers")
)

// brittleFleet has servers with few slots.
var brittleFleet = fleet{
	hosts:    []string{"a", "a", "b", "b", "c", "c", "d"},
	servers:  specs(serverSpec{service: "s", slots: brittleSlots, tellsLoad: true}, "aaabbccdd"),
	services: []map[string]any{{"name": "s", "max_connections": 200}}, paths: []string{"/safe/", "/unsafe/"},
	heartbeat: 400 * time.Millisecond, retrySlack: 54, unproxied: true,
}

// rejections makes a server queue and turn away requests, and fall over if it turned away too many.
type rejections struct {
	server *server
	play   *brittlePlay

	mu      sync.Mutex
	slots   chan struct{}
	waiting int
	times   []time.Time
	down    bool
}

// brittlePlay is a run in which the servers are brittle for a while.
type brittlePlay struct {
	*soakRun
	start time.Time

	mu       sync.Mutex
	falls    int
	restarts sync.WaitGroup
	// sent and served count the requests by the second of their first try.
	sent, served map[int]int
}

func (p *brittlePlay) says() bool {
	elapsed := time.Since(p.start)
	return elapsed >= brittleFrom && elapsed < brittleTo
}

func (p *brittlePlay) brittle() bool {
	return p.says() && time.Since(p.start) >= brittleFrom+brittleSettled
}

// notice returns the header of a response that says that the server is brittle.
func (r *rejections) notice() string {
	if !r.play.says() {
		return ""
	}
	return fmt.Sprintf("Server-Brittle: %d\r\n", brittleRejections)
}

// admit waits for a slot. It returns nil if there is no room, and then the request must be turned away.
func (r *rejections) admit() (end func()) {
	r.mu.Lock()
	slots, room := r.slots, soundRoom
	if r.play.brittle() {
		room = brittleRoom
	}
	select {
	case slots <- struct{}{}:
		r.mu.Unlock()
		return func() { <-slots }
	default:
	}
	if r.waiting >= room {
		defer r.mu.Unlock()
		r.reject()
		return nil
	}
	r.waiting++
	r.mu.Unlock()
	slots <- struct{}{}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slots == slots {
		r.waiting--
	}
	return func() { <-slots }
}

// reject counts a request that is turned away. The caller holds mu.
func (r *rejections) reject() {
	now := time.Now()
	r.times = append(slices.DeleteFunc(r.times, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	if len(r.times) <= brittleRejections || r.down || !r.play.brittle() {
		return
	}
	r.down = true
	r.play.fall(r)
}

// fall makes the server fall over, and start again later.
func (p *brittlePlay) fall(r *rejections) {
	p.mu.Lock()
	p.falls++
	p.mu.Unlock()
	p.restarts.Go(func() {
		r.server.crash()
		time.Sleep(brittleRestart)
		r.mu.Lock()
		r.slots, r.waiting, r.times, r.down = make(chan struct{}, brittleSlots), 0, nil, false
		r.mu.Unlock()
		if err := r.server.start(); err != nil {
			p.t.Error(err)
		}
	})
}

// Guards against servers that say that they are brittle and fall over again and again since the routers together send them more
// than they have room for.
func TestBrittleServersDoNotFallOver(t *testing.T) {
	p := &brittlePlay{soakRun: startFleet(t, brittleFleet, *firstBrittleSeed, 0), sent: map[int]int{}, served: map[int]int{}}
	p.start = time.Now()
	for _, s := range p.servers.list {
		s.mu.Lock()
		s.rejections = &rejections{server: s, play: p, slots: make(chan struct{}, brittleSlots)}
		s.mu.Unlock()
	}
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { p.publishHeartbeats(stop) })
	p.sendAll(rand.New(rand.NewPCG(*firstBrittleSeed, 3)))
	close(stop)
	background.Wait()
	p.restarts.Wait()
	testfleet.Eventually(t, 5*time.Second, "all servers are done", p.servers.idle)
	p.check()
}

// sendAll sends requests at the rate of the play until its end, however long responses take.
func (p *brittlePlay) sendAll(r *rand.Rand) {
	client := &http.Client{Timeout: requestTimeout + time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100, IdleConnTimeout: idleReuse}}
	defer client.CloseIdleConnections()
	rate := *brittleLoad * brittleServerCount * brittleSlots / brittleWork.Seconds()
	var wg sync.WaitGroup
	for i, at := 0, p.start; at.Sub(p.start) < brittleLength; i++ {
		now := rate
		if elapsed := at.Sub(p.start); elapsed >= brittleSurgeAt && elapsed < brittleSurgeEnd {
			now *= brittleSurge
		}
		at = at.Add(time.Duration(r.ExpFloat64() / now * float64(time.Second)))
		time.Sleep(time.Until(at))
		path := "/safe/"
		if r.IntN(3) == 0 {
			path = "/unsafe/"
		}
		host := r.IntN(len(p.routers))
		wg.Go(func() { p.sendUntilServed(client, i, path, host) })
	}
	wg.Wait()
}

// sendUntilServed sends the request, and again to other routers if it was refused.
func (p *brittlePlay) sendUntilServed(client *http.Client, n int, path string, host int) {
	second := int(time.Since(p.start) / time.Second)
	ok := false
	for try := range callerTries {
		team := fmt.Sprintf("t%d", n%teams)
		v := p.clients.sendAndRecord(client, call{
			id: fmt.Sprintf("%d-%d", n, try), path: path, team: team, key: p.clients.keys[team], router: routerIP((host+try)%len(p.routers)) + ":8080",
		})
		if ok = v.status == http.StatusOK && v.complete; v.status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(v.retryAfter)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[second]++
	if ok {
		p.served[second]++
	}
}

// check checks the promises, how often servers fell over, and that they were used.
func (p *brittlePlay) check() {
	p.servers.mu.Lock()
	defer p.servers.mu.Unlock()
	p.checkMemory()
	p.checkPromises()
	from, to := int((brittleFrom+brittleSettled)/time.Second), int(brittleTo/time.Second)
	sent, served := 0, 0
	for second := from; second < to; second++ {
		sent, served = sent+p.sent[second], served+p.served[second]
	}
	canServe := float64(to-from) * brittleServerCount * brittleSlots / brittleWork.Seconds()
	p.t.Logf("load %.1f: %d falls, %.2f served from %d to %d s, by second %v of %v", *brittleLoad, p.falls, float64(served)/float64(sent), from, to, p.served, p.sent)
	if allowed := maxFalls + maxFallShare*brittleServerCount; float64(p.falls) > allowed {
		p.t.Errorf("servers fell over %d times, %.1f allowed", p.falls, allowed)
	}
	if float64(served) < minBrittleUse*min(float64(sent), canServe) {
		p.t.Errorf("%d of %d requests were served, of %.0f that the servers could run", served, sent, canServe)
	}
}
