package published

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// In a large data centre a few hosts read the store, and the others hear of changes from them: each call of the store is
// paid for, and most of what it brings are heartbeats that mean nothing new.
//
// What a host knows is as old as the answer of the store behind it, whichever way it came. The times below bound that
// age: sharedPause of the reading host, then either a change travels at once, or the reading host stays silent for
// newsWait and newsSlack until the other one reads the store itself: 1.5 s, where two are allowed.
const (
	// newsWait is how long a call for news waits for a change.
	newsWait = 400 * time.Millisecond
	// newsSlack is how much longer such a call may take before the other host counts as silent.
	newsSlack = 300 * time.Millisecond
	// maxNewsAge is how old the reading host's last answer of the store may be. Its pause is shorter.
	maxNewsAge = time.Second
	// newsPause is the least time between two calls for news, whatever they bring.
	newsPause = 20 * time.Millisecond
	// sharedFor is how long after the last call for news this host counts as one that others hear from.
	sharedFor = 3 * time.Second
)

// News is what another host knows beyond a revision.
type News struct {
	Batch
	// Age is how long ago the store answered that host.
	Age time.Duration
	// LapseLeft is how much longer removals count as lapses there.
	LapseLeft time.Duration
}

// Peer is another host that reads the store.
type Peer interface {
	// Address identifies the host.
	Address() string
	// News returns what the host knows beyond the revision, waiting up to wait for a change. It is an error if the host
	// does not read the store.
	News(ctx context.Context, after uint64, wait time.Duration) (News, error)
}

// Peers chooses whom to hear from.
type Peers interface {
	// Reader returns the host from which this one shall hear of changes, nil if it is to read the store itself.
	Reader() Peer
}

// follow waits for news of another host. It returns false if this host has to read the store itself.
func (r *Reader) follow(ctx context.Context) bool {
	if r.Peers == nil {
		return false
	}
	peer := r.Peers.Reader()
	if peer == nil {
		r.noteFollowing("", 0, nil)
		return false
	}
	r.followed.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, newsWait+newsSlack)
	defer cancel()
	after := r.Mirror.Complete()
	news, err := peer.News(ctx, after, newsWait)
	if err == nil && news.Age >= maxNewsAge {
		err = errors.Errorf("hear from %s: its news is %s old", peer.Address(), news.Age)
	}
	if err != nil {
		r.unfollowed.Inc(1)
		r.noteFollowing("", news.Age, err)
		return false
	}
	r.noteFollowing(peer.Address(), news.Age, nil)
	r.relist = false // what the other host knows is complete
	r.regained()
	r.Lapses.KeepLapsed(news.LapseLeft)
	r.Mirror.Merge(after, news.Batch)
	return true
}

// noteFollowing logs a change of the host from which this one hears.
func (r *Reader) noteFollowing(address string, age time.Duration, err error) {
	if before := *r.following.Swap(&address); before != address {
		r.Log.Info().Str("event", "news-source").Str("peer", address).Str("before", before).Dur("age_ms", age).
			Uint64("complete", r.Mirror.Complete()).Err(err).Send()
	}
}

// Serve returns what this host knows beyond the revision, waiting up to wait for a change. It returns false if this host
// does not read the store.
func (r *Reader) Serve(ctx context.Context, after uint64, wait time.Duration) (News, bool) {
	now := r.Clock.Now()
	r.askedAt.Store(now.UnixNano())
	until := now.Add(min(wait, newsWait))
	for {
		changed := r.Mirror.Changed()
		now, answered := r.Clock.Now(), r.answeredAt.Load()
		if answered == 0 || *r.following.Load() != "" {
			return News{}, false
		}
		news := News{
			Batch: r.Mirror.Since(after), Age: time.Duration(now.UnixNano() - answered), LapseLeft: r.Lapses.LapseLeft(),
		}
		left := min(until.Sub(now), maxNewsAge-news.Age)
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

// pause returns the time until the next call of the store.
func (r *Reader) pause() time.Duration {
	if r.Clock.Now().UnixNano()-r.askedAt.Load() < int64(sharedFor) {
		return min(r.Pause, r.SharedPause)
	}
	return r.Pause
}
