package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

func wholeStream() string {
	var b strings.Builder
	for id := 1; id <= streamEvents; id++ {
		b.WriteString(event(id))
	}
	return b.String()
}

// TestUpstreamFailureMatrix checks each failure of an upstream with each kind of request: what the caller receives,
// and how often the request is executed.
func TestUpstreamFailureMatrix(t *testing.T) {
	const (
		safe = iota
		unsafe
		resumable
		stream
	)
	kinds := []struct {
		kind      catalog.Kind
		resumable bool
	}{{catalog.Safe, false}, {catalog.Unsafe, false}, {catalog.Stream, true}, {catalog.Stream, false}}
	tests := []struct {
		kind   int
		script []behaviour
		status int
		body   string
		ran    int
	}{
		{safe, []behaviour{ok}, 200, "whole", 1},
		{safe, []behaviour{shed, ok}, 200, "whole", 1},
		{safe, []behaviour{otherInstance, ok}, 200, "whole", 1},
		{safe, []behaviour{resets, ok}, 200, "whole", 2},
		{safe, []behaviour{closes, ok}, 200, "whole", 2},
		{safe, []behaviour{notHTTP, ok}, 200, "whole", 2},
		{safe, []behaviour{truncated, ok}, 200, "whole", 2},
		{safe, []behaviour{unsigned, ok}, 200, "whole", 2},
		{safe, []behaviour{fails, ok}, 200, "whole", 2},
		{safe, []behaviour{fails, fails}, 500, "fail", 2},
		{safe, []behaviour{fails, resets}, 500, "fail", 2},
		{safe, []behaviour{resets, resets}, 502, "", 2},
		{safe, []behaviour{resets, shed, shed, shed}, 502, "", 1}, // the first send may have been executed
		{safe, []behaviour{unmatchedFirst}, 200, "whole", 1},
		{safe, []behaviour{extraAfter}, 200, "whole", 1},
		{safe, []behaviour{noLength}, 200, "whole", 1},
		{safe, []behaviour{noLengthReset, ok}, 200, "whole", 2},
		{unsafe, []behaviour{ok}, 200, "whole", 1},
		{unsafe, []behaviour{shed, ok}, 200, "whole", 1},
		{unsafe, []behaviour{shed, otherInstance, ok}, 200, "whole", 1},
		{unsafe, []behaviour{resets}, 502, "", 1},
		{unsafe, []behaviour{closes}, 502, "", 1},
		{unsafe, []behaviour{notHTTP}, 502, "", 1},
		{unsafe, []behaviour{truncated}, 502, "", 1},
		{unsafe, []behaviour{unsigned}, 502, "", 1},
		{unsafe, []behaviour{noLengthReset}, 502, "", 1},
		{unsafe, []behaviour{shed, resets}, 502, "", 1},
		{unsafe, []behaviour{fails}, 500, "fail", 1},
		{unsafe, []behaviour{unmatchedFirst}, 200, "whole", 1},
		{resumable, []behaviour{streams}, 200, wholeStream(), 1},
		{resumable, []behaviour{cutStream, streams}, 200, wholeStream(), 2},
		{resumable, []behaviour{cutUnframed, streams}, 200, wholeStream(), 2},
		{resumable, []behaviour{cutBefore, streams}, 200, wholeStream(), 2},
		{resumable, []behaviour{resets, streams}, 200, wholeStream(), 2},
		{resumable, []behaviour{cutStream, shed, streams}, 200, wholeStream(), 2},
		{resumable, []behaviour{fails, streams}, 200, wholeStream(), 2},
		{stream, []behaviour{streams}, 200, wholeStream(), 1},
		{stream, []behaviour{resets}, 502, "", 1},
		{stream, []behaviour{cutBefore}, 502, "", 1},
		{stream, []behaviour{shed, streams}, 200, wholeStream(), 1},
	}
	for _, byDetour := range []bool{false, true} {
		for _, tt := range tests {
			var name []string
			for _, b := range tt.script {
				name = append(name, b.name)
			}
			k := kinds[tt.kind]
			t.Run(fmt.Sprintf("%s, by detour %t: %s", k.kind, byDetour, strings.Join(name, ", ")), func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, k.kind, k.resumable, tt.script...)
				if byDetour {
					h.cutOffBeside(h.startPeer())
				}
				got := h.call(http.MethodPost, "/r/x%2fy?q=1", "hello")
				is.NoErr(got.err)
				is.Equal(got.status, tt.status)
				if tt.body != "" {
					is.Equal(got.body, tt.body)
					is.Equal(got.header.Get("X-Signed"), "1")
				}
				seen, bodies, ran, left := h.record()
				is.Equal(ran, tt.ran)
				is.Equal(left, 0) // the whole script was used
				for i, r := range seen {
					is.Equal(r.RequestURI, "/r/x%2fy?q=1")
					is.Equal(bodies[i], "hello")
					is.Equal(r.Header.Get("X-Team"), "team")
					is.Equal(r.Header.Get("X-Key"), "")
					is.Equal(r.Header.Get("Oriole-Detour"), "")
				}
			})
		}
	}
}

