package idempotency

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/idempotency"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

func newFilter(t *testing.T) (*Filter, *idempotency.Registry, *document.Snapshot) {
	t.Helper()
	signer, err := idempotency.NewSigner("host", 7)
	if err != nil {
		t.Fatal(err)
	}
	registry := idempotency.NewRegistry(signer, clockwork.NewFakeClock())
	doc := document.Document{
		Schema: document.SchemaVersion, Fleet: "test", Version: 1,
		DataCentres: []document.DataCentre{{Name: "dc", State: document.StateIn}},
		Pools:       []document.Pool{{Name: "engines", Kind: document.KindEngine, Model: "m", LoadFactor: 1.25}},
		Routes:      []document.Route{{Name: "orders", Path: "/v1/orders", Methods: []string{"POST"}, Pool: "engines"}},
		Teams:       []document.Team{{Name: "team", RatePerSecond: 1, Burst: 1}},
	}
	raw, err := doc.Encode()
	if err != nil {
		t.Fatal(err)
	}
	snap, err := document.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	return New(Options{Self: "host", Registry: registry, AtEntryHost: true, Scope: tally.NoopScope}), registry, snap
}

func order(snap *document.Snapshot, key string) *exchange.Exchange {
	return &exchange.Exchange{
		Snapshot: snap, Route: &snap.Routes[0], Team: snap.Team("team"), Method: "POST", Path: "/v1/orders",
		IdempotencyKey: key, Body: []byte("sacks"), Deadline: time.Now().Add(time.Minute),
	}
}

func respondWith(contentType, body string) exchange.Next {
	return func(_ context.Context, x *exchange.Exchange) error {
		x.Response = &exchange.Response{
			Status: http.StatusOK, Header: http.Header{"Content-Type": {contentType}},
			Body: exchange.BodyFromBytes([]byte(body)), Upstream: "engine-1",
		}
		return nil
	}
}

func TestRepeatsReportTheResultOfTheRun(t *testing.T) {
	unknown := &outcome.Refusal{Status: 502, Code: "no-answer", Outcome: outcome.Unknown}
	notRun := outcome.Unavailable("owner", "upstream-full", "full")
	refusing := func(r *outcome.Refusal) exchange.Next {
		return func(context.Context, *exchange.Exchange) error { return r }
	}
	const whole = "data: {}\n\ndata: [DONE]\n\n"
	cases := []struct {
		name          string
		next          exchange.Next
		code          string
		outcome       outcome.Outcome
		repeatEarlier outcome.Earlier
		runs          int64
	}{
		{"answered", respondWith("application/json", "{}"), "", outcome.Run, outcome.EarlierRun, 1},
		{"whole stream", respondWith("text/event-stream", whole), "", outcome.Run, outcome.EarlierRun, 1},
		{"stream without its end event", respondWith("text/event-stream", "data: {}\n\n"), "answer-lost", outcome.Unknown, outcome.EarlierPossible, 1},
		{"too long", respondWith("text/plain", strings.Repeat("a", maxKeptBytes+1)), "answer-lost", outcome.Unknown, outcome.EarlierPossible, 1},
		{"unknown", refusing(unknown), "no-answer", outcome.Unknown, outcome.EarlierPossible, 1},
		{"not run, so the key may be used again", refusing(notRun), "upstream-full", outcome.NotRun, outcome.EarlierNone, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, registry, snap := newFilter(t)
			key, err := registry.Issue("team")
			is.NoErr(err)
			var runs atomic.Int64
			next := func(ctx context.Context, x *exchange.Exchange) error {
				runs.Add(1)
				return c.next(ctx, x)
			}
			for _, earlier := range []outcome.Earlier{outcome.EarlierNone, c.repeatEarlier} {
				x := order(snap, key)
				err := f.Handle(context.Background(), x, next)
				if c.code == "" {
					is.NoErr(err)
					is.Equal(x.Response.Earlier, earlier)
					continue
				}
				r := exchange.AsRefusal(err)
				is.Equal(r.Code, c.code)
				is.Equal(r.Outcome, c.outcome)
				is.Equal(r.Earlier, earlier)
			}
			is.Equal(runs.Load(), c.runs)
		})
	}
}

func TestConcurrentRepeatsJoinOneRunThatOutlivesItsCaller(t *testing.T) {
	is := is.New(t)
	f, registry, snap := newFilter(t)
	key, err := registry.Issue("team")
	is.NoErr(err)
	begun, release := make(chan struct{}), make(chan struct{})
	var runs atomic.Int64
	next := func(ctx context.Context, x *exchange.Exchange) error {
		runs.Add(1)
		close(begun)
		<-release
		return respondWith("text/plain", "done")(ctx, x)
	}
	ctx, leave := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() { first <- f.Handle(ctx, order(snap, key), next) }()
	<-begun
	leave()
	r := exchange.AsRefusal(<-first)
	is.Equal(r.Code, "still-running")
	is.Equal(r.Outcome, outcome.Unknown)
	var wg sync.WaitGroup
	bodies := make([]string, 8)
	for i := range bodies {
		wg.Go(func() {
			x := order(snap, key)
			if f.Handle(context.Background(), x, next) == nil {
				raw, _ := io.ReadAll(x.Response.Body)
				bodies[i] = string(raw)
			}
		})
	}
	close(release)
	wg.Wait()
	for _, body := range bodies {
		is.Equal(body, "done")
	}
	is.Equal(runs.Load(), int64(1))
}

func TestPanickingRunHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	f, registry, snap := newFilter(t)
	key, err := registry.Issue("team")
	is.NoErr(err)
	err = f.Handle(context.Background(), order(snap, key), func(context.Context, *exchange.Exchange) error {
		panic("filter failed")
	})
	is.Equal(exchange.AsRefusal(err).Outcome, outcome.Unknown)
}
