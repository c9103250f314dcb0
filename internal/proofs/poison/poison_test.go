// Package poison tests that a request which crashes every upstream that runs it crashes a limited number of upstreams,
// regardless of how often and through which router its caller sends it again.
package poison

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

const (
	callTimeout = 20 * time.Second
	// maxCrashes is the number of upstreams that requests with one fingerprint may crash: the first crash makes the
	// fingerprint a suspect, the second one quarantines it.
	maxCrashes = 2
	resends    = 12
)

func countCrashes(t *testing.T, f *testfleet.Fleet) uint64 {
	t.Helper()
	total := uint64(0)
	for _, p := range f.Engines {
		var s engine.State
		if !f.State(p, &s) {
			t.Fatalf("%s returns no state dump", p.Name)
		}
		total += s.Stats.Crashes
	}
	return total
}

func TestPoisonRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 120, Hosts: []int{2, 2}, Engines: 6, Services: 1})
	body, err := load.ChatBody(testfleet.Model, []engine.Message{{Role: "user", Content: engine.CrashMarker}}, true, 8)
	is.NoErr(err)
	caller := load.NewCaller(callTimeout)
	call := load.Call{Method: http.MethodPost, Path: testfleet.PathChat, Key: testfleet.TeamKey("team-1"), Body: body}
	var last *load.Result
	for n := range resends {
		call.Address = f.CallerAddress(n % len(f.Routers))
		last, err = caller.Do(context.Background(), call)
		is.NoErr(err)
	}
	lost := countCrashes(t, f)
	t.Logf("upstreams crashed by %d sends: %d; last response: status %d, code %s", resends, lost, last.Status, last.Code)
	is.True(lost <= maxCrashes)
	is.Equal(last.Code, "quarantined")
	is.Equal(last.Outcome, outcome.NotRun)
	liftEverywhere(t, f)
	call.Address = f.CallerAddress(0)
	last, err = caller.Do(context.Background(), call)
	is.NoErr(err)
	is.True(last.Code != "quarantined") // lifted by the operator
}

// liftEverywhere lifts every quarantine in the first router's state dump on all routers, as oriolectl lift does.
func liftEverywhere(t *testing.T, f *testfleet.Fleet) {
	t.Helper()
	state, ok := f.RouterState(f.Routers[0])
	if !ok || len(state.Quarantine) == 0 {
		t.Fatal("the first router has no quarantine")
	}
	for _, held := range state.Quarantine {
		for _, p := range f.Routers {
			address := fmt.Sprintf("http://%s%s?%s=%d", p.AdminAddress, admin.PathLift, admin.ParamFingerprint, held.Fingerprint)
			resp, err := http.Post(address, "", nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("lift on %s: %v", p.Name, err)
			}
			resp.Body.Close()
		}
	}
}