// A stream is not resumed at another upstream once its caller has disconnected.
func TestStreamIsNotResumedAfterCallerDisconnects(t *testing.T) {
	is := is.New(t)
	req := &Request{Route: &catalog.Route{Kind: catalog.Stream, ResumableStreams: true, MaxAttempts: 3}}
	is.Equal(req.retryDenialReason(attemptResult{sent: true}), "")
	req.response.callerGone = true
	is.Equal(req.retryDenialReason(attemptResult{sent: true}), "caller")
}

func TestNoRetryWithoutRetryBudget(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false, resets, shed)
	h.serve(allowance.RetryLimits{}, 1<<20)
	is.Equal(h.call(http.MethodGet, "/r/", "").status, 502)
	is.Equal(h.call(http.MethodGet, "/r/", "").status, 503) // nothing was executed
}

func TestBodyBeyondBudgetIsRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false, ok)
	h.serve(allowance.RetryLimits{}, 10)
	is.Equal(h.call(http.MethodPost, "/r/", "more than ten bytes").status, 503)
	is.Equal(h.call(http.MethodPost, "/r/", "ten bytes").status, 200) // the budget has been released
}

func TestGatewayTimeoutAtDeadline(t *testing.T) {
	is := is.New(t)
	hang, ended := hangs()
	h := newHarness(t, catalog.Unsafe, false, hang)
	is.Equal(h.call(http.MethodPost, "/r/", "", "X-Wait-Ms", "100").status, 504)
	<-ended // the connection to the upstream is closed
}

func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	is := is.New(t)
	hang, ended := hangs()
	h := newHarness(t, catalog.Unsafe, false, hang)
	c, err := net.Dial("tcp", strings.TrimPrefix(h.front.URL, "http://"))
	is.NoErr(err)
	_, err = io.WriteString(c, "POST /r/ HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Key: key\r\nContent-Length: 2\r\n\r\nab")
	is.NoErr(err)
	h.waitRun()
	c.Close()
	<-ended
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false, ok)
	c, err := net.Dial("tcp", strings.TrimPrefix(h.front.URL, "http://"))
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /r/ HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Key: key\r\nConnection: keep-alive, X-Hop\r\n"+
		"X-Hop: 1\r\nKeep-Alive: 5\r\nTe: trailers\r\nX-End: 1\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	resp.Body.Close()
	seen, _, _, _ := h.record()
	for _, name := range []string{"X-Hop", "Connection", "Keep-Alive", "Te"} {
		is.Equal(seen[0].Header.Get(name), "")
	}
	is.Equal(seen[0].Header.Get("X-End"), "1")
}

// A request whose key is revoked while it waits for an upstream is refused.
func TestWaitingRequestIsAuthenticatedAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false)
	for i, id := range []string{"u1", "u2", "u3"} {
		h.publish("up/" + id + "/" + h.listeners[i].Addr().String() + "/leaving")
	}
	next := *h.config
	next.Routes = slices.Clone(next.Routes)
	next.Routes[0].LatencyObjective = upstreamWaitDivisor * 5 * time.Second
	next.Version = 2
	h.config = &next
	h.publish("config")
	got := make(chan reply)
	go func() { got <- h.call(http.MethodPost, "/r/", "") }()
	for h.server.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	last := next
	last.Version, last.Teams = 3, map[string]*catalog.Team{}
	h.config = &last
	h.publish("config")
	for i, id := range []string{"u1", "u2", "u3"} {
		h.publish("up/" + id + "/" + h.listeners[i].Addr().String())
	}
	is.Equal((<-got).status, 401)
}

// What changes while a connection is being established is taken into account before the request is sent.
func TestRequestIsCheckedAgainBeforeSend(t *testing.T) {
	tests := []struct {
		name   string
		change func(h *harness, chosen *catalog.Upstream)
	}{
		{"the upstream leaves", func(h *harness, chosen *catalog.Upstream) {
			h.publish("up/" + chosen.ID + "/" + chosen.Address + "/leaving")
		}},
		{"another incarnation has the upstream's ID", func(h *harness, chosen *catalog.Upstream) {
			h.publish("up/" + chosen.ID + "/127.0.0.1:1")
		}},
		{"the key is revoked", func(h *harness, _ *catalog.Upstream) {
			next := *h.config
			next.Version, next.Teams = 2, map[string]*catalog.Team{}
			h.config = &next
			h.publish("config")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Unsafe, false)
			chosen := *h.store.Current().Upstreams["s"][0]
			tt.change(h, &chosen)
			filters := h.server.filters()
			req := &Request{
				RequestMetadata: RequestMetadata{ID: "1", APIKey: "key"}, HTTP: httptest.NewRequest(http.MethodPost, "/r/", http.NoBody),
				Deadline: time.Now().Add(time.Second), Route: &h.config.Routes[0],
			}
			req.HTTP.Host = "h.example"
			res := filters[len(filters)-1].(*dispatchFilter).attemptSend(context.Background(), req, &chosen)
			is.True(res.notRun)
			is.True(!res.sent)
		})
	}
}

