package direct

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/detour"
)

// Guards against streams that are not continued by a detour although the version of their upstream is proven in time: the upstream
// counted as tried, and each further look at it needed a new connection, which proves nothing.
func TestDetourOfTakenUpStreamWaitsForProofOfVersion(t *testing.T) {
	for _, byDetour := range []bool{false, true} {
		is := is.New(t)
		h := newHarness(t, catalog.Stream, true, streams)
		h.registration = 300 * time.Millisecond
		if p := h.startPeer(); byDetour {
			h.cutOffBeside(p)
		} else {
			h.serve(allowance.RetryLimits{Ratio: 0.2, Slack: 100}, 1<<20)
		}
		got := h.call(http.MethodPost, "/r/", "hello", "X-Last", "2", "X-Resumes", "id-0", "X-Wait-Ms", "4000")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, event(3)+event(4)+event(5))
	}
}

// Guards against a stream that goes on at another software version because another host has learnt of a later one under the same
// entry.
func TestPeerSendsNothingToOtherVersion(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Stream, true)
	p := h.startPeer()
	u := *h.store.Current().Upstreams["s"][0]
	u.Version = "earlier"
	req := h.newRequest(http.MethodPost, "/r/", "hello")
	req.URL.Host = p.address
	is.NoErr(detour.SetOrder(req.Header, detour.NewOrder(&u, time.Second)))
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	report, err := detour.TakeReport(resp.Header)
	is.NoErr(err)
	is.Equal(report, detour.Report{Outcome: detour.NotSent, Reason: detour.ReasonUpstreamLeft})
}
