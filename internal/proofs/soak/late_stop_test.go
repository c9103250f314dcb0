package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Times of the planned stops of this file, counted from SIGTERM. The settings of the routers say that requests are taken for
// one second and that the process has six.
const (
	earlyInStop = 300 * time.Millisecond
	lateInStop  = 1500 * time.Millisecond
	stopLength  = 6 * time.Second
	// longDeadline is longer than the stop.
	longDeadline = 12 * time.Second
)

// rawCall is one request on a connection of its own, with what came back.
type rawCall struct {
	id, path       string
	deadline, work time.Duration
	resp           *http.Response
	body           string
	err            error
	ended          time.Time
}

// sendRaw sends the request on the connection and reads the answer to its end.
func (c *rawCall) sendRaw(conn net.Conn, key string) {
	defer func() { c.ended = time.Now() }()
	defer conn.Close()
	_, c.err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: soak.example\r\nOrioleusher-Request-Id: %s\r\nOrioleusher-Deadline-Ms: %d\r\n"+
		"Api-Key: %s\r\n%s: %d\r\nContent-Length: 4\r\n\r\nbody", c.path, c.id, c.deadline.Milliseconds(), key, headerWorkMS, c.work.Milliseconds())
	if c.err != nil {
		return
	}
	var raw []byte
	if c.resp, c.err = http.ReadResponse(bufio.NewReader(conn), nil); c.err == nil {
		defer c.resp.Body.Close()
		raw, c.err = io.ReadAll(c.resp.Body)
	}
	c.body = string(raw)
}

// Guards against requests of every kind that a stopping router takes and passes on and then cuts with no answer: those that
// come while it still takes requests get a definite answer, and those that come later and may outlast the stop are refused,
// truthfully not run. One that fits into what is left of the stop is still served.
func TestNoRequestInPlannedStopIsCutWithoutAnswer(t *testing.T) {
	f := startRun(t, 1, 0)
	f.routeTimeout = longDeadline
	f.publishConfig()
	heartbeats := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { f.publishHeartbeats(heartbeats) })
	time.Sleep(configLimit)
	var early, late, short []*rawCall
	for _, path := range paths {
		early = append(early, &rawCall{id: "early" + path, path: path, deadline: longDeadline, work: longDeadline})
		late = append(late, &rawCall{id: "late" + path, path: path, deadline: longDeadline, work: longDeadline})
		short = append(short, &rawCall{id: "short" + path, path: path, deadline: time.Second})
	}
	f.clients.mu.Lock()
	key := f.clients.keys["t0"]
	f.clients.mu.Unlock()
	conns := map[*rawCall]net.Conn{}
	for _, list := range [][]*rawCall{early, late, short} {
		for _, c := range list {
			conn, err := net.Dial("tcp", routerIP(0)+":8080")
			if err != nil {
				t.Fatal(err)
			}
			conns[c] = conn
		}
	}
	time.Sleep(100 * time.Millisecond) // the router has accepted the connections
	f.routers[0].Signal(syscall.SIGTERM)
	stopped := time.Now()
	var calls sync.WaitGroup
	send := func(at time.Duration, list []*rawCall) {
		time.Sleep(time.Until(stopped.Add(at)))
		for _, c := range list {
			calls.Go(func() { c.sendRaw(conns[c], key) })
		}
	}
	send(earlyInStop, early)
	send(lateInStop, append(late, short...))
	calls.Wait()
	<-f.routers[0].Exited()
	if took := time.Since(stopped); took > stopLength {
		t.Errorf("the stop took %v", took)
	}
	close(heartbeats)
	background.Wait()
	f.checkStop(early, late, short, stopped)
}

// checkStop checks the answers of the requests in a planned stop that began at the given time.
func (f *soakRun) checkStop(early, late, short []*rawCall, stopped time.Time) {
	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	arrivals := map[string]int{}
	for _, a := range f.servers.arrivals {
		arrivals[a.request]++
	}
	for _, c := range early {
		c.checkCutOff(f.t, stopped)
	}
	for _, c := range late {
		c.checkRefused(f.t, stopped, arrivals[c.id])
	}
	for _, c := range short {
		if c.err != nil || c.resp.StatusCode != http.StatusOK {
			f.t.Errorf("request %s got %+v: %v", c.id, c.resp, c.err)
		}
	}
}

// checkCutOff checks that the request was told that its outcome is unknown, near the end of the stop.
func (c *rawCall) checkCutOff(t *testing.T, stopped time.Time) {
	switch {
	case c.err != nil:
		t.Errorf("request %s got no answer within %v: %v", c.id, c.ended.Sub(stopped), c.err)
	case c.resp.StatusCode != http.StatusBadGateway && c.resp.StatusCode != http.StatusGatewayTimeout:
		t.Errorf("request %s got status %d", c.id, c.resp.StatusCode)
	case c.ended.Sub(stopped) < stopLength*5/6:
		t.Errorf("request %s was ended %v after the signal", c.id, c.ended.Sub(stopped))
	}
}

// checkRefused checks that the request was refused soon, reached no server, and may be sent again elsewhere at once.
func (c *rawCall) checkRefused(t *testing.T, stopped time.Time, arrivals int) {
	if c.err != nil {
		t.Errorf("request %s got no answer within %v: %v", c.id, c.ended.Sub(stopped), c.err)
		return
	}
	wait, err := strconv.ParseFloat(c.resp.Header.Get("Retry-After"), 64)
	if c.resp.StatusCode != http.StatusServiceUnavailable || !c.resp.Close || err != nil || wait > 1 || arrivals > 0 {
		t.Errorf("request %s got status %d, %v, body %s, and was received %d times", c.id, c.resp.StatusCode, c.resp.Header, c.body, arrivals)
	}
	if took := c.ended.Sub(stopped) - lateInStop; took > time.Second {
		t.Errorf("request %s was refused after %v", c.id, took)
	}
}
