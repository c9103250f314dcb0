package direct

import (
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/origin"
	"github.com/orioleusher/orioleusher/internal/promptblame"
	"github.com/orioleusher/orioleusher/internal/published"
)

// publishVersions publishes the harness's upstreams with the given software versions.
func (h *harness) publishVersions(versions ...string) {
	for i, version := range versions {
		h.publish("up/" + []string{"u1", "u2", "u3"}[i] + "/" + h.listeners[i].Addr().String() + "/version-" + version)
	}
}

// remove removes a published item.
func (h *harness) remove(key string) {
	h.revision++
	h.store.Apply([]published.Item{{Key: key, Revision: h.revision, Removed: true}})
}

// refusalCode returns the code of a refusal, or "" if the response is none.
func (r *reply) refusalCode() string {
	var refusal struct {
		Code string `json:"code"`
	}
	_ = json.Unmarshal([]byte(r.body), &refusal) // a stream is not JSON
	return refusal.Code
}

// versionOf returns the software version of the upstream that received the request.
func versionOf(r *http.Request, versions []string) string {
	return map[string]string{"u1": versions[0], "u2": versions[1], "u3": versions[2]}[r.Header.Get("X-Instance")]
}

// Guards against answers that begin at one software version and go on at another one.
func TestStreamIsResumedOnlyAtVersionThatBeganIt(t *testing.T) {
	for _, versions := range [][]string{{"1", "1", "2"}, {"1", "2", "2"}, {"2", "1", "1"}} {
		for range 4 {
			is := is.New(t)
			h := newHarness(t, catalog.Stream, true, cutStream, streams)
			h.publishVersions(versions...)
			got := h.call(http.MethodPost, "/r/", "")
			seen, _, _, _ := h.record()
			for _, r := range seen[1:] {
				is.Equal(versionOf(r, versions), versionOf(seen[0], versions))
			}
			is.Equal(got.err == nil, len(seen) == 2) // without another upstream of the version the answer breaks off
		}
	}
}

// A stream of which the caller has received nothing may begin anew at any version.
func TestStreamWithoutEventsIsRetriedAtAnyVersion(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Stream, true, cutBefore, streams)
	h.publishVersions("1", "2", "3")
	got := h.call(http.MethodPost, "/r/", "")
	is.NoErr(got.err)
	is.Equal(got.body, wholeStream())
}

// Guards against streams that callers take up and that go on at another software version than the one that began them.
func TestTakenUpStreamGoesOnOnlyAtVersionThatBeganIt(t *testing.T) {
	known := func(h *harness, version string) {
		h.origins.Add(origin.Record{
			Stream: origin.HashRequestID("first"), Origin: origin.Origin{Service: "s", Version: version}, Expires: time.Now().Add(time.Minute),
		})
	}
	for _, tt := range []struct {
		name    string
		prepare func(h *harness)
		status  int
		code    string
		version string
		returns bool // the caller is told when to come back
	}{
		{"known version", func(h *harness) { known(h, "2") }, 200, "", "2", false},
		{"version that is gone", func(h *harness) {
			h.publish("up/u4/127.0.0.1:1/version-9")
			h.remove("up/u4/127.0.0.1:1/version-9")
			known(h, "9")
		}, 503, "stream-version-gone", "", false},
		{"version whose upstreams were replaced", func(h *harness) {
			h.publishVersions("1", "1", "1")
			known(h, "2")
		}, 503, "stream-version-gone", "", false},
		{"version that is not yet published here", func(h *harness) { known(h, "7") }, 503, "stream-version-unseen", "", true},
		{"another service", func(h *harness) {
			h.origins.Add(origin.Record{
				Stream: origin.HashRequestID("first"), Origin: origin.Origin{Service: "other", Version: "1"}, Expires: time.Now().Add(time.Minute),
			})
		}, 503, "stream-version-unseen", "", true},
		{"unknown origin", func(h *harness) { h.soleVersion = nil }, 503, "stream-origin-unknown", "", false},
		{"unknown origin, a single version can have begun it", func(h *harness) { *h.soleVersion = "1" }, 200, "", "1", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Stream, true, streams)
			versions := []string{"1", "2", "2"}
			h.publishVersions(versions...)
			tt.prepare(h)
			got := h.call(http.MethodPost, "/r/", "", "X-Id", "second", "X-Resumes", "first", "X-Last", "2")
			is.Equal(got.status, tt.status)
			is.Equal(got.refusalCode(), tt.code)
			is.Equal(got.header.Get("Retry-After") != "", tt.returns)
			seen, _, ran, _ := h.record()
			if tt.version == "" {
				is.Equal(ran, 0)
				return
			}
			is.Equal(len(seen), 1)
			is.Equal(versionOf(seen[0], versions), tt.version)
			r, ok := h.origins.Find(origin.HashRequestID("first"))
			is.True(ok)
			is.Equal(r.Origin, origin.Origin{Service: "s", Version: tt.version})
		})
	}
}

