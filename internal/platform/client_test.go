package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/document"
)

type allLive struct{}

func (allLive) Live(string) bool { return true }

func snapshot(t *testing.T, version uint64, hostsPerDataCentre int) *document.Snapshot {
	t.Helper()
	doc := document.Document{Schema: document.SchemaVersion, Fleet: "test", Version: version}
	for dc := range 2 {
		centre := document.DataCentre{Name: fmt.Sprintf("dc-%d", dc), State: document.StateIn}
		for n := range hostsPerDataCentre {
			ip := fmt.Sprintf("127.0.%d.%d", dc, n+1)
			centre.Hosts = append(centre.Hosts, document.Host{
				Name: fmt.Sprintf("host-%d-%d", dc, n), CallerAddress: ip + ":1", PeerAddress: ip + ":2", AdminAddress: ip + ":3",
			})
		}
		doc.DataCentres = append(doc.DataCentres, centre)
	}
	doc.Pools = []document.Pool{{Name: "p", Kind: document.KindService, LoadFactor: 1.25, Upstreams: []document.Upstream{{
		Name: "u", DataCentre: "dc-0", Address: "127.0.0.1:8000", State: document.StateIn, Capacity: 1,
	}}}}
	doc.Routes = []document.Route{{Name: "r", Path: "/", Methods: []string{"GET"}, Pool: "p", Open: true, Repeatable: true}}
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

func newClient(base string, store *config.Store) *Client {
	return NewClient(Options{
		BaseURL: base, Fleet: "test", Self: "host-0-0", Dialer: &net.Dialer{}, Liveness: allLive{}, Store: store,
		Clock: clockwork.NewRealClock(), Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
}

// TestCallRateGrowsSublinearlyWithFleet adds up the calls per second of the hosts of one data centre.
func TestCallRateGrowsSublinearlyWithFleet(t *testing.T) {
	is := is.New(t)
	rate := func(hosts int) (calls float64, watchers int) {
		snap := snapshot(t, 1, hosts)
		for n := range hosts {
			interval := pollInterval(rank(snap, allLive{}, fmt.Sprintf("host-0-%d", n)))
			if interval == 0 {
				watchers++
				interval = watchDuration
			}
			calls += 1 / interval.Seconds()
		}
		return calls, watchers
	}
	small, watchers := rate(4)
	is.Equal(watchers, watchersPerDataCentre)
	large, watchers := rate(50)
	is.Equal(watchers, watchersPerDataCentre)
	t.Logf("calls per second of a data centre: %.3f with 4 hosts, %.3f with 50", small, large)
	is.True(large/small < 3)
}

func TestResponseIsClassified(t *testing.T) {
	raw := func(version uint64) []byte { return snapshot(t, version, 1).Raw }
	cases := []struct {
		name    string
		status  int
		body    []byte
		result  config.OfferResult
		stale   bool
		failed  uint64
		version uint64
	}{
		{"newer", 200, raw(6), config.Applied, false, 0, 6},
		{"the same", 200, raw(5), config.Unchanged, false, 0, 5},
		{"older", 200, raw(4), config.Older, true, 0, 5},
		{"invalid", 200, []byte("{"), config.Invalid, false, 0, 5},
		{"too large", 200, make([]byte, document.MaxBytes+100), config.Invalid, false, 0, 5},
		{"unchanged", 304, nil, "", false, 0, 5},
		{"down", 503, nil, "", false, 1, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderIndex, "1")
				w.WriteHeader(c.status)
				_, _ = w.Write(c.body)
			}))
			defer server.Close()
			store := config.NewStore(clockwork.NewRealClock(), zerolog.Nop())
			_, err := store.Offer(raw(5), "peer")
			is.NoErr(err)
			client := newClient(server.URL, store)
			_ = client.Refresh(context.Background())
			state := client.State()
			is.Equal(state.OfferResult, c.result)
			is.Equal(state.Stale, c.stale)
			is.Equal(state.Failed, c.failed)
			is.Equal(store.Current().Version, c.version)
		})
	}
}

func TestCallRateIsBoundedForAnyResponse(t *testing.T) {
	for name, status := range map[string]int{"responds immediately": 200, "fails immediately": 503} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw := snapshot(t, 1, 1).Raw
			index := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				index++
				w.Header().Set(HeaderIndex, fmt.Sprint(index))
				w.WriteHeader(status)
				_, _ = w.Write(raw)
			}))
			defer server.Close()
			client := newClient(server.URL, config.NewStore(clockwork.NewRealClock(), zerolog.Nop()))
			const runTime = time.Second
			ctx, cancel := context.WithTimeout(context.Background(), runTime)
			defer cancel()
			client.Run(ctx)
			is.True(client.State().Calls >= 2)
			is.True(client.State().Calls <= uint64(runTime/minCallInterval)+1)
		})
	}
}
