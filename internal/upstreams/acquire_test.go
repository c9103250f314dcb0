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

// fullSimulation returns a simulation of one host and one engine after its takeover ramp, with every slot taken.
func fullSimulation(t *testing.T) (s *simulation, set *Set, slots []*Slot) {
	t.Helper()
	s = newSimulation(t, 1, 1, 1, settings.PolicyBounded)
	s.run(3*time.Second, func() {})
	set = s.hosts[0].set
	for {
		slot, err := set.Acquire(context.Background(), s.request("a"))
		if err != nil {
			return s, set, slots
		}
		slots = append(slots, slot)
	}
}

func (s *simulation) request(team string) Request {
	return Request{Upstream: "engine-0", Team: team, Deadline: s.clock.Now().Add(time.Minute)}
}

func (s *simulation) queueingRequest() Request {
	r := s.request("b")
	r.MaxWait = MaxQueueWait
	return r
}

// startWaiting starts a request in its own goroutine, returns once it is queued or done, and delivers its result on the
// channel.
func (s *simulation) startWaiting(ctx context.Context, set *Set, r Request) <-chan error {
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

func TestAcquireStopsAtCapacity(t *testing.T) {
	is := is.New(t)
	s, set, slots := fullSimulation(t)
	is.Equal(len(slots), 16)
	_, err := set.Acquire(context.Background(), s.request("a"))
	is.Equal(refusalCode(err), CodeFull)
	is.Equal(exchange.AsRefusal(err).Outcome, outcome.NotRun)
}

func TestReleasedSlotIsGrantedToQueuedRequest(t *testing.T) {
	is := is.New(t)
	s, set, slots := fullSimulation(t)
	first := s.startWaiting(context.Background(), set, s.queueingRequest())
	slots[0].Release()
	slots[0].Release() // a second Release has no effect
	is.NoErr(<-first)
	_, err := set.Acquire(context.Background(), s.request("a"))
	is.Equal(refusalCode(err), CodeFull)
}

func TestCancelledRequestLeavesQueue(t *testing.T) {
	is := is.New(t)
	s, set, slots := fullSimulation(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := s.startWaiting(ctx, set, s.queueingRequest())
	cancel()
	is.Equal(exchange.AsRefusal(<-cancelled).Outcome, outcome.NotRun)
	is.Equal(set.State()[0].Waiting, 0)
	slots[0].Release()
	is.Equal(set.State()[0].InFlight, 15)
}

// Guards against a refusal of a request that was granted a slot just before the end of its wait, as after this process has stood
// still.
func TestSlotGrantedAtEndOfWaitIsUsed(t *testing.T) {
	is := is.New(t)
	s, set, slots := fullSimulation(t)
	slots[0].Release()
	set.mu.Lock()
	st := set.states["engine-0"]
	set.takeSlot(st, s.clock.Now())
	inFlight := st.inFlight
	set.mu.Unlock()
	for range 50 { // a select takes one of the cases that are ready at random
		w := &waiter{team: "b", done: make(chan error, 1), state: st}
		w.done <- nil
		is.NoErr(set.wait(context.Background(), st, w, s.request("b"))) // MaxWait is 0
	}
	is.Equal(st.inFlight, inFlight)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for st.inFlight == inFlight { // until the cancellation is noticed first
		w := &waiter{team: "b", done: make(chan error, 1), state: st}
		w.done <- nil
		err := set.wait(cancelled, st, w, s.queueingRequest())
		is.Equal(err != nil, st.inFlight < inFlight) // the slot of a caller that has left is free
	}
}

func TestRequestThatWouldMissItsDeadlineIsRefusedImmediately(t *testing.T) {
	is := is.New(t)
	s, set, _ := fullSimulation(t)
	late := s.queueingRequest()
	late.Deadline = s.clock.Now().Add(10 * time.Millisecond) // a slot is held for 500 ms, and there are 16
	_, err := set.Acquire(context.Background(), late)
	is.Equal(refusalCode(err), CodeBusy)
	is.True(exchange.AsRefusal(err).RetryAfter >= time.Second)
	is.Equal(exchange.AsRefusal(err).Outcome, outcome.NotRun)
}

func TestQueuedRequestIsRefusedWhenUpstreamGoesOut(t *testing.T) {
	is := is.New(t)
	s, set, _ := fullSimulation(t)
	waiting := s.startWaiting(context.Background(), set, s.queueingRequest())
	s.publish(func(d *document.Document) { d.Pools[0].Upstreams[0].State = document.StateOut })
	set.Tick(context.Background())
	is.Equal(refusalCode(<-waiting), CodeOut)
}

func TestNewRequestDoesNotOvertakeQueue(t *testing.T) {
	is := is.New(t)
	s, set, slots := fullSimulation(t)
	set.mu.Lock()
	slots[0].state.externalLoad = 1 // keeps the freed slot from being granted
	set.mu.Unlock()
	s.startWaiting(context.Background(), set, s.queueingRequest())
	slots[0].Release()
	set.mu.Lock()
	slots[0].state.externalLoad = 0
	set.mu.Unlock()
	_, err := set.Acquire(context.Background(), s.request("a"))
	is.Equal(refusalCode(err), CodeFull)
}

func TestNoAdmissionAfterPauseUntilPeerConfirmsDocument(t *testing.T) {
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
		slot, err := owner.set.Acquire(context.Background(), s.request("a"))
		if err == nil {
			slot.Release()
		}
		return err == nil
	}
	is.True(admits())
	s.clock.Advance(5 * time.Second)
	is.True(!admits())
	owner.set.confirm(s.snap.Version)
	is.True(!admits()) // a digest received right after the pause may be as old as the pause
	s.clock.Advance(staleDigestWindow)
	owner.set.Tick(context.Background())
	owner.set.confirm(s.snap.Version + 1)
	is.True(!admits()) // the peer has a newer document
	owner.set.confirm(s.snap.Version)
	is.True(admits())
}

func TestAdmissionResumesAfterConfirmTimeoutWithoutPeers(t *testing.T) {
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
