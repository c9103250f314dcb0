// Package streams proves that a caller gets its whole answer, without gap or repeat, when the engine or the connection
// behind it fails.
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
	// longAnswer lasts about 2 s on a warm engine, so that a fault can hit it in the middle.
	longAnswer = 400
	// silenceBound is the time in which an answer over a silent connection must be whole: found within seconds, and
	// then the rest of the answer.
	silenceBound = 20 * time.Second
)

type chat struct {
	messages []engine.Message
	body     []byte
}

func newChat(t *testing.T, text string) chat {
	t.Helper()
	messages := []engine.Message{{Role: "user", Content: text}}
	body, err := load.ChatBody(testfleet.Model, messages, true, longAnswer)
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

// whole reports whether the result is exactly the chat's answer.
func (c chat) whole(r *load.Result) bool {
	text, done := load.StreamText(r.Body)
	return r.Whole && done && text == engine.AnswerText(c.messages, longAnswer)
}

// busyEngine returns the index of an engine that has emitted tokens and still runs a request.
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

// underFault streams one answer and applies the fault to its engine in the middle.
func underFault(t *testing.T, block int, fault func(*testfleet.Fleet, int)) (chat, *load.Result) {
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

func TestAStreamSurvivesTheCrashOfItsEngine(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, result := underFault(t, 121, func(f *testfleet.Fleet, n int) { f.Engines[n].Kill() })
	is.Equal(result.Status, http.StatusOK)
	is.True(c.whole(result))
}

func TestAStreamSurvivesASilentConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, result := underFault(t, 122, func(f *testfleet.Fleet, n int) { f.InjectFault(f.Engines[n], faults.Silent, 0) })
	is.Equal(result.Status, http.StatusOK)
	is.True(c.whole(result))
	is.True(result.Took < silenceBound)
}

func TestPooledConnectionsThatWentSilentAreReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 123, Hosts: []int{1}, Engines: 1, Services: 1})
	caller := load.NewCaller(callTimeout)
	c := newChat(t, "warm the pool")
	first, err := caller.Do(context.Background(), c.call(f.CallerAddress(0)))
	is.NoErr(err)
	is.True(c.whole(first))
	f.InjectFault(f.Engines[0], faults.Silent, 0)
	second, err := caller.Do(context.Background(), c.call(f.CallerAddress(0)))
	is.NoErr(err)
	t.Logf("first answer took %s, the one over a silent pool %s", first.Took, second.Took)
	is.True(c.whole(second))
	is.True(second.Took < silenceBound)
}

// chatOwnedBy returns a chat whose first engine is owned by the named host while every host lives.
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
	t.Fatalf("no chat of 1000 has an engine that %s owns", host)
	return chat{}
}

type allLive struct{}

func (allLive) Live(string) bool { return true }

// ownedFleet starts a fleet in which router-1 knows that router-2 lives.
func ownedFleet(t *testing.T, block int) *testfleet.Fleet {
	t.Helper()
	f := testfleet.Start(t, testfleet.Options{Block: block, Hosts: []int{2}, Engines: 3, Services: 1})
	testfleet.Eventually(t, callTimeout, "router-1 knows that router-2 lives", func() bool {
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

// underOwnerFault streams one answer through router-1 from an engine that router-2 owns and applies the fault in the
// middle.
func underOwnerFault(t *testing.T, block int, fault func(*testfleet.Fleet)) (chat, *load.Result) {
	t.Helper()
	f := ownedFleet(t, block)
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

// silenceHop makes the connection on which router-1 forwards to router-2 silent. Gossip between them goes on.
func silenceHop(f *testfleet.Fleet) {
	f.Network.BlackholeBusiest(f.RouterIP(0), f.RouterIP(1))
}

func TestAStreamSurvivesTheDeathOfItsOwner(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, result := underOwnerFault(t, 124, func(f *testfleet.Fleet) { f.Routers[1].Kill() })
	is.Equal(result.Status, http.StatusOK)
	is.True(c.whole(result))
}

func TestAStreamSurvivesAFrozenOwner(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, result := underOwnerFault(t, 125, func(f *testfleet.Fleet) { f.Routers[1].Freeze() })
	is.Equal(result.Status, http.StatusOK)
	is.True(c.whole(result))
	is.True(result.Took < silenceBound)
}

func TestAStreamSurvivesASilentHop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, result := underOwnerFault(t, 126, silenceHop)
	is.Equal(result.Status, http.StatusOK)
	is.True(c.whole(result))
	is.True(result.Took < silenceBound)
}

func TestPooledHopsThatWentSilentAreReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := ownedFleet(t, 127)
	caller := load.NewCaller(callTimeout)
	c := chatOwnedBy(t, f, "router-2")
	first, err := caller.Do(context.Background(), c.call(f.CallerAddress(0)))
	is.NoErr(err)
	is.True(c.whole(first))
	silenceHop(f)
	second, err := caller.Do(context.Background(), c.call(f.CallerAddress(0)))
	is.NoErr(err)
	t.Logf("first answer took %s, the one over a silent hop %s", first.Took, second.Took)
	is.True(c.whole(second))
	is.True(second.Took < silenceBound)
}
