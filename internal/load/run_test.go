package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/load/plots"
	"github.com/orioleusher/orioleusher/internal/load/report"
	"github.com/orioleusher/orioleusher/internal/load/scenario"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/record"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// callScenario returns a scenario with calls of one kind, at a mean rate of 50 per second for 2 s.
func callScenario(c scenario.Call) *scenario.Scenario {
	c.Route, c.Path, c.PerSecond = "r", "/r", 50
	return &scenario.Scenario{
		Name: "t", Seed: 3, Duration: settings.Duration(2 * time.Second), Scale: 1, Attempts: 3,
		RequestTimeout: settings.Duration(5 * time.Second),
		Teams:          []scenario.Team{{Name: "a", Calls: []scenario.Call{c}}},
	}
}

// runScenario runs the scenario against two hosts with the same handler.
func runScenario(t *testing.T, s *scenario.Scenario, handler http.HandlerFunc) (*report.Result, []record.Line) {
	t.Helper()
	callers := &Callers{Teams: []CallerTeam{{Name: "a", Key: "k"}}}
	for range 2 {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		callers.EntryAddresses = append(callers.EntryAddresses, strings.TrimPrefix(server.URL, "http://"))
	}
	result, lines, err := Run(context.Background(), RunOptions{Scenario: s, Callers: callers, Label: "t", Progress: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	return result, lines
}

func respond(w http.ResponseWriter, status int, o outcome.Outcome) {
	w.Header().Set(outcome.HeaderOutcome, string(o))
	w.WriteHeader(status)
	fmt.Fprint(w, "{}")
}

func TestStallDelaysAllRequestsDueDuringIt(t *testing.T) {
	is := is.New(t)
	const stall = time.Second
	var once sync.Once
	var end time.Time
	result, _ := runScenario(t, callScenario(scenario.Call{Method: "GET"}), func(w http.ResponseWriter, _ *http.Request) {
		once.Do(func() { end = time.Now().Add(stall) })
		time.Sleep(time.Until(end))
		respond(w, http.StatusOK, outcome.Run)
	})
	is.Equal(result.Total.OK, result.Total.Requests)
	// About half of the requests are due during the stall and wait for its end. A closed loop would delay only one.
	is.True(result.Total.Requests > 60)
	is.True(result.Total.FirstByte.P50 > 1)
	is.True(result.Total.FirstByte.P90 > 600)
}

func TestOnlyRequestsNotRunAreRetried(t *testing.T) {
	cases := []struct {
		name    string
		status  int
		outcome outcome.Outcome
		retried bool
		count   func(report.TeamResult) int
	}{
		{"not run", http.StatusServiceUnavailable, outcome.NotRun, true, func(t report.TeamResult) int { return t.Refused }},
		{"unknown", http.StatusBadGateway, outcome.Unknown, false, func(t report.TeamResult) int { return t.Failed }},
		{"no outcome", http.StatusBadGateway, "", false, func(t report.TeamResult) int { return t.Failed }},
		{"over the rate", http.StatusTooManyRequests, outcome.NotRun, false, func(t report.TeamResult) int { return t.RateRefused }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := callScenario(scenario.Call{Method: "GET"})
			s.Duration = settings.Duration(300 * time.Millisecond)
			result, lines := runScenario(t, s, func(w http.ResponseWriter, _ *http.Request) { respond(w, c.status, c.outcome) })
			is.True(result.Total.Requests > 0)
			is.Equal(c.count(result.Total), result.Total.Requests)
			hosts := map[uint64]map[string]bool{}
			for _, l := range lines {
				if hosts[l.Call.ID] == nil {
					hosts[l.Call.ID] = map[string]bool{}
				}
				hosts[l.Call.ID][l.Call.Host] = true
			}
			for _, list := range hosts {
				is.Equal(len(list) == 2, c.retried)
			}
		})
	}
}

func TestNonRepeatableCallUsesIssuedKey(t *testing.T) {
	is := is.New(t)
	s := callScenario(scenario.Call{Method: "POST", AtMostOnce: true})
	var keyRequests, runs atomic.Int64
	result, lines := runScenario(t, s, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "" {
			keyRequests.Add(1)
			w.Header().Set(outcome.HeaderIdempotencyKey, "issued")
			respond(w, http.StatusPreconditionRequired, outcome.NotRun)
			return
		}
		runs.Add(1)
		respond(w, http.StatusOK, outcome.Run)
	})
	is.Equal(result.Total.OK, result.Total.Requests)
	is.Equal(int(keyRequests.Load()), result.Total.Requests)
	is.Equal(int(runs.Load()), result.Total.Requests)
	is.Equal(result.Total.Retried, 0)
	is.Equal(len(lines), 2*result.Total.Requests)
}

func TestRepeatsUseSameKeyAndContinueAfterUnknownOutcome(t *testing.T) {
	is := is.New(t)
	s := callScenario(scenario.Call{Method: "POST", AtMostOnce: true, Repeats: 2})
	s.Duration = settings.Duration(500 * time.Millisecond)
	var sends atomic.Int64
	_, lines := runScenario(t, s, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "" {
			w.Header().Set(outcome.HeaderIdempotencyKey, "issued-"+strings.Repeat("x", int(sends.Load()%7)))
			respond(w, http.StatusPreconditionRequired, outcome.NotRun)
			return
		}
		if sends.Add(1)%2 == 1 {
			respond(w, http.StatusBadGateway, outcome.Unknown)
			return
		}
		respond(w, http.StatusOK, outcome.Run)
	})
	keys := map[uint64]string{}
	count := map[uint64]int{}
	for _, l := range lines {
		if key := l.Call.IdempotencyKey; key != "" {
			is.True(keys[l.Call.ID] == "" || keys[l.Call.ID] == key)
			keys[l.Call.ID] = key
			count[l.Call.ID]++
		}
	}
	is.True(len(count) > 0)
	for _, n := range count {
		is.True(n >= 3)
	}
}

func TestPlotWritesPNGAndSVG(t *testing.T) {
	is := is.New(t)
	result, _ := runScenario(t, callScenario(scenario.Call{Method: "GET"}), func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, outcome.Run)
	})
	for _, name := range []string{"plot.png", "plot.svg"} {
		is.NoErr(plots.Write(filepath.Join(t.TempDir(), name), []*report.Result{result}))
	}
	is.True(plots.Write(filepath.Join(t.TempDir(), "plot.txt"), []*report.Result{result}) != nil)
}
