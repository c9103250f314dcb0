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

// lateListener accepts connections whose Read blocks after it has received the second request, as if the reader were
// not scheduled.
type lateListener struct {
	net.Listener
	read, resume chan struct{}
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
		<-c.listener.resume
	}
	return n, err
}

// A drain must not cut off a request that was read from an idle connection just before, even if the process is not
// scheduled for a while and the connection's state is still idle.
func TestDrainAnswersRequestReadJustBefore(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false, ok, ok)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	late := &lateListener{Listener: l, read: make(chan struct{}), resume: make(chan struct{})}
	server := h.server.HTTPServer()
	go func() { _ = server.Serve(late) }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	br := bufio.NewReader(c)
	sendRequest := func(path string) {
		_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h.example\r\nX-Id: id-1\r\nX-Key: key\r\n\r\n")
		is.NoErr(err)
	}
	readResponse := func() {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
	sendRequest("/r/first")
	readResponse()
	for h.server.idleConns.idleCount() == 0 { // until net/http waits for the next request
		time.Sleep(time.Millisecond)
	}
	sendRequest("/r/second")
	<-late.read
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() {
		h.server.DrainIdleConns(ctx)
		stopped <- server.Shutdown(ctx)
	}()
	const polls = 10
	time.Sleep(polls * drainPollInterval) // lets the drain poll the connection several times; the exact number does not matter
	close(late.resume)
	readResponse()
	is.NoErr(<-stopped)
}

// A drain does not wait for connections on which no request arrives.
func TestDrainEndsIdleConnections(t *testing.T) {
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
	is.Equal(h.server.idleConns.idleCount(), 0)
	is.NoErr(server.Shutdown(ctx))
}

// idleCount returns the number of idle connections.
func (i *idleConns) idleCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.idleSince)
}
