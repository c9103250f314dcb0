package ctl

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/gateway"
	"github.com/orioleusher/orioleusher/internal/process"
)

// directRouter serves a state dump and metrics; each look finds the next counters, two seconds later.
func directRouter(t *testing.T, served, refused []int) string {
	t.Helper()
	table := balance.NewTable("dc", clockwork.NewFakeClock(), zerolog.Nop())
	u := &catalog.Upstream{ID: "engine-1", Address: "10.0.0.1:80"}
	limit := 2.5
	table.RecordRequestLimit(u, &limit)
	table.MarkLeaving(u)
	looks := -1
	server := httptest.NewServer(admin.Handler(admin.Options{
		Ready: func() string { return "" },
		State: func() any {
			looks++
			return gateway.State{Name: "r1", ConfigVersion: 7, InFlight: 3, Upstreams: table.State(), Time: time.Unix(int64(2*looks), 0).UTC().Add(time.Hour)}
		},
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, "# TYPE oriole_router_answers_relayed counter\noriole_router_answers_relayed %d\n", served[looks])
			fmt.Fprintf(w, "# TYPE oriole_router_requests_refused counter\noriole_router_requests_refused{code=\"bad_key\"} %d\n", refused[looks])
		}),
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestTopShowsRatesBetweenLooksAndWhatUpstreamsSay(t *testing.T) {
	is := is.New(t)
	address := directRouter(t, []int{100, 120}, []int{5, 6})
	code, out, _ := runCtl("top", "--admin", address, "--interval", "1ms", "--count", "2")
	is.Equal(code, process.ExitOK)
	first, second, _ := strings.Cut(out, "SAYS")
	is.True(strings.Contains(first, "served 0.0/s"))
	for _, want := range []string{
		"== r1 (" + address + ")", "configuration 7", "3 requests in flight, served 10.0/s", "refused bad-key 0.5/s",
		"engine-1", "leaving (response, 0s ago), limit 2.5/s (response, 0s ago)",
	} {
		if !strings.Contains(second, want) {
			t.Errorf("the second look lacks %q:\n%s", want, second)
		}
	}
}

func TestTopShowsNoRatesAcrossRestartOfRouter(t *testing.T) {
	is := is.New(t)
	_, out, _ := runCtl("top", "--admin", directRouter(t, []int{100, 3}, []int{5, 1}), "--interval", "1ms", "--count", "2")
	is.Equal(strings.Count(out, "served 0.0/s, retries 0.0/s, refused none"), 2)
}

func TestTopReportsUnreachableRouters(t *testing.T) {
	is := is.New(t)
	code, out, _ := runCtl("top", "--admin", "127.0.0.1:1", "--count", "1")
	is.Equal(code, process.ExitCheckFailed)
	is.True(strings.Contains(out, "== 127.0.0.1:1: unreachable"))
}
