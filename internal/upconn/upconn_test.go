package upconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/orioleusher/orioleusher/internal/testconn"
)

// startServer accepts connections, passes each one to serve, and returns its address.
func startServer(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	return testconn.Listen(t, "127.0.0.1:0", serve)
}

func okResponse(extra string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + extra + "Content-Length: 2\r\n\r\nok"
}

// respondWith reads requests with their bodies and sends one of the responses after each.
func respondWith(responses ...string) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for _, response := range responses {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			_, _ = io.WriteString(c, response)
		}
	}
}

func request(body []byte) *http.Request {
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: "h", Opaque: "/p%2f"}, Host: "h", Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), ProtoMajor: 1, ProtoMinor: 1,
	}
}

func matchesID(_ int, h http.Header) bool { return h.Get("X-Id") == "1" }

// roundTrip sends one request and returns the connection to the pool.
func roundTrip(t *testing.T, p *Pool, address string, body []byte) (reused bool) {
	t.Helper()
	is := is.New(t)
	c, err := p.Get(context.Background(), address)
	is.NoErr(err)
	resp, err := c.RoundTrip(request(body), body, matchesID)
	is.NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(text), "ok")
	p.Put(c, MaxIdlePerUpstream)
	return c.Reused
}

// idleCount returns the number of idle connections to the address.
func (p *Pool) idleCount(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}

func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		name     string
		response string
		idleTime time.Duration
		reused   bool
	}{
		{"healthy", okResponse(""), 0, true},
		{"closing", okResponse("Connection: close\r\n"), 0, false},
		{"bytes after the response", okResponse("") + "x", 0, false},
		{"a second response", okResponse("") + okResponse(""), 0, false},
		{"idle for too long", okResponse(""), defaultIdleTimeout + 1, false},
		{"within the upstream's keep-alive timeout", okResponse("Keep-Alive: timeout=10\r\n"), 5 * time.Second, true},
		{"near the upstream's keep-alive timeout", okResponse("Keep-Alive: timeout=10\r\n"), 7 * time.Second, false},
		{"within a keep-alive timeout of a second", okResponse("Keep-Alive: timeout=1\r\n"), 500 * time.Millisecond, true},
		{"near a keep-alive timeout of a second", okResponse("Keep-Alive: timeout=1\r\n"), 700 * time.Millisecond, false},
		{"with a keep-alive timeout of zero", okResponse("Keep-Alive: timeout=0\r\n"), time.Millisecond, false},
		{"with a keep-alive timeout without end", okResponse("Keep-Alive: timeout=1e300\r\n"), time.Minute, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := NewPool(nil, clock)
			address := startServer(t, respondWith(tt.response, okResponse("")))
			roundTrip(t, p, address, []byte("b"))
			clock.Advance(tt.idleTime)
			if !tt.reused {
				// The connection is closed by Put or by CloseExpired.
				p.CloseExpired()
			}
			is.New(t).Equal(p.idleCount(address) == 1, tt.reused)
		})
	}
}

func TestOpenedConnectionIsKeptForNextRequest(t *testing.T) {
	is := is.New(t)
	p := NewPool(nil, clockwork.NewRealClock())
	address := startServer(t, respondWith(okResponse("")))
	is.NoErr(p.Open(context.Background(), address))
	is.Equal(p.idleCount(address), 1)
	c, err := p.Get(context.Background(), address)
	is.NoErr(err)
	is.Equal(p.idleCount(address), 0)
	is.Equal(len(p.open[address]), 1) // the opened one
	is.True(!c.ServedSince().IsZero())
	is.True(!c.Reused) // it has not carried a request
	resp, err := c.RoundTrip(request(nil), nil, matchesID)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	c.Close()
	is.Equal(len(p.open[address]), 0)
}

// Guards against a request that is sent after its caller has left, because an idle connection needs no dial that would fail.
func TestCancelledRequestGetsNoIdleConnection(t *testing.T) {
	is := is.New(t)
	p := NewPool(nil, clockwork.NewRealClock())
	address := startServer(t, respondWith(okResponse("")))
	is.NoErr(p.Open(context.Background(), address))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := p.Get(ctx, address)
	is.True(errors.Is(err, context.Canceled))
	is.Equal(p.idleCount(address), 1)
}

func TestUnusedConnectionHasCarriedNoRequest(t *testing.T) {
	is := is.New(t)
	p := NewPool(nil, clockwork.NewRealClock())
	address := startServer(t, respondWith(okResponse("")))
	is.NoErr(p.Open(context.Background(), address))
	unused, err := p.Get(context.Background(), address)
	is.NoErr(err)
	roundTrip(t, p, address, []byte("b")) // leaves a used connection
	p.PutUnused(unused)
	roundTrip(t, p, address, []byte("b")) // takes the one that was put back last
	is.Equal(p.idleCount(address), 2)
	c, err := p.GetUnused(context.Background(), address)
	is.NoErr(err)
	is.True(!c.WriteStarted)
	is.Equal(p.idleCount(address), 2) // it is new, and the used ones stay
	p.PutUnused(c)
	again, err := p.GetUnused(context.Background(), address)
	is.NoErr(err)
	is.True(again == c)
	again.Close()
}

// Guards against a request that is sent on a connection which the upstream is just closing, since its keep-alive timeout is
// applied only to the connections on which it was told.
func TestKeepAliveTimeoutAppliesToAllConnectionsOfUpstream(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	p := NewPool(nil, clock)
	address := startServer(t, respondWith(okResponse("Keep-Alive: timeout=1\r\n"), okResponse("")))
	is.NoErr(p.Open(context.Background(), address))
	spare, err := p.Get(context.Background(), address)
	is.NoErr(err)
	roundTrip(t, p, address, nil)
	is.NoErr(p.Open(context.Background(), address)) // after the timeout was told
	clock.Advance(700 * time.Millisecond)
	p.PutUnused(spare) // opened before it was told, and idle ever since
	p.CloseExpired()
	is.Equal(p.idleCount(address), 0)
}

