package churn

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load/scenario"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/standin/faults"
)

func TestFailedFaultIsReported(t *testing.T) {
	order := &faults.Request{Kind: faults.Cold}
	unreachable := &settings.StandIns{
		Platform: settings.Platform{Address: "127.0.0.1:1", AdminAddress: "127.0.0.1:1"},
		Engines:  []settings.Engine{{Name: "e", AdminAddress: "127.0.0.1:1"}},
	}
	for _, c := range []struct {
		name     string
		standIns *settings.StandIns
		fault    scenario.Fault
	}{
		{"no hook file", nil, scenario.Fault{Kind: scenario.FaultProcess, Target: "r", Signal: scenario.SignalKill}},
		{"no file of stand-ins", nil, scenario.Fault{Kind: scenario.FaultStandIn, Target: "e", Order: order}},
		{"unknown stand-in", unreachable, scenario.Fault{Kind: scenario.FaultStandIn, Target: "f", Order: order}},
		{"stand-in does not answer", unreachable, scenario.Fault{Kind: scenario.FaultStandIn, Target: "e", Order: order}},
		{"platform does not answer", unreachable, scenario.Fault{Kind: scenario.FaultDataCentre, Target: "d", State: document.StateOut}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var errs []error
			s := &Schedule{StandIns: c.standIns, OnFault: func(_ scenario.Fault, _ time.Time, err error) { errs = append(errs, err) }}
			s.Run(context.Background(), time.Now(), []scenario.Fault{c.fault})
			is.Equal(len(errs), 1)
			is.True(errs[0] != nil)
		})
	}
}

func TestFaultsAreExecutedInTimeOrder(t *testing.T) {
	is := is.New(t)
	var hook bytes.Buffer
	at := func(ms int, target string) scenario.Fault {
		return scenario.Fault{
			At: settings.Duration(time.Duration(ms) * time.Millisecond), Kind: scenario.FaultProcess, Target: target, Signal: scenario.SignalKill,
		}
	}
	s := &Schedule{Hook: &hook, OnFault: func(_ scenario.Fault, _ time.Time, err error) { is.NoErr(err) }}
	s.Run(context.Background(), time.Now(), []scenario.Fault{at(20, "b"), at(0, "a"), at(40, "c")})
	is.Equal(hook.String(), "kill a\nkill b\nkill c\n")
}

// Guards against faults that a run ends before, and of which nothing tells that they were not executed.
func TestFaultsAfterEndOfRunAreReported(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	later := scenario.Fault{At: settings.Duration(time.Hour), Kind: scenario.FaultProcess, Signal: scenario.SignalKill}
	first, second := later, later
	first.Target, second.Target = "a", "b"
	var hook bytes.Buffer
	var targets []string
	s := &Schedule{Hook: &hook, OnFault: func(f scenario.Fault, _ time.Time, err error) {
		is.True(errors.Is(err, context.Canceled))
		targets = append(targets, f.Target)
	}}
	s.Run(ctx, time.Now(), []scenario.Fault{first, second})
	is.Equal(targets, []string{"a", "b"})
	is.Equal(hook.Len(), 0)
}

func TestEditSetsParentAndChangesOnlyTarget(t *testing.T) {
	is := is.New(t)
	snap := &document.Snapshot{Hash: "h", Document: &document.Document{
		Version: 4, DataCentres: []document.DataCentre{{Name: "a", State: document.StateIn}, {Name: "b", State: document.StateIn}},
	}}
	_, err := editDocument(snap, scenario.Fault{Kind: scenario.FaultDataCentre, Target: "b", State: document.StateOut})
	is.NoErr(err)
	is.Equal(snap.Version, uint64(5))
	is.Equal(snap.Parent, document.Parent{Version: 4, Hash: "h"})
	is.Equal(snap.DataCentres[0].State, document.StateIn)
	is.Equal(snap.DataCentres[1].State, document.StateOut)
	_, err = editDocument(snap, scenario.Fault{Kind: scenario.FaultDataCentre, Target: "c", State: document.StateOut})
	is.True(err != nil)
}
