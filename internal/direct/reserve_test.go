package direct

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/origin"
)

// sentStream is a stream of the route, with the result of its latest send.
type sentStream struct {
	req    *Request
	caller *httptest.ResponseRecorder
	res    attemptResult
}

// dispatch returns a filter that sends the server's requests.
func (h *harness) dispatch() *dispatchFilter {
	filters := h.server.filters()
	return filters[len(filters)-1].(*dispatchFilter)
}

func (h *harness) newStream() *sentStream {
	s := &sentStream{caller: httptest.NewRecorder()}
	s.req = &Request{
		RequestMetadata: RequestMetadata{ID: "id-1", APIKey: "key"}, HTTP: httptest.NewRequest(http.MethodPost, "/r/", http.NoBody), Start: time.Now(),
		Deadline: time.Now().Add(10 * time.Second), Route: &h.config.Routes[0], Service: "s",
		response: callerResponse{writer: s.caller, clock: h.server.Clock},
	}
	s.req.HTTP.Host = "h.example"
	s.req.HTTP.Header.Set("X-Id", s.req.ID)
	return s
}

// Guards against streams that are cut off because several sends to a silent upstream are given up for the same retry, or
// for the same place at another upstream.
func TestSilentSendsAreGivenUpOnlyForReservedNextSend(t *testing.T) {
	const count = 8
	for _, tt := range []struct {
		name    string
		budget  allowance.RetryLimits
		next    behaviour
		prepare func(h *harness, other *catalog.Upstream)
	}{
		{"one retry is left", allowance.RetryLimits{Slack: 2}, streams, func(*harness, *catalog.Upstream) {}},
		{"upstream has one place below its named limit", allowance.RetryLimits{Slack: 100}, streams.withHeader("X-Limit: 0.25"), func(h *harness, other *catalog.Upstream) {
			limit := 0.25 // one request in four seconds
			h.server.Balancer.RecordRequestLimit(other, &limit)
		}},
		{"cold upstream has one place", allowance.RetryLimits{Slack: 100}, streams, func(h *harness, other *catalog.Upstream) {
			h.config.Services["s"] = catalog.Service{Name: "s", ColdRequestsPerSecond: 1}
			h.publish("up/u2/" + other.Address + "/cold")
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			resume := make(chan struct{})
			silent := behaviour{"silent in the middle", func(c net.Conn, r *http.Request) bool {
				streamFrom(c, r, 2)
				<-resume
				for id := 3; id <= streamEvents; id++ {
					writeText(c, chunk(event(id)))
				}
				writeText(c, "0\r\n\r\n")
				return true
			}, true}
			script := make([]behaviour, count, count+1)
			for i := range script {
				script[i] = silent
			}
			h := newHarness(t, catalog.Stream, true, append(script, tt.next)...)
			h.serve(tt.budget, 1<<20)
			h.publish("up/u3/" + h.listeners[2].Addr().String() + "/leaving")
			pool := h.store.Current().Upstreams["s"]
			tt.prepare(h, pool[1])
			d := h.dispatch()
			ended := make(chan *sentStream, count)
			for range count {
				go func() {
					s := h.newStream()
					s.res = d.attemptSend(t.Context(), s.req, pool[0])
					ended <- s
				}()
			}
			first := <-ended
			time.Sleep(3 * moveCheckInterval) // for the sends that may be given up as well
			close(resume)
			ended <- first
			moved := 0
			for range count {
				s := <-ended
				if !s.res.responded {
					moved++
					is.True(d.shouldRetry(t.Context(), s.req, s.res))
					choice, err := d.waitForUpstream(t.Context(), s.req)
					is.NoErr(err)
					is.Equal(choice.ID, "u2")
					s.res = d.attemptSend(t.Context(), s.req, choice.Upstream)
				}
				is.True(s.res.responded)
				is.Equal(s.caller.Body.String(), wholeStream())
			}
			is.Equal(moved, 1)
		})
	}
}

