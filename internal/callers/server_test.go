package callers

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/testconn"
)

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
				c := testconn.Dial(t, b.address)
				if kept {
					c.Write(head + "\r\n")
					is.Equal(c.Status(), http.StatusOK)
				}
				c.Write(tt.first)
				time.Sleep(50 * time.Millisecond) // until the first part has been received
				stopped := b.shutDown(10 * time.Second)
				time.Sleep(700 * time.Millisecond) // until connections that count as idle have been closed
				c.Write(tt.rest)
				is.Equal(c.Status(), http.StatusOK)
				is.NoErr(c.Conn.Close())
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
			c := testconn.Dial(t, b.address)
			c.Write(tt.first)
			time.Sleep(50 * time.Millisecond) // until the first part has been received
			stopped := b.shutDown(50 * time.Millisecond)
			is.Equal(c.Status(), http.StatusServiceUnavailable)
			is.Equal(c.Status(), 0)
			is.True(<-stopped != nil) // the stop did not end in time
		})
	}
}

// A stop does not wait for connections on which no request arrives.
func TestStopEndsIdleConnections(t *testing.T) {
	is := is.New(t)
	b := startServer(t, true)
	c := testconn.Dial(t, b.address)
	c.Write(head + "\r\n")
	is.Equal(c.Status(), http.StatusOK)
	is.NoErr(<-b.shutDown(10 * time.Second))
	is.Equal(c.Status(), 0)
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
	c := testconn.Dial(t, b.address)
	c.Write(head + "\r\n")
	<-accepted
	stopped := b.shutDown(10 * time.Second)
	is.Equal(c.Status(), http.StatusOK)
	is.NoErr(c.Conn.Close())
	is.NoErr(<-stopped)
}
