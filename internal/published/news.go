package published

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ReadTiming is the rhythm in which published items are read.
//
// In a large data centre a few hosts read the store, and the others hear of changes from them: each call of the store is
// paid for, and most of what it brings are heartbeats that mean nothing new. What a host knows is as old as the answer
// of the store behind it, whichever way it came; the pace bounds that age.
type ReadTiming struct {
	// PollInterval is the time between two calls of the store, so that many small changes share one call. SharedPollInterval takes its
	// place on a host from which others hear.
	PollInterval, SharedPollInterval time.Duration
	// SharedLongPollWait bounds how long such a host lets the store hold a call open: until the answer it does not know that
	// nothing has changed.
	SharedLongPollWait time.Duration
	// PeerLongPollWait is how long a call for news waits for a change, PeerTimeoutSlack how much longer it may take before the other
	// host counts as silent.
	PeerLongPollWait, PeerTimeoutSlack time.Duration
	// MaxPeerDataAge is how old the reading host's last answer of the store may be.
	MaxPeerDataAge time.Duration
}

// Parts of the staleness in a pace. A change is known after SharedPause, NewsWait and NewsSlack at the latest, when the
// reading host falls silent just before it would have told it; what is left is for the store's answer and the way.
const (
	pausePart      = 0.6
	sharedPart     = 0.35
	sharedWaitPart = 0.1
	newsWaitPart   = 0.35
	newsSlackPart  = 0.15
	newsAgePart    = 0.5
)

// maxPause and maxSharedPause bound the pauses however much staleness is allowed: who learns late of a leaving upstream
// sends it more in vain.
const (
	maxPause       = 1200 * time.Millisecond
	maxSharedPause = 700 * time.Millisecond
)

// ReadTimingFor returns the pace with which changes are known in less than the staleness.
func ReadTimingFor(staleness time.Duration) ReadTiming {
	part := func(p float64) time.Duration { return time.Duration(p * float64(staleness)) }
	return ReadTiming{
		PollInterval: min(maxPause, part(pausePart)), SharedPollInterval: min(maxSharedPause, part(sharedPart)),
		SharedLongPollWait: part(sharedWaitPart),
		PeerLongPollWait:   part(newsWaitPart), PeerTimeoutSlack: part(newsSlackPart), MaxPeerDataAge: part(newsAgePart),
	}
}

const (
	// newsPause is the least time between two calls for news, whatever they bring.
	newsPause = 20 * time.Millisecond
	// maxAsked bounds the hosts that are asked in turn while each says at once that it has nothing to pass on.
	maxAsked = 8
	// turnedAwayFor is how long after a call that failed a host leaves the store alone while others tell it of changes.
	turnedAwayFor = 5 * time.Second
	// sharedFor is how long after the last call for news this host counts as one that others hear from.
	sharedFor = 5 * time.Second
	// maxNewsBytes bounds the values of a batch that is passed on to hosts that can read it from the store. A large
	// configuration, passed on to ten hosts, would fill the link of the host that reads it for seconds; the store's link
	// is faster.
	maxNewsBytes = 16 << 10
	// maxServeWait bounds how long a call for news may wait here.
	maxServeWait = 5 * time.Second
)

// PeerBatch is what another host knows beyond a revision.
type PeerBatch struct {
	Batch
	// Age is how long ago the store answered that host.
	Age time.Duration
	// Withheld says that there are changes, too large to be passed on: they are to be read from the store.
	Withheld bool
}

// ErrNotStoreReader says that a host does not read the store, or is turned away by it.
var ErrNotStoreReader = errors.New("the host does not read the store")

// Peer is another host that reads the store.
type Peer interface {
	// Address identifies the host.
	Address() string
	// News returns what the host knows beyond the revision, waiting up to wait for a change. The error is ErrNotReading
	// if the host has nothing to pass on.
	News(ctx context.Context, after uint64, wait time.Duration) (PeerBatch, error)
}

// PeerSelector chooses whom to hear from.
type PeerSelector interface {
	// Reader returns the host from which this one shall hear of changes, nil if it is to read the store itself.
	// TurnedAway says that the store did not answer this host lately.
	Reader(turnedAway bool) Peer
}

