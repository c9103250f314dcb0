package direct

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// lateListener accepts connections whose reader is not scheduled for a while after it has read the second request.
type lateListener struct {
	net.Listener
	read, goOn chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &lateConn{Conn: c, listener: l}, err
}

type lateConn struct {
	net.Conn
	listener *lateListener
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if bytes.HasPrefix(p[:n], []byte("GET /r/second")) {
		c.listener.read <- struct{}{}
		<-c.listener.goOn
	}
	return n, err
}

// A planned stop answers a request that was read from an unused connection just before, though the process is not
// scheduled again for a while.
func TestAStopAnswersARequestThatWasJustRead(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false, ok, ok)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	late := &lateListener{Listener: l, read: make(chan struct{}), goOn: make(chan struct{})}
	server := h.server.HTTPServer()
	go func() { _ = server.Serve(late) }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	br := bufio.NewReader(c)
	ask := func(path string) {
		_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h.example\r\nX-Id: id-1\r\nX-Key: key\r\n\r\n")
		is.NoErr(err)
	}
	answer := func() {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
	ask("/r/first")
	answer()
	for h.server.idle.unused() == 0 { // until net/http waits for the next request
		time.Sleep(time.Millisecond)
	}
	ask("/r/second")
	<-late.read
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() {
		h.server.DrainIdleConns(ctx)
		stopped <- server.Shutdown(ctx)
	}()
	const several = 10
	time.Sleep(several * endPoll) // the stop looks at the connection several times meanwhile; more or fewer do no harm
	close(late.goOn)
	answer()
	is.NoErr(<-stopped)
}

// A planned stop does not wait for connections on which nothing comes.
func TestAStopEndsUnusedConnections(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false, ok)
	server := h.server.HTTPServer()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(l) }()
	client := &http.Client{}
	req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/r/", nil)
	is.NoErr(err)
	req.Host = "h.example"
	req.Header.Set("X-Id", "id-1")
	req.Header.Set("X-Key", "key")
	resp, err := client.Do(req)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	h.server.DrainIdleConns(ctx)
	is.NoErr(ctx.Err())
	is.Equal(h.server.idle.unused(), 0)
	is.NoErr(server.Shutdown(ctx))
}

// unused returns the number of unused connections.
func (i *idleConns) unused() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.since)
}
