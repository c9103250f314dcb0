package gateway

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
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
	"github.com/orioleusher/orioleusher/internal/origin"
	"github.com/orioleusher/orioleusher/internal/published"
)

// historyStore is a source that keeps the changes after the revision lost.
type historyStore struct {
	mu      sync.Mutex
	changes []published.Item
	lost    uint64
	calls   int
	err     error
	era     uint64
	// onHistory is called before the history is read.
	onHistory func()
}

// write publishes an upstream of the version, or removes it if the version is empty.
func (s *historyStore) write(id, version string) { s.put("up/"+id, version) }

// configure writes the configuration.
func (s *historyStore) configure() { s.put(testConfigKey, "configuration") }

// put writes a value, or removes the key if the value is empty.
func (s *historyStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := published.Item{Key: key, Value: []byte(value), Removed: value == "", Revision: uint64(len(s.changes) + 1)}
	if before, ok := s.current()[key]; ok && !item.Removed {
		item.Created = before.Created
	} else if !item.Removed {
		item.Created = item.Revision
	}
	s.changes = append(s.changes, item)
}

// current returns the items that the store has. The caller holds mu.
func (s *historyStore) current() map[string]published.Item {
	current := map[string]published.Item{}
	for _, item := range s.changes {
		current[item.Key] = item
		if item.Removed {
			delete(current, item.Key)
		}
	}
	return current
}

func (s *historyStore) Page(context.Context, string, string) (published.Batch, string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := published.Batch{Revision: uint64(len(s.changes)), Era: s.era}
	for _, item := range s.current() {
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
	return published.Batch{Items: slices.Clone(s.changes[after:]), Revision: uint64(len(s.changes)), Era: s.era}, nil
}

// discard drops the history.
func (s *historyStore) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = uint64(len(s.changes))
}

// testConfigKey is the key of the tests' configuration.
const testConfigKey = "config"

func decodeVersion(item published.Item, _ time.Time) (catalog.Entry, error) {
	if item.Key == testConfigKey {
		return catalog.Entry{Kind: catalog.ItemConfig}, nil
	}
	e := catalog.Entry{Kind: catalog.ItemUpstream, Name: strings.TrimPrefix(item.Key, "up/")}
	if !item.Removed {
		e.Upstream = &catalog.Upstream{ID: e.Name, Service: "s", Version: string(item.Value), StartedAtMs: 1}
	}
	return e, nil
}

type versionsTest struct {
	*publishedVersions
	t      *testing.T
	clock  *clockwork.FakeClock
	source *historyStore
	ctx    context.Context
	// stop ends the reader, so that this host hears of nothing more by itself.
	stop func()
}

// testRetention is how long the store of the tests keeps changes.
const testRetention = 40 * time.Second

