// Package streams tests that a caller gets its complete answer, without gaps or repetitions, when the engine, its owner or a
// connection on the path fails.
package streams

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/ownership"
	"github.com/orioleusher/orioleusher/internal/routing"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
	"github.com/orioleusher/orioleusher/internal/standin/faults"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

const (
	callTimeout = 60 * time.Second
	// answerTokens makes an answer last about 2 s on a warm engine, so that a fault can be injected in the middle.
	answerTokens = 400
	// silentConnLimit is the maximum duration of an answer over a connection that stops delivering data: a few seconds to
	// detect the fault, and then the time for the rest of the answer.
	silentConnLimit = 20 * time.Second
)

type chat struct {
	messages []engine.Message
	body     []byte
}

func newChat(t *testing.T, text string) chat {
	t.Helper()
	messages := []engine.Message{{Role: "user", Content: text}}
	body, err := load.ChatBody(testfleet.Model, messages, true, answerTokens)
	if err != nil {
		t.Fatal(err)
	}
	return chat{messages: messages, body: body}
}

func (c chat) call(address string) load.Call {
	return load.Call{
		Address: address, Method: http.MethodPost, Path: testfleet.PathChat, Key: testfleet.TeamKey("team-1"), Body: c.body,
	}
}

// isComplete reports whether the result is exactly the chat's expected answer.
func (c chat) isComplete(r *load.Result) bool {
	text, done := load.StreamText(r.Body)
	return r.Complete && done && text == engine.AnswerText(c.messages, answerTokens)
}

// busyEngine waits for an engine that has emitted tokens and still runs a request, and returns its index.
func busyEngine(t *testing.T, f *testfleet.Fleet) int {
	t.Helper()
	found := -1
	testfleet.Eventually(t, callTimeout, "an engine is in the middle of an answer", func() bool {
		for i, p := range f.Engines {
			var s engine.State
			if f.State(p, &s) && s.Active > 0 && s.Stats.Tokens > 10 {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// streamUnderEngineFault streams one answer and applies the fault to its engine in the middle.
func streamUnderEngineFault(t *testing.T, block int, fault func(*testfleet.Fleet, int)) (chat, *load.Result) {
	t.Helper()
	f := testfleet.Start(t, testfleet.Options{Block: block, Hosts: []int{1, 1}, Engines: 3, Services: 1})
	c := newChat(t, "tell a long story")
	var result *load.Result
	var err error
	var wg sync.WaitGroup
	wg.Go(func() { result, err = load.NewCaller(callTimeout).Do(context.Background(), c.call(f.CallerAddress(0))) })
	fault(f, busyEngine(t, f))
	wg.Wait()
	if err != nil {
		t.Fatal(err)
	}
	return c, result
}

func TestStreamSurvivesEngineCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, result := streamUnderEngineFault(t, 121, func(f *testfleet.Fleet, n int) { f.Engines[n].Kill() })
	is.Equal(result.Status, http.StatusOK)
	is.True(c.isComplete(result))
}

func TestStreamSurvivesSilentConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, result := streamUnderEngineFault(t, 122, func(f *testfleet.Fleet, n int) { f.InjectFault(f.Engines[n], faults.Silent, 0) })
	is.Equal(result.Status, http.StatusOK)
	is.True(c.isComplete(result))
	is.True(result.Duration < silentConnLimit)
}

func TestSilentPooledConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 123, Hosts: []int{1}, Engines: 1, Services: 1})
	caller := load.NewCaller(callTimeout)
	c := newChat(t, "warm the pool")
	first, err := caller.Do(context.Background(), c.call(f.CallerAddress(0)))
	is.NoErr(err)
	is.True(c.isComplete(first))
	f.InjectFault(f.Engines[0], faults.Silent, 0)
	second, err := caller.Do(context.Background(), c.call(f.CallerAddress(0)))
	is.NoErr(err)
	t.Logf("first answer took %s, the one with silent pooled connections %s", first.Duration, second.Duration)
	is.True(c.isComplete(second))
	is.True(second.Duration < silentConnLimit)
}