// Guards against streams that are refused when callers take them up, while the only upstream of their version tolerates more than the
// limit that it names.
func TestStreamsAreTakenUpBeyondNamedLimit(t *testing.T) {
	is := is.New(t)
	limited := streams.withHeader("X-Limit: 0.25") // one request in four seconds
	h := newHarness(t, catalog.Stream, true, limited, limited)
	h.publishVersions("1", "2", "1")
	limit := 0.25
	h.server.Balancer.RecordRequestLimit(h.store.Current().Upstreams["s"][1], &limit)
	for _, stream := range []string{"first", "second"} {
		h.origins.Add(origin.Record{
			Stream: origin.HashRequestID(stream), Origin: origin.Origin{Service: "s", Version: "2"}, Expires: time.Now().Add(time.Minute),
		})
		got := h.call(http.MethodPost, "/r/", "", "X-Id", stream+"-again", "X-Resumes", stream, "X-Last", "2")
		is.Equal(got.status, http.StatusOK)
	}
}

// The origin of a stream is recorded before the caller receives its first event, so that it is known if the host is killed
// right after.
func TestOriginIsRecordedBeforeFirstEvent(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Stream, true, cutStream, cutStream)
	h.publishVersions("1", "1", "1")
	_ = h.call(http.MethodPost, "/r/", "")
	r, ok := h.origins.Find(origin.HashRequestID("id-1"))
	is.True(ok)
	is.Equal(r.Version, "1")
	is.True(time.Until(r.Expires) > 9*time.Second) // the timeout of the route is ten seconds
}

// Guards against refusals of streams that callers take up, while one upstream of their version fails at once and another one
// accepts work again soon.
func TestTakenUpStreamWaitsForUpstreamOfItsVersion(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Stream, true, streams)
	versions := []string{"1", "1", "2"}
	h.publishVersions(versions...)
	h.listeners[0].Close()
	h.server.Balancer.MarkPaused(h.store.Current().Upstreams["s"][1], 400*time.Millisecond)
	h.origins.Add(origin.Record{
		Stream: origin.HashRequestID("first"), Origin: origin.Origin{Service: "s", Version: "1"}, Expires: time.Now().Add(time.Minute),
	})
	got := h.call(http.MethodPost, "/r/", "", "X-Id", "second", "X-Resumes", "first", "X-Last", "2", "X-Wait-Ms", "8000")
	is.Equal(got.status, http.StatusOK)
	is.NoErr(got.err)
	seen, _, _, _ := h.record()
	is.Equal(versionOf(seen[0], versions), "1")
}

// Guards against upstreams that crash because a stream with a deadly prompt is taken up: that it has begun, which a host has
// recorded, shows nothing, as upstreams may crash after their first events. Others are taken up.
func TestTakenUpStreamIsRefusedIfPromptIsBlamed(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		for _, blamed := range []bool{true, false} {
			is := is.New(t)
			h := newHarness(t, catalog.Stream, true, streams)
			h.blame("thing", promptblame.Beginning)
			if recorded {
				h.origins.Add(origin.Record{Stream: origin.HashRequestID("first"), Origin: origin.Origin{Service: "s"}, Expires: time.Now().Add(time.Minute)})
			}
			prompt := "common,other,own"
			if blamed {
				prompt = "common,thing,own"
			}
			got := h.call(http.MethodPost, "/r/", "", "X-Id", "second", "X-Resumes", "first", "X-Last", "2", "X-Prompt", prompt)
			is.Equal(got.status == http.StatusOK, !blamed)
			seen, _, _, _ := h.record()
			is.Equal(len(seen) == 0, blamed)
			if blamed {
				is.Equal(got.refusalCode(), "prompt-quarantined")
			}
		}
	}
}

// Guards against a stream that is cut off because its upstream is silent for a moment and another one could only begin it
// anew at another software version.
func TestSilentStreamIsNotGivenUpForAnotherVersion(t *testing.T) {
	is := is.New(t)
	silent := behaviour{"silent in the middle", func(c net.Conn, r *http.Request) bool {
		streamFrom(c, r, 2)
		time.Sleep(silenceTimeout + 3*moveCheckInterval) // longer than a stream may be silent
		for id := 3; id <= streamEvents; id++ {
			writeText(c, chunk(event(id)))
		}
		writeText(c, "0\r\n\r\n")
		return true
	}, true}
	h := newHarness(t, catalog.Stream, true, silent)
	h.publishVersions("1", "2", "3")
	got := h.call(http.MethodPost, "/r/", "")
	is.NoErr(got.err)
	is.Equal(got.body, wholeStream())
}

// Guards against a stream that goes on at another service, or nowhere, after the weights of its route have changed.
func TestTakenUpStreamStaysAtItsService(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Stream, true, streams)
	h.config.Routes[0].WeightedServices = []catalog.WeightedService{{Service: "other", Weight: 1e9}, {Service: "s", Weight: 1e-9}}
	h.origins.Add(origin.Record{Stream: origin.HashRequestID("first"), Origin: origin.Origin{Service: "s"}, Expires: time.Now().Add(time.Minute)})
	got := h.call(http.MethodPost, "/r/", "", "X-Id", "second", "X-Resumes", "first", "X-Last", "2")
	is.Equal(got.status, http.StatusOK)
}