// A failure response that is kept in case no other attempt succeeds must not follow a part of another response.
func TestKeptFailureDoesNotFollowBegunStream(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Stream, true, fails, cutStream)
	got := h.call(http.MethodPost, "/r/", "")
	is.Equal(got.status, 200)
	is.Equal(got.body, event(1)+event(2))
	is.True(got.err != nil)
}

func TestTruncatedStreamAbortsCallerConnection(t *testing.T) {
	for _, tt := range []struct {
		name      string
		resumable bool
		script    []behaviour
	}{
		{"not resumable", false, []behaviour{cutStream}},
		{"resumed at a failing upstream", true, []behaviour{cutStream, fails}},
		{"truncated twice", true, []behaviour{cutStream, cutBefore}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Stream, tt.resumable, tt.script...)
			got := h.call(http.MethodPost, "/r/", "")
			is.Equal(got.status, 200)
			is.Equal(got.body, event(1)+event(2)) // complete events only
			is.True(got.err != nil)
		})
	}
}

func TestRouterRefusals(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		headers []string
		status  int
	}{
		{"no route", "/other/", nil, 404},
		{"unknown key", "/r/", []string{"X-Key", "wrong"}, 401},
		{"no key", "/r/", []string{"X-Key", ""}, 401},
		{"headers too large", "/r/", []string{"X-Big", strings.Repeat("x", 5000)}, 431},
		{"body too large", "/r/", nil, 413},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Safe, false)
			h.setLimits(catalog.Limits{HeaderBytes: 4000, BodyBytes: 10})
			is.Equal(h.call(http.MethodPost, tt.path, "more than ten bytes", tt.headers...).status, tt.status)
			_, _, ran, _ := h.record()
			is.Equal(ran, 0)
		})
	}
}

// Guards against refusals of all requests whose route and caller set no timeout.
func TestRequestWithoutTimeoutIsServed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false, ok, ok)
	h.setRoute(func(r *catalog.Route) { r.Timeout = 0 })
	is.Equal(h.call(http.MethodPost, "/r/", "body").status, http.StatusOK)
	is.Equal(h.call(http.MethodPost, "/r/", "body", "X-Wait-Ms", "1000").status, http.StatusOK)
	seen, _, _, _ := h.record()
	left, err := strconv.Atoi(seen[1].Header.Get("X-Remaining-Ms"))
	is.NoErr(err)
	is.True(left <= 1000)
}

// setRoute brings a configuration with a changed route into force.
func (h *harness) setRoute(change func(*catalog.Route)) {
	next := *h.config
	next.Version++
	next.Routes = slices.Clone(h.config.Routes)
	change(&next.Routes[0])
	h.config = &next
	h.publish("config")
}

// lateClock is a clock whose timers expire just after an event.
type lateClock struct {
	clockwork.Clock
	event func()
}

func (c lateClock) After(time.Duration) <-chan time.Time {
	c.event()
	expired := make(chan time.Time, 1)
	expired <- c.Now()
	return expired
}

// Guards against a refusal for want of a configuration that has come just before the end of the wait for it, as after this
// process has stood still.
func TestConfigurationAtEndOfWaitIsUsed(t *testing.T) {
	is := is.New(t)
	for range 50 { // a select takes one of the cases that are ready at random
		h := &harness{config: &catalog.Config{}}
		h.store = catalog.NewStore(h.decode, clockwork.NewRealClock(), zerolog.Nop())
		f := &admissionFilter{store: h.store, clock: lateClock{clockwork.NewRealClock(), func() { h.publish("config") }}}
		config, err := f.awaitConfig(t.Context(), &Request{})
		is.NoErr(err)
		is.Equal(config, h.config)
	}
}

func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false, ok)
	published := h.store
	h.store = catalog.NewStore(h.decode, clockwork.NewRealClock(), zerolog.Nop())
	h.serve(allowance.RetryLimits{}, 1<<20)
	got := h.call(http.MethodGet, "/r/", "", "X-Wait-Ms", "20")
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	waiting := make(chan reply)
	go func() { waiting <- h.call(http.MethodGet, "/r/", "") }()
	for h.server.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	for _, u := range published.Current().Upstreams["s"] {
		h.publish("up/" + u.ID + "/" + u.Address)
	}
	h.publish("config")
	is.Equal((<-waiting).status, 200)
}

