package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// pausedListener accepts connections that pause once after they have received a request for /r/second, as if the
// process were not scheduled: right after the read if steps is 0, else after as many read deadlines have been set since.
type pausedListener struct {
	net.Listener
	steps            int
	received, resume chan struct{}
}

func (l *pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &pausedConn{Conn: c, listener: l, left: -1}, err
}

type pausedConn struct {
	net.Conn
	listener *pausedListener
	// left is the number of steps until the pause; negative if none is due.
	left int
}

func (c *pausedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if strings.Contains(string(p[:n]), " /r/second ") {
		c.left = c.listener.steps
		c.step()
	}
	return n, err
}

func (c *pausedConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.left > 0 {
		c.left--
		c.step()
	}
	return err
}

// NetConn lets the server find the connection that it tracks.
func (c *pausedConn) NetConn() net.Conn { return c.Conn }

func (c *pausedConn) step() {
	if c.left == 0 {
		c.left = -1
		c.listener.received <- struct{}{}
		<-c.listener.resume
	}
}

// Guards against a request that is closed without a response because its connection reaches the idle timeout, which a
// configuration may have shortened, while the request is being read.
func TestRequestReadAtIdleTimeoutIsAnswered(t *testing.T) {
	const head = "POST /r/second" + rawHead
	for _, tt := range []struct {
		name string
		// first and rest are the bytes that arrive before and after the idle timeout passes.
		first, rest string
	}{
		{"without body", "GET /r/second" + rawHead + "\r\n", ""},
		{"with body", head + "Content-Length: 4\r\n\r\nbody", ""},
		{"body in part", head + "Content-Length: 4\r\n\r\nbo", "dy"},
		{"body later", head + "Content-Length: 4\r\n\r\n", "body"},
		{"chunked body later", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n"},
	} {
		// net/http sets two deadlines between the arrival of a request and the hook for the connection's state: for the rest
		// of the head, and none once the head is complete.
		for steps := range 3 {
			t.Run(fmt.Sprint(tt.name, ", step ", steps), func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, catalog.Unsafe, false, ok, ok)
				inner, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				l := &pausedListener{Listener: h.server.Listen(inner), steps: steps, received: make(chan struct{}), resume: make(chan struct{})}
				server := h.server.HTTPServer()
				go func() { _ = server.Serve(l) }()
				defer server.Close()
				c, err := net.Dial("tcp", inner.Addr().String())
				is.NoErr(err)
				defer c.Close()
				br := bufio.NewReader(c)
				exchange := func(raw string) {
					_, err := io.WriteString(c, raw)
					is.NoErr(err)
					resp, err := http.ReadResponse(br, nil)
					is.NoErr(err)
					is.Equal(resp.StatusCode, http.StatusOK)
					_, err = io.Copy(io.Discard, resp.Body)
					is.NoErr(err)
				}
				exchange("POST /r/first" + rawHead + "Content-Length: 0\r\n\r\n")
				for h.server.Conns().WaitingForRequest == 0 {
					time.Sleep(time.Millisecond)
				}
				_, err = io.WriteString(c, tt.first)
				is.NoErr(err)
				<-l.received
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				stopped := make(chan error, 1)
				go func() { stopped <- h.server.AwaitConns(ctx) }() // interrupts connections as an idle timeout does
				time.Sleep(50 * time.Millisecond)                   // lets the drain look at the connection several times
				close(l.resume)
				exchange(tt.rest)
				is.NoErr(<-stopped)
			})
		}
	}
}

// Guards against a refusal that cannot be written because the deadline of the request before it on the connection has
// passed.
func TestRefusalAfterDeadlineOfEarlierRequestIsWritten(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false, ok)
	c, err := net.Dial("tcp", strings.TrimPrefix(h.front.URL, "http://"))
	is.NoErr(err)
	defer c.Close()
	br := bufio.NewReader(c)
	const timeout = 2 * time.Second
	exchange := func(request string) int {
		_, err := io.WriteString(c, request)
		is.NoErr(err)
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp.StatusCode
	}
	is.Equal(exchange(fmt.Sprintf("GET /r/%sX-Wait-Ms: %d\r\n\r\n", rawHead, timeout.Milliseconds())), http.StatusOK)
	time.Sleep(timeout + writeGrace) // until the write deadline of the request has passed
	is.Equal(exchange("GET /none"+rawHead+"\r\n"), http.StatusNotFound)
	is.Equal(exchange("GET /r/ HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\n\r\n"), http.StatusUnauthorized)
}

// Guards against complete responses that cannot be written because the router stood still until the request's deadline had
// passed.
func TestResponseAfterDeadlineIsWritten(t *testing.T) {
	for name, send := range map[string]func(*callerResponse){
		"refusal": func(c *callerResponse) {
			c.sendRefusal(outcome.Unavailable(stepDispatch, "no-time", "the deadline has passed"))
		},
		"upstream's response": func(c *callerResponse) {
			c.sendBuffered(&bufferedResponse{status: http.StatusServiceUnavailable, body: []byte("body")})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c := callerResponse{writer: w, clock: clockwork.NewRealClock(), writeDeadline: time.Now().Add(-time.Second), isEndToEnd: testCodec{}.IsEndToEnd}
				is.NoErr(http.NewResponseController(w).SetWriteDeadline(c.writeDeadline))
				send(&c)
			}))
			defer s.Close()
			resp, err := http.Get(s.URL)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		})
	}
}

// Guards against a shorter time for the caller to receive a response than its deadline leaves.
func TestResponseKeepsLaterWriteDeadline(t *testing.T) {
	is := is.New(t)
	now := clockwork.NewRealClock()
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	c := callerResponse{writer: w, clock: now, writeDeadline: now.Now().Add(time.Minute), isEndToEnd: testCodec{}.IsEndToEnd}
	c.sendBuffered(&bufferedResponse{status: http.StatusOK})
	is.True(w.deadline.IsZero())
}

// deadlineRecorder records the write deadline that is set.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	r.deadline = t
	return nil
}
