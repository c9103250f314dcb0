package callers

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/framing/framingtest"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// testServer is a server for callers whose chain counts its requests and keeps the last one.
type testServer struct {
	address  string
	requests atomic.Int64
	last     atomic.Pointer[exchange.Exchange]
	server   *Server
	body     func(context.Context) io.ReadCloser
}

func startServer(t *testing.T, withDocument bool) *testServer {
	t.Helper()
	const timeout = 20 * time.Second
	return startServerWithTimeout(t, withDocument, timeout)
}

// slowCallerTimeout is the timeout for slow callers in the tests that wait until it expires.
const slowCallerTimeout = time.Second

// startServerWithTimeout starts a server whose header, body and write timeouts have the given value.
func startServerWithTimeout(t *testing.T, withDocument bool, timeout time.Duration) *testServer {
	t.Helper()
	return startServerOn(t, withDocument, timeout, func(l net.Listener) net.Listener { return l })
}

// startServerOn starts such a server on a listener that is wrapped.
func startServerOn(t *testing.T, withDocument bool, timeout time.Duration, wrap func(net.Listener) net.Listener) *testServer {
	t.Helper()
	s := &settings.Router{Limits: settings.Limits{HeaderBytes: 2048, BodyBytes: 1024, TotalBodyBytes: 1536}}
	s.Timeouts = settings.Timeouts{
		Header: settings.Duration(timeout), Body: settings.Duration(timeout),
		Write: settings.Duration(timeout), Idle: settings.Duration(20 * time.Second),
		Request: settings.Duration(20 * time.Second),
	}
	store := config.NewStore(clockwork.NewRealClock(), zerolog.Nop())
	if withDocument {
		offer(t, store)
	}
	b := &testServer{body: func(context.Context) io.ReadCloser { return exchange.BodyFromBytes([]byte("answer")) }}
	handler := New(store, b.chain, s, clockwork.NewRealClock(), zerolog.Nop(), tally.NoopScope)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.server = handler.Server(func(next http.Handler) http.Handler { return next })
	go func() { _ = b.server.Serve(wrap(listener)) }()
	t.Cleanup(func() { b.server.Close() })
	b.address = listener.Addr().String()
	return b
}

func offer(t *testing.T, store *config.Store) {
	t.Helper()
	doc := document.Document{
		Schema: document.SchemaVersion, Fleet: "test", Version: 1,
		DataCentres: []document.DataCentre{{Name: "dc-1", State: document.StateIn}},
	}
	raw, err := doc.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Offer(raw, "test"); err != nil {
		t.Fatal(err)
	}
}

func (b *testServer) chain(ctx context.Context, x *exchange.Exchange) error {
	b.requests.Add(1)
	b.last.Store(x)
	x.Route = &document.Route{Name: "chat"}
	x.Response = &exchange.Response{Status: http.StatusOK, Header: http.Header{}, Body: b.body(ctx), Upstream: "engine-1"}
	return nil
}

// roundTrip writes the request and returns the response and its body.
func (b *testServer) roundTrip(t *testing.T, request string) (*http.Response, string) {
	t.Helper()
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	// The server may close the connection while a refused request is still being sent; the response states the reason.
	_, _ = io.WriteString(conn, request)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(resp.Body)
	return resp, string(body)
}

const head = "POST /v1/chat HTTP/1.1\r\nHost: h\r\n"

