package direct

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/callerconn"
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
	go func() { _ = server.Serve(h.server.Listen(late)) }()
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
	for h.server.Conns().WaitingForRequest == 0 { // until net/http waits for the next request
		time.Sleep(time.Millisecond)
	}
	sendRequest("/r/second")
	<-late.read
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() {
		stopped <- h.server.AwaitConns(ctx)
	}()
	time.Sleep(50 * time.Millisecond) // lets the drain look at the connection several times; the exact number does not matter
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
	go func() { _ = server.Serve(h.server.Listen(l)) }()
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
	is.NoErr(h.server.AwaitConns(ctx))
	is.Equal(h.server.Conns(), callerconn.State{})
	is.NoErr(server.Shutdown(ctx))
}

// after returns the behaviour with a delay before it.
func (b behaviour) after(delay time.Duration) behaviour {
	return behaviour{b.name + " late", func(c net.Conn, r *http.Request) bool {
		time.Sleep(delay)
		return b.serve(c, r)
	}, b.ran}
}

// Guards against requests that a stopping router passes on, at first or once more, although their response cannot be
// expected before the end of the stop, and against refusals of those that can be served.
func TestRequestThatMayOutlastStopIsRefused(t *testing.T) {
	const long, objective = 5 * time.Second, 800 * time.Millisecond
	tests := []struct {
		name      string
		kind      catalog.Kind
		resumable bool
		// refuseFrom and cutOff are counted from the request.
		refuseFrom, cutOff time.Duration
		waitMS             string
		script             []behaviour
		status, sends      int
	}{
		{"safe, late", catalog.Safe, false, 0, long, "", nil, 503, 0},
		{"unsafe, late", catalog.Unsafe, false, 0, long, "", nil, 503, 0},
		{"stream, late", catalog.Stream, false, 0, long, "", nil, 503, 0},
		{"unsafe, late, with a short deadline", catalog.Unsafe, false, 0, long, "1000", []behaviour{ok}, 200, 1},
		{"unsafe, in time", catalog.Unsafe, false, long, long, "", []behaviour{ok}, 200, 1},
		{"stream, in time", catalog.Stream, false, long, long, "", []behaviour{streams}, 200, 1},
		{"unsafe, less than the objective left", catalog.Unsafe, false, long, objective / 2, "", nil, 503, 0},
		{"unsafe, refused when little is left", catalog.Unsafe, false, long, 5 * objective / 4, "", []behaviour{shed.after(objective / 2)}, 503, 1},
		{"unsafe, refused when enough is left", catalog.Unsafe, false, long, long, "", []behaviour{shed.after(objective / 2), ok}, 200, 2},
		{"safe, failed when little is left", catalog.Safe, false, long, 5 * objective / 4, "", []behaviour{closes.after(objective / 2), ok}, 200, 2},
		{"begun stream broken off when little is left", catalog.Stream, true, long, 5 * objective / 4, "", []behaviour{cutStream.after(3 * objective / 4), streams}, 200, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.kind, tt.resumable, tt.script...)
			now := time.Now()
			h.server.BeginStop(now.Add(tt.refuseFrom), now.Add(tt.cutOff))
			r := h.call(http.MethodPost, "/r/", "body", "X-Wait-Ms", tt.waitMS)
			is.NoErr(r.err)
			is.Equal(r.status, tt.status)
			seen, _, _, left := h.record()
			is.Equal(len(seen), tt.sends)
			is.Equal(left, 0)
			for _, sent := range seen { // no upstream may work beyond the end of the stop
				ms, err := strconv.Atoi(sent.Header.Get("X-Remaining-Ms"))
				is.NoErr(err)
				is.True(time.Duration(ms)*time.Millisecond <= tt.cutOff)
			}
			if tt.status != http.StatusServiceUnavailable {
				return
			}
			is.True(strings.Contains(r.body, `"code":"stopping"`))
			is.True(strings.Contains(r.body, `"outcome":"not-run"`))
			wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(wait > 0 && wait <= 1)
		})
	}
}

// A request whose headers came in time and whose body came late is a late one.
func TestRequestWithLateBodyIsRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false)
	const margin = 100 * time.Millisecond
	now := time.Now()
	h.server.BeginStop(now.Add(margin), now.Add(5*time.Second))
	c, err := net.Dial("tcp", h.front.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /r/ HTTP/1.1\r\nHost: h.example\r\nX-Id: id-1\r\nX-Key: key\r\nContent-Length: 4\r\n\r\n")
	is.NoErr(err)
	time.Sleep(2 * margin)
	_, err = io.WriteString(c, "body")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Close)
}

// Guards against requests that are in flight at the end of a planned stop and whose connections end without a response. A
// connection on which a request arrives only then is answered too.
func TestRequestsCutOffByStopAreAnswered(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Safe, catalog.Unsafe, catalog.Stream} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			hang, ended := hangs()
			h := newHarness(t, kind, false, hang)
			now := time.Now()
			h.server.BeginStop(now.Add(time.Minute), now.Add(5*time.Second))
			late, err := net.Dial("tcp", h.front.Listener.Addr().String())
			is.NoErr(err)
			defer late.Close()
			replies := make(chan reply, 1)
			go func() { replies <- h.call(http.MethodPost, "/r/", "body") }()
			h.waitRun()
			h.server.CutOff()
			r := <-replies
			is.NoErr(r.err)
			is.Equal(r.status, http.StatusBadGateway)
			is.True(strings.Contains(r.body, `"code":"stopping"`))
			is.True(strings.Contains(r.body, `"outcome":"unknown"`))
			<-ended
			_, err = io.WriteString(late, "GET /r/ HTTP/1.1\r\nHost: h.example\r\nX-Id: id-2\r\nX-Key: key\r\n\r\n")
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(late), nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			_, _, ran, _ := h.record()
			is.Equal(ran, 1)
		})
	}
}

// Guards against callers that reuse a connection which a stop is about to end, since its response did not say so: the request
// had been received before the stop began.
func TestResponsesInStopEndTheirConnections(t *testing.T) {
	for _, tt := range []struct {
		name   string
		kind   catalog.Kind
		script []behaviour
	}{
		{"response", catalog.Unsafe, []behaviour{ok.after(200 * time.Millisecond)}},
		{"stream", catalog.Stream, []behaviour{ok.after(200 * time.Millisecond)}},
		{"refusal", catalog.Unsafe, []behaviour{cutBefore.after(200 * time.Millisecond)}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.kind, false, tt.script...)
			c := newRawCaller(t, h)
			c.Write("POST /r/" + rawHead + "Content-Length: 4\r\n\r\nbody")
			h.waitRun()
			h.server.BeginStop(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
			resp, err := http.ReadResponse(c.Reader, nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.True(resp.Close)
		})
	}
}
