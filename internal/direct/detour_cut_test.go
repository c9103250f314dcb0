package direct

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// Guards against upstreams that are avoided because another host does not reach them, which is cut off and learns that only now.
func TestPeerThatLearnsOfItsCutRefusesDetour(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false)
	p := h.startPeer()
	h.cutOffBeside(p)
	p.reach.confirmed.Store(true)
	for _, l := range h.listeners {
		l.Close()
	}
	got := h.call(http.MethodPost, "/r/", "hello")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, `"cut-off"`))
	is.Equal(len(h.suspects()), 0)
}

// Guards against sound requests that are blamed for crashes because the host that is asked about an upstream is cut off as well.
func TestCutOfAskedHostIsNotTakenForCrash(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false)
	p := h.startPeer()
	h.cutOffBeside(p)
	h.listeners[0].Close()
	u := h.store.Current().Upstreams["s"][0]
	is.True(h.server.dispatch.refusesConnections(t.Context(), u))
	p.reach.confirmed.Store(true)
	is.True(!h.server.dispatch.refusesConnections(t.Context(), u))
}