func TestConnectionClosedByPeerIsNotReused(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	p := NewPool(nil, clockwork.NewRealClock())
	address := startServer(t, func(c net.Conn) {
		respondWith(okResponse(""))(c)
		closed <- struct{}{}
	})
	roundTrip(t, p, address, nil)
	<-closed
	// Until the FIN has arrived over loopback, the connection looks healthy.
	for range 1000 {
		p.mu.Lock()
		healthy := p.idle[address][0].healthy()
		p.mu.Unlock()
		if !healthy {
			break
		}
		time.Sleep(time.Millisecond)
	}
	is.True(!roundTrip(t, p, address, nil))
}

func TestUnmatchedResponsesAreDiscarded(t *testing.T) {
	p := NewPool(nil, clockwork.NewRealClock())
	unmatched := strings.Replace(okResponse(""), "X-Id: 1", "X-Id: 2", 1)
	roundTrip(t, p, startServer(t, respondWith(unmatched+"HTTP/1.1 100 Continue\r\n\r\n"+okResponse(""))), nil)
}

func TestTooManyUnmatchedResponsesAreAnError(t *testing.T) {
	is := is.New(t)
	p := NewPool(nil, clockwork.NewRealClock())
	unmatched := strings.Replace(okResponse(""), "X-Id: 1", "X-Id: 2", 1)
	c, err := p.Get(context.Background(), startServer(t, respondWith(strings.Repeat(unmatched, maxUnmatchedResponses))))
	is.NoErr(err)
	_, err = c.RoundTrip(request(nil), nil, matchesID)
	is.True(err != nil)
	is.True(c.WriteStarted)
	c.Close()
}

// A server may respond before it has read a long body and continue to read later. It must receive the rest of that body
// and no other request on the connection.
func TestEarlyResponseDoesNotCorruptBody(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<20) // 16 MB, more than the socket buffers hold
	receivedBody, released := make(chan string, 1), make(chan struct{})
	p := NewPool(nil, clockwork.NewRealClock())
	address := startServer(t, func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse(""))
		<-released // ensures that the body has not been sent completely when the connection is put back
		raw, _ := io.ReadAll(r.Body)
		receivedBody <- string(raw)
	})
	c, err := p.Get(context.Background(), address)
	is.NoErr(err)
	resp, err := c.RoundTrip(request(body), body, matchesID)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	p.Put(c, MaxIdlePerUpstream)
	close(released)
	raw := <-receivedBody
	is.True(strings.HasPrefix(string(body), raw)) // the body or a prefix of it, never another request
	is.Equal(p.idleCount(address), 0)
}

// userTimeout returns the connection's TCP_USER_TIMEOUT.
func userTimeout(is *is.I, c *Conn) time.Duration {
	raw, err := c.raw.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	ms := 0
	is.NoErr(raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	is.NoErr(err)
	return time.Duration(ms) * time.Millisecond
}

func TestTCPUserTimeoutIsSet(t *testing.T) {
	is := is.New(t)
	c, err := NewPool(nil, clockwork.NewRealClock()).Get(context.Background(), startServer(t, respondWith(okResponse(""))))
	is.NoErr(err)
	defer c.Close()
	is.Equal(userTimeout(is, c), unackedTimeout)
	body := bytes.Repeat([]byte("x"), maxShortBodyBytes+1)
	resp, err := c.RoundTrip(request(body), body, matchesID)
	is.NoErr(err)
	is.Equal(userTimeout(is, c), longBodyTimeout)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(c.adjustTimeout(maxShortBodyBytes)) // as the next request does, once the first one is written
	is.Equal(userTimeout(is, c), unackedTimeout)
}

// Guards against a long request that is broken off since its upstream stands still for a moment and takes no more bytes.
func TestLongRequestToUpstreamThatStandsStillIsSent(t *testing.T) {
	for _, size := range []int{16 << 10, 256 << 10, 4 << 20} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			received := make(chan int64, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				time.Sleep(1900 * time.Millisecond)
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					n, _ := io.Copy(io.Discard, r.Body)
					received <- n
					_, _ = io.WriteString(conn, okResponse(""))
				}
			}()
			c, err := NewPool(nil, clockwork.NewRealClock()).Get(context.Background(), l.Addr().String())
			is.NoErr(err)
			defer c.Close()
			body := bytes.Repeat([]byte("x"), size)
			_, err = c.RoundTrip(request(body), body, matchesID)
			is.NoErr(err)
			is.Equal(<-received, int64(size))
		})
	}
}

func TestIdleConnectionsPerUpstreamAreLimited(t *testing.T) {
	is := is.New(t)
	p := NewPool(nil, clockwork.NewRealClock())
	address := startServer(t, respondWith(okResponse("")))
	var conns []*Conn
	for range MaxIdlePerUpstream + 3 {
		c, err := p.Get(context.Background(), address)
		is.NoErr(err)
		resp, err := c.RoundTrip(request(nil), nil, matchesID)
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		conns = append(conns, c)
	}
	for _, c := range conns {
		p.Put(c, MaxIdlePerUpstream)
	}
	is.Equal(p.idleCount(address), MaxIdlePerUpstream)
	p.CloseIdle(address)
	is.Equal(p.idleCount(address), 0)
}
