// Package churn proves the promises together: a load run with many faults at once on real processes, whose records an
// independent checker judges.
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

// seed makes arrivals, chats and the choice of hosts the same in each run.
const seed = 4

var teams = []document.Team{
	{Name: "large", RatePerSecond: 60, Burst: 60}, {Name: "small", RatePerSecond: 10, Burst: 10},
	{Name: "surging", RatePerSecond: 10, Burst: 10},
}

func shape(block int) testfleet.Options {
	return testfleet.Options{Block: block, Hosts: []int{2, 2}, Engines: 6, Services: 2, Teams: append([]document.Team(nil), teams...)}
}

func seconds(s float64) settings.Duration { return settings.Duration(s * float64(time.Second)) }

// mixed is chats and orders of three teams, one of which surges from the third to the sixth second.
func mixed(duration float64, schedule ...scenario.Fault) *scenario.Scenario {
	order := scenario.Call{Route: "orders", Method: "POST", Path: testfleet.PathOrders, PerSecond: 4, Once: true, Repeats: 2}
	hours := scenario.Call{Route: "hours", Method: "GET", Path: testfleet.PathHours, PerSecond: 2, Open: true}
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

func standIn(at float64, target string, kind faults.Kind, d time.Duration) scenario.Fault {
	return scenario.Fault{
		At: seconds(at), Act: scenario.ActStandIn, Target: target, Order: &faults.Order{Kind: kind, DurationMS: d.Milliseconds()},
	}
}

// dataCentre takes dc-2 out or in.
func dataCentre(at float64, state document.State) scenario.Fault {
	return scenario.Fault{At: seconds(at), Act: scenario.ActDataCentre, Target: "dc-2", State: state}
}

// upstreamOut takes one upstream out for the rest of the run.
func upstreamOut(at float64, target string) scenario.Fault {
	return scenario.Fault{At: seconds(at), Act: scenario.ActUpstream, Target: target, State: document.StateOut}
}

func process(at float64, target, signal string) scenario.Fault {
	return scenario.Fault{At: seconds(at), Act: scenario.ActProcess, Target: target, Signal: signal}
}

// hook carries the faults of processes out on a fleet's routers.
type hook struct{ fleet *testfleet.Fleet }

// Write implements io.Writer for lines "SIGNAL ROUTER".
func (h hook) Write(line []byte) (int, error) {
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

// startTimeout bounds the time in which every engine becomes warm.
const startTimeout = 20 * time.Second

// drive runs the scenario on a new fleet whose engines are warm, and returns what was measured and the checker's
// reports.
func drive(t *testing.T, block int, s *scenario.Scenario) (*report.Result, []checker.Report) {
	t.Helper()
	f := testfleet.Start(t, shape(block))
	testfleet.Eventually(t, startTimeout, "every engine is warm", func() bool {
		for _, p := range f.Engines {
			var state engine.State
			if !f.State(p, &state) || state.Cold {
				return false
			}
		}
		return true
	})
	return driveOn(t, f, s)
}

// driveOn runs the scenario on a fleet as it is.
func driveOn(t *testing.T, f *testfleet.Fleet, s *scenario.Scenario) (*report.Result, []checker.Report) {
	t.Helper()
	is := is.New(t)
	raw, err := f.Document.Encode()
	is.NoErr(err)
	snap, err := document.Parse(raw)
	is.NoErr(err)
	result, lines, err := load.Run(context.Background(), load.RunOptions{
		Scenario: s, Callers: callersOf(f), Snapshot: snap, StandIns: standInsOf(f), Hook: hook{f}, Label: "test", Progress: progress(t),
	})
	is.NoErr(err)
	var table bytes.Buffer
	is.NoErr(result.WriteTable(&table))
	t.Log(table.String())
	keepRecords(t, lines)
	return result, checker.Check(lines)
}

// logWriter writes to the log of a test.
type logWriter struct{ t *testing.T }

// Write implements io.Writer.
func (w logWriter) Write(p []byte) (int, error) {
	w.t.Log(strings.TrimSuffix(string(p), "\n"))
	return len(p), nil
}

func progress(t *testing.T) io.Writer { return logWriter{t} }

// keepRecords keeps the records in the folder that ORIOLE_RECORDS names, if any.
func keepRecords(t *testing.T, lines []record.Line) {
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

func callersOf(f *testfleet.Fleet) *load.Callers {
	c := &load.Callers{Model: testfleet.Model}
	for n := range f.Routers {
		c.EntryAddresses = append(c.EntryAddresses, f.CallerAddress(n))
	}
	for _, t := range teams {
		c.Teams = append(c.Teams, load.CallerTeam{Name: t.Name, Key: testfleet.TeamKey(t.Name)})
	}
	return c
}

func standInsOf(f *testfleet.Fleet) *settings.StandIns {
	s := &settings.StandIns{Platform: settings.Platform{Address: f.PlatformIP() + ":8500", AdminAddress: f.Platform.AdminAddress}}
	for _, p := range f.Engines {
		s.Engines = append(s.Engines, settings.Engine{Name: p.Name, AdminAddress: p.AdminAddress})
	}
	for _, p := range f.Services {
		s.Services = append(s.Services, settings.Service{Name: p.Name, AdminAddress: p.AdminAddress})
	}
	return s
}

// kept fails the test for each violation of the promises, and for each promise that the records show nothing of.
func kept(t *testing.T, reports []checker.Report, promises ...checker.Promise) {
	t.Helper()
	const shown = 5
	for _, p := range promises {
		for _, r := range reports {
			if r.Promise != p {
				continue
			}
			if r.Examined == 0 {
				t.Errorf("%s: the run has no record of it", p)
			}
			for i, v := range r.Violations {
				if i == shown {
					t.Errorf("%s: %d violations in all, of %d records", p, len(r.Violations), r.Examined)
					break
				}
				t.Error(v)
			}
		}
	}
}

// safety lists the promises that hold whatever fails. The load bound has tests of its own.
var safety = []checker.Promise{
	checker.RateBound, checker.AtMostOnce, checker.TrueNotRun, checker.TrueRun, checker.WholeAnswer, checker.VersionsRise,
}

func TestAQuietRunKeepsEveryPromise(t *testing.T) {
	is := is.New(t)
	result, reports := drive(t, 100, mixed(5))
	kept(t, reports, safety...)
	is.Equal(result.Total.Lost(), 0)
}

func TestTheLoadBoundHoldsInAQuietRun(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for ten seconds")
	}
	_, reports := drive(t, 101, mixed(10))
	kept(t, reports, checker.LoadBound)
}

func TestNoRequestIsLostWhileADataCentreLeavesAndReturns(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 18 seconds")
	}
	is := is.New(t)
	result, reports := drive(t, 102, mixed(18, dataCentre(4, document.StateOut), dataCentre(12, document.StateIn)))
	kept(t, reports, append([]checker.Promise{checker.NoNewWork}, safety...)...)
	is.Equal(result.Move.Lost, 0)
}

func TestAnUpstreamThatLeavesGetsNoNewWorkAndFinishesItsOwn(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 12 seconds")
	}
	is := is.New(t)
	result, reports := drive(t, 105, mixed(12, upstreamOut(3, "engine-1"), upstreamOut(3.5, "service-1")))
	kept(t, reports, append([]checker.Promise{checker.NoNewWork}, safety...)...)
	is.Equal(result.Total.Lost(), 0)
}

