package published

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// scriptedPeer returns one result, and counts calls.
type scriptedPeer struct {
	batch PeerBatch
	err   error
	calls int
}

func (*scriptedPeer) Address() string { return "peer" }
func (p *scriptedPeer) Snapshot(context.Context) (PeerBatch, error) {
	p.calls++
	return p.batch, p.err
}
func (p *scriptedPeer) Changes(context.Context, Version, time.Duration) (PeerBatch, error) {
	p.calls++
	return p.batch, p.err
}
func (p *scriptedPeer) SelectPeer(bool) Peer             { return p }
func (p *scriptedPeer) SelectSnapshotPeer() SnapshotPeer { return p }

// newPeerReader returns a reader in era 2, complete up to revision 5, that reads from the peer.
func newPeerReader(peer *scriptedPeer) (*Reader, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	clock.Advance(time.Hour)
	r := NewReader(ReaderOptions{
		Source: &scriptedSource{}, Mirror: newMirror("", func([]Item) {}), LongPollWait: time.Second, Timing: ReadTimingFor(2 * time.Second),
		Outages: &fakeOutageListener{}, Peers: peer, Clock: clock, Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	r.Mirror.Replace(Batch{Era: 2, Revision: 5, Full: true, Items: []Item{{Key: "k", Era: 2, Revision: 3}}})
	return r, clock
}

// Guards against items of another host that are old or of another era, and against good ones that are refused.
func TestWhichChangesOfPeersAreTaken(t *testing.T) {
	maxAge := ReadTimingFor(2 * time.Second).MaxPeerDataAge
	for _, tt := range []struct {
		name  string
		batch PeerBatch
		err   error
		taken bool
		calls int
	}{
		{"changes", PeerBatch{Batch: Batch{Era: 2, Revision: 9}}, nil, true, 1},
		{"nearly too old", PeerBatch{Batch: Batch{Era: 2, Revision: 9}, Age: maxAge - 1}, nil, true, 1},
		{"too old", PeerBatch{Batch: Batch{Era: 2, Revision: 9}, Age: maxAge}, nil, false, 1},
		{"earlier era", PeerBatch{Batch: Batch{Era: 1, Revision: 9, Full: true}}, nil, false, 1},
		{"later era in part", PeerBatch{Batch: Batch{Era: 3, Revision: 9}}, nil, false, 1},
		{"later era in full", PeerBatch{Batch: Batch{Era: 3, Revision: 9, Full: true}}, nil, true, 1},
		{"withheld", PeerBatch{Batch: Batch{Era: 2, Revision: 9}, Withheld: true}, nil, false, 1},
		{"failed", PeerBatch{}, errors.New("down"), false, 1},
		{"does not read the store", PeerBatch{}, ErrNotStoreReader, false, maxPeersTried},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			peer := &scriptedPeer{batch: tt.batch, err: tt.err}
			r, clock := newPeerReader(peer)
			is.Equal(r.readFromPeers(context.Background()), tt.taken)
			is.Equal(peer.calls, tt.calls)
			is.Equal(r.needsFullList, !tt.taken)
			if tt.taken {
				is.Equal(r.Mirror.CompleteRevision(), uint64(9))
				is.Equal(r.dataAsOf.get(), clock.Now().Add(-tt.batch.Age))
			}
		})
	}
}

// Guards against a host that starts from items that are old or not all.
func TestWhichSnapshotsAreTaken(t *testing.T) {
	maxAge := ReadTimingFor(2 * time.Second).MaxPeerDataAge
	full := Batch{Era: 2, Revision: 9, Full: true}
	for _, tt := range []struct {
		name  string
		batch PeerBatch
		err   error
		taken bool
	}{
		{"full", PeerBatch{Batch: full}, nil, true},
		{"nearly too old", PeerBatch{Batch: full, Age: maxAge - 1}, nil, true},
		{"too old", PeerBatch{Batch: full, Age: maxAge}, nil, false},
		{"in part", PeerBatch{Batch: Batch{Era: 2, Revision: 9}}, nil, false},
		{"without revision", PeerBatch{Batch: Batch{Era: 2, Full: true}}, nil, false},
		{"failed", PeerBatch{Batch: full}, ErrNoSnapshot, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			peer := &scriptedPeer{batch: tt.batch, err: tt.err}
			r, _ := newPeerReader(peer)
			next := startPollInterval
			if tt.taken {
				next = minPeerPollInterval
			}
			is.Equal(r.start(context.Background()), next)
			is.Equal(r.needsFullList, !tt.taken)
			is.Equal(r.dataAsOf.get().IsZero(), !tt.taken)
		})
	}
}

