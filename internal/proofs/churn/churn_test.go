// Package churn tests all promises together: it runs load with concurrent faults on real processes and verifies the
// records of the run with an independent checker.
package churn

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/checker"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/load/report"
	"github.com/orioleusher/orioleusher/internal/load/scenario"
	"github.com/orioleusher/orioleusher/internal/record"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
	"github.com/orioleusher/orioleusher/internal/standin/faults"
	"github.com/orioleusher/orioleusher/internal/standin/platform"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// seed makes arrivals, chats and the choice of hosts identical in each run.
const seed = 4

var teams = []document.Team{
	{Name: "large", RatePerSecond: 60, Burst: 60}, {Name: "small", RatePerSecond: 10, Burst: 10},
	{Name: "surging", RatePerSecond: 10, Burst: 10},
}

func fleetOptions(block int) testfleet.Options {
	return testfleet.Options{Block: block, Hosts: []int{2, 2}, Engines: 6, Services: 2, Teams: append([]document.Team(nil), teams...)}
}

func seconds(s float64) settings.Duration { return settings.Duration(s * float64(time.Second)) }

// mixedScenario returns a scenario with chats and other calls of three teams, one of which surges from the third to the
// sixth second.
func mixedScenario(duration float64, schedule ...scenario.Fault) *scenario.Scenario {
	order := scenario.Call{Route: "orders", Method: "POST", Path: testfleet.PathOrders, PerSecond: 4, AtMostOnce: true, Repeats: 2}
	hours := scenario.Call{Route: "hours", Method: "GET", Path: testfleet.PathHours, PerSecond: 2, AllowsAnonymous: true}
	return &scenario.Scenario{
		Name: "mixed", Seed: seed, Duration: seconds(duration), Warmup: seconds(1), Scale: 1, Attempts: 3,
		RequestTimeout: seconds(15), Faults: schedule,
		Chat: scenario.Chat{Path: testfleet.PathChat, SystemTokens: 16, HistoryTokens: 200, TurnTokens: 16, AnswerTokens: 64, MaxTurns: 8, Pause: seconds(1)},
		Teams: []scenario.Team{
			{Name: "large", ChatsPerSecond: 30, Chats: 30, ZipfExponent: 1.1, Calls: []scenario.Call{order, hours}},
			{Name: "small", ChatsPerSecond: 3, Chats: 5, ZipfExponent: 1.1, Calls: []scenario.Call{order}},
			{
				Name: "surging", ChatsPerSecond: 4, Chats: 5, ZipfExponent: 1.1,
				Surges: []scenario.Surge{{From: seconds(3), To: seconds(6), Factor: 10}},
			},
		},
	}
}

func standInFault(at float64, target string, kind faults.Kind, d time.Duration) scenario.Fault {
	return scenario.Fault{
		At: seconds(at), Kind: scenario.FaultStandIn, Target: target, Order: &faults.Request{Kind: kind, DurationMS: d.Milliseconds()},
	}
}

// dataCentreFault takes dc-2 out or back in.
func dataCentreFault(at float64, state document.State) scenario.Fault {
	return scenario.Fault{At: seconds(at), Kind: scenario.FaultDataCentre, Target: "dc-2", State: state}
}

// upstreamOutFault takes an upstream out for the rest of the run.
func upstreamOutFault(at float64, target string) scenario.Fault {
	return scenario.Fault{At: seconds(at), Kind: scenario.FaultUpstream, Target: target, State: document.StateOut}
}

func processFault(at float64, target, signal string) scenario.Fault {
	return scenario.Fault{At: seconds(at), Kind: scenario.FaultProcess, Target: target, Signal: signal}
}

// processHook applies process faults to the routers of a fleet.
type processHook struct{ fleet *testfleet.Fleet }

