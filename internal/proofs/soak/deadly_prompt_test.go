package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// deadlySegment is the prompt segment that crashes each server that begins to answer it.
	deadlySegment = "dead"
	// serverRestartTime is how long a crashed server is down.
	serverRestartTime = time.Second
	// stableTime is the time after the fifth crash from which on at most maxLateRuns deadly requests may reach servers.
	stableTime  = 3 * time.Second
	maxLateRuns = 3
)

// deadlyClientPrefix begins the IDs of the deadly requests, which the last client sends.
var deadlyClientPrefix = fmt.Sprintf("%d-", clientCount)

// crashAndRestart crashes the instance, once, and starts the next one after serverRestartTime.
func (s *server) crashAndRestart(instance string) {
	s.mu.Lock()
	crashed := s.crashedInstance == instance
	s.crashedInstance = instance
	s.mu.Unlock()
	if crashed {
		return
	}
	s.crash()
	time.AfterFunc(serverRestartTime, func() { _ = s.start() })
}

// Guards, with real routers, against requests with a deadly prompt segment, no two alike, that crash one server after
// another through all routers, and against sound requests with the same other segments that are refused for it.
func TestDeadlySegmentIsRefusedByAllRouters(t *testing.T) {
	f := startRun(t, 1, 0)
	for _, s := range f.servers.list { // a proxy would accept connections in place of a crashed server
		s.crash()
		s.public = s.listen
		if err := s.start(); err != nil {
			t.Fatal(err)
		}
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() { f.publishHeartbeats(stop) })
	for n := range clientCount {
		wg.Go(func() { f.sendPrompts(n, "", 20*time.Millisecond, stop) })
	}
	time.Sleep(2 * time.Second) // sound requests alone
	wg.Go(func() { f.sendPrompts(clientCount, ","+deadlySegment+":100", 150*time.Millisecond, stop) })
	time.Sleep(9 * time.Second)
	close(stop)
	wg.Wait()
	f.checkDeadlyRuns()
	f.checkSoundCalls()
}

// sendPrompts sends streams to all routers in turn, with a prompt of its own each, until it is stopped.
func (f *soakRun) sendPrompts(client int, extra string, interval time.Duration, stop <-chan struct{}) {
	c := &http.Client{Timeout: requestTimeout + time.Second}
	defer c.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		f.clients.sendAndRecord(c, call{
			id: fmt.Sprintf("%d-%d", client, i), path: "/stream/", team: "t0", key: f.clients.keys["t0"], router: routerIP(i%routerCount) + ":8080",
			prompt: fmt.Sprintf("c0ffee:100,%d:100%s,%d%d:10", i%5, extra, client, i),
		})
	}
}

// checkDeadlyRuns checks that few deadly requests reached servers, and that all routers refuse them in the end.
func (f *soakRun) checkDeadlyRuns() {
	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	var runs []arrival
	crashed := map[string]bool{}
	var fifthCrash time.Time
	for _, v := range f.servers.arrivals {
		if !v.executed || !strings.HasPrefix(v.request, deadlyClientPrefix) {
			continue
		}
		runs = append(runs, v)
		crashed[v.instance] = true
		if len(crashed) == 5 && fifthCrash.IsZero() {
			fifthCrash = v.at
		}
	}
	late := 0
	for _, v := range runs {
		if !fifthCrash.IsZero() && v.at.After(fifthCrash.Add(stableTime)) {
			late++
		}
	}
	f.t.Logf("%d deadly runs, %d crashes, %d late runs", len(runs), len(crashed), late)
	if len(crashed) < 4 || late > maxLateRuns {
		f.t.Errorf("%d servers crashed, and %d deadly requests reached servers late, of %d", len(crashed), late, maxLateRuns)
	}
	refused := map[string]int{}
	for _, c := range f.clients.calls {
		if strings.HasPrefix(c.id, deadlyClientPrefix) && c.status == http.StatusServiceUnavailable {
			refused[c.router]++
		}
	}
	if len(refused) != routerCount {
		f.t.Errorf("deadly requests were refused by %v, not by all routers", refused)
	}
}

// checkSoundCalls checks that sound requests of the last seconds were served.
func (f *soakRun) checkSoundCalls() {
	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	last := f.clients.calls[len(f.clients.calls)-1].ended
	writers := writersByRequest(f.servers.arrivals)
	served := 0
	for _, c := range f.clients.calls {
		if strings.HasPrefix(c.id, deadlyClientPrefix) || c.started.Before(last.Add(-stableTime)) {
			continue
		}
		if c.status != http.StatusOK || !c.complete || !isCompleteStream(&c, writers[c.id]) {
			f.t.Errorf("sound request %s to %s got status %d, complete %v", c.id, c.router, c.status, c.complete)
		}
		served++
	}
	if served < 100 {
		f.t.Errorf("only %d sound requests were sent", served)
	}
}
