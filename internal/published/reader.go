package published

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Bounds of the calls to a source.
const (
	// pageTimeout bounds one page of a full list; stores answer in milliseconds, and in about 200 ms when they are slow.
	pageTimeout = 1500 * time.Millisecond
	// maxListTime is how long a full list may take, with interruptions, before it begins anew: stores keep the history
	// since its first page for 20 s.
	maxListTime = 10 * time.Second
	// maxPages bounds one full list; a page holds about 500 items.
	maxPages = 1000
	// answerSlack is how much longer than its wait a call for changes may take before its connection counts as silent.
	answerSlack = 800 * time.Millisecond
	// minRetry and maxRetry bound the wait after a failed call; a configuration must be in force within 2 s.
	minRetry = 100 * time.Millisecond
	maxRetry = 600 * time.Millisecond
)

// ReaderOptions configures NewReader.
type ReaderOptions struct {
	Source Source
	Mirror *Mirror
	// LongPollWait is how long the source may hold a call for changes open.
	LongPollWait time.Duration
	Timing       ReadTiming
	Lapses       Lapses
	// Peers is nil if every host reads the source.
	Peers PeerSelector
	Clock clockwork.Clock
	Log   zerolog.Logger
	Scope tally.Scope
}

// Lapses knows whether removals are to be believed: a store that was away has dropped entries whose writers live.
type Lapses interface {
	// Outage says that neither the source nor another host answers this one, Regained that one of them does again, after
	// so long.
	Outage()
	Regained(outage time.Duration)
}

// Reader keeps a mirror up to date from a source.
type Reader struct {
	ReaderOptions
	calls, failures, followed, unfollowed tally.Counter
	// failing is set while neither the source nor another host answers.
	failing atomic.Bool
	// relist is set until a full list has been read, at the start and after a loss of history.
	relist bool
	// listing is nil while no list is under way.
	listing *listing
	retry   time.Duration
	// answeredAt is the time as of which the source is known here, and askedAt when another host last asked for changes,
	// both in Unix nanoseconds of the clock.
	answeredAt, askedAt atomic.Int64
	// turnedAway is when a call of the source failed last.
	turnedAway time.Time
	// following is the host from which this one hears of changes, empty if it reads the source.
	following atomic.Pointer[string]
}

// NewReader returns a reader; Run starts it.
func NewReader(o ReaderOptions) *Reader {
	scope := o.Scope.Tagged(map[string]string{"prefix": o.Mirror.Prefix()})
	r := &Reader{
		ReaderOptions: o, calls: scope.Counter("store_calls"), failures: scope.Counter("store_failures"),
		followed: scope.Counter("news_calls"), unfollowed: scope.Counter("news_failures"), relist: true,
	}
	r.following.Store(new(string))
	return r
}

// Failing reports whether neither the source nor another host answers.
func (r *Reader) Failing() bool { return r.failing.Load() }

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-r.Clock.After(r.step(ctx)):
		}
	}
}

// step makes one call and returns how long to wait before the next one.
func (r *Reader) step(ctx context.Context) time.Duration {
	if r.follow(ctx) {
		return newsPause
	}
	err := r.read(ctx)
	switch {
	case err == nil:
		r.retry = minRetry
		return r.pause()
	case errors.Is(err, ErrHistoryLost):
		r.Log.Info().Str("event", "store-history-lost").Str("prefix", r.Mirror.Prefix()).
			Uint64("complete", r.Mirror.CompleteRevision()).Send()
		r.relist = true
		return 0
	case ctx.Err() == nil:
		r.failed(err)
	}
	wait := max(r.retry, minRetry)
	r.retry = min(2*wait, maxRetry)
	return wait
}

// read brings the mirror up to date: by a full list at first and after a loss of history, by the changes otherwise.
func (r *Reader) read(ctx context.Context) error {
	if r.relist {
		return r.list(ctx)
	}
	r.calls.Inc(1)
	wait := r.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	after, sent := r.Mirror.CompleteRevision(), r.Clock.Now()
	b, err := r.Source.Changes(ctx, r.Mirror.Prefix(), after, wait)
	if err != nil {
		return errors.Wrapf(err, "changes of %q after %d", r.Mirror.Prefix(), after)
	}
	r.Mirror.Merge(after, b)
	if len(b.Items) == 0 {
		sent = sent.Add(wait) // the source held the call open that long
	}
	r.fresh(sent)
	return nil
}

// listing is a full list that is under way.
type listing struct {
	begun time.Time
	// batch holds the items so far and the revision of the first page: what changes during the pages comes with the next
	// call for changes.
	batch Batch
	// next is the key after which the next page begins.
	next string
	// pages is how many pages were read.
	pages int
}

// noRevision is a revision up to which no mirror is complete.
const noRevision = math.MaxUint64

// list reads all items page by page. Each page has its own time and is in force at once, and a list that was
// interrupted goes on where it was: hosts that start together share the store's bandwidth, and a list that began anew
// after each time-out would never end.
func (r *Reader) list(ctx context.Context) error {
	now := r.Clock.Now()
	if r.listing == nil || now.Sub(r.listing.begun) > maxListTime {
		r.listing = &listing{begun: now}
	}
	l := r.listing
	for {
		if l.pages == maxPages {
			r.listing = nil
			return errors.Errorf("list %q has over %d pages", r.Mirror.Prefix(), maxPages)
		}
		page, next, err := r.page(ctx, l.next)
		if err != nil {
			return err
		}
		l.pages++
		if l.batch.Revision == 0 {
			l.batch.Revision = page.Revision
		}
		l.batch.Items = append(l.batch.Items, page.Items...)
		l.next = next
		r.Mirror.Merge(noRevision, page)
		if next == "" {
			break
		}
	}
	r.Mirror.Replace(l.batch)
	r.listing, r.relist = nil, false
	r.fresh(l.begun)
	return nil
}

func (r *Reader) page(ctx context.Context, after string) (Batch, string, error) {
	r.calls.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	page, next, err := r.Source.Page(ctx, r.Mirror.Prefix(), after)
	return page, next, errors.Wrapf(err, "list %q after %q", r.Mirror.Prefix(), after)
}

func (r *Reader) failed(err error) {
	r.failures.Inc(1)
	r.turnedAway = r.Clock.Now()
	if r.failing.CompareAndSwap(false, true) {
		r.Log.Warn().Str("event", "store-lost").Str("prefix", r.Mirror.Prefix()).
			Uint64("complete", r.Mirror.CompleteRevision()).Err(err).Send()
		r.Lapses.Outage()
	}
}

// fresh notes that this host knows what the source knew at the time, which ends an outage.
func (r *Reader) fresh(at time.Time) {
	now := r.Clock.Now().UnixNano()
	before := r.answeredAt.Swap(min(at.UnixNano(), now))
	if !r.failing.Swap(false) {
		return
	}
	outage := time.Duration(now - before)
	r.Log.Info().Str("event", "store-regained").Str("prefix", r.Mirror.Prefix()).Str("peer", *r.following.Load()).
		Dur("outage_ms", outage).Uint64("complete", r.Mirror.CompleteRevision()).Send()
	r.Lapses.Regained(outage)
}