// Write implements io.Writer. Each write is one line "SIGNAL ROUTER".
func (h processHook) Write(line []byte) (int, error) {
	signal, name, _ := strings.Cut(strings.TrimSpace(string(line)), " ")
	for _, p := range h.fleet.Routers {
		if p.Name != name {
			continue
		}
		switch signal {
		case scenario.SignalKill:
			p.Kill()
		case scenario.SignalRestart:
			p.Restart()
		case scenario.SignalFreeze:
			p.Freeze()
		case scenario.SignalThaw:
			p.Thaw()
		}
		return len(line), nil
	}
	return 0, fmt.Errorf("router %q does not exist", name)
}

// startTimeout limits the time until every engine is warm.
const startTimeout = 20 * time.Second

// runOnWarmFleet starts a fleet, waits until its engines are warm and runs the scenario on it. It returns the measured
// result and the checker's reports.
func runOnWarmFleet(t *testing.T, block int, s *scenario.Scenario) (*report.Result, []checker.Report) {
	t.Helper()
	f := testfleet.Start(t, fleetOptions(block))
	testfleet.Eventually(t, startTimeout, "every engine is warm", func() bool {
		for _, p := range f.Engines {
			var state engine.State
			if !f.State(p, &state) || state.Cold {
				return false
			}
		}
		return true
	})
	return runScenario(t, f, s)
}

// runScenario runs the scenario on a running fleet without waiting for warm engines.
func runScenario(t *testing.T, f *testfleet.Fleet, s *scenario.Scenario) (*report.Result, []checker.Report) {
	t.Helper()
	is := is.New(t)
	raw, err := f.Document.Encode()
	is.NoErr(err)
	snap, err := document.Parse(raw)
	is.NoErr(err)
	result, lines, err := load.Run(context.Background(), load.RunOptions{
		Scenario: s, Callers: loadCallers(f), Snapshot: snap, StandIns: standInSettings(f), Hook: processHook{f}, Label: "test", Progress: progressWriter(t),
	})
	is.NoErr(err)
	var table bytes.Buffer
	is.NoErr(result.WriteTable(&table))
	t.Log(table.String())
	saveRecords(t, lines)
	return result, checker.Check(lines)
}

// logWriter writes to a test's log.
type logWriter struct{ t *testing.T }

// Write implements io.Writer.
func (w logWriter) Write(p []byte) (int, error) {
	w.t.Log(strings.TrimSuffix(string(p), "\n"))
	return len(p), nil
}

func progressWriter(t *testing.T) io.Writer { return logWriter{t} }

// saveRecords saves the records in the directory that the environment variable ORIOLE_RECORDS names, if it is set.
func saveRecords(t *testing.T, lines []record.Line) {
	dir := os.Getenv("ORIOLE_RECORDS")
	if dir == "" {
		return
	}
	file, err := os.Create(filepath.Join(dir, t.Name()+".records"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if err := record.Write(file, lines); err != nil {
		t.Fatal(err)
	}
}

func loadCallers(f *testfleet.Fleet) *load.Callers {
	c := &load.Callers{Model: testfleet.Model}
	for n := range f.Routers {
		c.EntryAddresses = append(c.EntryAddresses, f.CallerAddress(n))
	}
	for _, t := range teams {
		c.Teams = append(c.Teams, load.CallerTeam{Name: t.Name, Key: testfleet.TeamKey(t.Name)})
	}
	return c
}

func standInSettings(f *testfleet.Fleet) *settings.StandIns {
	s := &settings.StandIns{Platform: settings.Platform{Address: f.PlatformIP() + ":8500", AdminAddress: f.Platform.AdminAddress}}
	for _, p := range f.Engines {
		s.Engines = append(s.Engines, settings.Engine{Name: p.Name, AdminAddress: p.AdminAddress})
	}
	for _, p := range f.Services {
		s.Services = append(s.Services, settings.Service{Name: p.Name, AdminAddress: p.AdminAddress})
	}
	return s
}

// requirePromises fails the test for each violation of the promises and for each promise without a record to examine.
func requirePromises(t *testing.T, reports []checker.Report, promises ...checker.Promise) {
	t.Helper()
	const shown = 5
	for _, p := range promises {
		for _, r := range reports {
			if r.Promise != p {
				continue
			}
			if r.Examined == 0 {
				t.Errorf("%s: the run has no record to examine", p)
			}
			for i, v := range r.Violations {
				if i == shown {
					t.Errorf("%s: %d violations in total, of %d records", p, len(r.Violations), r.Examined)
					break
				}
				t.Error(v)
			}
		}
	}
}

// safetyPromises are the promises that hold under all faults. The load bound has separate tests.
var safetyPromises = []checker.Promise{
	checker.RateBound, checker.AtMostOnce, checker.AccurateNotRun, checker.AccurateRun, checker.CorrectResponse, checker.MonotonicVersions,
}

func TestFaultFreeRunHasNoViolations(t *testing.T) {
	is := is.New(t)
	result, reports := runOnWarmFleet(t, 100, mixedScenario(5))
	requirePromises(t, reports, safetyPromises...)
	is.Equal(result.Total.Lost(), 0)
}

func TestLoadBoundInFaultFreeRun(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for ten seconds")
	}
	_, reports := runOnWarmFleet(t, 101, mixedScenario(10))
	requirePromises(t, reports, checker.LoadBound)
}

func TestNoRequestIsLostWhenDataCentreIsTakenOutAndBack(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 18 seconds")
	}
	is := is.New(t)
	result, reports := runOnWarmFleet(t, 102, mixedScenario(18, dataCentreFault(4, document.StateOut), dataCentreFault(12, document.StateIn)))
	requirePromises(t, reports, append([]checker.Promise{checker.NoNewWork}, safetyPromises...)...)
	is.Equal(result.DataCentreDrain.Lost, 0)
}