// Guards against retries and places within limits that are lost to a next send that is not needed, and against a next send
// to an upstream that may no longer receive the request.
func TestReservedNextSend(t *testing.T) {
	leave := func(h *harness, _ *sentStream, other *catalog.Upstream) {
		h.publish("up/u2/" + other.Address + "/leaving")
	}
	for _, tt := range []struct {
		name   string
		change func(h *harness, s *sentStream, other *catalog.Upstream)
		used   bool
	}{
		{"nothing has changed", func(*harness, *sentStream, *catalog.Upstream) {}, true},
		{"the upstream leaves", leave, false},
		{"the stream has begun at another version", func(_ *harness, s *sentStream, _ *catalog.Upstream) {
			s.req.origin = &origin.Origin{Service: "s", Version: "2"}
		}, false},
		{"the request has another service", func(_ *harness, s *sentStream, _ *catalog.Upstream) { s.req.Service = "other" }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Stream, true)
			h.serve(allowance.RetryLimits{Slack: 2}, 1<<20) // one retry
			h.publish("up/u3/" + h.listeners[2].Addr().String() + "/leaving")
			pool, limit := h.store.Current().Upstreams["s"], 0.25
			h.server.Balancer.RecordRequestLimit(pool[1], &limit) // one request
			d := h.dispatch()
			reserve := func() (*sentStream, *balance.Choice) {
				s := h.newStream()
				s.req.tried = []catalog.UpstreamKey{pool[0].Key()}
				return s, d.newReserveFunc(s.req)(nil)
			}
			s, next := reserve()
			is.Equal(next.ID, "u2")
			_, none := reserve()
			is.True(none == nil)
			s.req.next = next
			d.releaseNext(s.req)
			s, next = reserve()
			is.Equal(next.ID, "u2")
			s.req.next = next
			is.True(!d.retryBudget.Available("s"))
			tt.change(h, s, pool[1])
			got, err := d.selectUpstream(t.Context(), h.store.Current(), s.req)
			is.NoErr(err)
			is.Equal(got != nil && got.ID == "u2", tt.used)
			is.True(s.req.next == nil)
			criteria := balance.Criteria{Tried: []catalog.UpstreamKey{pool[0].Key()}}
			h.publish("up/u2/" + pool[1].Address)
			place := d.selector.SelectUntried(h.store.Current(), "s", criteria)
			is.Equal(place == nil, tt.used) // the place is either used or given back
		})
	}
}

// Guards against a retry that is lost with a request that ends after its send was given up.
func TestReservedNextSendIsReleasedWithRequest(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Stream, true)
	h.serve(allowance.RetryLimits{Slack: 2}, 1<<20) // one retry
	d := h.dispatch()
	s := h.newStream()
	s.req.next = d.newReserveFunc(s.req)(nil)
	is.True(!d.retryBudget.Available("s"))
	s.req.HTTP.Host = "other.example" // which has no route
	is.True(d.Handle(t.Context(), s.req, nil) != nil)
	is.True(d.retryBudget.Available("s"))
}

// Guards against a send that is given up although data has arrived between the expiry of its time and the lock.
func TestDataThatArrivesAsTimeExpiresKeepsSend(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Stream, true)
	h.config.Routes[0].MaxEventGap = time.Second
	ctx, cancel := context.WithCancelCause(t.Context())
	timer := h.dispatch().newInactivityTimer(h.newStream().req, h.store.Current().Upstreams["s"][0], cancel)
	timer.reset()
	timer.expire()
	is.NoErr(ctx.Err())
	is.True(timer.stop() == nil)
}

// Guards against a long response that is cut off because its send was given up just before its first part is relayed.
func TestLongResponseIsNotBegunOnceItsSendIsGivenUp(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false)
	d, s, u := h.dispatch(), h.newStream(), h.store.Current().Upstreams["s"][0]
	s.req.tried = []catalog.UpstreamKey{u.Key()}
	ctx, cancel := context.WithCancelCause(t.Context())
	timer := d.newInactivityTimer(s.req, u, cancel)
	timer.mu.Lock()
	timer.tryGiveUp()
	timer.mu.Unlock()
	closed := iotest.ErrReader(net.ErrClosed)
	resp := &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: io.NopCloser(io.MultiReader(strings.NewReader(unheldBody), closed))}
	s.res = d.relayBuffered(ctx, s.req, u, resp, timer, func(bool) {})
	s.req.next = timer.stop()
	is.True(!s.req.response.headerSent)
	is.True(d.shouldRetry(t.Context(), s.req, s.res))
}

// Guards against sound streams that are given up when this process goes on after a pause, before their data is read.
func TestSendIsNotGivenUpRightAfterPauseOfProcess(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Stream, true)
	ctx, cancel := context.WithCancelCause(t.Context())
	req := h.newStream().req
	pool := h.store.Current().Upstreams["s"]
	req.tried = []catalog.UpstreamKey{pool[0].Key()}
	timer := h.dispatch().newInactivityTimer(req, pool[0], cancel)
	timer.mu.Lock()
	timer.step, timer.due = timer.tryGiveUp, time.Now().Add(-time.Second)
	timer.mu.Unlock()
	timer.expire()
	is.NoErr(ctx.Err())
	timer.reset() // the data is read
	time.Sleep(3 * moveCheckInterval)
	is.NoErr(ctx.Err())
	is.True(timer.stop() == nil)
}