func TestInvalidRequestsAreRefusedAndNotRun(t *testing.T) {
	t.Parallel()
	pad := func(n int) string { return strings.Repeat("a", n) }
	cases := []struct {
		name    string
		request string
		status  int
		code    string
	}{
		{"body above the limit", head + "Content-Length: 1025\r\n\r\n" + pad(1025), 413, "body-too-large"},
		{"chunked body above the limit", head + "Transfer-Encoding: chunked\r\n\r\n401\r\n" + pad(1025) + "\r\n0\r\n\r\n", 413, "body-too-large"},
		{"broken chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "body-incomplete"},
		{"chunk ended by a line feed", head + "Transfer-Encoding: chunked\r\n\r\n2\nhi\r\n0\r\n\r\n", 400, "body-incomplete"},
		{"header above the limit", head + "X-Pad: " + pad(2048) + "\r\n\r\n", 431, "header-too-large"},
		{"dot segments", "POST /open/../v1/orders HTTP/1.1\r\nHost: h\r\n\r\n", 400, "bad-path"},
		{"encoded dot segments", "POST /open/%2e%2e/v1/orders HTTP/1.1\r\nHost: h\r\n\r\n", 400, "bad-path"},
		{"encoded slash after dots", "POST /open/..%2fv1/orders HTTP/1.1\r\nHost: h\r\n\r\n", 400, "bad-path"},
		{"backslash", "POST /open/..%5cv1 HTTP/1.1\r\nHost: h\r\n\r\n", 400, "bad-path"},
		{"line break in the path", "POST /open%0aforged HTTP/1.1\r\nHost: h\r\n\r\n", 400, "bad-path"},
		{"empty segment", "POST /v1//chat HTTP/1.1\r\nHost: h\r\n\r\n", 400, "bad-path"},
		{"path that is not UTF-8", "POST /open%ff HTTP/1.1\r\nHost: h\r\n\r\n", 400, "bad-path"},
		{"query with a broken escape", "POST /open?a=%zz HTTP/1.1\r\nHost: h\r\n\r\n", 400, "bad-query"},
		{"query with a semicolon", "POST /open?a=1;api_key=x HTTP/1.1\r\nHost: h\r\n\r\n", 400, "bad-query"},
		{"chat id that is not ASCII", head + "X-Chat-Id: \xff\r\n\r\n", 400, "bad-chat-id"},
		{"long chat id", head + "X-Chat-Id: " + pad(257) + "\r\n\r\n", 400, "bad-chat-id"},
		{"asterisk", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", 400, "bad-path"},
		{"timeout that is no number", head + "Oriole-Timeout-Ms: soon\r\n\r\n", 400, "bad-timeout"},
		{"timeout of zero", head + "Oriole-Timeout-Ms: 0\r\n\r\n", 400, "bad-timeout"},
		{"two idempotency keys", head + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", 400, "several-idempotency-keys"},
	}
	b := startServer(t, true)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resp, text := b.roundTrip(t, c.request)
			is.True(resp != nil)
			var body errorBody
			is.NoErr(json.Unmarshal([]byte(text), &body))
			is.Equal(resp.StatusCode, c.status)
			is.Equal(body.Error.Code, c.code)
			is.Equal(body.Error.Step, step)
			is.Equal(body.Error.Outcome, outcome.NotRun)
			is.Equal(resp.Header.Get(outcome.HeaderOutcome), string(outcome.NotRun))
			is.Equal(resp.Header.Get(outcome.HeaderTrace), body.Error.Trace)
			is.Equal(len(body.Error.Trace), 16)
			is.Equal(resp.Header.Get("Content-Type"), "application/json")
		})
	}
	is.New(t).Equal(b.requests.Load(), int64(0))
}

// TestMalformedHTTPIsNotRun sends requests that net/http refuses itself, without this package's headers.
func TestMalformedHTTPIsNotRun(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		request string
		status  int
	}{
		"no HTTP":                   {"hello\r\n\r\n", 400},
		"no host":                   {"GET / HTTP/1.1\r\n\r\n", 400},
		"header far over the limit": {head + "X-Pad: " + strings.Repeat("a", 32<<10) + "\r\n\r\n", 431},
	}
	b := startServer(t, true)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, _ := b.roundTrip(t, c.request)
			is.True(resp != nil)
			is.Equal(resp.StatusCode, c.status)
		})
	}
	is.New(t).Equal(b.requests.Load(), int64(0))
}

// Guards against requests that this router delimits in one way and whoever forwarded them in another.
func TestAmbiguousRequestsAreNotRun(t *testing.T) {
	t.Parallel()
	b := startServer(t, true)
	for _, tt := range append(framingtest.Cases(head, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
		framingtest.Case{Name: "two lengths and bodies", Request: head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
		framingtest.Case{Name: "space in a header name", Request: head + "Bad Name: 1\r\n\r\n"},
	) {
		t.Run(tt.Name, func(t *testing.T) {
			is := is.New(t)
			resp, text := b.roundTrip(t, tt.Request)
			is.True(resp != nil)
			var body errorBody
			is.NoErr(json.Unmarshal([]byte(text), &body))
			is.Equal(resp.StatusCode, http.StatusBadRequest)
			is.Equal(body.Error.Code, "ambiguous-request")
			is.Equal(resp.Header.Get(outcome.HeaderOutcome), string(outcome.NotRun))
			is.True(resp.Close)
		})
	}
	is.New(t).Equal(b.requests.Load(), int64(0))
}

func TestSlowCallersTimeOut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := startServerWithTimeout(t, true, slowCallerTimeout)
	resp, text := b.roundTrip(t, "POST / HTTP/1.1\r\n")
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.True(strings.Contains(text, `"code":"head-incomplete"`))
	is.Equal(resp.Header.Get(outcome.HeaderOutcome), string(outcome.NotRun))
	resp, text = b.roundTrip(t, head+"Content-Length: 10\r\n\r\nabc")
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.True(strings.Contains(text, `"code":"body-timeout"`))
	is.Equal(resp.Header.Get(outcome.HeaderOutcome), string(outcome.NotRun))
	is.Equal(b.requests.Load(), int64(0))
}

func TestWithoutDocumentRefusalHasRetryAfter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := startServer(t, false)
	resp, _ := b.roundTrip(t, head+"\r\n")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Retry-After"), "1")
	is.Equal(resp.Header.Get(outcome.HeaderOutcome), string(outcome.NotRun))
}

