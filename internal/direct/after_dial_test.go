package direct

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// Guards against a request that is sent although its upstream, or what allows the request, has gone between the choice and the
// connection.
func TestRequestIsCheckedAgainAfterDial(t *testing.T) {
	for _, tt := range []struct {
		name string
		// change is made after the upstream was chosen.
		change func(*harness, *catalog.Upstream)
		code   string
	}{
		{"nothing changes", func(*harness, *catalog.Upstream) {}, ""},
		{"route removed", func(h *harness, _ *catalog.Upstream) { h.setRoute(func(r *catalog.Route) { r.Prefix = "/other/" }) }, "upstream-left"},
		{"key withdrawn", func(h *harness, _ *catalog.Upstream) {
			next := *h.config
			next.Version, next.Teams = next.Version+1, map[string]*catalog.Team{"other": {Name: "other"}}
			h.config = &next
			h.publish("config")
		}, "upstream-left"},
		{"published as leaving", func(h *harness, u *catalog.Upstream) { h.publish("up/u1/" + u.Address + "/leaving") }, "upstream-left"},
		{"removed", func(h *harness, u *catalog.Upstream) { h.remove("up/u1/" + u.Address) }, "upstream-left"},
		{"says that it is leaving", func(h *harness, u *catalog.Upstream) { h.server.Balancer.MarkLeaving(u) }, "upstream-left"},
		{"another host heard that it is leaving", func(h *harness, u *catalog.Upstream) {
			h.server.Balancer.MergeLimitReports([]balance.LimitReport{{IncarnationID: balance.IncarnationID(u.Key()), Leaving: true}})
		}, "upstream-left"},
		{"asked for a pause", func(h *harness, u *catalog.Upstream) { h.server.Balancer.MarkPaused(u, time.Minute) }, "upstream-left"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Unsafe, false, ok)
			d, req := h.dispatch(), h.newStream().req
			u := h.store.Current().Upstreams["s"][0]
			is.Equal(u.ID, "u1")
			h.server.Balancer.Order(h.store.Current(), "s", balance.Criteria{}) // it is known
			tt.change(h, u)
			res := d.attemptSend(t.Context(), req, u)
			seen, _, _, _ := h.record()
			if tt.code == "" {
				is.True(res.responded)
				is.Equal(len(seen), 1)
				return
			}
			var refusal *outcome.Refusal
			is.True(errors.As(res.err, &refusal))
			is.Equal(refusal.Code, tt.code)
			is.Equal(refusal.Outcome, outcome.NotRun)
			is.True(refusal.RetryAfter > 0)
			is.True(res.notRun && !res.sent)
			is.Equal(req.sends, 0)
			is.Equal(len(seen), 0)
		})
	}
}

// Guards against idle connections to an upstream that cannot be reached, and a next attempt in the data centre that timed out.
func TestFailedConnectionIsRecorded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false, ok)
	d, req := h.dispatch(), h.newStream().req
	u := *h.store.Current().Upstreams["s"][0]
	h.listeners[0].Close()
	res := d.attemptSend(t.Context(), req, &u)
	is.True(res.notRun && !res.sent)
	is.Equal(req.tried, []catalog.UpstreamKey{u.Key()})
	is.Equal(len(req.unreached), 0) // refused, so the data centre can be reached
	states := h.server.Balancer.State()
	is.Equal(len(states), 1)
	is.Equal(states[0].Failures, 1)
}
