package direct

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/origin"
)

// lateListing is a Listing that is old until it is refreshed.
type lateListing struct {
	onRefresh func()
	refreshed atomic.Int32
}

func (*lateListing) DataAge() time.Duration { return time.Hour }

func (l *lateListing) Refresh(context.Context, time.Time) error {
	if l.refreshed.Add(1) == 1 && l.onRefresh != nil {
		l.onRefresh()
	}
	return nil
}

// newLateHarness returns a harness whose upstreams publish themselves within the registration time after they have started.
func newLateHarness(t *testing.T, script ...behaviour) (*harness, *lateListing) {
	h := newHarness(t, catalog.Stream, true, script...)
	l := &lateListing{}
	h.listing, h.registration = l, 100*time.Millisecond
	h.front.Close()
	h.serve(allowance.RetryLimits{Ratio: 0.2, Slack: 100}, 1<<20)
	return h, l
}

// Guards against answers that begin at an upstream that has just started again with another version under its ID, and that go on
// at the version that it had before; and against answers that break off although it has the same version.
func TestStreamOfRestartedUpstreamIsNotJoined(t *testing.T) {
	for _, next := range []string{"1", "2"} {
		t.Run("started again with version "+next, func(t *testing.T) {
			is := is.New(t)
			h, l := newLateHarness(t, cutStream, streams)
			h.publishVersions("1", "1", "1")
			l.onRefresh = func() {
				seen, _, _, _ := h.record()
				for i, id := range []string{"u1", "u2", "u3"} {
					if id == seen[0].Header.Get("X-Instance") {
						h.publish("up/" + id + "/" + h.listeners[i].Addr().String() + "/version-" + next)
					}
				}
			}
			got := h.call(http.MethodPost, "/r/", "")
			seen, _, _, _ := h.record()
			is.Equal(len(seen), map[string]int{"1": 2, "2": 1}[next])
			is.Equal(got.err == nil, next == "1")
		})
	}
}

// Guards against streams that callers take up and that go on at an upstream that has just started again with another version
// under its ID.
func TestTakenUpStreamIsNotSentToRestartedUpstream(t *testing.T) {
	for _, next := range []string{"1", "2"} {
		t.Run("started again with version "+next, func(t *testing.T) {
			is := is.New(t)
			h, l := newLateHarness(t, streams)
			h.publishVersions("1", "2", "2")
			l.onRefresh = func() { h.publish("up/u1/" + h.listeners[0].Addr().String() + "/version-" + next) }
			h.origins.Add(origin.Record{
				Stream: origin.HashRequestID("first"), Origin: origin.Origin{Service: "s", Version: "1"}, Expires: time.Now().Add(time.Minute),
			})
			got := h.call(http.MethodPost, "/r/", "", "X-Id", "second", "X-Resumes", "first", "X-Last", "2")
			_, _, ran, _ := h.record()
			is.Equal(ran, map[string]int{"1": 1, "2": 0}[next])
			is.Equal(got.refusalCode(), map[string]string{"1": "", "2": "stream-version-gone"}[next])
		})
	}
}

// Guards against an origin that other hosts take for certain before it is, and against one that never becomes certain.
func TestOriginIsSharedAsUncertainUntilProven(t *testing.T) {
	is := is.New(t)
	h, _ := newLateHarness(t, streams)
	h.listing = freshListing{}
	h.registration = 400 * time.Millisecond
	h.front.Close()
	h.serve(allowance.RetryLimits{Ratio: 0.2, Slack: 100}, 1<<20)
	h.publishVersions("1", "1", "1")
	is.NoErr(h.call(http.MethodPost, "/r/", "").err)
	r, ok := h.origins.Find(origin.HashRequestID("id-1"))
	is.True(ok)
	seen, _, _, _ := h.record()
	is.Equal(r.Upstream, seen[0].Header.Get("X-Instance"))
	is.Equal(r.Version, "1")
	for deadline := time.Now().Add(5 * time.Second); r.Upstream != ""; {
		is.True(time.Now().Before(deadline))
		time.Sleep(10 * time.Millisecond)
		r, _ = h.origins.Find(origin.HashRequestID("id-1"))
	}
	is.True(!time.Now().Before(r.Due))
}

// Guards against a stream that is lost, and connections that are opened one after another, because the connection on which it could
// go on at the only upstream of its version is replaced before the upstream is proven to be the one that began it.
func TestStreamGoesOnAtItsOnlyUpstreamOnceProven(t *testing.T) {
	for _, byDetour := range []bool{false, true} {
		t.Run(fmt.Sprintf("by detour %t", byDetour), func(t *testing.T) {
			is := is.New(t)
			h, _ := newLateHarness(t, cutStream, streams)
			h.listing = freshListing{}
			h.registration = 400 * time.Millisecond
			h.front.Close()
			h.serve(allowance.RetryLimits{Ratio: 0.2, Slack: 100}, 1<<20)
			h.leaveOnly()
			if byDetour {
				h.cutOffBeside(h.startPeer())
			}
			got := h.call(http.MethodPost, "/r/", "")
			is.NoErr(got.err)
			is.Equal(got.body, event(1)+event(2)+event(3)+event(4)+event(5))
			is.True(h.connCount() <= 3) // the first send, a probe for a crash and the second send
		})
	}
}

// Guards against streams that are refused when callers take them up at a limited upstream (LOST): while it is not proven where a
// connection leads, each look at it used up a request of the host's share, though nothing was sent.
func TestUnprovenConnectionUsesNoShareOfLimit(t *testing.T) {
	is := is.New(t)
	h, _ := newLateHarness(t, streams)
	h.listing = freshListing{}
	h.registration = 900 * time.Millisecond // nine looks, where the share is four requests
	h.front.Close()
	h.serve(allowance.RetryLimits{Ratio: 0.2, Slack: 100}, 1<<20)
	h.publishVersions("1", "2", "2")
	limit := 0.25
	h.server.Balancer.RecordRequestLimit(h.store.Current().Upstreams["s"][0], &limit)
	h.origins.Add(origin.Record{
		Stream: origin.HashRequestID("first"), Origin: origin.Origin{Service: "s", Version: "1"}, Expires: time.Now().Add(time.Minute),
	})
	got := h.call(http.MethodPost, "/r/", "", "X-Id", "second", "X-Resumes", "first", "X-Last", "2")
	is.Equal(got.refusalCode(), "")
	is.Equal(got.status, http.StatusOK)
}
