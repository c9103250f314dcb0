package direct

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

// peer is another host of the harness's fleet, with the same upstreams.
type peer struct {
	*harness
	address string
	front   *http.Server
}

// startPeer starts another host that takes detours.
func (h *harness) startPeer() *peer {
	h.t.Helper()
	other := *h
	other.reach = &testReach{}
	other.serve(allowance.RetryLimits{Ratio: 0.2, Slack: 100}, 1<<20)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	p := &peer{harness: &other, address: l.Addr().String(), front: newDetourServer(other.server)}
	go func() { _ = p.front.Serve(l) }()
	h.t.Cleanup(func() { p.front.Close() })
	return p
}

// newDetourServer returns a server for hosts that are cut off, as that for other hosts is.
func newDetourServer(s *Server) *http.Server {
	server := &http.Server{Handler: s.DetourHandler(), ReadHeaderTimeout: defaultHeaderTimeout}
	PrepareDetours(server)
	return server
}

// cutOffBeside restarts the server as a host that is cut off from the upstreams, beside the other one.
func (h *harness) cutOffBeside(p *peer) {
	h.t.Helper()
	h.peers = func() []string { return []string{p.address} }
	h.serve(allowance.RetryLimits{Ratio: 0.2, Slack: 100}, 1<<20)
	h.reach.cutOff.Store(true)
}

// Guards against hosts that refuse what other hosts could send for them, and against refusals that wait.
func TestCutOffHostRefusesAtOnceIfNoOtherHostTakesDetours(t *testing.T) {
	for name, prepare := range map[string]func(p *peer){
		"cut off as well":     func(p *peer) { p.reach.cutOff.Store(true) },
		"busy":                func(p *peer) { p.server.detourHandler.max = 0 },
		"stopping":            func(p *peer) { p.server.BeginStop(time.Now(), time.Now().Add(time.Minute)) },
		"without the address": func(p *peer) { p.front.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Unsafe, false, ok)
			p := h.startPeer()
			h.cutOffBeside(p)
			prepare(p)
			start := time.Now()
			got := h.call(http.MethodPost, "/r/", "hello")
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(strings.Contains(got.body, `"cut-off"`))
			is.True(strings.Contains(got.body, `"not-run"`))
			is.True(got.header.Get("Retry-After") != "")
			is.True(time.Since(start) < time.Second)
			_, _, ran, _ := h.record()
			is.Equal(ran, 0)
		})
	}
}

// Guards against requests that reach an upstream which the other host knows to be leaving, or that want nothing of that host.
func TestPeerSendsNothingToUpstreamThatAcceptsNoWork(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false, ok)
	p := h.startPeer()
	h.cutOffBeside(p)
	for _, u := range h.store.Current().Upstreams["s"] {
		p.server.Balancer.MarkPaused(u, time.Minute)
	}
	got := h.call(http.MethodPost, "/r/", "hello")
	is.Equal(got.status, http.StatusServiceUnavailable)
	_, _, ran, _ := h.record()
	is.Equal(ran, 0)
}

// Guards against a second run of a request whose detour breaks off, and against a refusal that says that it was not run.
func TestOutcomeIsUnknownIfPeerEndsMidway(t *testing.T) {
	is := is.New(t)
	hang, ended := hangs()
	h := newHarness(t, catalog.Unsafe, false, hang)
	p := h.startPeer()
	h.cutOffBeside(p)
	go func() {
		h.waitRun()
		p.front.Close()
	}()
	got := h.call(http.MethodPost, "/r/", "hello")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusBadGateway)
	<-ended // the upstream sees that as well
	_, _, ran, _ := h.record()
	is.Equal(ran, 1)
}

// Guards against upstreams that work on for a caller who has left, because the close does not pass the other host.
func TestCallersCloseReachesUpstreamByDetour(t *testing.T) {
	is := is.New(t)
	hang, ended := hangs()
	h := newHarness(t, catalog.Stream, false, hang)
	h.cutOffBeside(h.startPeer())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		h.waitRun()
		cancel()
	}()
	_, err := http.DefaultClient.Do(h.newRequest(http.MethodPost, "/r/", "hello").WithContext(ctx))
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream still works half a second after the caller has left")
	}
}

// Guards against a stream that goes on at a process whose software version is not proven, because another host sends it.
func TestDetourOfTakenUpStreamNeedsProofOfVersion(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Stream, true)
	h.registration = time.Hour
	p := h.startPeer()
	h.cutOffBeside(p)
	got := h.call(http.MethodPost, "/r/", "hello", "X-Last", "2", "X-Resumes", "id-0", "X-Wait-Ms", "400")
	is.Equal(got.status, http.StatusServiceUnavailable)
	seen, _, _, _ := h.record()
	is.Equal(len(seen), 0)
}

// Guards against a host that takes its own cut for crashes of the upstreams, and so blames sound requests.
func TestCutIsNotTakenForCrash(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false)
	p := h.startPeer()
	h.cutOffBeside(p)
	list := h.store.Current().Upstreams["s"]
	is.True(!h.server.dispatch.refusesConnections(t.Context(), list[0]))
	h.listeners[0].Close()
	is.True(h.server.dispatch.refusesConnections(t.Context(), list[0]))
}
