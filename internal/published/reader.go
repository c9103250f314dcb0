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

// Limits of the calls to a source.
const (
	// pageTimeout bounds one page of a full list. Stores respond in milliseconds, or in about 200 ms when they are
	// slow.
	pageTimeout = 1500 * time.Millisecond
	// maxListTime is how long a full list may take, including interruptions, before it is restarted. Stores keep the
	// history since its first page for 20 s.
	maxListTime = 10 * time.Second
	// maxPages bounds one full list. A page holds about 500 items.
	maxPages = 1000
	// responseSlack is how much longer than its wait a call for changes may take before it times out.
	responseSlack = 800 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. A configuration must be in force within 2 s.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

// ReaderOptions configures NewReader.
type ReaderOptions struct {
	Source Source
	Mirror *Mirror
	// LongPollWait is how long the source may hold a call for changes open.
	LongPollWait time.Duration
	Timing       ReadTiming
	Outages      OutageListener
	// Peers is nil if every host reads the source itself.
	Peers PeerSelector
	// StartDelay is how long after its start the reader asks other hosts for all items before it lists the source.
	StartDelay time.Duration
	Clock      clockwork.Clock
	Log        zerolog.Logger
	Scope      tally.Scope
}

// OutageListener is notified of outages, during which removals are not reliable: a store that was down has dropped
// entries whose writers are still running.
type OutageListener interface {
	// OutageStarted reports that neither the source nor another host responds. OutageEnded reports that one of them
	// responds again, after an outage of the given length.
	OutageStarted()
	OutageEnded(outage time.Duration)
}

// Reader keeps a mirror up to date from a source or from other hosts that read it.
type Reader struct {
	ReaderOptions
	storeCalls, storeFailures, peerCalls, peerFailures tally.Counter
	// failing is set while neither the source nor another host responds.
	failing atomic.Bool
	// needsFullList is set until a full list has been read, at the start and after a loss of history.
	needsFullList bool
	// partialList is nil while no full list is in progress.
	partialList *partialList
	retryDelay  time.Duration
	startedAt   time.Time
	// dataAsOf is the time as of which the mirror is up to date with the source. lastPeerRequestAt is when another host
	// last asked for changes.
	dataAsOf, lastPeerRequestAt moment
	// followStart is nil before the first full list.
	followStart atomic.Pointer[FollowStart]
	// storeFailedAt is when a call to the source last failed.
	storeFailedAt time.Time
	// sourcePeer is the host from which this one reads changes, or empty if it reads the source itself.
	sourcePeer atomic.Pointer[string]
}

// FollowStart tells where this host began to follow the source without a gap.
type FollowStart struct {
	// Since is the time since which no change was missed.
	Since time.Time
	// Version is that of the first list, and ReceivedAt when this host had it: changes after the version were made at Since
	// or later, those up to it at ReceivedAt or earlier.
	Version    Version
	ReceivedAt time.Time
}

// moment is a time that several goroutines read and set. It keeps the reading of the monotonic clock, by which ages stay
// right when the time of day is set.
type moment struct{ at atomic.Pointer[time.Time] }

func (m *moment) set(at time.Time) { m.at.Store(&at) }

// get returns the time, or the zero time if none was set.
func (m *moment) get() time.Time {
	if at := m.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// NewReader returns a reader; Run starts it.
func NewReader(o ReaderOptions) *Reader {
	scope := o.Scope.Tagged(map[string]string{"prefix": o.Mirror.Prefix})
	r := &Reader{
		ReaderOptions: o, storeCalls: scope.Counter("store_calls"), storeFailures: scope.Counter("store_failures"),
		startedAt: o.Clock.Now(), peerCalls: scope.Counter("news_calls"), peerFailures: scope.Counter("news_failures"), needsFullList: true,
	}
	r.sourcePeer.Store(new(string))
	return r
}

// Disconnected reports whether neither the source nor another host responds.
func (r *Reader) Disconnected() bool { return r.failing.Load() }

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-r.Clock.After(r.step(ctx)):
		}
	}
}

// step makes one call and returns the delay before the next one.
func (r *Reader) step(ctx context.Context) time.Duration {
	if r.starting() {
		return r.start(ctx)
	}
	if r.readFromPeers(ctx) {
		return minPeerPollInterval
	}
	err := r.read(ctx)
	switch {
	case err == nil:
		r.retryDelay = minRetryDelay
		return r.nextPollInterval()
	case errors.Is(err, errNewEra):
		r.needsFullList = true
		return 0
	case errors.Is(err, ErrHistoryLost):
		r.Log.Info().Str("event", "store-history-lost").Str("prefix", r.Mirror.Prefix).
			Uint64("complete", r.Mirror.CompleteRevision()).Send()
		r.needsFullList = true
		return 0
	case ctx.Err() == nil:
		r.recordFailure(err)
	}
	wait := max(r.retryDelay, minRetryDelay)
	r.retryDelay = min(2*wait, maxRetryDelay)
	return wait
}

// read updates the mirror: with a full list at the start and after a loss of history, and otherwise with the changes.
func (r *Reader) read(ctx context.Context) error {
	if r.needsFullList {
		return r.listAll(ctx)
	}
	r.storeCalls.Inc(1)
	longPollWait := r.longPollWait()
	ctx, cancel := context.WithTimeout(ctx, longPollWait+responseSlack)
	defer cancel()
	after, sent := r.Mirror.Complete(), r.Clock.Now()
	b, err := r.Source.Changes(ctx, r.Mirror.Prefix, after.Revision, longPollWait)
	if err == nil {
		err = r.checkEra(b)
	}
	if err != nil {
		return errors.Wrapf(err, "read changes of prefix %q after revision %d", r.Mirror.Prefix, after.Revision)
	}
	r.Mirror.Merge(after.Revision, b)
	if len(b.Items) == 0 && r.Clock.Since(sent) >= longPollWait {
		sent = sent.Add(longPollWait) // the source held the call open for that time
	}
	r.recordFresh(sent)
	return nil
}