func TestRouterHeadersOfCallersAreRemoved(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := startServer(t, true)
	resp, _ := b.roundTrip(t, head+"Oriole-Outcome: run\r\noriole-hop-envelope: x\r\nOriole-Timeout-Ms: 1000\r\n"+
		"Connection: X-Private, close\r\nX-Private: 1\r\nX-Chat-Id: c\r\n\r\n")
	is.Equal(resp.StatusCode, http.StatusOK)
	x := b.last.Load()
	for name := range x.Header {
		is.True(!strings.HasPrefix(strings.ToLower(name), "oriole-")) // No such header is passed on.
	}
	is.Equal(x.Header.Get("X-Private"), "")
	is.Equal(x.Header.Get("X-Chat-Id"), "c")
	is.Equal(x.Deadline.Sub(x.Start), time.Second)
}

func TestCallerTimeoutIsBoundedBySettings(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := startServer(t, true)
	b.roundTrip(t, head+"Oriole-Timeout-Ms: 4000000000\r\nConnection: close\r\n\r\n")
	x := b.last.Load()
	is.Equal(x.Deadline.Sub(x.Start), 20*time.Second)
}

// slowResponse yields one line after each pause and, like an upstream's response, fails when the request is cancelled.
type slowResponse struct {
	ctx   context.Context
	lines int
	pause time.Duration
}

func (s *slowResponse) Read(p []byte) (int, error) {
	if s.lines == 0 {
		return 0, io.EOF
	}
	s.lines--
	select {
	case <-s.ctx.Done():
		return 0, s.ctx.Err()
	case <-time.After(s.pause):
		return copy(p, "line\n"), nil
	}
}

func (s *slowResponse) Close() error { return nil }

// TestSlowCallerTimeoutsDoNotCutLongResponses streams a response that takes much longer than the timeouts for the
// header, the body and each write.
func TestSlowCallerTimeoutsDoNotCutLongResponses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := startServerWithTimeout(t, true, slowCallerTimeout)
	b.body = func(ctx context.Context) io.ReadCloser {
		return &slowResponse{ctx: ctx, lines: 10, pause: 250 * time.Millisecond}
	}
	resp, body := b.roundTrip(t, head+"Content-Length: 2\r\nConnection: close\r\n\r\nhi")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, strings.Repeat("line\n", 10))
}

// endlessResponse is a response that never ends and yields bytes as fast as they are read.
type endlessResponse struct {
	closed chan struct{}
}

func (e *endlessResponse) Read(p []byte) (int, error) { return len(p), nil }
func (e *endlessResponse) Close() error               { close(e.closed); return nil }

func TestCallerThatDoesNotReadResponseIsDisconnected(t *testing.T) {
	t.Parallel()
	b := startServerWithTimeout(t, true, slowCallerTimeout)
	response := &endlessResponse{closed: make(chan struct{})}
	b.body = func(context.Context) io.ReadCloser { return response }
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, head+"\r\n")
	select {
	case <-response.closed:
	case <-time.After(20 * time.Second):
		t.Fatal("the response is still open")
	}
}

// TestTotalBodyBytesAreBounded sends two bodies of 1000 bytes, which together exceed the total. Once the first request
// ends, another one fits.
func TestTotalBodyBytesAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := startServer(t, true)
	release := make(chan struct{})
	b.body = func(context.Context) io.ReadCloser { return &blockedResponse{release: release} }
	request := head + "Connection: close\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("a", 1000)
	first := make(chan int)
	go func() {
		resp, _ := b.roundTrip(t, request)
		first <- resp.StatusCode
	}()
	for b.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	resp, text := b.roundTrip(t, request)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, `"bodies-full"`))
	is.Equal(resp.Header.Get("Retry-After"), "1")
	is.Equal(b.requests.Load(), int64(1))
	close(release)
	is.Equal(<-first, http.StatusOK)
	for range 5 { // Every request releases its bytes when it ends.
		resp, _ = b.roundTrip(t, request)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}

// blockedResponse is an empty response that ends when release is closed.
type blockedResponse struct {
	release chan struct{}
}

func (h *blockedResponse) Read([]byte) (int, error) { <-h.release; return 0, io.EOF }
func (h *blockedResponse) Close() error             { return nil }

func TestNextRequestOnConnectionHasItsOwnDeadlines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := startServerWithTimeout(t, true, slowCallerTimeout)
	conn, err := net.Dial("tcp", b.address)
	is.NoErr(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := range 2 {
		fmt.Fprintf(conn, "%sContent-Length: 2\r\n\r\nhi", head)
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(b.requests.Load(), int64(n+1))
		time.Sleep(slowCallerTimeout + 100*time.Millisecond) // Longer than the timeouts for body and write.
	}
}
