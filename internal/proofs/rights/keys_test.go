package rights

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// revocationLimit is the maximum time for which a revoked key may continue to work.
const revocationLimit = 5 * time.Second

func TestRevokedKeyIsRefusedOnOpenConnectionsAndCutsStreams(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{
		Block: 35, Hosts: []int{1, 1}, Engines: 1, Services: 1, Teams: twoTeams(),
		EditEngine: func(e *settings.Engine) { e.Step = settings.Duration(20 * time.Millisecond) },
	})
	// A single caller keeps its connections open during the whole test.
	caller := load.NewCaller(30 * time.Second)
	const streamTokens = 300 // 6 seconds
	stream := func(team string) *load.Result {
		messages := []engine.Message{{Role: "user", Content: "a long answer for " + team}}
		body, err := load.ChatBody(testfleet.Model, messages, true, streamTokens)
		is.NoErr(err)
		result, err := caller.Do(context.Background(), load.Call{
			Address: f.CallerAddress(0), Method: http.MethodPost, Path: testfleet.PathChat, Key: testfleet.TeamKey(team), Body: body,
		})
		is.NoErr(err)
		return result
	}
	order := func(host int, team string) *load.Result {
		result, err := caller.Do(context.Background(), load.Call{
			Address: f.CallerAddress(host), Method: http.MethodPost, Path: testfleet.PathOrders, Key: testfleet.TeamKey(team),
		})
		is.NoErr(err)
		return result
	}
	is.Equal(order(0, "team-1").Code, "key-required")
	is.Equal(order(1, "team-1").Code, "key-required")
	var wg sync.WaitGroup
	var revoked, unaffected *load.Result
	var cutAfter time.Duration
	var published time.Time
	wg.Go(func() {
		revoked = stream("team-1")
		cutAfter = time.Since(published)
	})
	wg.Go(func() { unaffected = stream("team-2") })
	time.Sleep(time.Second)
	published = time.Now()
	f.Publish(func(d *document.Document) { d.Teams[0].Keys = nil })
	for host := range 2 {
		testfleet.Eventually(t, revocationLimit, "the key is refused on an open connection", func() bool {
			r := order(host, "team-1")
			return r.Status == http.StatusUnauthorized && r.Outcome == outcome.NotRun
		})
	}
	wg.Wait()
	is.Equal(revoked.Status, http.StatusOK)
	is.True(!revoked.Complete)
	is.True(cutAfter < revocationLimit)
	is.True(unaffected.Complete)
	_, done := load.StreamText(unaffected.Body)
	is.True(done)
	is.Equal(order(0, "team-2").Code, "key-required")
}