// startVersions returns what a host knows that has just listed the source.
func startVersions(t *testing.T, source *historyStore) *versionsTest {
	t.Helper()
	clock := clockwork.NewFakeClock()
	store := catalog.NewStore(decodeVersion, clock, zerolog.Nop())
	mirror := published.NewMirror(published.MirrorOptions{
		Equivalent: func(before, now published.Item) bool { return bytes.Equal(before.Value, now.Value) }, OnChange: store.Apply, Clock: clock,
	})
	reader := published.NewReader(published.ReaderOptions{
		Source: source, Mirror: mirror, LongPollWait: time.Second, Timing: published.ReadTimingFor(2 * time.Second), Outages: store,
		Clock: clock, Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	reading, stopReading := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() { reader.Run(reading); close(ended) }()
	stop := func() { stopReading(); <-ended }
	t.Cleanup(stop)
	vt := &versionsTest{
		publishedVersions: &publishedVersions{
			store: store, reader: reader, mirror: mirror, source: source, decode: decodeVersion, retention: testRetention, clock: clock,
			log: zerolog.Nop(),
		}, t: t, clock: clock, source: source, ctx: ctx, stop: stop,
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
	return vt.Extend(ctx, testRetention)
}

// followed returns the time for which versions are known.
func (vt *versionsTest) followed() time.Duration { return vt.clock.Since(vt.FollowedSince()) }

// Guards against versions that served before the start of this host and that are taken for none, and against a history that
// tells less than it seems to.
func TestHistoryExtendsWhatIsKnown(t *testing.T) {
	for _, tt := range []struct {
		name     string
		prepare  func(s *historyStore)
		versions string
		known    time.Duration
	}{
		{"whole history", func(s *historyStore) { s.write("u1", "1"); s.write("u1", ""); s.write("u2", "2") }, "1 2", wholeHistory},
		{"a part", func(s *historyStore) {
			s.write("u2", "2")
			s.write("u1", "1")
			s.write("u1", "")
			s.write("u2", "2")
			s.lost = 1
		}, "1 2", 0},
		{"an upstream was removed whose version is not told", func(s *historyStore) {
			s.write("u1", "1")
			s.write("u2", "2")
			s.write("u1", "")
			s.lost = 1
		}, "2", 0},
		{"an upstream was removed and is back with another version", func(s *historyStore) {
			s.write("u1", "1")
			s.write("u1", "")
			s.write("u1", "2")
			s.lost = 1
		}, "2", 0},
		{"an upstream was removed that was published before under its ID", func(s *historyStore) {
			s.write("u1", "1")
			s.write("u1", "2")
			s.write("u1", "")
			s.write("u1", "")
			s.write("u2", "3")
		}, "1 2 3", wholeHistory},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			source := &historyStore{}
			tt.prepare(source)
			vt := startVersions(t, source)
			is.Equal(vt.followed(), time.Duration(0))
			known, err := vt.extend(vt.ctx)
			is.NoErr(err)
			is.Equal(known, tt.known)
			is.Equal(vt.followed(), tt.known)
			is.Equal(vt.versions(), tt.versions)
		})
	}
}

// Guards against a history of which nothing can be read and that counts all the same.
func TestHistoryThatCannotBeRead(t *testing.T) {
	for name, prepare := range map[string]func(s *historyStore){
		"nothing is left":               func(s *historyStore) { s.lost = 1 },
		"the source does not respond":   func(s *historyStore) { s.err = errors.New("down") },
		"the source has been restored":  func(s *historyStore) { s.era = 2 },
		"restored before it was listed": func(s *historyStore) { s.era = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			source := &historyStore{era: 1}
			source.write("u1", "1")
			if name == "restored before it was listed" {
				prepare(source)
			}
			vt := startVersions(t, source)
			prepare(source)
			known, err := vt.extend(vt.ctx)
			is.True(err != nil)
			is.Equal(known, time.Duration(0))
			is.Equal(vt.followed(), time.Duration(0))
		})
	}
}

// repeater publishes upstreams whose entries repeat at about one interval.
type repeater struct {
	source   *historyStore
	interval time.Duration
	rand     *rand.Rand
	// next is when each upstream repeats its entry, and versions what it publishes.
	next     map[string]time.Duration
	versions map[string]string
	now      time.Duration
}

// maxJitter is the largest share of the interval by which a repetition is early or late.
const maxJitter = 0.1

func newRepeater(interval time.Duration, seed uint64) *repeater {
	return &repeater{
		source: &historyStore{}, interval: interval, rand: rand.New(rand.NewPCG(seed, 0)), next: map[string]time.Duration{}, versions: map[string]string{},
	}
}

// add publishes upstreams of the version.
func (r *repeater) add(version string, count int) {
	for range count {
		id := fmt.Sprintf("u%d", len(r.next))
		r.next[id], r.versions[id] = r.now+time.Duration(r.rand.Float64()*float64(r.interval)), version
		r.source.write(id, version)
	}
}

// remove removes the upstreams of the version.
func (r *repeater) remove(version string) {
	for id, v := range r.versions {
		if v == version {
			delete(r.versions, id)
			r.source.write(id, "")
		}
	}
}

// run lets the upstreams repeat their entries for the given time.
func (r *repeater) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := r.now + d; r.now < end; r.now += step {
		for id, version := range r.versions {
			if r.next[id] <= r.now {
				r.next[id] += r.interval + time.Duration((2*r.rand.Float64()-1)*maxJitter*float64(r.interval))
				r.source.write(id, version)
			}
		}
	}
}

// runWith lets the upstreams and the host go on for the given time.
func (r *repeater) runWith(vt *versionsTest, d time.Duration) {
	const step = 250 * time.Millisecond
	for ; d > 0; d -= step {
		r.run(step)
		vt.run(step)
	}
}

