package gateway

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/published"
)

// historyStore is a source that keeps the changes after the revision lost.
type historyStore struct {
	mu      sync.Mutex
	changes []published.Item
	lost    uint64
	calls   int
	err     error
	// onHistory is called before the history is read.
	onHistory func()
}

// write publishes an upstream of the version, or removes it if the version is empty.
func (s *historyStore) write(id, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, published.Item{
		Key: "up/" + id, Value: []byte(version), Removed: version == "", Revision: uint64(len(s.changes) + 1),
	})
}

func (s *historyStore) Page(context.Context, string, string) (published.Batch, string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := map[string]published.Item{}
	for _, item := range s.changes {
		current[item.Key] = item
		if item.Removed {
			delete(current, item.Key)
		}
	}
	b := published.Batch{Revision: uint64(len(s.changes))}
	for _, item := range current {
		b.Items = append(b.Items, item)
	}
	return b, "", nil
}

func (s *historyStore) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) (published.Batch, error) {
	if wait == 0 && s.onHistory != nil {
		s.onHistory()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait == 0 {
		s.calls++
	}
	switch {
	case ctx.Err() != nil:
		return published.Batch{}, ctx.Err()
	case s.err != nil:
		return published.Batch{}, s.err
	case after < s.lost:
		return published.Batch{}, published.ErrHistoryLost
	}
	return published.Batch{Items: s.changes[after:], Revision: uint64(len(s.changes))}, nil
}

func decodeVersion(item published.Item, now time.Time) (catalog.Entry, error) {
	e := catalog.Entry{Kind: catalog.ItemUpstream, Name: strings.TrimPrefix(item.Key, "up/")}
	if !item.Removed {
		version, young := strings.CutSuffix(string(item.Value), " young")
		e.Upstream = &catalog.Upstream{ID: e.Name, Service: "s", Version: version, StartedAtMs: 1}
		if young {
			e.Upstream.StartedAtMs = now.UnixMilli()
		}
	}
	return e, nil
}

type versionsTest struct {
	*publishedVersions
	t      *testing.T
	clock  *clockwork.FakeClock
	source *historyStore
	ctx    context.Context
}

// testRetention is how long the store of the tests keeps changes.
const testRetention = 40 * time.Second

// startVersions returns what a host knows that has just listed the source.
func startVersions(t *testing.T, source *historyStore) *versionsTest {
	t.Helper()
	clock := clockwork.NewFakeClock()
	store := catalog.NewStore(decodeVersion, clock, zerolog.Nop())
	mirror := published.NewMirror(published.MirrorOptions{OnChange: store.Apply, Clock: clock})
	reader := published.NewReader(published.ReaderOptions{
		Source: source, Mirror: mirror, LongPollWait: time.Second, Timing: published.ReadTimingFor(2 * time.Second), Outages: store,
		Clock: clock, Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { reader.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	vt := &versionsTest{
		publishedVersions: &publishedVersions{
			store: store, reader: reader, mirror: mirror, source: source, decode: decodeVersion, retention: testRetention, clock: clock,
			log: zerolog.Nop(),
		}, t: t, clock: clock, source: source, ctx: ctx,
	}
	vt.waitForReader()
	return vt
}

// waitForReader waits until the reader waits for its next call.
func (vt *versionsTest) waitForReader() {
	if err := vt.clock.BlockUntilContext(vt.ctx, 1); err != nil {
		vt.t.Fatal(err)
	}
}

// run lets the reader make calls for the given time.
func (vt *versionsTest) run(d time.Duration) {
	const step = 250 * time.Millisecond
	for ; d > 0; d -= step {
		vt.clock.Advance(step)
		vt.waitForReader()
	}
}

func (vt *versionsTest) versions() string {
	return strings.Join(vt.VersionsSince("s", vt.clock.Now().Add(-testRetention)), " ")
}

// extend asks for the versions of the tests' service.
func (vt *versionsTest) extend(ctx context.Context) (time.Duration, error) {
	return vt.Extend(ctx, "s", testRetention)
}

// followed returns the time for which versions are known.
func (vt *versionsTest) followed() time.Duration { return vt.clock.Since(vt.FollowedSince()) }

// Guards against versions that served before the start of this host and that are taken for none, and against a history that
// tells less than it seems to.
func TestHistoryExtendsWhatIsKnown(t *testing.T) {
	for _, tt := range []struct {
		name      string
		prepare   func(s *historyStore)
		retention time.Duration
		versions  string
		known     time.Duration // 0 if the history is insufficient
	}{
		{"whole history", func(s *historyStore) { s.write("u1", "1"); s.write("u1", ""); s.write("u2", "2") }, testRetention, "1 2", wholeHistory},
		{"whole history of a store of unknown retention", func(s *historyStore) { s.write("u2", "2") }, 0, "2", wholeHistory},
		{"a part", func(s *historyStore) {
			s.write("u2", "2")
			s.write("u1", "1")
			s.write("u1", "")
			s.write("u2", "2")
			s.lost = 1
		}, testRetention, "1 2", testRetention},
		{"a part, and an upstream that started lately", func(s *historyStore) { s.write("u1", "1"); s.write("u2", "1 young"); s.lost = 1 }, testRetention, "1", 0},
		{"whole, and an upstream that started lately", func(s *historyStore) { s.write("u1", "1"); s.write("u2", "1 young") }, testRetention, "1", wholeHistory},
		{"a part of unknown length", func(s *historyStore) { s.write("u1", "1"); s.write("u2", "2"); s.lost = 1 }, 0, "1 2", 0},
		{"nothing is left", func(s *historyStore) { s.write("u1", "1"); s.lost = 1 }, testRetention, "1", 0},
		{"an upstream was removed whose version is not told", func(s *historyStore) {
			s.write("u1", "1")
			s.write("u2", "2")
			s.write("u1", "")
			s.lost = 1
		}, testRetention, "2", 0},
		{"an upstream was removed and is back with another version", func(s *historyStore) {
			s.write("u1", "1")
			s.write("u1", "")
			s.write("u1", "2")
			s.lost = 1
		}, testRetention, "2", 0},
		{"an upstream was removed that was published before under its ID", func(s *historyStore) {
			s.write("u1", "1")
			s.write("u1", "2")
			s.write("u1", "")
			s.write("u1", "")
			s.write("u2", "3")
		}, testRetention, "1 2 3", wholeHistory},
		{"the source does not respond", func(s *historyStore) { s.write("u1", "1") }, testRetention, "1", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			source := &historyStore{}
			tt.prepare(source)
			vt := startVersions(t, source)
			vt.retention = tt.retention
			if tt.name == "the source does not respond" {
				source.err = errors.New("down")
			}
			is.Equal(vt.followed(), time.Duration(0))
			known, err := vt.extend(vt.ctx)
			is.Equal(err == nil, tt.known > 0)
			is.Equal(known, tt.known)
			if tt.known != wholeHistory {
				tt.known = 0 // what a part tells depends on the service
			}
			is.Equal(vt.followed(), tt.known)
			if err == nil {
				is.Equal(vt.versions(), tt.versions)
			}
		})
	}
}

// Guards against take-ups that each read the history of the store.
func TestHistoryIsReadOnce(t *testing.T) {
	is := is.New(t)
	source := &historyStore{}
	source.write("u1", "1")
	vt := startVersions(t, source)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			if known, err := vt.extend(vt.ctx); err != nil || known < wholeHistory {
				t.Errorf("known for %s, error %v", known, err)
			}
		})
	}
	wg.Wait()
	is.Equal(source.calls, 1)
	vt.run(10 * time.Second)
	known, err := vt.extend(vt.ctx)
	is.NoErr(err)
	is.Equal(known, wholeHistory+10*time.Second)
	is.Equal(vt.followed(), known)
	is.Equal(source.calls, 1)
}

