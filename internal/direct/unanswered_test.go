package direct

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

// Guards against a request that ends without a response and without a trace in the log and the metrics.
func TestPanicOfFilterIsLoggedAndCounted(t *testing.T) {
	for _, tt := range []struct {
		name   string
		cause  any
		counts int64
	}{
		{"fault", "index out of range", 1},
		{"aborted response", http.ErrAbortHandler, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var logged bytes.Buffer
			scope, clock, log := tally.NewTestScope("", nil), clockwork.NewFakeClock(), zerolog.New(&logged)
			s := New(Options{
				Store: catalog.NewStore(nil, clock, log), Balancer: balance.NewTable("dc", clock, log), Codec: testCodec{}, Clock: clock, Log: log,
				Hosts: oneHost{}, Scope: scope,
			})
			s.chain = func(context.Context, *Request) error { panic(tt.cause) }
			func() {
				defer func() { is.Equal(recover(), tt.cause) }()
				s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/r/", http.NoBody))
			}()
			is.Equal(scope.Snapshot().Counters()["requests_panicked+"].Value(), tt.counts)
			is.Equal(strings.Contains(logged.String(), "request-panicked"), tt.counts > 0)
		})
	}
}

// Guards against a stream that is cut off because its route, key or service is no longer configured when its upstream
// breaks off or falls silent.
func TestBegunStreamIsResumedDespiteConfigurationChange(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(c *catalog.Config)
		team   string
	}{
		{"route removed", func(c *catalog.Config) { c.Routes = nil }, "team"},
		{"key revoked", func(c *catalog.Config) { c.Teams = map[string]*catalog.Team{} }, "team"},
		{"key of another team", func(c *catalog.Config) { c.Teams = map[string]*catalog.Team{"key": {Name: "next"}} }, "next"},
		{"other service", func(c *catalog.Config) {
			c.Routes = slices.Clone(c.Routes)
			c.Routes[0].WeightedServices = []catalog.WeightedService{{Service: "other", Weight: 1}}
		}, "team"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			relayed := make(chan struct{})
			cut := behaviour{"stream cut after its first event was relayed", func(c net.Conn, r *http.Request) bool {
				streamFrom(c, r, 1)
				<-relayed
				return false
			}, true}
			h := newHarness(t, catalog.Stream, true, cut, streams)
			resp, err := http.DefaultClient.Do(h.newRequest(http.MethodPost, "/r/", ""))
			is.NoErr(err)
			defer resp.Body.Close()
			first := make([]byte, len(event(1)))
			_, err = io.ReadFull(resp.Body, first)
			is.NoErr(err)
			next := *h.config
			next.Version = 2
			tt.change(&next)
			h.config = &next
			h.publish("config")
			close(relayed)
			rest, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(first)+string(rest), wholeStream())
			seen, _, _, _ := h.record()
			is.Equal(seen[1].Header.Get("X-Team"), tt.team)
		})
	}
}

// Guards against a caller whose body is late and whose connection is closed without a response.
func TestIncompleteBodyIsRefusedAtDeadline(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false)
	statuses := h.sendRaw("POST /r/" + rawHead + "X-Wait-Ms: 50\r\nContent-Length: 10\r\n\r\nhalf")
	is.Equal(statuses, []int{http.StatusRequestTimeout})
}

// Guards against a stream that is cut off because its upstream is silent for a moment while the request cannot be sent to
// another one.
func TestSilentStreamIsNotGivenUpWithoutAlternative(t *testing.T) {
	leave := func(h *harness) {
		for i, l := range h.listeners {
			h.publish(fmt.Sprintf("up/u%d/%s/leaving", i+1, l.Addr()))
		}
	}
	for _, tt := range []struct {
		name   string
		change func(h *harness)
		budget allowance.RetryLimits
	}{
		{"all upstreams leave", leave, allowance.RetryLimits{Ratio: 0.2, Slack: 100}},
		{"no retry budget", func(*harness) {}, allowance.RetryLimits{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			begun := make(chan struct{})
			silent := behaviour{"silent in the middle", func(c net.Conn, r *http.Request) bool {
				streamFrom(c, r, 2)
				close(begun)
				time.Sleep(silenceTimeout + 3*moveCheckInterval) // longer than a stream may be silent
				for id := 3; id <= streamEvents; id++ {
					writeText(c, chunk(event(id)))
				}
				writeText(c, "0\r\n\r\n")
				return true
			}, true}
			h := newHarness(t, catalog.Stream, true, silent)
			h.serve(tt.budget, 1<<20)
			replies := make(chan reply, 1)
			go func() { replies <- h.call(http.MethodPost, "/r/", "") }()
			<-begun
			tt.change(h)
			got := <-replies
			is.NoErr(got.err)
			is.Equal(got.body, wholeStream())
		})
	}
}

// Guards against a stream that stays at a silent upstream although another one can take it.
func TestSilentStreamMovesOnceAnAlternativeAppears(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	mute := behaviour{"silent for good", func(c net.Conn, r *http.Request) bool {
		streamFrom(c, r, 2)
		close(begun)
		_, _ = io.Copy(io.Discard, c)
		return false
	}, true}
	h := newHarness(t, catalog.Stream, true, mute, streams)
	replies := make(chan reply, 1)
	go func() { replies <- h.call(http.MethodPost, "/r/", "") }()
	<-begun
	for i, l := range h.listeners {
		h.publish(fmt.Sprintf("up/u%d/%s/leaving", i+1, l.Addr()))
	}
	time.Sleep(silenceTimeout + 3*moveCheckInterval) // longer than a stream may be silent
	for i, l := range h.listeners {
		h.publish(fmt.Sprintf("up/u%d/%s", i+1, l.Addr()))
	}
	got := <-replies
	is.NoErr(got.err)
	is.Equal(got.body, wholeStream())
}