// Guards against streams that go on at another version after all hosts were killed: two versions served side by side, one of
// them left, and the store had discarded the changes that told of it.
func TestDiscardedHistoryIsNoProofOfSingleVersion(t *testing.T) {
	const window = 12 * time.Second
	for seed := range uint64(30) {
		r := newRepeater([]time.Duration{400 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second}[seed%3], seed)
		r.add("1", 1+int(seed%5))
		r.add("2", 2+int(seed%9))
		if seed%2 == 0 {
			r.add("3", 1)
		}
		r.run(30 * time.Second)
		r.remove("1")
		r.run(time.Second)
		r.source.discard()
		discardedAt := r.now
		r.run(time.Duration(seed%4) * 500 * time.Millisecond)
		vt := startVersions(t, r.source)
		for range 20 {
			if known, err := vt.Extend(vt.ctx, window); err == nil && known > r.now-discardedAt {
				t.Fatalf("seed %d: versions count as known for %s, the history begins %s ago", seed, known, r.now-discardedAt)
			}
			r.runWith(vt, 500*time.Millisecond)
		}
	}
}

// Guards against take-ups that are refused although the store has kept the whole window, so that one version alone can have
// begun their streams: upstreams have started or left lately, and the store has discarded what is older, as it does.
func TestKeptHistoryProvesSingleVersion(t *testing.T) {
	const window, kept = 12 * time.Second, 20 * time.Second
	for seed := range uint64(30) {
		r := newRepeater([]time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond}[seed%3], seed)
		r.add("0", 1)
		r.add("1", 4+int(seed%9))
		r.run(10 * time.Second)
		r.source.discard()
		r.remove("0") // its version is not told any more
		r.run(kept - 5*time.Second)
		r.add("1", 2)
		r.run(5 * time.Second)
		vt := startVersions(t, r.source)
		r.runWith(vt, 3*time.Second)
		known, err := vt.Extend(vt.ctx, window)
		if err != nil || known < window || known > kept+3*time.Second {
			t.Errorf("seed %d: versions count as known for %s, error %v", seed, known, err)
		}
		if versions := vt.VersionsSince("s", vt.clock.Now().Add(-window)); len(versions) != 1 {
			t.Errorf("seed %d: versions %q", seed, versions)
		}
	}
}

// Guards against take-ups that are all refused after the death of all hosts although no upstream has ever left: upstreams whose
// entries stay the same write no changes, so that the history holds almost none and has no repetitions.
func TestListThatTellsAllChangesProvesSingleVersion(t *testing.T) {
	for name, kept := range map[string]uint64{"one change is kept": 1, "no change is kept": 0, "upstreams were added lately": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			source := &historyStore{}
			source.write("leftover", "0")
			source.write("leftover", "") // before the first configuration, without which no stream begins
			source.configure()
			for n := range 9 {
				source.write(fmt.Sprintf("u%d", n), "1")
			}
			source.configure()
			if name == "upstreams were added lately" {
				source.write("u9", "1")
				source.write("u10", "1")
			}
			source.lost = uint64(len(source.changes)) - kept
			vt := startVersions(t, source)
			known, err := vt.extend(vt.ctx)
			is.NoErr(err)
			is.Equal(known, wholeHistory)
			is.Equal(vt.followed(), wholeHistory)
			is.Equal(vt.versions(), "1")
		})
	}
}

