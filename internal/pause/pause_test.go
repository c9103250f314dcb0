package pause

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// gate is a catch-up that ends when it is told to.
type gate struct {
	started chan struct{}
	end     chan bool
}

func newGate() *gate { return &gate{started: make(chan struct{}, 8), end: make(chan bool)} }

func (g *gate) catchUp(context.Context) bool {
	g.started <- struct{}{}
	return <-g.end
}

func newGuard(clock clockwork.Clock, g *gate) *Guard {
	guard := New(clock, g.catchUp, zerolog.Nop(), tally.NoopScope)
	guard.Start()
	return guard
}

func TestARequestAfterAPauseWaitsForTheCatchUp(t *testing.T) {
	is := is.New(t)
	clock, g := clockwork.NewFakeClock(), newGate()
	guard := newGuard(clock, g)
	is.NoErr(guard.Wait(context.Background()))
	clock.Advance(gapLimit - time.Millisecond)
	is.NoErr(guard.Wait(context.Background()))
	clock.Advance(time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- guard.Wait(context.Background()) }()
	<-g.started
	is.True(guard.State().Resyncing)
	select {
	case <-done:
		t.Fatal("the request did not wait")
	default:
	}
	g.end <- true
	is.NoErr(<-done)
	is.Equal(guard.State().Pauses, uint64(1))
	is.True(!guard.State().Isolated)
}

func TestARouterThatReachesNobodySaysSoAndServes(t *testing.T) {
	is := is.New(t)
	clock, g := clockwork.NewFakeClock(), newGate()
	guard := newGuard(clock, g)
	clock.Advance(30 * time.Second)
	done := make(chan error, 1)
	go func() { done <- guard.Wait(context.Background()) }()
	<-g.started
	g.end <- false
	is.NoErr(<-done)
	is.True(guard.State().Isolated)
	guard.RecordPeerResponse()
	is.True(!guard.State().Isolated)
}

func TestAPauseDuringTheCatchUpStartsItAgain(t *testing.T) {
	is := is.New(t)
	clock, g := clockwork.NewFakeClock(), newGate()
	guard := newGuard(clock, g)
	clock.Advance(time.Second)
	done := make(chan error, 1)
	go func() { done <- guard.Wait(context.Background()) }()
	<-g.started
	clock.Advance(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(guard.Wait(ctx), context.Canceled)
	g.end <- true
	<-g.started
	g.end <- true
	is.NoErr(<-done)
	is.Equal(guard.State().Pauses, uint64(2))
}

func TestNothingPassesBeforeTheStart(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	clock, g := clockwork.NewFakeClock(), newGate()
	guard := New(clock, g.catchUp, zerolog.Nop(), tally.NoopScope)
	is.Equal(guard.Wait(ctx), context.Canceled)
	clock.Advance(time.Second)
	is.Equal(guard.Wait(ctx), context.Canceled)
	guard.Start()
	<-g.started
	is.Equal(guard.Wait(ctx), context.Canceled)
	g.end <- true
	is.NoErr(guard.Wait(context.Background()))
}

func TestLostTimeCountsWallClockAndMonotonicClock(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.Equal(lostTime(now, now.Add(time.Second)), time.Second)
	suspended := now.Round(0).Add(time.Hour)
	is.Equal(lostTime(now, suspended), time.Hour)
	setBack := now.Add(time.Second)
	is.Equal(lostTime(now, setBack), time.Second)
}
