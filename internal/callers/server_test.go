package callers

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// caller is a caller that writes its requests in parts.
type caller struct {
	t  *testing.T
	c  net.Conn
	br *bufio.Reader
}

func (b *testServer) connect(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &caller{t: t, c: c, br: bufio.NewReader(c)}
}

func (c *caller) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.c, text); err != nil {
		c.t.Fatal(err)
	}
}

// status reads one response and returns its status, or 0 if the connection ends without one.
func (c *caller) status() int {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// shutDown begins a planned stop and lets it close what it takes for idle.
func (b *testServer) shutDown(timeout time.Duration) <-chan error {
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		err := b.server.Shutdown(ctx)
		b.server.Close()
		stopped <- err
	}()
	return stopped
}

// headCuts are places at which a request arrives in two parts.
var headCuts = []struct{ name, first, rest string }{
	{"after the first byte", "P", "OST /v1/chat HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"after the fourth byte", "POST", " /v1/chat HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"in the Host field", "POST /v1/chat HTTP/1.1\r\nHost: h", "\r\n\r\n"},
	{"before the last byte", head + "\r", "\n"},
	{"in the body", head + "Content-Length: 4\r\n\r\nbo", "dy"},
}

// Guards against a request that ends without a response because its head arrives in parts while the router stops.
func TestHeadThatBeganBeforePlannedStopIsAnswered(t *testing.T) {
	for _, kept := range []bool{false, true} {
		for _, tt := range headCuts {
			name := tt.name + ", new connection"
			if kept {
				name = tt.name + ", kept connection"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				b := startServer(t, true)
				c := b.connect(t)
				if kept {
					c.write(head + "\r\n")
					is.Equal(c.status(), http.StatusOK)
				}
				c.write(tt.first)
				time.Sleep(50 * time.Millisecond) // until the first part has been received
				stopped := b.shutDown(10 * time.Second)
				time.Sleep(700 * time.Millisecond) // until connections that count as idle have been closed
				c.write(tt.rest)
				is.Equal(c.status(), http.StatusOK)
				is.NoErr(c.c.Close())
				is.NoErr(<-stopped)
			})
		}
	}
}

// Guards against a request that ends without a response because its head is still arriving at the end of a stop.
func TestHeadThatArrivesAtEndOfStopIsRefused(t *testing.T) {
	for _, tt := range headCuts[:4] {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := startServer(t, true)
			c := b.connect(t)
			c.write(tt.first)
			time.Sleep(50 * time.Millisecond) // until the first part has been received
			stopped := b.shutDown(50 * time.Millisecond)
			is.Equal(c.status(), http.StatusServiceUnavailable)
			is.Equal(c.status(), 0)
			is.True(<-stopped != nil) // the stop did not end in time
		})
	}
}

// A stop does not wait for connections on which no request arrives.
func TestStopEndsIdleConnections(t *testing.T) {
	is := is.New(t)
	b := startServer(t, true)
	c := b.connect(t)
	c.write(head + "\r\n")
	is.Equal(c.status(), http.StatusOK)
	is.NoErr(<-b.shutDown(10 * time.Second))
	is.Equal(c.status(), 0)
	_, err := net.Dial("tcp", b.address)
	is.True(err != nil)
}

// slowListener returns accepted connections late, as if the process were not scheduled.
type slowListener struct {
	net.Listener
	accepted chan struct{}
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
		time.Sleep(200 * time.Millisecond)
	}
	return c, err
}

// Guards against a stop that ends before a connection that has just been accepted is known.
func TestConnectionAcceptedAtStopIsServed(t *testing.T) {
	is := is.New(t)
	accepted := make(chan struct{}, 1)
	b := startServerOn(t, true, slowCallerTimeout, func(l net.Listener) net.Listener { return slowListener{l, accepted} })
	c := b.connect(t)
	c.write(head + "\r\n")
	<-accepted
	stopped := b.shutDown(10 * time.Second)
	is.Equal(c.status(), http.StatusOK)
	is.NoErr(c.c.Close())
	is.NoErr(<-stopped)
}