// partialList is a full list that is in progress.
type partialList struct {
	startedAt time.Time
	// batch holds the items read so far and the revision of the first page. Changes made while the pages are read are
	// returned by the next call for changes.
	batch Batch
	// next is the key after which the next page begins.
	next string
	// pages is the number of pages read so far.
	pages int
}

// noRevision is a revision that no mirror reaches. A batch merged after it never extends the complete revision.
const noRevision = math.MaxUint64

// listAll reads all items page by page. Each page has its own timeout and is merged at once, and an interrupted list
// resumes at the failed page: hosts that start together share the store's bandwidth, and a list that restarted after
// each timeout would never finish.
func (r *Reader) listAll(ctx context.Context) error {
	now := r.Clock.Now()
	if r.partialList == nil || now.Sub(r.partialList.startedAt) > maxListTime {
		r.partialList = &partialList{startedAt: now}
	}
	l := r.partialList
	for {
		if l.pages == maxPages {
			r.partialList = nil
			return errors.Errorf("list of prefix %q has more than %d pages", r.Mirror.Prefix, maxPages)
		}
		page, next, err := r.page(ctx, l.next)
		if err == nil && page.Era < r.Mirror.Complete().Era {
			err = r.checkEra(page)
		}
		if err != nil {
			return err
		}
		if l.pages > 0 && page.Era != l.batch.Era {
			r.partialList = nil
			return errors.Wrapf(errNewEra, "list prefix %q", r.Mirror.Prefix)
		}
		l.pages++
		if l.batch.Revision == 0 {
			l.batch.Revision, l.batch.Era = page.Revision, page.Era
		}
		l.batch.Items = append(l.batch.Items, page.Items...)
		l.next = next
		r.Mirror.Merge(noRevision, page)
		if next == "" {
			break
		}
	}
	r.Mirror.Replace(l.batch)
	r.partialList, r.needsFullList = nil, false
	r.recordListed(l.startedAt)
	r.recordFresh(l.startedAt)
	return nil
}

func (r *Reader) page(ctx context.Context, after string) (Batch, string, error) {
	r.storeCalls.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	page, next, err := r.Source.Page(ctx, r.Mirror.Prefix, after)
	return page, next, errors.Wrapf(err, "list prefix %q after key %q", r.Mirror.Prefix, after)
}

// errNewEra reports that the source has been restored from an older copy, so that a full list is needed.
var errNewEra = errors.New("the source has begun a new era")

// checkEra returns an error if the changes are not of the mirror's era. The source gives out revisions again in each era,
// so that they may not be all changes.
func (r *Reader) checkEra(b Batch) error {
	complete := r.Mirror.Complete()
	switch {
	case b.Era > complete.Era:
		return errNewEra
	case b.Era < complete.Era:
		return errors.Errorf("response is of era %d, and era %d is known", b.Era, complete.Era)
	default:
		return nil
	}
}

func (r *Reader) recordFailure(err error) {
	r.storeFailures.Inc(1)
	r.storeFailedAt = r.Clock.Now()
	if r.failing.CompareAndSwap(false, true) {
		r.Log.Warn().Str("event", "store-lost").Str("prefix", r.Mirror.Prefix).
			Uint64("complete", r.Mirror.CompleteRevision()).Err(err).Send()
		r.Outages.OutageStarted()
	}
}

// FollowedSince returns the time since which this host has missed no change, except of items that were published and removed
// within the maximum staleness. It is now before the first full list.
func (r *Reader) FollowedSince() time.Time {
	return r.FollowStart().Since
}

// FollowStart tells where this host began to follow the source. Before the first full list, that is now, with no version.
func (r *Reader) FollowStart() FollowStart {
	if start := r.followStart.Load(); start != nil {
		return *start
	}
	now := r.Clock.Now()
	return FollowStart{Since: now, ReceivedAt: now}
}

// DataAge returns the age of this host's data.
func (r *Reader) DataAge() time.Duration {
	asOf := r.dataAsOf.get()
	if asOf.IsZero() {
		return math.MaxInt64
	}
	return r.Clock.Since(asOf)
}

// recordListed records that items as of the given time, which lack intermediate states, replaced what this host knew. Items
// that were published and removed since its data was up to date are missing from them.
func (r *Reader) recordListed(at time.Time) {
	asOf := r.dataAsOf.get()
	if r.followStart.Load() == nil || at.Sub(asOf) > r.Timing.MaxStaleness {
		r.followStart.Store(&FollowStart{Since: at, Version: r.Mirror.Complete(), ReceivedAt: r.Clock.Now()})
	}
}

// recordFresh records that the mirror is up to date with the source as of the given time, which ends an outage.
func (r *Reader) recordFresh(at time.Time) {
	now := r.Clock.Now()
	if at.After(now) {
		at = now
	}
	before := r.dataAsOf.get()
	r.dataAsOf.set(at)
	if !r.failing.Swap(false) {
		return
	}
	outage := now.Sub(before)
	r.Log.Info().Str("event", "store-regained").Str("prefix", r.Mirror.Prefix).Str("peer", *r.sourcePeer.Load()).
		Dur("outage_ms", outage).Uint64("complete", r.Mirror.CompleteRevision()).Send()
	r.Outages.OutageEnded(outage)
}
