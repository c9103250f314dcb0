package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// keptConn is a caller's connection that carries one request after the other.
type keptConn struct {
	c  net.Conn
	br *bufio.Reader
}

func (k *keptConn) send(id, key string) error {
	_, err := fmt.Fprintf(k.c, "POST /safe/ HTTP/1.1\r\nHost: soak.example\r\nOrioleusher-Request-Id: %s\r\nOrioleusher-Deadline-Ms: 5000\r\n"+
		"Api-Key: %s\r\nContent-Length: 4\r\n\r\nbody", id, key)
	return err
}

// status reads a response and returns its status, or 0 if the connection ends without one.
func (k *keptConn) status() int {
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against whole requests on kept connections that end without a response because the router stands still, as a busy
// host's does while it decodes a large configuration, until the idle timeout has passed.
func TestRequestSentWhileRouterStandsStillIsAnswered(t *testing.T) {
	const (
		idleTimeout   = 5 * time.Second // of publishConfig
		transitMargin = time.Second     // after which the router ends the wait
		reuseAfter    = 3900 * time.Millisecond
		standStill    = idleTimeout + transitMargin - reuseAfter + 300*time.Millisecond
		callers       = 20
	)
	f := startRun(t, 1, 0)
	heartbeats := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { f.publishHeartbeats(heartbeats) })
	defer background.Wait()
	defer close(heartbeats)
	key := f.clients.keys["t0"]
	var conns []*keptConn
	for n := range callers {
		c, err := net.Dial("tcp", routerIP(0)+":8080")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		k := &keptConn{c: c, br: bufio.NewReader(c)}
		conns = append(conns, k)
		if err := k.send(fmt.Sprintf("first-%d", n), key); err != nil {
			t.Fatal(err)
		}
		if got := k.status(); got != http.StatusOK {
			t.Fatalf("first request of caller %d got %d", n, got)
		}
	}
	time.Sleep(reuseAfter)
	f.routers[0].Freeze()
	for n, k := range conns {
		if err := k.send(fmt.Sprintf("second-%d", n), key); err != nil {
			t.Errorf("caller %d could not send: %v", n, err)
		}
	}
	time.Sleep(standStill)
	f.routers[0].Thaw()
	lost := 0
	for _, k := range conns {
		if k.status() != http.StatusOK {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d whole requests were not answered", lost, callers)
	}
}
