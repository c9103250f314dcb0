package direct

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

// Guards against requests to an upstream after an answer by which it leaves, whatever the answer is, although the store
// does not say so.
func TestNothingIsSentAfterAnswerOfLeavingUpstream(t *testing.T) {
	for _, tt := range []struct {
		kind     catalog.Kind
		response behaviour
		leaving  bool
	}{
		{catalog.Unsafe, ok, true}, {catalog.Unsafe, fails, true}, {catalog.Unsafe, shed, true}, {catalog.Stream, streams, true},
		{catalog.Stream, cutStream, true}, {catalog.Unsafe, truncated, true}, {catalog.Unsafe, otherInstance, false},
	} {
		t.Run(string(tt.kind)+" "+tt.response.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.kind, false, tt.response.withHeader("X-Leaving: 1"), ok)
			key := h.leaveOnly()
			h.call(http.MethodPost, "/r/", "first")
			is.Equal(h.server.Balancer.AcceptsWork(key), !tt.leaving)
			got := h.call(http.MethodPost, "/r/", "second")
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(got.header.Get("Retry-After") != "")
			_, bodies, _, _ := h.record()
			is.Equal(bodies, []string{"first"})
		})
	}
}

// Guards against requests to an upstream that turned one away and asked for a pause. The caller is told at once when to
// come back.
func TestNothingIsSentWhileUpstreamAskedForPause(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false, shed.withHeader("Retry-After: 2"), ok)
	h.leaveOnly()
	for range 3 {
		start := time.Now()
		got := h.call(http.MethodPost, "/r/", "", "X-Wait-Ms", "9000")
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(time.Since(start) < 100*time.Millisecond)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds > 1.7) // the pause; a quarter of the caller's time, which bounds it, is longer
	}
	seen, _, _, _ := h.record()
	is.Equal(len(seen), 1)
}

// Guards against connections to a leaving upstream that stay open until they expire, on hosts that hear of it from others,
// and after a request that still ran there.
func TestIdleConnectionsToLeavingUpstreamAreClosed(t *testing.T) {
	hear := func(h *harness, key catalog.UpstreamKey) {
		h.server.Balancer.MergeLimitReports([]balance.LimitReport{{IncarnationID: balance.IncarnationID(key), Leaving: true}})
	}
	tests := []struct {
		name string
		// last is the response to the second request. learn is called while the request runs, and afterwards if idle is set.
		last  behaviour
		learn func(*harness, catalog.UpstreamKey)
		idle  bool
	}{
		{"said in the response", ok.withHeader("X-Leaving: 1"), func(*harness, catalog.UpstreamKey) {}, false},
		{"said in a refusal", shed.withHeader("X-Leaving: 1"), func(*harness, catalog.UpstreamKey) {}, false},
		{"heard while the connection is idle", ok, hear, true},
		{"heard while a request runs", ok, hear, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var h *harness
			var key catalog.UpstreamKey
			last := tt.last
			last.serve = func(c net.Conn, r *http.Request) bool {
				if !tt.idle {
					tt.learn(h, key)
				}
				return tt.last.serve(c, r)
			}
			h = newHarness(t, catalog.Unsafe, false, ok, last)
			key = h.leaveOnly()
			h.call(http.MethodPost, "/r/", "")
			h.call(http.MethodPost, "/r/", "")
			is.Equal(h.connCount(), 1)
			if tt.idle {
				is.Equal(h.openConnCount(), 1)
				tt.learn(h, key)
			}
			// An idle connection expires after four seconds.
			for end := time.Now().Add(responseTimeout); h.openConnCount() > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(h.openConnCount(), 0)
		})
	}
}

// Guards against changes in what upstreams say of themselves that no metric shows, and against counting each response.
func TestNoticesOfUpstreamsAreCountedByCauseAndSource(t *testing.T) {
	is := is.New(t)
	limited := ok.withHeader("X-Limit: 90")
	h := newHarness(t, catalog.Unsafe, false, limited, limited, shed.withHeader("Retry-After: 2"))
	scope := tally.NewTestScope("", nil)
	h.server.Scope = scope
	key := h.leaveOnly()
	for range 3 {
		h.call(http.MethodPost, "/r/", "")
	}
	for range 2 {
		h.server.Balancer.MergeLimitReports([]balance.LimitReport{{IncarnationID: balance.IncarnationID(key), Leaving: true, Age: time.Hour}})
	}
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Tags()["cause"]+" "+c.Tags()["source"]] = c.Value()
	}
	// The refusal names no limit any more.
	is.Equal(counts, map[string]int64{"limit response": 2, "pause response": 1, "leaving peer": 1})
}
