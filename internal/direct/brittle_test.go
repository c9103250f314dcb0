package direct

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

// Guards against a notice that is missed in some responses, or taken from a response of another instance at the address.
func TestBrittleNoticeIsReadFromEveryResponseOfTheUpstream(t *testing.T) {
	for _, tt := range []struct {
		name     string
		kind     catalog.Kind
		response behaviour
		want     bool
	}{
		{"success", catalog.Safe, ok, true},
		{"failure", catalog.Unsafe, fails, true},
		{"refusal", catalog.Unsafe, shed, true},
		{"stream", catalog.Stream, streams, true},
		{"broken stream", catalog.Stream, cutStream, true},
		{"another instance", catalog.Unsafe, otherInstance, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.kind, false, tt.response.withHeader("X-Brittle: 4"))
			h.leaveOnly()
			h.call(http.MethodPost, "/r/", "")
			is.Equal(h.server.Balancer.Brittle("s"), tt.want)
		})
	}
}

// Guards against requests that pile up at an upstream that says that it is brittle, and against places that are lost with the
// sends that end in any way.
func TestBrittleUpstreamHoldsFewRequestsOfHost(t *testing.T) {
	is := is.New(t)
	const places = 1 // of a host that is alone, at an upstream of unknown size that survives one rejection
	end := make(chan struct{})
	begun := make(chan struct{}, places)
	waits := behaviour{"waits", func(c net.Conn, r *http.Request) bool {
		begun <- struct{}{}
		<-end
		return ok.serve(c, r)
	}, true}.withHeader("X-Brittle: 1")
	script := []behaviour{ok.withHeader("X-Brittle: 1"), shed.withHeader("X-Brittle: 1"), resets, waits}
	h := newHarness(t, catalog.Unsafe, false, append(script, ok.withHeader("X-Brittle: 1"))...)
	h.leaveOnly()
	is.Equal(h.call(http.MethodPost, "/r/", "").status, http.StatusOK)
	is.Equal(h.call(http.MethodPost, "/r/", "").status, http.StatusServiceUnavailable) // rejected
	got := h.call(http.MethodPost, "/r/", "")                                          // the rejection still takes the place
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	h.waitForPlace()
	is.Equal(h.call(http.MethodPost, "/r/", "").status, http.StatusBadGateway) // reset
	h.waitForPlace()
	var wg sync.WaitGroup
	wg.Go(func() { is.Equal(h.call(http.MethodPost, "/r/", "").status, http.StatusOK) })
	<-begun
	is.Equal(h.call(http.MethodPost, "/r/", "").status, http.StatusServiceUnavailable) // the place is taken
	close(end)
	wg.Wait()
	is.Equal(h.call(http.MethodPost, "/r/", "").status, http.StatusOK)
	_, _, _, left := h.record()
	is.Equal(left, 0)
}

// waitForPlace waits until the only upstream may receive a request again.
func (h *harness) waitForPlace() {
	for {
		if c := h.server.Selector.Select(h.store.Current(), "s", balance.Criteria{}); c != nil {
			h.server.Selector.Release(c)
			return
		}
		time.Sleep(time.Millisecond)
	}
}