// Guards against take-ups that load a store that cannot help them, and against a failure that lasts.
func TestHistoryIsReadAgainAfterFailure(t *testing.T) {
	is := is.New(t)
	source := &historyStore{}
	source.write("u1", "1")
	vt := startVersions(t, source)
	source.err = errors.New("down")
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			if _, err := vt.extend(vt.ctx); err == nil {
				t.Error("no error")
			}
		})
	}
	wg.Wait()
	is.Equal(source.calls, 1)
	vt.clock.Advance(historyRetryInterval - 1)
	_, err := vt.extend(vt.ctx)
	is.True(errors.Is(err, errHistoryInsufficient))
	is.Equal(source.calls, 1)
	source.mu.Lock()
	source.err = nil
	source.mu.Unlock()
	vt.clock.Advance(1)
	known, err := vt.extend(vt.ctx)
	is.NoErr(err)
	is.Equal(known, wholeHistory)
}

// Guards against a caller that gives up while the history is read, and by that has the streams of others refused.
func TestCallerThatGivesUpDoesNotDelayHistory(t *testing.T) {
	is := is.New(t)
	source := &historyStore{}
	source.write("u1", "1")
	vt := startVersions(t, source)
	ctx, cancel := context.WithCancel(vt.ctx)
	source.onHistory = cancel
	_, err := vt.extend(ctx)
	is.True(errors.Is(err, context.Canceled))
	source.onHistory = nil
	_, err = vt.extend(vt.ctx)
	is.NoErr(err)
}

// Guards against a time for which versions count as known before they are.
func TestVersionsAreKnownBeforeTheirTimeCounts(t *testing.T) {
	is := is.New(t)
	source := &historyStore{}
	source.write("u1", "1")
	source.write("u1", "")
	source.write("u2", "2")
	vt := startVersions(t, source)
	decoded := 0
	vt.decode = func(item published.Item, now time.Time) (catalog.Entry, error) {
		decoded++
		is.Equal(vt.followed(), time.Duration(0))
		return decodeVersion(item, now)
	}
	_, err := vt.extend(vt.ctx)
	is.NoErr(err)
	is.Equal(decoded, 3)
	is.Equal(vt.versions(), "1 2")
	is.Equal(vt.followed(), wholeHistory)
}

// Guards against versions that served in a gap, after the history was read, and that are taken for none: the host was cut off
// from the store, and the store has discarded the changes.
func TestGapAfterHistoryWasRead(t *testing.T) {
	is := is.New(t)
	source := &historyStore{}
	source.write("u1", "1")
	vt := startVersions(t, source)
	_, err := vt.extend(vt.ctx)
	is.NoErr(err)
	vt.run(5 * time.Second)
	is.Equal(vt.followed(), wholeHistory+5*time.Second)
	source.mu.Lock()
	source.err = errors.New("cut off")
	source.mu.Unlock()
	vt.run(10 * time.Second)
	source.write("u2", "2")
	source.write("u2", "")
	source.mu.Lock()
	source.err, source.lost = nil, uint64(len(source.changes))
	source.mu.Unlock()
	vt.run(5 * time.Second)
	is.True(vt.DataAge() < 2*time.Second)
	is.True(strings.Contains(vt.versions(), "2") || vt.followed() <= 5*time.Second)
	_, err = vt.extend(vt.ctx)
	is.True(err != nil) // the history does not tell of the gap
}
