package route

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/routing"
	"github.com/orioleusher/orioleusher/internal/settings"
)

func snapshot(t *testing.T, state document.State) *document.Snapshot {
	t.Helper()
	doc := document.Document{
		Schema: document.SchemaVersion, Fleet: "test", Version: 1,
		DataCentres: []document.DataCentre{{Name: "dc", State: document.StateIn}},
		Pools: []document.Pool{{Name: "pool", Kind: document.KindEngine, Model: "model-a", LoadFactor: 1.25, Upstreams: []document.Upstream{
			{Name: "engine", DataCentre: "dc", Address: "127.0.0.1:1", State: state, Capacity: 1},
		}}},
		Routes: []document.Route{{Name: "chat", Path: "/chat", Methods: []string{http.MethodPost}, Pool: "pool"}},
	}
	raw, err := doc.Encode()
	if err != nil {
		t.Fatal(err)
	}
	snap, err := document.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

func TestRoute(t *testing.T) {
	for _, c := range []struct {
		name   string
		body   string
		state  document.State
		status int
		code   string
	}{
		{"the pool's model", `{"model":"model-a","messages":[]}`, document.StateIn, 0, ""},
		{"another model", `{"model":"model-b","messages":[]}`, document.StateIn, http.StatusNotFound, "wrong-model"},
		{"another model while the pool is out", `{"model":"model-b"}`, document.StateOut, http.StatusNotFound, "wrong-model"},
		{"a body without a model is passed on", `{"messages":[]}`, document.StateIn, 0, ""},
		{"a body that is not JSON is passed on", `model-b`, document.StateIn, 0, ""},
		{"no upstream accepts work", `{"model":"model-a"}`, document.StateOut, http.StatusServiceUnavailable, "no-upstream"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			snap := snapshot(t, c.state)
			filter := New(routing.NewPlanner(settings.PolicyBounded, "dc"), tally.NoopScope)
			x := &exchange.Exchange{Snapshot: snap, Route: &snap.Routes[0], Body: []byte(c.body), Header: http.Header{}}
			reached := false
			err := filter.Handle(context.Background(), x, func(context.Context, *exchange.Exchange) error {
				reached = true
				return nil
			})
			is.Equal(reached, c.status == 0)
			if c.status == 0 {
				is.NoErr(err)
				is.Equal(x.Candidates, []string{"engine"})
				return
			}
			refusal := exchange.AsRefusal(err)
			is.Equal(refusal.Status, c.status)
			is.Equal(refusal.Code, c.code)
			is.Equal(refusal.Outcome, outcome.NotRun)
		})
	}
}
