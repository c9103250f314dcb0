package published

import (
	"context"
	"fmt"
	"math/bits"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// historySource is a Source that keeps the changes after the revision lost and counts calls.
type historySource struct {
	era, revision, lost uint64
	calls               int
	// failAt is the call that fails, 0 for none. onCall is called first.
	failAt int
	onCall func()
}

func (*historySource) Page(context.Context, string, string) (Batch, string, error) {
	return Batch{}, "", errors.New("not expected")
}

func (s *historySource) Changes(_ context.Context, prefix string, after uint64, wait time.Duration) (Batch, error) {
	s.calls++
	if s.onCall != nil {
		s.onCall()
	}
	switch {
	case wait != 0 || prefix != "a/":
		return Batch{}, errors.Errorf("wait %s, prefix %q", wait, prefix)
	case s.calls == s.failAt:
		return Batch{}, errors.New("down")
	case after < s.lost:
		return Batch{}, ErrHistoryLost
	}
	b := Batch{Revision: s.revision, Era: s.era}
	for revision := after + 1; revision <= s.revision; revision++ {
		b.Items = append(b.Items, item("a/x", revision))
	}
	return b, nil
}

// Guards against a history that is read in part and taken for all that the source has, and against calls that grow with the
// length of the history.
func TestHistoryOfEveryLengthIsRead(t *testing.T) {
	const revision = 300
	for lost := range uint64(revision) {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			is := is.New(t)
			source := &historySource{era: 1, revision: revision, lost: lost}
			items, whole, err := ReadHistory(context.Background(), source, "a/", Version{Era: 1, Revision: revision})
			is.NoErr(err)
			is.Equal(whole, lost == 0)
			is.Equal(len(items), int(revision-lost))
			is.Equal(items[0].Revision, lost+1)
			is.Equal(items[len(items)-1].Revision, uint64(revision))
			is.True(source.calls <= 1+bits.Len64(revision))
		})
	}
}

// Guards against a search that ends before the oldest change is found in a store of great age.
func TestHistoryOfOldStoreIsRead(t *testing.T) {
	is := is.New(t)
	const revision = 1 << 38
	for _, kept := range []uint64{1, 2, 777, 4096} {
		source := &historySource{revision: revision, lost: revision - kept}
		items, whole, err := ReadHistory(context.Background(), source, "a/", Version{Revision: revision})
		is.NoErr(err)
		is.True(!whole)
		is.Equal(uint64(len(items)), kept)
		is.True(source.calls <= 2*bits.Len64(historyStep+kept)) // the calls depend on what is kept, not on the age of the store
	}
}

// Guards against failures that pass for a history in which nothing happened.
func TestHistoryThatIsNotReadIsReported(t *testing.T) {
	until := Version{Era: 1, Revision: 64}
	for _, tt := range []struct {
		name      string
		source    *historySource
		noHistory bool
	}{
		{"nothing left", &historySource{era: 1, revision: 64, lost: 64}, true},
		{"nothing left and more has happened", &historySource{era: 1, revision: 80, lost: 70}, true},
		{"more changes than are read", &historySource{era: 1, revision: 64 + 2*maxHistoryItems}, true},
		{"a later era", &historySource{era: 2, revision: 64}, true},
		{"a later era that keeps a part", &historySource{era: 2, revision: 64, lost: 40}, true},
		{"an earlier era", &historySource{revision: 64}, true},
		{"first call fails", &historySource{era: 1, revision: 64, failAt: 1}, false},
		{"fails in the search", &historySource{era: 1, revision: 64, lost: 40, failAt: 3}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			items, whole, err := ReadHistory(context.Background(), tt.source, "a/", until)
			is.True(err != nil)
			is.Equal(errors.Is(err, ErrNoHistory), tt.noHistory)
			is.True(!whole)
			is.Equal(len(items), 0)
		})
	}
}

