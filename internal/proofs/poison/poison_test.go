// Package poison proves that a request which crashes every upstream that runs it costs the fleet a bounded number of
// upstreams, however its caller re-sends it.
package poison

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

const (
	callTimeout = 20 * time.Second
	// lossBound is the number of upstreams that one fingerprint may cost: a first death makes it a suspect, a second
	// one holds it back.
	lossBound = 2
	resends   = 12
)

func crashes(t *testing.T, f *testfleet.Fleet) uint64 {
	t.Helper()
	total := uint64(0)
	for _, p := range f.Engines {
		var s engine.State
		if !f.State(p, &s) {
			t.Fatalf("%s does not show its state", p.Name)
		}
		total += s.Stats.Crashes
	}
	return total
}

func TestAPoisonRequestCostsAtMostTwoUpstreams(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Shape{Block: 120, Hosts: []int{2, 2}, Engines: 6, Services: 1})
	body, err := load.ChatBody(testfleet.Model, []engine.Message{{Role: "user", Content: engine.CrashMarker}}, true, 8)
	is.NoErr(err)
	caller := load.NewCaller(callTimeout)
	var last *load.Result
	for n := range resends {
		last, err = caller.Do(context.Background(), load.Call{
			Address: f.Caller(n % len(f.Routers)), Method: http.MethodPost, Path: testfleet.PathChat,
			Key: testfleet.KeyOf("team-1"), Body: body,
		})
		is.NoErr(err)
	}
	lost := crashes(t, f)
	t.Logf("upstreams lost to %d sends: %d; last answer: status %d, code %s", resends, lost, last.Status, last.Code)
	is.True(lost <= lossBound)
	is.Equal(last.Code, "quarantined")
	is.Equal(last.Outcome, outcome.NotRun)
}