// Guards against a host that serves items that are old, or that it does not read from the store itself.
func TestWhatIsServedToPeers(t *testing.T) {
	maxAge := ReadTimingFor(2 * time.Second).MaxPeerDataAge
	other := "other"
	for _, tt := range []struct {
		name              string
		age               time.Duration
		after             Version
		change            func(*Reader)
		changes, snapshot bool
	}{
		{"fresh", 0, Version{Era: 2}, func(*Reader) {}, true, true},
		{"nearly too old", maxAge - 1, Version{Era: 2}, func(*Reader) {}, true, true},
		{"too old for a start", maxAge, Version{Era: 2}, func(*Reader) {}, true, false},
		{"nothing read yet", 0, Version{Era: 2}, func(r *Reader) { r.dataAsOf.set(time.Time{}) }, false, false},
		{"its calls to the store fail", 0, Version{Era: 2}, func(r *Reader) { r.failing.Store(true) }, false, false},
		{"reads from another host", 0, Version{Era: 2}, func(r *Reader) { r.sourcePeer.Store(&other) }, false, true},
		{"era not seen", 0, Version{Era: 3}, func(*Reader) {}, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r, clock := newPeerReader(&scriptedPeer{})
			r.recordFresh(clock.Now().Add(-tt.age))
			tt.change(r)
			update, ok := r.ServeChanges(context.Background(), tt.after, 0)
			is.Equal(ok, tt.changes)
			if ok {
				is.Equal(update.Age, tt.age)
				is.Equal(len(update.Items), 1)
			}
			_, ok = r.ServeSnapshot()
			is.Equal(ok, tt.snapshot)
		})
	}
}

// Guards against large values that are relayed, and small ones that are not.
func TestRelayLimit(t *testing.T) {
	half := []byte(strings.Repeat("x", maxRelayBytes/2))
	for extra, within := range map[int]bool{0: true, 1: false} {
		b := Batch{Items: []Item{{Value: half}, {Value: half}, {Value: make([]byte, extra)}}}
		is.New(t).Equal(b.WithinRelayLimit(), within)
	}
}

// Guards against a host whose own data grows too old while it waits for another one.
func TestWaitForPeerEndsBeforeDataIsTooOld(t *testing.T) {
	is := is.New(t)
	r, clock := newPeerReader(&scriptedPeer{})
	timing := r.Timing
	is.Equal(r.peerWait(), timing.PeerLongPollWait)
	r.recordFresh(clock.Now())
	is.Equal(r.peerWait(), timing.PeerLongPollWait)
	const left = 10 * time.Millisecond
	clock.Advance(timing.MaxDataAge - timing.PeerTimeoutSlack - left)
	is.Equal(r.peerWait(), left)
	clock.Advance(2 * left)
	is.Equal(r.peerWait(), time.Duration(0))
}

// Guards against a host that polls rarely although others read from it, or often although none does.
func TestPollsWhileOthersReadFromHost(t *testing.T) {
	is := is.New(t)
	r, clock := newPeerReader(&scriptedPeer{})
	check := func(shared bool) {
		t.Helper()
		interval, wait := r.Timing.PollInterval, r.LongPollWait
		if shared {
			interval, wait = r.Timing.SharedPollInterval, r.Timing.SharedLongPollWait
		}
		is.Equal(r.nextPollInterval(), interval)
		is.Equal(r.longPollWait(), wait)
	}
	check(false)
	r.ServeChanges(context.Background(), Version{}, 0)
	check(true)
	clock.Advance(sharedTimeout - 1)
	check(true)
	clock.Advance(1)
	check(false)
	r.LongPollWait = r.Timing.SharedLongPollWait / 2
	r.ServeChanges(context.Background(), Version{}, 0)
	is.Equal(r.longPollWait(), r.LongPollWait)
}
