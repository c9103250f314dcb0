package published

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

// tick is the step of the test's time.
const tick = 10 * time.Millisecond

// world is a store with one item, a host that reads it, and another one that hears from that host. Nothing in it takes
// time but what advances the clock.
type world struct {
	clock *clockwork.FakeClock
	begun time.Time
	// at is the store's revision, item that of its item.
	at, item uint64
	value    []byte
	reading  *Reader
	// next is when the reading host makes its next call.
	next time.Time
	// each is called after every tick.
	each func()

	storeDown, silent, refusing, askedTurnedAway bool
	staleness                                    time.Duration
}

func newWorld() *world { return newWorldWith(2 * time.Second) }

func newWorldWith(staleness time.Duration) *world {
	clock := clockwork.NewFakeClock()
	w := &world{staleness: staleness, clock: clock, begun: clock.Now(), at: 1, next: clock.Now(), each: func() {}}
	w.reading = w.reader(nil, func() bool { return w.storeDown })
	return w
}

func (w *world) reader(peers PeerSelector, down func() bool) *Reader {
	return NewReader(ReaderOptions{
		Source: &view{world: w, down: down}, Mirror: newMirror("", func([]Item) {}), LongPollWait: time.Second, Timing: ReadTimingFor(w.staleness),
		Lapses: &fakeLapses{}, Peers: peers, Clock: w.clock, Log: zerolog.Nop(),
		Scope: tally.NoopScope,
	})
}

// set changes the item.
func (w *world) set() {
	w.at++
	w.item = w.at
}

// advance lets one tick pass for the reading host.
func (w *world) advance() {
	w.clock.Advance(tick)
	w.each()
	if !w.clock.Now().Before(w.next) {
		w.next = w.clock.Now().Add(w.reading.step(context.Background()))
	}
}

// run lets the reader step until the time has passed since the beginning.
func (w *world) run(r *Reader, until time.Duration) {
	next := w.clock.Now()
	for w.clock.Since(w.begun) < until {
		if w.clock.Now().Before(next) {
			w.advance()
			continue
		}
		next = w.clock.Now().Add(r.step(context.Background()))
	}
}

// view is the store as one host reaches it. Calls for changes return at once, as they do while upstreams heartbeat.
type view struct {
	world *world
	down  func() bool
	calls int
	// waits are the waits of the calls for changes.
	waits []time.Duration
}

func (v *view) Page(context.Context, string, string) (Batch, string, error) {
	b, err := v.batch(0)
	return b, "", err
}

func (v *view) Changes(_ context.Context, _ string, after uint64, wait time.Duration) (Batch, error) {
	v.waits = append(v.waits, wait)
	return v.batch(after)
}

func (v *view) batch(after uint64) (Batch, error) {
	v.calls++
	if v.down() {
		return Batch{}, errors.New("down")
	}
	v.world.at++ // a heartbeat
	b := Batch{Revision: v.world.at}
	if v.world.item > after {
		b.Items = []Item{{Key: "k", Value: v.world.value, Revision: v.world.item}}
	}
	return b, nil
}

// Reader implements Peers: the reading host is the one to hear from.
func (w *world) Reader(turnedAway bool) Peer {
	w.askedTurnedAway = turnedAway
	return w
}

// Address implements Peer.
func (w *world) Address() string { return "reading" }

// News implements Peer. The waiting is done here, on the test's time: with a context that has ended, Serve answers at
// once.
func (w *world) News(_ context.Context, after uint64, wait time.Duration) (PeerBatch, error) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for begun := w.clock.Now(); ; w.advance() {
		news, reading := w.reading.Serve(ended, after, wait)
		waited := w.clock.Since(begun)
		switch {
		case w.refusing:
			return PeerBatch{}, errors.New("refused")
		case w.silent:
			if waited >= wait+w.reading.Timing.PeerTimeoutSlack {
				return PeerBatch{}, context.DeadlineExceeded
			}
		case !reading:
			return PeerBatch{}, ErrNotStoreReader
		case news.Withheld || len(news.Items) > 0 || waited >= wait || news.Age >= w.reading.Timing.MaxPeerDataAge:
			return news, nil
		}
	}
}

func up() bool { return false }

