// Package path tests the complete path of a request with real processes: caller, entry host, owner host, upstream.
package path

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
	"github.com/orioleusher/orioleusher/internal/standin/service"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

const callTimeout = 20 * time.Second

func TestRequestsGetCompleteAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 31, Hosts: []int{1, 1}, Engines: 2, Services: 1})
	caller := load.NewCaller(callTimeout)
	for n := range f.Routers {
		messages := []engine.Message{{Role: "user", Content: "hello from " + f.CallerAddress(n)}}
		body, err := load.ChatBody(testfleet.Model, messages, true, 16)
		is.NoErr(err)
		result, err := caller.Do(context.Background(), load.Call{
			Address: f.CallerAddress(n), Method: http.MethodPost, Path: testfleet.PathChat, Key: testfleet.TeamKey("team-1"), Body: body,
		})
		is.NoErr(err)
		text, done := load.StreamText(result.Body)
		is.Equal(result.Status, http.StatusOK)
		is.Equal(result.Outcome, outcome.Run)
		is.True(done)
		is.Equal(text, engine.AnswerText(messages, 16))
	}
}

func TestRepeatedOrderRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 32, Hosts: []int{1, 1}, Engines: 1, Services: 2})
	caller := load.NewCaller(callTimeout)
	call := load.Call{Address: f.CallerAddress(0), Method: http.MethodPost, Path: testfleet.PathOrders, Key: testfleet.TeamKey("team-1")}
	first, err := caller.Do(context.Background(), call)
	is.NoErr(err)
	is.Equal(first.Status, http.StatusPreconditionRequired)
	is.Equal(first.Outcome, outcome.NotRun)
	call.IdempotencyKey = first.IdempotencyKey
	for n := range 4 {
		call.Address = f.CallerAddress(n % len(f.Routers))
		result, err := caller.Do(context.Background(), call)
		is.NoErr(err)
		is.Equal(result.Status, http.StatusOK)
		is.Equal(result.Outcome, outcome.Run)
	}
	runs := 0
	for _, p := range f.Services {
		var s service.State
		is.True(f.State(p, &s))
		runs += len(s.Runs)
	}
	is.Equal(runs, 1)
}