// Guards against changes that are missed because the source discards old ones during the search.
func TestHistoryIsReadWhileSourceDiscards(t *testing.T) {
	is := is.New(t)
	source := &historySource{era: 1, revision: 64, lost: 20}
	source.onCall = func() { source.lost, source.revision = source.lost+2, source.revision+2 }
	items, whole, err := ReadHistory(context.Background(), source, "a/", Version{Era: 1, Revision: 64})
	is.NoErr(err)
	is.True(!whole)
	for i, it := range items {
		is.Equal(it.Revision, items[0].Revision+uint64(i))
	}
	is.True(items[0].Revision <= source.lost+1)              // no older change was left at the end
	is.True(items[len(items)-1].Revision >= uint64(64))      // up to the version
	is.True(source.calls <= 1+bits.Len64(source.revision)+1) // it does not chase the source
}

// newFollowingReader returns a reader with one version at its source, and functions to list and to lose the history.
func newFollowingReader() (r *Reader, source *scriptedSource, clock *clockwork.FakeClock) {
	clock, source = clockwork.NewFakeClock(), &scriptedSource{}
	return NewReader(ReaderOptions{
		Source: source, Mirror: newMirror("a/", func([]Item) {}), Clock: clock, Log: zerolog.Nop(), Scope: tally.NoopScope,
		Timing: ReadTimingFor(2 * time.Second), Outages: &fakeOutageListener{},
	}), source, clock
}

// Guards against a host that takes its knowledge of published items for complete although it missed some of them.
func TestFollowedSinceBeginsAnewAfterGap(t *testing.T) {
	revision := uint64(10)
	type step = func(bool, uint64) (Batch, error)
	respond := func(err error) step {
		return func(bool, uint64) (Batch, error) {
			revision++
			return Batch{Items: []Item{item("a/x", 3)}, Revision: revision}, err
		}
	}
	list, lost, down := respond(nil), respond(ErrHistoryLost), respond(errors.New("down"))
	for _, tt := range []struct {
		name  string
		steps []step
		pause time.Duration // before each step after the first list
		fresh bool          // whether the time begins anew at the last step
	}{
		{"changes", []step{list, list}, time.Second, false},
		{"changes after a long pause without loss of history", []step{list}, time.Minute, false},
		{"list after a short gap", []step{lost, list}, time.Second, false},
		{"list after a gap that is too long", []step{lost, list}, time.Second + 1, true},
		{"list after an outage", []step{down, lost, list}, time.Second, true},
		{"list after several short gaps", []step{lost, list, lost, list}, time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r, source, clock := newFollowingReader()
			is.True(!r.FollowedSince().Before(clock.Now())) // nothing is known before the first list
			is.True(r.DataAge() > 1000*time.Hour)
			source.steps = []step{list}
			r.step(context.Background())
			first := clock.Now()
			is.True(r.FollowedSince().Equal(first))
			is.Equal(r.DataAge(), time.Duration(0))
			for _, s := range tt.steps {
				clock.Advance(tt.pause)
				source.steps = []step{s}
				r.step(context.Background())
			}
			want := first
			if tt.fresh {
				want = clock.Now()
			}
			is.True(r.FollowedSince().Equal(want))
			is.Equal(r.DataAge(), time.Duration(0))
			clock.Advance(5 * time.Second)
			is.Equal(r.DataAge(), 5*time.Second)
			is.True(r.FollowedSince().Equal(want))
		})
	}
}

// Guards against a list whose pages take long and that counts from its end: items that were removed meanwhile are missing.
func TestFollowedSinceCountsFromBeginOfList(t *testing.T) {
	is := is.New(t)
	r, source, clock := newFollowingReader()
	began := clock.Now()
	source.steps = []func(bool, uint64) (Batch, error){
		func(bool, uint64) (Batch, error) {
			source.more = "a/x"
			clock.Advance(time.Second)
			return Batch{Items: []Item{item("a/x", 3)}, Revision: 5}, nil
		},
		func(bool, uint64) (Batch, error) {
			clock.Advance(time.Second)
			return Batch{Items: []Item{item("a/y", 4)}, Revision: 6}, nil
		},
	}
	r.step(context.Background())
	is.True(r.FollowedSince().Equal(began))
	is.Equal(r.DataAge(), 2*time.Second)
}

