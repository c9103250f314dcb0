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
	// retention is how long the source says that it keeps changes; 0 if unknown.
	retention time.Duration
	clock     clockwork.Clock
	log       zerolog.Logger

	// history is nil until the source's history has been read.
	history atomic.Pointer[versionHistory]

	mu sync.Mutex // held while the history is read
	// failedAt is when the history could last not be read.
	failedAt time.Time

	refreshMu sync.Mutex // held while the changes are read
	// refreshedAt is when the last successful reading of the changes began.
	refreshedAt time.Time
}

// versionHistory says for which time versions are known from the source's history.
type versionHistory struct {
	since time.Time
	// start is where the reader had begun to follow the source. After a later gap the history does not help.
	start published.FollowStart
	// part is nil if the source has never discarded a change.
	part *partialHistory
}

// partialHistory measures how far back a history goes of which the source has discarded a part.
type partialHistory struct {
	span *published.HistorySpan
	// after is the revision up to which changes were counted, at the time countedAt.
	after     uint64
	countedAt time.Time
}

const (
	// historyRetryInterval is the time after a failed attempt to read the source's history in which there is no other one.
	historyRetryInterval = 5 * time.Second
	// historyCountInterval is the interval at which changes are counted while a partial history is too short.
	historyCountInterval = time.Second
	// historyTimeout limits the time for reading the source's history, for which the callers' streams wait.
	historyTimeout = time.Second
	// wholeHistory is the time for which versions count as known if no change has ever been discarded.
	wholeHistory = time.Hour
)

// errHistoryInsufficient reports that the source's history does not tell all versions that were published.
var errHistoryInsufficient = errors.New("the history does not tell all versions")

// VersionsSince implements origin.Versions.
func (v *publishedVersions) VersionsSince(service string, since time.Time) []string {
	return v.store.VersionsSince(service, since)
}

// UpstreamVersion implements origin.Versions.
func (v *publishedVersions) UpstreamVersion(service, id string) (string, bool) {
	return v.store.Current().UpstreamVersion(service, id)
}

// FollowedSince implements origin.Versions.
func (v *publishedVersions) FollowedSince() time.Time {
	followed := v.reader.FollowedSince()
	if h := v.history.Load(); h != nil && h.start.Since.Equal(followed) {
		return h.since
	}
	return followed
}

// DataAge implements origin.Versions.
func (v *publishedVersions) DataAge() time.Duration { return v.reader.DataAge() }

// Extend implements origin.History. It reads the changes that the source still has, once after the start and after each gap.
//
// A source may discard changes sooner than it says, so that a history that lacks some counts only for the time that its
// repeated entries prove.
func (v *publishedVersions) Extend(ctx context.Context, window time.Duration) (time.Duration, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	h := v.history.Load()
	var err error
	if start := v.reader.FollowStart(); h == nil || !h.start.Since.Equal(start.Since) {
		h, err = v.readHistory(ctx, start)
	} else if v.shouldCount(h, window) {
		h, err = v.countRepetitions(ctx, h)
	}
	if err != nil {
		return 0, err
	}
	v.history.Store(h)
	return v.clock.Since(h.since), nil
}

// Refresh implements origin.History. It reads the changes that the reader has not received yet. Callers that wait share a call.
func (v *publishedVersions) Refresh(ctx context.Context, since time.Time) error {
	v.refreshMu.Lock()
	defer v.refreshMu.Unlock()
	if !v.refreshedAt.Before(since) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	began, after := v.clock.Now(), v.mirror.Complete()
	b, err := v.source.Changes(ctx, v.mirror.Prefix, after.Revision, 0)
	if err == nil && b.Era != after.Era {
		err = errors.Errorf("the source has begun era %d", b.Era)
	}
	if err != nil {
		return errors.Wrapf(err, "read changes after revision %d", after.Revision)
	}
	v.mirror.Merge(after.Revision, b)
	v.refreshedAt = began
	return nil
}

// readHistory reads the history. The caller holds mu.
func (v *publishedVersions) readHistory(ctx context.Context, start published.FollowStart) (*versionHistory, error) {
	now := v.clock.Now()
	if now.Sub(v.failedAt) < historyRetryInterval {
		return nil, errHistoryInsufficient
	}
	h, err := v.interpretHistory(ctx, start, now)
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) { // otherwise the caller has given up, which says nothing of the source
		v.failedAt = v.clock.Now()
	}
	return h, err
}

// interpretHistory reads the history and finds out for which time it tells all versions. The caller holds mu.
func (v *publishedVersions) interpretHistory(ctx context.Context, start published.FollowStart, now time.Time) (*versionHistory, error) {
	complete := v.mirror.Complete()
	switch {
	case complete.Era > 1:
		return nil, errors.Wrap(errHistoryInsufficient, "the source was restored and lacks the writes that were lost")
	case start.Version.Era != complete.Era:
		return nil, errors.Wrapf(errHistoryInsufficient, "the source has begun era %d", complete.Era)
	}
	items, whole, historyErr := published.ReadHistory(ctx, v.source, v.mirror.Prefix, complete)
	if historyErr != nil && !errors.Is(historyErr, published.ErrNoHistory) {
		return nil, historyErr
	}
	explained := v.recordVersions(items, now)
	h := &versionHistory{since: now.Add(-wholeHistory), start: start}
	all := whole && len(explained) == len(items)
	if !all {
		var err error
		if all, err = v.listTellsRest(ctx, items, start.Version, now); err != nil {
			return nil, err
		}
	}
	switch {
	case all:
	case historyErr != nil:
		return nil, historyErr
	default:
		h.part = &partialHistory{
			span: published.NewHistorySpan(start.Version.Revision, v.mirror.Equivalent), after: items[len(items)-1].Revision, countedAt: now,
		}
		h.part.span.Add(explained)
		h.since = v.sinceOf(h)
	}
	v.logHistory(v.log.Info().Str("event", "version-history-read"), h, len(items))
	return h, nil
}