// follow waits for news of another host. It returns false if this host has to read the store itself.
func (r *Reader) follow(ctx context.Context) bool {
	if r.Peers == nil {
		return false
	}
	for range maxAsked {
		peer := r.Peers.Reader(r.Clock.Since(r.turnedAway) < turnedAwayFor)
		if peer == nil {
			r.noteFollowing("", 0, nil)
			return false
		}
		heard, err := r.hear(ctx, peer)
		if !errors.Is(err, ErrNotStoreReader) {
			return heard
		}
	}
	return false
}

// hear waits for news of the peer.
func (r *Reader) hear(ctx context.Context, peer Peer) (bool, error) {
	r.followed.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, r.Timing.PeerLongPollWait+r.Timing.PeerTimeoutSlack)
	defer cancel()
	after := r.Mirror.CompleteRevision()
	news, err := peer.News(ctx, after, r.Timing.PeerLongPollWait)
	switch {
	case err != nil:
	case news.Withheld:
		return false, nil
	case news.Age >= r.Timing.MaxPeerDataAge:
		err = errors.Errorf("hear from %s: its news is %s old", peer.Address(), news.Age)
	}
	if err != nil {
		r.unfollowed.Inc(1)
		r.noteFollowing("", news.Age, err)
		return false, err
	}
	r.noteFollowing(peer.Address(), news.Age, nil)
	r.relist = false // what the other host knows is complete
	r.Mirror.Merge(after, news.Batch)
	r.fresh(r.Clock.Now().Add(-news.Age))
	return true, nil
}

// noteFollowing logs a change of the host from which this one hears.
func (r *Reader) noteFollowing(address string, age time.Duration, err error) {
	if before := *r.following.Swap(&address); before != address {
		r.Log.Info().Str("event", "news-source").Str("peer", address).Str("before", before).Dur("age_ms", age).
			Uint64("complete", r.Mirror.CompleteRevision()).Err(err).Send()
	}
}

// Serve returns what this host knows beyond the revision, waiting up to wait for a change. It returns false if this host
// does not read the store, or the store does not answer it: the other host then finds out by itself whether the store is
// away or turned only this one away.
func (r *Reader) Serve(ctx context.Context, after uint64, wait time.Duration) (PeerBatch, bool) {
	now := r.Clock.Now()
	r.askedAt.Store(now.UnixNano())
	until := now.Add(min(wait, maxServeWait))
	for {
		changed := r.Mirror.Changed()
		now, answered := r.Clock.Now(), r.answeredAt.Load()
		if answered == 0 || r.Failing() || *r.following.Load() != "" {
			return PeerBatch{}, false
		}
		news := PeerBatch{Batch: r.Mirror.Since(after), Age: time.Duration(now.UnixNano() - answered)}
		if !news.WithinRelayLimit() {
			news.Items, news.Withheld = nil, true
			return news, true
		}
		left := min(until.Sub(now), r.Timing.MaxPeerDataAge-news.Age)
		if len(news.Items) > 0 || left <= 0 || ctx.Err() != nil {
			return news, true
		}
		select {
		case <-changed:
		case <-r.Clock.After(left):
		case <-ctx.Done():
		}
	}
}

// WithinRelayLimit reports whether the batch may be passed on to hosts that can read it from the store.
func (b *Batch) WithinRelayLimit() bool {
	total := 0
	for i := range b.Items {
		total += len(b.Items[i].Value)
	}
	return total <= maxNewsBytes
}

// shared reports whether other hosts hear of changes from this one.
func (r *Reader) shared() bool { return r.Clock.Now().UnixNano()-r.askedAt.Load() < int64(sharedFor) }

// pause returns the time until the next call of the store.
func (r *Reader) pause() time.Duration {
	if r.shared() {
		return r.Timing.SharedPollInterval
	}
	return r.Timing.PollInterval
}

// wait returns how long the store may hold a call for changes open.
func (r *Reader) wait() time.Duration {
	if r.shared() {
		return min(r.LongPollWait, r.Timing.SharedLongPollWait)
	}
	return r.LongPollWait
}