// Guards against data that counts as more recent than it is, since the source ended a wait for changes early and its response was
// slow.
func TestDataAgeAfterWaitForChanges(t *testing.T) {
	const wait = time.Second
	for _, tt := range []struct{ took, age time.Duration }{
		{wait, 0}, {wait + 300*time.Millisecond, 300 * time.Millisecond}, {300 * time.Millisecond, 300 * time.Millisecond},
	} {
		is := is.New(t)
		r, source, clock := newFollowingReader()
		r.LongPollWait = wait
		source.steps = []func(bool, uint64) (Batch, error){
			func(bool, uint64) (Batch, error) { return Batch{Items: []Item{item("a/x", 3)}, Revision: 5}, nil },
			func(bool, uint64) (Batch, error) {
				clock.Advance(tt.took)
				return Batch{Revision: 5}, nil
			},
		}
		r.step(context.Background())
		r.step(context.Background())
		is.Equal(r.DataAge(), tt.age)
	}
}

// batchPeer is a peer and a snapshot peer that answers with its batch.
type batchPeer struct{ batch PeerBatch }

func (*batchPeer) Address() string                               { return "peer" }
func (p *batchPeer) SelectPeer(bool) Peer                        { return p }
func (p *batchPeer) SelectSnapshotPeer() SnapshotPeer            { return p }
func (p *batchPeer) Snapshot(context.Context) (PeerBatch, error) { return p.batch, nil }
func (p *batchPeer) Changes(context.Context, Version, time.Duration) (PeerBatch, error) {
	return p.batch, nil
}

// Guards against a host that starts from another host's items, or catches up with them, and counts them as of its own time.
func TestFollowedSinceCountsFromPeersData(t *testing.T) {
	is := is.New(t)
	r, _, clock := newFollowingReader()
	const age = 300 * time.Millisecond
	peer := &batchPeer{PeerBatch{Batch: Batch{Items: []Item{item("a/x", 3)}, Revision: 5, Full: true}, Age: age}}
	r.Peers, r.StartDelay = peer, time.Minute
	r.step(context.Background()) // a snapshot
	asOf := clock.Now().Add(-age)
	is.True(r.FollowedSince().Equal(asOf))
	is.Equal(r.DataAge(), age)
	clock.Advance(time.Second)
	peer.batch = PeerBatch{Batch: Batch{Items: []Item{item("a/x", 6)}, Revision: 6}, Age: age}
	r.step(context.Background()) // changes
	is.True(r.FollowedSince().Equal(asOf))
	is.Equal(r.DataAge(), age)
	clock.Advance(time.Second)
	peer.batch = PeerBatch{Batch: Batch{Items: []Item{item("a/x", 7)}, Revision: 7, Full: true}, Age: age}
	r.step(context.Background()) // all items, after a short gap
	is.True(r.FollowedSince().Equal(asOf))
	clock.Advance(time.Minute)
	peer.batch.Revision = 9
	r.step(context.Background()) // all items, after a long gap
	is.True(r.FollowedSince().Equal(clock.Now().Add(-age)))
	is.Equal(r.DataAge(), age)
	clock.Advance(time.Minute)
	peer.batch.Age = time.Hour
	before := r.FollowedSince()
	r.step(context.Background()) // data that is too old is not taken over
	is.True(r.FollowedSince().Equal(before))
}

// Guards against a host that claims to have followed what it cannot know: what another host tells lacks the states in between,
// and what gossip brought before does not count as a list.
func TestFollowedTimeOfHostThatReadsFromPeers(t *testing.T) {
	is := is.New(t)
	r, _, clock := newFollowingReader()
	r.recordListed(clock.Now())
	r.recordFresh(clock.Now())
	start := clock.Now()
	is.Equal(r.FollowedSince(), start) // also if another host's first batch is not full
	clock.Advance(r.Timing.MaxStaleness)
	r.recordListed(clock.Now())
	r.recordFresh(clock.Now())
	is.Equal(r.FollowedSince(), start)
	clock.Advance(r.Timing.MaxStaleness + 1)
	r.recordListed(clock.Now())
	r.recordFresh(clock.Now())
	is.Equal(r.FollowedSince(), clock.Now())
}

// Guards against ages that change when the time of day is set.
func TestTimesOfDataKeepMonotonicReading(t *testing.T) {
	var m moment
	m.set(time.Now())
	is.New(t).True(strings.Contains(m.get().String(), " m=+"))
}
