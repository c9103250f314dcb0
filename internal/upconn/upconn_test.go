package upconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// peer accepts connections and hands each one to serve.
func peer(t *testing.T, serve func(net.Conn)) string {
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
			go serve(c)
		}
	}()
	return l.Addr().String()
}

func answer(extra string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + extra + "Content-Length: 2\r\n\r\nok"
}

// answering reads requests with their bodies and gives the answers in turn.
func answering(answers ...string) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for _, a := range answers {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			_, _ = io.WriteString(c, a)
		}
	}
}

func request(body []byte) *http.Request {
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: "h", Opaque: "/p%2f"}, Host: "h", Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), ProtoMajor: 1, ProtoMinor: 1,
	}
}

func own(_ int, h http.Header) bool { return h.Get("X-Id") == "1" }

// roundTrip sends one request and gives the connection back.
func roundTrip(t *testing.T, p *Pool, address string, body []byte) (reused bool) {
	t.Helper()
	is := is.New(t)
	c, err := p.Get(context.Background(), address)
	is.NoErr(err)
	resp, err := c.RoundTrip(request(body), body, own)
	is.NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(text), "ok")
	p.Put(c)
	return c.Reused
}

// unused returns how many unused connections to the address there are.
func (p *Pool) unused(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}

func TestWhichConnectionsAreUsedAgain(t *testing.T) {
	tests := []struct {
		name  string
		first string
		pause time.Duration
		again bool
	}{
		{"sound", answer(""), 0, true},
		{"closing", answer("Connection: close\r\n"), 0, false},
		{"bytes after the answer", answer("") + "x", 0, false},
		{"an answer after the answer", answer("") + answer(""), 0, false},
		{"unused for long", answer(""), defaultIdle + 1, false},
		{"within the upstream's own time", answer("Keep-Alive: timeout=10\r\n"), 5 * time.Second, true},
		{"near the upstream's own time", answer("Keep-Alive: timeout=10\r\n"), 7 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := NewPool(nil, clock)
			address := peer(t, answering(tt.first, answer("")))
			roundTrip(t, p, address, []byte("b"))
			clock.Advance(tt.pause)
			if !tt.again {
				// The connection is dropped at once or when it is looked at.
				p.CloseExpired()
			}
			is.New(t).Equal(p.unused(address) == 1, tt.again)
		})
	}
}

func TestAConnectionThatThePeerClosedIsNotUsed(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	p := NewPool(nil, clockwork.NewRealClock())
	address := peer(t, func(c net.Conn) {
		answering(answer(""))(c)
		closed <- struct{}{}
	})
	roundTrip(t, p, address, nil)
	<-closed
	// The end of the connection travels over loopback; until it is here the connection looks sound.
	for range 1000 {
		p.mu.Lock()
		sound := p.idle[address][0].sound(p.clock.Now())
		p.mu.Unlock()
		if !sound {
			break
		}
		time.Sleep(time.Millisecond)
	}
	is.True(!roundTrip(t, p, address, nil))
}

func TestAnswersToOtherRequestsAreReadPast(t *testing.T) {
	p := NewPool(nil, clockwork.NewRealClock())
	stray := strings.Replace(answer(""), "X-Id: 1", "X-Id: 2", 1)
	roundTrip(t, p, peer(t, answering(stray+"HTTP/1.1 100 Continue\r\n\r\n"+answer(""))), nil)
}

func TestOnlyStrayAnswersAreAnError(t *testing.T) {
	is := is.New(t)
	p := NewPool(nil, clockwork.NewRealClock())
	stray := strings.Replace(answer(""), "X-Id: 1", "X-Id: 2", 1)
	c, err := p.Get(context.Background(), peer(t, answering(strings.Repeat(stray, maxStray))))
	is.NoErr(err)
	_, err = c.RoundTrip(request(nil), nil, own)
	is.True(err != nil)
	is.True(c.WriteStarted)
	c.Close()
}

// A peer that answers before it has read a long body, and reads on later, gets the rest of that body and nothing else.
func TestAnEarlyAnswerDoesNotSpoilTheBody(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<20) // 16 MB: more than socket buffers take
	got, released := make(chan string, 1), make(chan struct{})
	p := NewPool(nil, clockwork.NewRealClock())
	address := peer(t, func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(""))
		<-released // the body cannot have been sent whole when the connection is given back
		raw, _ := io.ReadAll(r.Body)
		got <- string(raw)
	})
	c, err := p.Get(context.Background(), address)
	is.NoErr(err)
	resp, err := c.RoundTrip(request(body), body, own)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	p.Put(c)
	close(released)
	raw := <-got
	is.True(strings.HasPrefix(string(body), raw)) // the body or its beginning, never another request
	is.Equal(p.unused(address), 0)
}

func TestSentBytesMustBeAcknowledgedInTime(t *testing.T) {
	is := is.New(t)
	c, err := NewPool(nil, clockwork.NewRealClock()).Get(context.Background(), peer(t, answering()))
	is.NoErr(err)
	defer c.Close()
	raw, err := c.raw.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		is.NoErr(err)
		is.Equal(ms, int(unackedTimeout.Milliseconds()))
	}))
}

func TestUnusedConnectionsToOneUpstreamAreBounded(t *testing.T) {
	is := is.New(t)
	p := NewPool(nil, clockwork.NewRealClock())
	address := peer(t, answering(answer("")))
	var conns []*Conn
	for range maxIdlePerUpstream + 3 {
		c, err := p.Get(context.Background(), address)
		is.NoErr(err)
		resp, err := c.RoundTrip(request(nil), nil, own)
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		conns = append(conns, c)
	}
	for _, c := range conns {
		p.Put(c)
	}
	is.Equal(p.unused(address), maxIdlePerUpstream)
	p.CloseIdle(address)
	is.Equal(p.unused(address), 0)
}