// Whatever becomes of the host from which another one hears, a change is known there within nine tenths of the time that
// is allowed; the rest is for the store's answer and the way.
func TestAChangeIsKnownInTimeWhateverBecomesOfTheReadingHost(t *testing.T) {
	troubles := map[string]func(*world){
		"none":       func(*world) {},
		"silent":     func(w *world) { w.silent = true },
		"refusing":   func(w *world) { w.refusing = true },
		"store lost": func(w *world) { w.storeDown = true },
		"restarted":  func(w *world) { w.reading = w.reader(nil, func() bool { return w.storeDown }) },
	}
	rapid.Check(t, func(t *rapid.T) {
		staleness := time.Duration(rapid.IntRange(1000, 5000).Draw(t, "staleness ms")) * time.Millisecond
		bound := staleness / 10 * 9
		w := newWorldWith(staleness)
		r := w.reader(w, up)
		trouble := rapid.SampledFrom([]string{"none", "silent", "refusing", "store lost", "restarted"}).Draw(t, "trouble")
		troubleAt := time.Duration(rapid.IntRange(100, 6000).Draw(t, "trouble at ms")) * time.Millisecond
		changeAt := time.Duration(rapid.IntRange(3000, 9000).Draw(t, "change at ms")) * time.Millisecond
		troubled, changed := false, false
		w.each = func() {
			now := w.clock.Since(w.begun)
			if !troubled && now >= troubleAt {
				troubled = true
				troubles[trouble](w)
			}
			if !changed && now >= changeAt {
				changed = true
				w.set()
			}
		}
		w.run(r, changeAt+bound)
		if len(r.Mirror.Since(0).Items) == 0 {
			t.Fatalf("the change at %s is not known %s later, following %q", changeAt, bound, *r.following.Load())
		}
	})
}

func TestAHostThatHearsFromAnotherSparesTheStore(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	r := w.reader(w, up)
	w.run(r, 2*time.Second)
	calls := r.Source.(*view).calls
	w.set()
	w.run(r, 12*time.Second)
	is.Equal(r.Source.(*view).calls, calls)
	is.Equal(len(r.Mirror.Since(0).Items), 1)
	shared := w.reading.Source.(*view).calls
	is.True(shared > 12) // more often than every 1.2 s while others hear from it
	w.run(w.reader(nil, up), 24*time.Second)
	is.True(w.reading.Source.(*view).calls-shared <= 12+3) // and as before once nobody does
}

// A host that the store turns away passes nothing on, so that those that hear from it see for themselves whether the
// store is away: what is removed while it is may be alive.
func TestAHostThatTheStoreTurnsAwayPassesNoNewsOn(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	r := w.reader(w, up)
	w.run(r, 2*time.Second)
	w.storeDown = true
	w.run(r, 4*time.Second)
	_, reading := w.reading.Serve(context.Background(), 0, 0)
	is.True(!reading)
	is.Equal(*r.following.Load(), "")
	is.Equal(r.Lapses.(*fakeLapses).outages, 0) // the store answers this one
}

// A host that was turned away by the store is not lost while another one passes changes on.
func TestNewsOfAnotherHostEndTheLossOfTheStore(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.refusing = true
	r := w.reader(w, func() bool { return true })
	w.run(r, time.Second)
	is.True(r.Failing())
	w.refusing = false
	w.run(r, 3*time.Second)
	is.True(!r.Failing())
	is.Equal(r.Lapses.(*fakeLapses).regained, 1)
	is.Equal(r.Mirror.CompleteRevision() > 1, true)
}

// Serve says no on a host that itself hears from another one, so that ages never add up along a chain.
func TestOnlyHostsThatReadTheStoreServeNews(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	r := w.reader(w, up)
	_, reading := r.Serve(context.Background(), 0, 0)
	is.True(!reading) // nothing was read yet
	w.run(r, 3*time.Second)
	_, reading = r.Serve(context.Background(), 0, 0)
	is.True(!reading)
	_, reading = w.reading.Serve(context.Background(), 0, 0)
	is.True(reading)
}

func TestLargeChangesAreReadFromTheStore(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	r := w.reader(w, up)
	w.run(r, 2*time.Second)
	w.value = make([]byte, maxNewsBytes+1)
	w.set()
	calls := r.Source.(*view).calls
	w.run(r, 3*time.Second)
	is.Equal(len(r.Mirror.Since(0).Items), 1)
	is.Equal(r.Source.(*view).calls, calls+1) // once, and then it hears from the other host again
	is.Equal(*r.following.Load(), "reading")
}

// While the store is quiet, a host from which others hear learns often enough that nothing has changed.
func TestAQuietStoreDoesNotMakeNewsOld(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.run(w.reader(w, up), 5*time.Second)
	waits := w.reading.Source.(*view).waits
	pace := w.reading.Timing
	is.True(waits[len(waits)-1]+pace.SharedPollInterval < pace.MaxPeerDataAge)
	alone := w.reader(nil, up)
	w.run(alone, 10*time.Second)
	is.Equal(alone.Source.(*view).waits[0], time.Second)
}

// A host that the store turned away stays with the host that helps it, and tries the store again after a while.
func TestATurnedAwayHostStaysWithItsHelper(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.refusing = true
	away := true
	r := w.reader(w, func() bool { return away })
	w.run(r, time.Second)
	w.refusing = false
	calls := r.Source.(*view).calls
	w.run(r, 4*time.Second)
	is.True(w.askedTurnedAway)
	is.Equal(r.Source.(*view).calls, calls)
	w.run(r, 4*time.Second+turnedAwayFor)
	is.True(!w.askedTurnedAway) // the usual choice again
}