func TestLeavingUpstreamFinishesRequestsAndGetsNoNewOnes(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 12 seconds")
	}
	is := is.New(t)
	result, reports := runOnWarmFleet(t, 105, mixedScenario(12, upstreamOutFault(3, "engine-1"), upstreamOutFault(3.5, "service-1")))
	requirePromises(t, reports, append([]checker.Promise{checker.NoNewWork}, safetyPromises...)...)
	is.Equal(result.Total.Lost(), 0)
}

func TestConcurrentFaultsCauseNoViolations(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 24 seconds")
	}
	_, reports := runOnWarmFleet(t, 103, mixedScenario(
		24,
		standInFault(2, "engine-1", faults.Crash, 3*time.Second),
		standInFault(3, "engine-2", faults.Cold, 0),
		processFault(4, "router-1", scenario.SignalKill),
		standInFault(4, "engine-3", faults.Crossed, 0),
		standInFault(5, "platform", platform.Stale, 4*time.Second),
		dataCentreFault(5.5, document.StateOut),
		processFault(6, "router-1", scenario.SignalRestart),
		processFault(7, "router-3", scenario.SignalFreeze),
		standInFault(8, "service-1", faults.Silent, 0),
		standInFault(9, "engine-2", faults.Cold, 0),
		processFault(10, "router-3", scenario.SignalThaw),
		standInFault(11, "service-2", faults.Crash, 2*time.Second),
		dataCentreFault(15, document.StateIn),
		standInFault(16, "engine-4", faults.Silent, 0),
		standInFault(16.5, "platform", platform.Down, 3*time.Second),
		processFault(17, "router-2", scenario.SignalKill),
		processFault(18, "router-4", scenario.SignalFreeze),
		processFault(19, "router-2", scenario.SignalRestart),
		processFault(20, "router-4", scenario.SignalThaw),
	))
	requirePromises(t, reports, append([]checker.Promise{checker.NoNewWork}, safetyPromises...)...)
}

// TestAllColdEnginesAreNotOverloaded starts the load together with the engines. A stand-in engine crashes if it gets more
// requests than its limit while cold, so that routers which ignore the limit crash the engines.
func TestAllColdEnginesAreNotOverloaded(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for eight seconds")
	}
	is := is.New(t)
	f := testfleet.Start(t, fleetOptions(104))
	runScenario(t, f, mixedScenario(8))
	for _, p := range f.Engines {
		var state engine.State
		is.True(f.State(p, &state))
		is.Equal(state.Stats.Crashes, uint64(0))
	}
}