// Guards against a list that is taken for all that was ever published, although an upstream of another version was removed,
// replaced under its ID or written again in between: whatever order changes come in, and whatever the store discards.
func TestListIsNoProofOfVersionsThatItLacks(t *testing.T) {
	const window, histories, changes = 12 * time.Second, 3000, 12
	proven := 0
	for seed := range uint64(histories) {
		random := rand.New(rand.NewPCG(seed, 0))
		source, served := &historyStore{}, map[string]bool{}
		current, configured := map[string]string{}, false
		for range 1 + random.IntN(changes) {
			id, version := fmt.Sprintf("u%d", random.IntN(5)), fmt.Sprint(1+random.IntN(6)/5)
			switch random.IntN(6) {
			case 0:
				source.configure()
				configured = true
			case 1:
				if current[id] == "" {
					continue
				}
				source.write(id, "")
				delete(current, id)
			default:
				source.write(id, version)
				current[id] = version
			}
			for _, v := range current {
				served[v] = served[v] || configured
			}
		}
		source.lost = random.Uint64N(uint64(len(source.changes)) + 1)
		vt := startVersions(t, source)
		if known, err := vt.Extend(vt.ctx, window); err != nil || known < window {
			continue
		}
		proven++
		versions := vt.VersionsSince("s", vt.clock.Now().Add(-window))
		for v := range served {
			if served[v] && !slices.Contains(versions, v) {
				t.Fatalf("seed %d: version %s served, known are %q; %d of %d changes lost: %v", seed, v, versions, source.lost, len(source.changes), source.changes)
			}
		}
	}
	t.Logf("%d of %d histories are proof", proven, histories)
	if proven < histories/10 {
		t.Errorf("only %d of %d histories are proof", proven, histories)
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
	known, err := vt.extend(vt.ctx)
	is.True(err != nil || known <= 5*time.Second) // the history does not tell of the gap
}

// Guards against a version that upstreams began to publish after the host last heard from the store, and that counts as not
// there when a caller takes up a stream that began at it.
func TestRefreshFindsVersionsThatReaderHasNotReceived(t *testing.T) {
	is := is.New(t)
	source := &historyStore{}
	source.write("u1", "1")
	vt := startVersions(t, source)
	source.write("u2", "2")
	is.Equal(vt.versions(), "1")
	arrived := vt.clock.Now()
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			if err := vt.Refresh(vt.ctx, arrived); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	is.Equal(vt.versions(), "1 2")
	is.Equal(source.calls, 1) // callers share the call
	source.err = errors.New("down")
	vt.clock.Advance(time.Millisecond)
	is.True(vt.Refresh(vt.ctx, vt.clock.Now()) != nil)
}

// silentPeers are other hosts that this one does not reach.
type silentPeers struct{}

func (silentPeers) AskOrigin(context.Context, origin.Query) []origin.Answer { return nil }

// Guards against a stream that goes on at another software version, because its caller takes it up during a release at a host
// that is out of step: the host reaches no other one, has stood still, or does not reach the store.
func TestHostOutOfStepDoesNotTakeUpStreamAtAnotherVersion(t *testing.T) {
	const window = 20 * time.Second
	release := func(s *historyStore) { s.write("u2", "2") }
	for _, tt := range []struct {
		name string
		// outOfStep is what happens after the host last heard from the store, and for how long it stands still.
		outOfStep func(s *historyStore)
		still     time.Duration
		found     bool
	}{
		{"no release", func(*historyStore) {}, 0, true},
		{"no release, stood still", func(*historyStore) {}, time.Second, true},
		{"another server of the version", func(s *historyStore) { s.write("u2", "1") }, 0, true},
		{"a new version joined", release, 0, false},
		{"a new version joined, stood still", release, time.Second, false},
		{"a new version joined, stood still for long", release, 10 * time.Second, false},
		{"a new version joined and left", func(s *historyStore) { release(s); s.write("u2", "") }, time.Second, false},
		{"a new version took the place of the old one", func(s *historyStore) { release(s); s.write("u1", "") }, time.Second, false},
		{"a server changed its version", func(s *historyStore) { s.write("u1", "2") }, time.Second, false},
		{"a server changed its version back", func(s *historyStore) { s.write("u1", "2"); s.write("u1", "1") }, time.Second, false},
		{"the changes are gone", func(s *historyStore) { release(s); s.discard() }, time.Second, false},
		{"the store was restored", func(s *historyStore) { s.era++ }, time.Second, false},
		{"the store does not respond", func(s *historyStore) { release(s); s.err = errors.New("down") }, time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			source := &historyStore{era: 1}
			source.write("u1", "1")
			vt := startVersions(t, source)
			vt.run(testRetention) // longer than the window
			resolver := origin.NewResolver(origin.Options{
				Table: origin.NewTable(vt.clock), Versions: vt, Peers: silentPeers{}, History: vt, MaxDataAge: 2 * time.Second,
				Clock: vt.clock, Log: zerolog.Nop(), Scope: tally.NoopScope,
			})
			vt.stop()
			tt.outOfStep(source)
			vt.clock.Advance(tt.still)
			o, _, err := resolver.Resolve(vt.ctx, origin.Query{Stream: 7, Service: "s", Window: window})
			is.Equal(err == nil, tt.found)
			if tt.found {
				is.Equal(o, origin.Origin{Service: "s", Version: "1"})
			} else {
				is.True(errors.Is(err, origin.ErrUnknown))
			}
		})
	}
}