func TestRevokedKeyAndRemovedRouteTakeEffectAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false, ok)
	is.Equal(h.call(http.MethodGet, "/r/", "").status, 200)
	next := *h.config
	next.Version, next.Teams = 2, map[string]*catalog.Team{}
	h.config = &next
	h.publish("config")
	is.Equal(h.call(http.MethodGet, "/r/", "").status, 401)
	last := next
	last.Version, last.Routes = 3, nil
	h.config = &last
	h.publish("config")
	is.Equal(h.call(http.MethodGet, "/r/", "").status, 404)
}

func TestLeavingUpstreamReceivesNoRequests(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false, ok, ok, ok)
	h.publish("up/u1/" + h.listeners[0].Addr().String() + "/leaving")
	for range 3 {
		is.Equal(h.call(http.MethodGet, "/r/", "").status, 200)
	}
	seen, _, _, _ := h.record()
	for _, r := range seen {
		is.True(r.Header.Get("X-Instance") != "u1")
	}
}

func TestColdUpstreamIsRateLimited(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false, ok, ok, ok)
	h.config.Services["s"] = catalog.Service{Name: "s", ColdRequestsPerSecond: 4} // allows three requests a second: three quarters of the rate are divided among the hosts
	for i, state := range []string{"cold", "leaving", "leaving"} {
		h.publish(fmt.Sprintf("up/u%d/%s/%s", i+1, h.listeners[i].Addr(), state))
	}
	for i := range 5 {
		got := h.call(http.MethodPost, "/r/", "")
		is.Equal(got.status == 200, i < 3)
		is.Equal(got.status == 503, i >= 3)
	}
}

func TestRefusalWithoutUpstreamHasRetryAfter(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false)
	for i, id := range []string{"u1", "u2", "u3"} {
		h.publish("up/" + id + "/" + h.listeners[i].Addr().String() + "/leaving")
	}
	got := h.call(http.MethodPost, "/r/", "")
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
}

// A request is not retried without end if all upstreams refuse connections.
// A caller that is refused before a configuration is known must be able to come back within its own time.
func TestRetryAfterFitsIntoTimeOfCaller(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false)
	h.store = catalog.NewStore(h.decode, clockwork.NewRealClock(), zerolog.Nop())
	h.serve(allowance.RetryLimits{}, 1<<20)
	const timeout = 200 * time.Millisecond
	for range 20 {
		got := h.call(http.MethodGet, "/r/", "", "X-Wait-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
		is.Equal(got.status, 503)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > 0 && after <= timeout.Seconds()/2)
	}
}

func TestTriedUpstreamsAreLimited(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false)
	for _, l := range h.listeners {
		l.Close()
	}
	got := h.call(http.MethodGet, "/r/", "")
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	tries := 0
	for _, u := range h.server.Balancer.State() {
		tries += u.Failures
	}
	is.Equal(tries, maxUpstreamsTried)
}

func TestReplacedUpstreamIsNotTriedAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false, otherInstance, ok, ok, ok, ok)
	for range 4 {
		is.Equal(h.call(http.MethodPost, "/r/", "").status, 200)
	}
	seen, _, _, _ := h.record()
	for _, r := range seen[1:] {
		is.True(r.Header.Get("X-Instance") != seen[0].Header.Get("X-Instance"))
	}
}

func TestUnreachableUpstreamIsSkipped(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false, ok, ok, ok)
	h.listeners[0].Close()
	for range 3 {
		is.Equal(h.call(http.MethodPost, "/r/", "").status, 200)
	}
}

// Callers that send large bodies slowly cannot use more memory than the budget, since bytes count as they arrive.
func TestByteBudgetCountsBytesAsTheyArrive(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false)
	const bodyBytes = 1000
	h.serve(allowance.RetryLimits{}, bodyBytes)
	open := func() net.Conn {
		c, err := net.Dial("tcp", strings.TrimPrefix(h.front.URL, "http://"))
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		_, err = fmt.Fprintf(c, "POST /r/ HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Key: key\r\nX-Wait: 5000\r\nContent-Length: 900\r\n\r\n%s",
			strings.Repeat("b", 600))
		is.NoErr(err)
		return c
	}
	first, second := open(), open()
	statuses := make(chan int, 2)
	for _, c := range []net.Conn{first, second} {
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				statuses <- resp.StatusCode
			}
		}()
	}
	is.Equal(<-statuses, http.StatusServiceUnavailable) // one of the two, before its body is complete
}