func TestManyFaultsAtOnceBreakNoPromise(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 24 seconds")
	}
	_, reports := drive(t, 103, mixed(
		24,
		standIn(2, "engine-1", faults.Crash, 3*time.Second),
		standIn(3, "engine-2", faults.Cold, 0),
		process(4, "router-1", scenario.SignalKill),
		standIn(4, "engine-3", faults.Crossed, 0),
		standIn(5, "platform", platform.Stale, 4*time.Second),
		dataCentre(5.5, document.StateOut),
		process(6, "router-1", scenario.SignalRestart),
		process(7, "router-3", scenario.SignalFreeze),
		standIn(8, "service-1", faults.Silent, 0),
		standIn(9, "engine-2", faults.Cold, 0),
		process(10, "router-3", scenario.SignalThaw),
		standIn(11, "service-2", faults.Crash, 2*time.Second),
		dataCentre(15, document.StateIn),
		standIn(16, "engine-4", faults.Silent, 0),
		standIn(16.5, "platform", platform.Down, 3*time.Second),
		process(17, "router-2", scenario.SignalKill),
		process(18, "router-4", scenario.SignalFreeze),
		process(19, "router-2", scenario.SignalRestart),
		process(20, "router-4", scenario.SignalThaw),
	))
	kept(t, reports, append([]checker.Promise{checker.NoNewWork}, safety...)...)
}

// TestEnginesThatAreAllColdBearTheLoad starts the load together with the engines, which fall over when they get more
// than they bear while cold.
func TestEnginesThatAreAllColdBearTheLoad(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for eight seconds")
	}
	is := is.New(t)
	f := testfleet.Start(t, shape(104))
	driveOn(t, f, mixed(8))
	for _, p := range f.Engines {
		var state engine.State
		is.True(f.State(p, &state))
		is.Equal(state.Stats.Crashes, uint64(0))
	}
}