// chatOwnedBy returns a chat whose preferred engine is owned by the named host while every host is live.
func chatOwnedBy(t *testing.T, f *testfleet.Fleet, host string) chat {
	t.Helper()
	raw, err := f.Document.Encode()
	if err != nil {
		t.Fatal(err)
	}
	snap, err := document.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	planner := routing.NewPlanner(settings.PolicyBounded, "dc-1")
	for n := range 1000 {
		c := newChat(t, fmt.Sprintf("story number %d", n))
		id := routing.ParseContent(c.body).ChatID(http.Header{}, "")
		first := planner.Candidates(snap, snap.Pool("engines"), id, make([]string, 0, routing.MaxCandidates))[0]
		up, _ := snap.Upstream(first)
		if owner, ok := ownership.Owner(snap, allLive{}, up.Upstream); ok && owner.Name == host {
			return c
		}
	}
	t.Fatalf("none of 1000 chats has an engine owned by %s", host)
	return chat{}
}

type allLive struct{}

func (allLive) Live(string) bool { return true }

// startTwoRouters starts a fleet of two routers and waits until router-1 considers router-2 live.
func startTwoRouters(t *testing.T, block int) *testfleet.Fleet {
	t.Helper()
	f := testfleet.Start(t, testfleet.Options{Block: block, Hosts: []int{2}, Engines: 3, Services: 1})
	testfleet.Eventually(t, callTimeout, "router-1 considers router-2 live", func() bool {
		s, ok := f.RouterState(f.Routers[0])
		for _, m := range s.Members {
			if ok && m.Host == "router-2" && m.Live {
				return true
			}
		}
		return false
	})
	return f
}

// streamUnderOwnerFault streams one answer through router-1 from an engine that router-2 owns, and applies the fault in
// the middle.
func streamUnderOwnerFault(t *testing.T, block int, fault func(*testfleet.Fleet)) (chat, *load.Result) {
	t.Helper()
	f := startTwoRouters(t, block)
	c := chatOwnedBy(t, f, "router-2")
	var result *load.Result
	var err error
	var wg sync.WaitGroup
	wg.Go(func() { result, err = load.NewCaller(callTimeout).Do(context.Background(), c.call(f.CallerAddress(0))) })
	busyEngine(t, f)
	fault(f)
	wg.Wait()
	if err != nil {
		t.Fatal(err)
	}
	return c, result
}

// blackholeHop makes the connection on which router-1 forwards requests to router-2 discard all data. Gossip between them
// continues, since it uses another connection.
func blackholeHop(f *testfleet.Fleet) {
	f.Network.BlackholeBusiest(f.RouterIP(0), f.RouterIP(1))
}

func TestStreamSurvivesOwnerCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, result := streamUnderOwnerFault(t, 124, func(f *testfleet.Fleet) { f.Routers[1].Kill() })
	is.Equal(result.Status, http.StatusOK)
	is.True(c.isComplete(result))
}

func TestStreamSurvivesFrozenOwner(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, result := streamUnderOwnerFault(t, 125, func(f *testfleet.Fleet) { f.Routers[1].Freeze() })
	is.Equal(result.Status, http.StatusOK)
	is.True(c.isComplete(result))
	is.True(result.Duration < silentConnLimit)
}

func TestStreamSurvivesSilentHop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, result := streamUnderOwnerFault(t, 126, blackholeHop)
	is.Equal(result.Status, http.StatusOK)
	is.True(c.isComplete(result))
	is.True(result.Duration < silentConnLimit)
}

func TestSilentPooledHopConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startTwoRouters(t, 127)
	caller := load.NewCaller(callTimeout)
	c := chatOwnedBy(t, f, "router-2")
	first, err := caller.Do(context.Background(), c.call(f.CallerAddress(0)))
	is.NoErr(err)
	is.True(c.isComplete(first))
	blackholeHop(f)
	second, err := caller.Do(context.Background(), c.call(f.CallerAddress(0)))
	is.NoErr(err)
	t.Logf("first answer took %s, the one with a silent hop connection %s", first.Duration, second.Duration)
	is.True(c.isComplete(second))
	is.True(second.Duration < silentConnLimit)
}
