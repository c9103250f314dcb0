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

// blockingResync is a resync that blocks until the test sends its result.
type blockingResync struct {
	started chan struct{}
	end     chan bool
}

func newBlockingResync() *blockingResync {
	return &blockingResync{started: make(chan struct{}, 8), end: make(chan bool)}
}

func (g *blockingResync) resync(context.Context) bool {
	g.started <- struct{}{}
	return <-g.end
}

func newGuard(clock clockwork.Clock, g *blockingResync) *Guard {
	guard := New(clock, g.resync, zerolog.Nop(), tally.NoopScope)
	guard.Start()
	return guard
}

func TestRequestAfterPauseWaitsForResync(t *testing.T) {
	is := is.New(t)
	clock, g := clockwork.NewFakeClock(), newBlockingResync()
	guard := newGuard(clock, g)
	is.NoErr(guard.Wait(context.Background()))
	clock.Advance(pauseThreshold - time.Millisecond)
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

func TestIsolatedRouterReportsItAndServes(t *testing.T) {
	is := is.New(t)
	clock, g := clockwork.NewFakeClock(), newBlockingResync()
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

func TestPauseDuringResyncRepeatsIt(t *testing.T) {
	is := is.New(t)
	clock, g := clockwork.NewFakeClock(), newBlockingResync()
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

func TestWorkIsBlockedBeforeStart(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	clock, g := clockwork.NewFakeClock(), newBlockingResync()
	guard := New(clock, g.resync, zerolog.Nop(), tally.NoopScope)
	is.Equal(guard.Wait(ctx), context.Canceled)
	clock.Advance(time.Second)
	is.Equal(guard.Wait(ctx), context.Canceled)
	guard.Start()
	<-g.started
	is.Equal(guard.Wait(ctx), context.Canceled)
	g.end <- true
	is.NoErr(guard.Wait(context.Background()))
}

func TestElapsedUsesWallClockAndMonotonicClock(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.Equal(elapsed(now, now.Add(time.Second)), time.Second)
	suspended := now.Round(0).Add(time.Hour)
	is.Equal(elapsed(now, suspended), time.Hour)
	setBack := now.Add(time.Second)
	is.Equal(elapsed(now, setBack), time.Second)
}
