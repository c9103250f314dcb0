package soak

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Callers send to one router, on new and on kept connections, while it receives SIGTERM. They go on until its readiness
// check fails, as the load balancer in front of it does. Every request must get its whole response.
func TestPlannedStopUnderLoadAnswersEveryRequest(t *testing.T) {
	f := startRun(t, 1, 0)
	const callers = 24
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for n := range callers {
		wg.Go(func() { f.clients.run(n, []string{routerIP(0) + ":8080"}, 1, stop) })
	}
	heartbeats := make(chan struct{})
	wg.Go(func() { f.publishHeartbeats(heartbeats) })
	time.Sleep(time.Second)
	f.routers[0].Signal(syscall.SIGTERM)
	waitNotReady(t, routerIP(0))
	close(stop)
	<-f.routers[0].Exited()
	close(heartbeats)
	wg.Wait()
	if len(f.clients.calls) < 10*callers {
		t.Errorf("only %d requests were sent", len(f.clients.calls))
	}
	for _, c := range f.clients.calls {
		if c.status != http.StatusOK || !c.complete {
			t.Errorf("request %s to %s got status %d, complete %v", c.id, c.path, c.status, c.complete)
		}
	}
	f.servers.mu.Lock() // servers may not be done with the last requests
	defer f.servers.mu.Unlock()
	f.checkPromises()
}

// waitNotReady returns once two readiness checks in a row have failed.
func waitNotReady(t *testing.T, ip string) {
	t.Helper()
	failures := 0
	for start := time.Now(); failures < 2; time.Sleep(50 * time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatal("the readiness check does not fail")
		}
		resp, err := http.Get("http://" + ip + ":8081/")
		if err == nil {
			resp.Body.Close()
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			failures++
		} else {
			failures = 0
		}
	}
}
