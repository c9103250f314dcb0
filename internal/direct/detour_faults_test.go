package direct

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

// strangePeer listens in the place of another host and handles each connection with serve after it has read a request.
func strangePeer(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// useOnly makes the server, which is cut off, send detours through the hosts at the addresses only.
func (h *harness) useOnly(p *peer, addresses ...string) {
	h.cutOffBeside(p)
	h.peers = func() []string { return addresses }
	h.serve(allowance.RetryLimits{Ratio: 0.2, Slack: 100}, 1<<20)
}

// suspects returns the upstreams that the server takes for broken.
func (h *harness) suspects() []string {
	var ids []string
	for _, u := range h.server.Balancer.State() {
		if u.Suspect || u.Failures > 0 {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// Guards against a refusal by another host that is lost on a connection which has carried a request: an earlier request's time to
// write its response was over, so that the outcome counted as unknown.
func TestPeerReportsOnConnectionOfEarlierDetour(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false, ok)
	p := h.startPeer()
	h.cutOffBeside(p)
	is.Equal(h.call(http.MethodPost, "/r/", "hello", "X-Wait-Ms", "100").status, http.StatusOK)
	time.Sleep(100*time.Millisecond + 2*writeGrace)
	p.reach.cutOff.Store(true)
	got := h.call(http.MethodPost, "/r/", "hello")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, `"not-run"`))
}

// Guards against upstreams that are avoided because another host ends, or is none of this fleet's build, and against requests that
// go to that host again and again.
func TestFaultOfPeerIsNotTakenForUpstreams(t *testing.T) {
	for name, serve := range map[string]func(net.Conn){
		"closed":            func(net.Conn) {},
		"reset":             func(c net.Conn) { resetConn(c) },
		"without a report":  func(c net.Conn) { writeText(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n") },
		"another protocol":  func(c net.Conn) { writeText(c, "\x15\x03\x01") },
		"an invalid report": func(c net.Conn) { writeText(c, "HTTP/1.1 200 OK\r\nOriole-Detour: {\r\nContent-Length: 0\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Unsafe, false)
			p := h.startPeer()
			h.useOnly(p, strangePeer(t, serve))
			is.Equal(h.call(http.MethodPost, "/r/", "hello").status, http.StatusBadGateway) // the outcome is unknown
			is.Equal(h.call(http.MethodPost, "/r/", "hello").status, http.StatusServiceUnavailable)
			is.Equal(len(h.suspects()), 0)
		})
	}
}
