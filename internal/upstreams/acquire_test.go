package upstreams

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// full returns a simulation of one host and one engine that is past its ramp, with every place taken.
func full(t *testing.T) (s *simulation, set *Set, places []*Slot) {
	t.Helper()
	s = newSimulation(t, 1, 1, 1, settings.PolicyBounded)
	s.run(3*time.Second, func() {})
	set = s.hosts[0].set
	for {
		place, err := set.Acquire(context.Background(), s.request("a"))
		if err != nil {
			return s, set, places
		}
		places = append(places, place)
	}
}

func (s *simulation) request(team string) Request {
	return Request{Upstream: "engine-0", Team: team, Deadline: s.clock.Now().Add(time.Minute)}
}

func (s *simulation) patient() Request {
	r := s.request("b")
	r.MaxWait = MaxQueueWait
	return r
}

// wait starts a request that waits and returns its result.
func (s *simulation) wait(ctx context.Context, set *Set, r Request) <-chan error {
	s.t.Helper()
	waiting := func() int {
		set.mu.Lock()
		defer set.mu.Unlock()
		return set.states["engine-0"].queue.Len()
	}
	before := waiting()
	result := make(chan error, 1)
	go func() {
		_, err := set.Acquire(ctx, r)
		result <- err
	}()
	for waiting() == before && len(result) == 0 {
		time.Sleep(time.Millisecond)
	}
	return result
}

func TestAnUpstreamIsFilledToItsCapacityAndNoFurther(t *testing.T) {
	is := is.New(t)
	s, set, places := full(t)
	is.Equal(len(places), 16)
	_, err := set.Acquire(context.Background(), s.request("a"))
	is.Equal(refusalCode(err), CodeFull)
	is.Equal(exchange.AsRefusal(err).Outcome, outcome.NotRun)
}

func TestAFreedPlaceGoesToWhoWaits(t *testing.T) {
	is := is.New(t)
	s, set, places := full(t)
	first := s.wait(context.Background(), set, s.patient())
	places[0].Release()
	places[0].Release() // a second call changes nothing
	is.NoErr(<-first)
	_, err := set.Acquire(context.Background(), s.request("a"))
	is.Equal(refusalCode(err), CodeFull)
}

func TestACallerThatGoesAwayFreesItsPlaceInTheQueue(t *testing.T) {
	is := is.New(t)
	s, set, places := full(t)
	ctx, cancel := context.WithCancel(context.Background())
	gone := s.wait(ctx, set, s.patient())
	cancel()
	is.Equal(exchange.AsRefusal(<-gone).Outcome, outcome.NotRun)
	is.Equal(set.State()[0].Waiting, 0)
	places[0].Release()
	is.Equal(set.State()[0].InFlight, 15)
}

func TestARequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s, set, _ := full(t)
	late := s.patient()
	late.Deadline = s.clock.Now().Add(10 * time.Millisecond) // a place is held for 500 ms, 16 at once
	_, err := set.Acquire(context.Background(), late)
	is.Equal(refusalCode(err), CodeBusy)
	is.True(exchange.AsRefusal(err).RetryAfter >= time.Second)
	is.Equal(exchange.AsRefusal(err).Outcome, outcome.NotRun)
}

func TestAWaitingRequestIsSentElsewhereWhenItsUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	s, set, _ := full(t)
	waiting := s.wait(context.Background(), set, s.patient())
	s.publish(func(d *document.Document) { d.Pools[0].Upstreams[0].State = document.StateOut })
	set.Tick(context.Background())
	is.Equal(refusalCode(<-waiting), CodeOut)
}

func TestANewcomerDoesNotOvertakeWhoWaits(t *testing.T) {
	is := is.New(t)
	s, set, places := full(t)
	set.mu.Lock()
	places[0].state.foreign = 1 // keeps the freed place from being granted
	set.mu.Unlock()
	s.wait(context.Background(), set, s.patient())
	places[0].Release()
	set.mu.Lock()
	places[0].state.foreign = 0
	set.mu.Unlock()
	_, err := set.Acquire(context.Background(), s.request("a"))
	is.Equal(refusalCode(err), CodeFull)
}

func TestAProcessThatSleptAdmitsNothingUntilAPeerConfirms(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1, 2, 1, settings.PolicyBounded)
	s.run(3*time.Second, func() {})
	var owner *host
	for _, h := range s.hosts {
		if h.set.State() != nil && len(h.set.State()) > 0 {
			owner = h
		}
	}
	admits := func() bool {
		place, err := owner.set.Acquire(context.Background(), s.request("a"))
		if err == nil {
			place.Release()
		}
		return err == nil
	}
	is.True(admits())
	s.clock.Advance(5 * time.Second)
	is.True(!admits())
	owner.set.confirm(s.snap.Version)
	is.True(!admits()) // what arrives at once may have waited as long as the process slept
	s.clock.Advance(settleTime)
	owner.set.Tick(context.Background())
	owner.set.confirm(s.snap.Version + 1)
	is.True(!admits()) // the peer has a newer document
	owner.set.confirm(s.snap.Version)
	is.True(admits())
}

func TestAProcessThatSleptGoesOnAloneWhenNoPeerAnswers(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1, 1, 1, settings.PolicyBounded)
	s.run(3*time.Second, func() {})
	set := s.hosts[0].set
	s.clock.Advance(5 * time.Second)
	_, err := set.Acquire(context.Background(), s.request("a"))
	is.Equal(refusalCode(err), CodeFull)
	s.run(confirmTimeout, func() {})
	_, err = set.Acquire(context.Background(), s.request("a"))
	is.NoErr(err)
}
