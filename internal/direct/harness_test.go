package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/detour"
	"github.com/orioleusher/orioleusher/internal/lending"
	"github.com/orioleusher/orioleusher/internal/origin"
	"github.com/orioleusher/orioleusher/internal/promptblame"
	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/quarantine"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

// testCodec implements Codec with a simple wire format.
type testCodec struct{}

func (testCodec) DecodeRequest(r *http.Request) RequestMetadata {
	ms, _ := strconv.Atoi(r.Header.Get("X-Wait-Ms"))
	last, _ := strconv.ParseInt(r.Header.Get("X-Last"), 10, 64)
	meta := RequestMetadata{ID: r.Header.Get("X-Id"), APIKey: r.Header.Get("X-Key"), CallerTimeout: time.Duration(ms) * time.Millisecond, LastEventID: last, Resumes: r.Header.Get("X-Resumes")}
	for id := range strings.SplitSeq(r.Header.Get("X-Prompt"), ",") {
		meta.Prompt = append(meta.Prompt, PromptSegment{ID: id})
	}
	return meta
}

func (testCodec) ForwardHeader(caller http.Header, meta ForwardMetadata) http.Header {
	h := caller.Clone()
	h.Del("X-Key")
	h.Set("X-Team", meta.Team)
	h.Set("X-Instance", meta.Upstream.ID)
	h.Set("X-Remaining-Ms", strconv.FormatInt(meta.RemainingTime.Milliseconds(), 10))
	h.Del("X-Last")
	if meta.LastEventID > 0 {
		h.Set("X-Last", strconv.FormatInt(meta.LastEventID, 10))
	}
	return h
}

func (testCodec) IsEndToEnd(name string) bool {
	return slices.Contains([]string{"X-Id", "X-Key", "X-Last", "X-Resumes", "X-Signed"}, name)
}

func (testCodec) DecodeResponse(status int, h http.Header) ResponseMetadata {
	meta := ResponseMetadata{
		ID: h.Get("X-Id"), Signed: h.Get("X-Signed") != "", NotRun: h.Get("X-Not-Run") != "",
		WrongInstance: status == http.StatusMisdirectedRequest,
	}
	meta.Leaving = h.Get("X-Leaving") != ""
	if seconds, err := strconv.Atoi(h.Get("Retry-After")); err == nil && status == http.StatusServiceUnavailable {
		meta.RetryAfter = time.Duration(seconds) * time.Second
	}
	if rejections, err := strconv.Atoi(h.Get("X-Brittle")); err == nil {
		meta.Brittle = &rejections
	}
	if limit, err := strconv.ParseFloat(h.Get("X-Limit"), 64); err == nil {
		meta.RequestLimit = &limit
	}
	return meta
}

// behaviour is how an upstream responds to one request on a connection. serve returns false if the connection must be
// closed; ran is set if the upstream executes the request.
type behaviour struct {
	name  string
	serve func(c net.Conn, r *http.Request) (keep bool)
	ran   bool
}