// listTellsRest reports whether the history and the items that are published now tell of every upstream that was published
// since the first configuration was, without which no stream begins: the revision of each later change up to the version is
// that of a known one, so that none has been overwritten or removed unseen. It records the versions that they tell.
func (v *publishedVersions) listTellsRest(ctx context.Context, history []published.Item, until published.Version, now time.Time) (bool, error) {
	listed, err := published.ReadItems(ctx, v.source, v.mirror.Prefix, until.Era)
	if errors.Is(err, published.ErrNoHistory) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	changes := published.MergeChanges(history, listed)
	configured := v.configuredAt(changes, now)
	if configured == 0 || published.LastUnknown(changes, until.Revision) > configured || !v.tellPrecedingStates(changes, configured, now) {
		return false, nil
	}
	v.recordVersions(changes, now)
	return true, nil
}

// configuredAt returns the revision at which the first configuration was written, or 0 if the changes do not tell it.
func (v *publishedVersions) configuredAt(changes []published.Item, now time.Time) uint64 {
	for _, c := range changes {
		if c.Removed || c.Created == 0 || c.Created > c.Revision {
			continue
		}
		if entry, err := v.decode(c, now); err == nil && entry.Kind == catalog.ItemConfig {
			return c.Created
		}
	}
	return 0
}

// tellPrecedingStates reports whether each change of an upstream after the revision either created its entry or follows a
// known state of it.
func (v *publishedVersions) tellPrecedingStates(changes []published.Item, after uint64, now time.Time) bool {
	known := map[string]bool{}
	for _, c := range changes {
		entry, _ := v.decode(c, now) // an entry that cannot be read names no upstream that could have received a request
		if entry.Kind != catalog.ItemUpstream {
			continue
		}
		if c.Revision > after && !known[entry.Name] && c.Created != c.Revision {
			return false
		}
		known[entry.Name] = true
	}
	return true
}

// shouldCount reports whether counting more changes may prove that the history is long enough.
func (v *publishedVersions) shouldCount(h *versionHistory, window time.Duration) bool {
	return h.part != nil && v.clock.Since(h.since) < window && v.clock.Since(h.part.countedAt) >= historyCountInterval
}

// countRepetitions returns the history with the changes made since the last count. The caller holds mu.
func (v *publishedVersions) countRepetitions(ctx context.Context, h *versionHistory) (*versionHistory, error) {
	part := *h.part
	part.countedAt = v.clock.Now()
	b, err := v.source.Changes(ctx, v.mirror.Prefix, part.after, 0)
	if err == nil && b.Era != h.start.Version.Era {
		err = errors.Wrapf(errHistoryInsufficient, "the source has begun era %d", b.Era)
	}
	if err != nil {
		h.part.countedAt = part.countedAt
		return nil, errors.Wrapf(err, "count changes after revision %d", part.after)
	}
	part.span.Add(b.Items)
	part.after = max(part.after, b.Revision)
	next := &versionHistory{since: h.since, start: h.start, part: &part}
	if since := v.sinceOf(next); since.Before(next.since) {
		next.since = since
	}
	v.logHistory(v.log.Info().Str("event", "version-history-counted"), next, len(b.Items))
	return next, nil
}

// sinceOf returns the time since which a partial history is known to tell all versions. It never exceeds what the source
// promises to keep.
func (v *publishedVersions) sinceOf(h *versionHistory) time.Time {
	before := h.part.span.Before(h.part.countedAt.Sub(h.start.ReceivedAt))
	if v.retention > 0 {
		before = min(before, v.retention)
	}
	if since := h.start.ReceivedAt.Add(-before); since.Before(h.start.Since) {
		return since
	}
	return h.start.Since
}

func (v *publishedVersions) logHistory(event *zerolog.Event, h *versionHistory, changes int) {
	event.Int("changes", changes).Bool("whole", h.part == nil).Dur("known_ms", v.clock.Since(h.since)).Send()
}

// recordVersions records the software versions of the upstreams in the changes, which count as published until now. It returns
// the changes after the last removal of an upstream whose version they do not tell.
func (v *publishedVersions) recordVersions(items []published.Item, now time.Time) []published.Item {
	known, explained := map[string]bool{}, items
	for i, item := range items {
		entry, err := v.decode(item, now)
		switch {
		case entry.Kind != catalog.ItemUpstream:
		case err != nil:
			known[entry.Name] = true // it names no upstream that could have received a request
		case entry.Upstream != nil:
			known[entry.Name] = true
			v.store.RecordPastVersion(entry.Upstream.Service, entry.Upstream.Version, now)
		case !known[entry.Name]:
			explained = items[i+1:]
		}
	}
	return explained
}
