package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/published"
)

// publishedVersions tells which software versions upstreams had lately. It implements origin.Versions and origin.History.
type publishedVersions struct {
	store  *catalog.Store
	reader *published.Reader
	mirror *published.Mirror
	source published.Source
	decode catalog.DecodeFunc
	// retention is how long the source keeps changes; 0 if unknown.
	retention time.Duration
	clock     clockwork.Clock
	log       zerolog.Logger

	// history is nil until the source's history has been read.
	history atomic.Pointer[versionHistory]

	mu sync.Mutex // held while the history is read
	// failedAt is when the history was last found to be insufficient.
	failedAt time.Time
}

// versionHistory says for which time versions are known from the source's history.
type versionHistory struct {
	since time.Time
	// whole is set if the source has never discarded a change.
	whole bool
	// followedSince is the time since which the reader had followed the source. After a later gap the history does not help.
	followedSince time.Time
}

// historyRetryInterval is the time after a failed attempt to read the source's history in which there is no other one.
const historyRetryInterval = 5 * time.Second

// historyTimeout limits the time for reading the source's history, for which the callers' streams wait.
const historyTimeout = time.Second

// errHistoryInsufficient reports that the source's history does not tell all versions that were published.
var errHistoryInsufficient = errors.New("the history does not tell all versions")

// VersionsSince implements origin.Versions.
func (v *publishedVersions) VersionsSince(service string, since time.Time) []string {
	return v.store.VersionsSince(service, since)
}

// FollowedSince implements origin.Versions.
func (v *publishedVersions) FollowedSince() time.Time {
	followed := v.reader.FollowedSince()
	if h := v.history.Load(); h != nil && h.whole && h.followedSince.Equal(followed) {
		return h.since
	}
	return followed
}

// DataAge implements origin.Versions.
func (v *publishedVersions) DataAge() time.Duration { return v.reader.DataAge() }

// Extend implements origin.History. It reads the changes that the source still has, once after the start and after each gap.
//
// A source may discard changes sooner than it says. If it has discarded some, the history therefore counts only if no
// upstream of the service started within the window: a version that replaced another one would have.
func (v *publishedVersions) Extend(ctx context.Context, service string, window time.Duration) (time.Duration, error) {
	h, err := v.readHistory(ctx)
	if err != nil {
		return 0, err
	}
	now := v.clock.Now()
	if !h.whole && v.store.StartedSince(service, now.Add(-window-maxClockSkew)) {
		return 0, errors.Wrapf(errHistoryInsufficient, "upstreams of %q started lately", service)
	}
	return now.Sub(h.since), nil
}

// maxClockSkew is how much the clocks of hosts and upstreams may differ.
const maxClockSkew = 5 * time.Second

// readHistory returns the history, and reads it if that has not been done since the last gap.
func (v *publishedVersions) readHistory(ctx context.Context) (*versionHistory, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, followed := v.clock.Now(), v.reader.FollowedSince()
	if h := v.history.Load(); h != nil && h.followedSince.Equal(followed) {
		return h, nil
	}
	if now.Sub(v.failedAt) < historyRetryInterval {
		return nil, errHistoryInsufficient
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	complete := v.mirror.Complete()
	items, whole, err := published.ReadHistory(ctx, v.source, v.mirror.Prefix, complete)
	whole = whole && complete.Era <= 1 // a restored source lacks the writes that were lost
	if err == nil && !whole && v.retention == 0 {
		err = errors.Wrap(errHistoryInsufficient, "its length is not known")
	}
	if err == nil {
		err = v.recordVersions(items, now)
	}
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) { // otherwise the caller has given up, which says nothing of the source
			v.failedAt = v.clock.Now()
		}
		return nil, err
	}
	known := v.retention
	if whole {
		known = wholeHistory
	}
	h := &versionHistory{since: now.Add(-known), whole: whole, followedSince: followed}
	v.history.Store(h)
	v.log.Info().Str("event", "version-history-read").Int("changes", len(items)).Bool("whole", whole).Dur("known_ms", known).Send()
	return h, nil
}

// wholeHistory is the time for which versions count as known if no change has ever been discarded.
const wholeHistory = time.Hour

// recordVersions records the software versions of the upstreams in the changes, which count as published until now. It fails
// if an upstream was removed whose version the changes do not tell.
func (v *publishedVersions) recordVersions(items []published.Item, now time.Time) error {
	known := map[string]bool{}
	for _, item := range items {
		entry, err := v.decode(item, now)
		switch {
		case entry.Kind != catalog.ItemUpstream:
		case err != nil:
			known[entry.Name] = true // it names no upstream that could have received a request
		case entry.Upstream != nil:
			known[entry.Name] = true
			v.store.RecordPastVersion(entry.Upstream.Service, entry.Upstream.Version, now)
		case !known[entry.Name]:
			return errors.Wrapf(errHistoryInsufficient, "version of removed upstream %q", entry.Name)
		}
	}
	return nil
}