func response200(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func writeText(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

// resetConn closes the connection with a TCP reset.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

const streamHead = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", id, id) }

// streamEvents is the number of events of a complete stream.
const streamEvents = 5

func streamFrom(c net.Conn, r *http.Request, until int) {
	last, _ := strconv.Atoi(r.Header.Get("X-Last"))
	writeText(c, fmt.Sprintf(streamHead, r.Header.Get("X-Id")))
	for id := last + 1; id <= until; id++ {
		writeText(c, chunk(event(id)))
	}
}

var (
	ok = behaviour{"ok", func(c net.Conn, r *http.Request) bool {
		writeText(c, response200(r.Header.Get("X-Id"), "whole"))
		return true
	}, true}
	shed = behaviour{"shed", func(c net.Conn, r *http.Request) bool {
		writeText(c, "HTTP/1.1 503 Busy\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}, false}
	otherInstance = behaviour{"another instance", func(c net.Conn, r *http.Request) bool {
		writeText(c, "HTTP/1.1 421 Misdirected\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}, false}
	resets    = behaviour{"reset", func(c net.Conn, _ *http.Request) bool { resetConn(c); return false }, true}
	closes    = behaviour{"closed", func(net.Conn, *http.Request) bool { return false }, true}
	notHTTP   = behaviour{"not HTTP", func(c net.Conn, _ *http.Request) bool { writeText(c, "garbage\r\n\r\n"); return false }, true}
	truncated = behaviour{"truncated", func(c net.Conn, r *http.Request) bool {
		writeText(c, strings.TrimSuffix(response200(r.Header.Get("X-Id"), "whole"), "ole"))
		return false
	}, true}
	unsigned = behaviour{"unsigned", func(c net.Conn, r *http.Request) bool {
		writeText(c, strings.Replace(response200(r.Header.Get("X-Id"), "whole"), "X-Signed: 1\r\n", "", 1))
		return true
	}, true}
	unmatchedFirst = behaviour{"unmatched response first", func(c net.Conn, r *http.Request) bool {
		writeText(c, response200("somebody-else", "stray")+response200(r.Header.Get("X-Id"), "whole"))
		return true
	}, true}
	extraAfter = behaviour{"extra response after", func(c net.Conn, r *http.Request) bool {
		writeText(c, response200(r.Header.Get("X-Id"), "whole")+response200("somebody-else", "stray"))
		return true
	}, true}
	noLength = behaviour{"no length", func(c net.Conn, r *http.Request) bool {
		writeText(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signed: 1\r\n\r\nwhole")
		return false
	}, true}
	noLengthReset = behaviour{"no length, reset", func(c net.Conn, r *http.Request) bool {
		writeText(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signed: 1\r\n\r\nwho")
		resetConn(c)
		return false
	}, true}
	fails = behaviour{"500", func(c net.Conn, r *http.Request) bool {
		writeText(c, "HTTP/1.1 500 Failed\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signed: 1\r\nContent-Length: 4\r\n\r\nfail")
		return true
	}, true}
	streams = behaviour{"stream", func(c net.Conn, r *http.Request) bool {
		streamFrom(c, r, streamEvents)
		writeText(c, "0\r\n\r\n")
		return true
	}, true}
	cutStream = behaviour{"stream cut in an event", func(c net.Conn, r *http.Request) bool {
		streamFrom(c, r, 2)
		writeText(c, chunk("id: 3\nda"))
		return false
	}, true}
	// cutUnframed ends like a complete response without a length, but in the middle of an event.
	cutUnframed = behaviour{"stream without a length that ends in an event", func(c net.Conn, r *http.Request) bool {
		writeText(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signed: 1\r\n\r\n"+event(1)+event(2)+"id: 3\nda")
		return false
	}, true}
	cutBefore = behaviour{"stream cut before an event", func(c net.Conn, r *http.Request) bool {
		streamFrom(c, r, 0)
		return false
	}, true}
)

// upstreams is a set of three upstreams that share one script of behaviours. Each request consumes the next behaviour.
type upstreams struct {
	t         testing.TB
	mu        sync.Mutex
	script    []behaviour
	seen      []*http.Request
	bodies    []string
	ran       int
	conns     int // accepted connections
	open      int // of them, those that are not closed
	listeners []net.Listener
}

func (u *upstreams) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		u.t.Fatal(err)
	}
	u.listeners = append(u.listeners, l)
	u.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns++
			u.open++
			u.mu.Unlock()
			go u.serve(c)
		}
	}()
	return l.Addr().String()
}

func (u *upstreams) serve(c net.Conn) {
	defer func() {
		c.Close()
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		u.mu.Lock()
		if len(u.script) == 0 {
			u.mu.Unlock()
			u.t.Errorf("received request %s after the end of the script", r.Header.Get("X-Id"))
			return
		}
		next := u.script[0]
		u.script = u.script[1:]
		u.seen, u.bodies = append(u.seen, r), append(u.bodies, string(body))
		if next.ran {
			u.ran++
		}
		u.mu.Unlock()
		if !next.serve(c, r) {
			return
		}
	}
}

// record returns what the upstreams received: the requests, their bodies, how many were executed, and the number of
// behaviours left in the script.
func (u *upstreams) record() (seen []*http.Request, bodies []string, ran, left int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seen, u.bodies, u.ran, len(u.script)
}

// connCount returns the number of accepted connections.
func (u *upstreams) connCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns
}

// openConnCount returns the number of connections that neither side has closed.
func (u *upstreams) openConnCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// waitRun waits until the upstreams have executed, or begun to execute, a request.
func (u *upstreams) waitRun() {
	for {
		if _, _, ran, _ := u.record(); ran > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// harness is a server with three upstreams and one caller.
type harness struct {
	// listing tells how recent the published upstreams are, which have published themselves within the registration time.
	listing      Listing
	registration time.Duration
	// reach tells whether the server is cut off from the upstreams. peers are the addresses of hosts that may take its detours.
	reach *testReach
	peers func() []string
	// maxConns limits the callers' connections of a server that is started with serve.
	maxConns int
	*upstreams
	store    *catalog.Store
	revision uint64
	config   *catalog.Config
	server   *Server
	// quarantine is the server's quarantine table.
	quarantine *quarantine.Table
	// origins holds the recorded origins of streams. Streams without a record are bound to soleVersion.
	origins     *origin.Table
	soleVersion *string
	// prompts is the server's table of prompt segments that crash upstreams.
	prompts *promptblame.Table
	hosts   fleetHosts
	front   *httptest.Server
}

type oneHost struct{}

func (oneHost) ShareCount() int               { return 1 }
func (oneHost) Rank(uint64) (rank, hosts int) { return 0, 1 }
func (oneHost) Ranked(uint64) []string        { return []string{""} }

func (oneHost) AskLoan(context.Context, string, lending.Question) (uint32, bool, error) {
	return 0, false, errors.New("there is no other host")
}

func (oneHost) OnAskLoan(func(lending.Question) (uint32, bool)) {}

// fleetHosts are the hosts of the fleet, as the limits and the server need them.
type fleetHosts interface {
	allowance.FleetView
	lending.Peers
}

// hangs returns a behaviour that never responds, and a channel that is closed when its connection has ended.
func hangs() (behaviour, <-chan struct{}) {
	ended := make(chan struct{})
	return behaviour{"hangs", func(c net.Conn, _ *http.Request) bool {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
		return false
	}, true}, ended
}

// newHarness serves one route "/r/" of the kind; its streams may be resumed if resumable is set.
func newHarness(t testing.TB, kind catalog.Kind, resumable bool, script ...behaviour) *harness {
	t.Helper()
	h := &harness{upstreams: &upstreams{t: t, script: script}}
	clock, log := clockwork.NewRealClock(), zerolog.Nop()
	h.store = catalog.NewStore(h.decode, clock, log)
	h.quarantine = quarantine.NewTable(QuarantineLimits, clock, nil)
	h.prompts = promptblame.NewTable(1, clock, log)
	h.origins, h.soleVersion = origin.NewTable(clock), new(string)
	h.listing, h.reach, h.peers = freshListing{}, &testReach{}, func() []string { return nil }
	h.hosts = oneHost{}
	h.config = &catalog.Config{
		Version: 1, Services: map[string]catalog.Service{"s": {Name: "s"}},
		Teams: map[string]*catalog.Team{"key": {Name: "team"}},
		Routes: []catalog.Route{{
			Name: "r", Host: "h.example", Prefix: "/r/", Kind: kind, ResumableStreams: resumable, Timeout: 10 * time.Second,
			LatencyObjective: 800 * time.Millisecond, MaxAttempts: 2, WeightedServices: []catalog.WeightedService{{Service: "s", Weight: 1}},
		}},
	}
	for _, id := range []string{"u1", "u2", "u3"} {
		h.publish("up/" + id + "/" + h.listen())
	}
	h.publish("config")
	limits := allowance.RetryLimits{Ratio: 0.2, Slack: 100}
	h.serve(limits, 1<<20)
	return h
}

// serve starts the server with the given retry budget and limit on body bytes.
func (h *harness) serve(limits allowance.RetryLimits, bodyBytes int64) {
	clock, log := clockwork.NewRealClock(), zerolog.Nop()
	table := balance.NewTable("dc", clock, log)
	h.server = New(Options{
		Store: h.store, Balancer: table, Pool: upconn.NewPool(nil, clock), Hosts: h.hosts, Codec: testCodec{}, Quarantine: h.quarantine,
		Prompts:     h.prompts,
		Reach:       h.reach,
		DetourPeers: detour.NewPeers(h.peers, clock, rand.New(rand.NewPCG(1, 1))), MaxDetours: 100,
		Origins:     h,
		ShareOrigin: h.origins.AddOwn, Listing: h.listing, RegistrationTime: h.registration,
		RetryBudget: allowance.NewRetryBudget(limits, h.hosts, clock), Selector: balance.NewSelector(
			table, allowance.NewUpstreamLimiter(h.hosts, clockwork.NewFakeClock()), allowance.ColdLimits{Overage: 1}, clock),
		BodyBytes: bodyBytes, ResponseBytes: 1 << 20, HeadBytes: 1 << 20, MaxConns: h.maxConns, Clock: clock, Log: log, Scope: tally.NoopScope,
	})
	h.front = httptest.NewUnstartedServer(nil)
	h.front.Config = h.server.HTTPServer()
	h.front.Listener = h.server.Listen(h.front.Listener)
	h.front.Start()
	h.t.Cleanup(h.front.Close)
}

// Resolve implements OriginResolver.
func (h *harness) Resolve(_ context.Context, q origin.Query) (origin.Origin, bool, error) {
	if r, ok := h.origins.Find(q.Stream); ok {
		return r.Origin, true, nil
	}
	if h.soleVersion == nil {
		return origin.Origin{}, false, origin.ErrUnknown
	}
	return origin.Origin{Service: q.Service, Version: *h.soleVersion}, false, nil
}

func (h *harness) publish(key string) {
	h.revision++
	h.store.Apply([]published.Item{{Key: key, Revision: h.revision}})
}

func (h *harness) decode(item published.Item, _ time.Time) (catalog.Entry, error) {
	if item.Key == "config" {
		return catalog.Entry{Kind: catalog.ItemConfig, Config: h.config}, nil
	}
	fields := append(strings.Split(item.Key, "/"), "")
	if item.Removed {
		return catalog.Entry{Kind: catalog.ItemUpstream, Name: fields[1]}, nil
	}
	u := &catalog.Upstream{ID: fields[1], Service: "s", Address: fields[2], DataCentre: "dc", Leaving: fields[3] == "leaving"}
	if version, ok := strings.CutPrefix(fields[3], "version-"); ok {
		u.Version = version
	}
	if started, ok := strings.CutPrefix(fields[3], "started-"); ok {
		u.StartedAtMs, _ = strconv.ParseInt(started, 10, 64)
	}
	if fields[3] == "cold" {
		u.ColdUntil = time.Now().Add(time.Hour)
	}
	return catalog.Entry{Kind: catalog.ItemUpstream, Name: fields[1], Upstream: u}, nil
}

// reply is the response that the caller received; err is set if it was incomplete.
type reply struct {
	status int
	body   string
	header http.Header
	err    error
}

// newRequest returns a request of the caller, with headers given as names and values.
func (h *harness) newRequest(method, path, body string, headers ...string) *http.Request {
	h.t.Helper()
	req, err := http.NewRequest(method, h.front.URL+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Id", "id-1")
	req.Header.Set("X-Key", "key")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}

func (h *harness) call(method, path, body string, headers ...string) reply {
	h.t.Helper()
	req := h.newRequest(method, path, body, headers...)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(raw), header: resp.Header, err: err}
}

// freshListing is a Listing that is always up to date.
type freshListing struct{}

func (freshListing) DataAge() time.Duration                   { return 0 }
func (freshListing) Refresh(context.Context, time.Time) error { return nil }

// testReach is a Reachability that tests set. confirmed is set if the host is cut off and does not know yet.
type testReach struct {
	cutOff, confirmed atomic.Bool
	failures          atomic.Int64
}

func (r *testReach) CutOff() bool                 { return r.cutOff.Load() }
func (r *testReach) Confirm(context.Context) bool { return r.cutOff.Load() || r.confirmed.Load() }
func (r *testReach) RecordData()                  {}
func (r *testReach) RecordConnected()             {}
func (r *testReach) RecordDetour()                {}
func (r *testReach) RecordFailure(string, bool)   { r.failures.Add(1) }
func (r *testReach) RecordSilence(string)         { r.failures.Add(1) }
