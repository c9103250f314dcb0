package origin

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	testWindow  = 20 * time.Second
	testMaxAge  = 2 * time.Second
	testStream  = StreamID(7)
	longEnough  = testWindow
	tooShort    = testWindow - 1
	fresh       = testMaxAge
	tooOld      = testMaxAge + 1
	testService = "s"
)

// fakeVersions is what this host knows of published versions.
type fakeVersions struct {
	// upstreams holds the published versions by ID.
	upstreams     map[string]string
	clock         clockwork.Clock
	versions      []string
	followed, age time.Duration
	// onVersions is called after the versions have been read.
	onVersions func()
}

func (v *fakeVersions) VersionsSince(service string, since time.Time) []string {
	versions := slices.Clone(v.versions)
	if service != testService || v.clock.Since(since) > testWindow {
		versions = nil
	}
	if v.onVersions != nil {
		v.onVersions()
	}
	return versions
}
func (v *fakeVersions) FollowedSince() time.Time { return v.clock.Now().Add(-v.followed) }
func (v *fakeVersions) DataAge() time.Duration   { return v.age }

func (v *fakeVersions) UpstreamVersion(_, id string) (string, bool) {
	version, ok := v.upstreams[id]
	return version, ok
}

// fakePeers answers with its list and counts the questions.
type fakePeers struct {
	answers []Answer
	asked   []Query
}

func (p *fakePeers) AskOrigin(_ context.Context, q Query) []Answer {
	p.asked = append(p.asked, q)
	return p.answers
}

// fakeHistory extends what a fakeVersions knows.
type fakeHistory struct {
	versions *fakeVersions
	// unseen are versions that a refresh finds, and refreshErr is its error.
	unseen     []string
	refreshErr error
	refreshed  []time.Time
	add        []string
	followed   time.Duration
	err        error
	reads      int
}

func (h *fakeHistory) Extend(context.Context, time.Duration) (time.Duration, error) {
	h.reads++
	if h.err == nil {
		h.versions.versions, h.versions.followed = append(h.versions.versions, h.add...), h.followed
	}
	return h.followed, h.err
}

func (h *fakeHistory) Refresh(_ context.Context, since time.Time) error {
	h.refreshed = append(h.refreshed, since)
	h.versions.versions = append(h.versions.versions, h.unseen...)
	return h.refreshErr
}

type resolverTest struct {
	*Resolver
	clock    *clockwork.FakeClock
	versions *fakeVersions
	peers    *fakePeers
	history  *fakeHistory
	metrics  tally.TestScope
}

// newResolverTest returns the resolver of a host that knows version 1 alone, for long enough and as of now.
func newResolverTest() *resolverTest {
	clock := clockwork.NewFakeClock()
	v := &fakeVersions{clock: clock, versions: []string{"1"}, followed: longEnough}
	rt := &resolverTest{
		clock: clock, versions: v, peers: &fakePeers{}, history: &fakeHistory{versions: v, err: errors.New("unread")},
		metrics: tally.NewTestScope("", nil),
	}
	rt.Resolver = NewResolver(Options{
		Table: NewTable(clock), Versions: v, Peers: rt.peers, History: rt.history, MaxDataAge: testMaxAge, Clock: clock,
		Log: zerolog.Nop(), Scope: rt.metrics,
	})
	return rt
}

func (rt *resolverTest) resolve() (Origin, bool, error) {
	return rt.Resolve(context.Background(), Query{Stream: testStream, Service: testService, Window: testWindow})
}

// answer returns what a host says that does not know the origin.
func answer(followed, age time.Duration, versions ...string) Answer {
	return Answer{Host: "h", Versions: versions, Followed: followed, Age: age}
}

// Guards against streams that go on at a version that did not begin them, because the version was concluded from too little,
// and against refusals where one version alone can have begun the stream.
func TestVersionIsConcludedOnlyIfNoOtherCanHaveBegunStream(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(rt *resolverTest)
		version string // "" if unknown
		reads   int    // reads of the history
	}{
		{"nobody answers", func(*resolverTest) {}, "1", 0},
		{"peers agree", func(rt *resolverTest) {
			rt.peers.answers = []Answer{answer(longEnough, 0, "1"), answer(longEnough, 0, "1")}
		}, "1", 0},
		{"two versions", func(rt *resolverTest) { rt.versions.versions = []string{"1", "2"} }, "", 0},
		{"no version", func(rt *resolverTest) { rt.versions.versions = nil }, "", 0},
		{"nothing known here, a peer knows one version", func(rt *resolverTest) {
			rt.versions.versions, rt.versions.followed, rt.versions.age = nil, 0, 1<<62
			rt.peers.answers = []Answer{answer(longEnough, 0, "2")}
		}, "2", 0},
		{"another version that only a peer saw", func(rt *resolverTest) {
			rt.peers.answers = []Answer{answer(longEnough, 0, "1"), answer(0, 0, "2")}
		}, "", 0},
		{"another version that only a peer with old data saw", func(rt *resolverTest) {
			rt.peers.answers = []Answer{answer(longEnough, time.Hour, "0")}
		}, "", 0},
		{"peer is behind", func(rt *resolverTest) { rt.peers.answers = []Answer{answer(longEnough, time.Hour, "1")} }, "1", 0},
		{"peer knows nothing", func(rt *resolverTest) { rt.peers.answers = []Answer{answer(0, time.Hour)} }, "1", 0},
		{"followed too short", func(rt *resolverTest) { rt.versions.followed = tooShort }, "", 1},
		{"followed too short, a peer long enough", func(rt *resolverTest) {
			rt.versions.followed = tooShort
			rt.peers.answers = []Answer{answer(tooShort, 0, "1"), answer(longEnough, 0, "1")}
		}, "1", 0},
		{"followed too short, a peer long enough but with old data", func(rt *resolverTest) {
			rt.versions.followed = time.Second
			rt.peers.answers = []Answer{answer(longEnough, testWindow/2, "1")}
		}, "", 1},
		{"followed long enough with old data, a peer too short with fresh data", func(rt *resolverTest) {
			rt.versions.age = testWindow / 2
			rt.peers.answers = []Answer{answer(time.Second, 0, "1")}
		}, "", 1},
		{"followed too short, the history reaches far enough", func(rt *resolverTest) {
			rt.versions.followed = tooShort
			rt.history.err, rt.history.followed = nil, longEnough
		}, "1", 1},
		{"the history does not reach far enough", func(rt *resolverTest) {
			rt.versions.followed = 0
			rt.history.err, rt.history.followed = nil, tooShort
		}, "", 1},
		{"the history tells of another version", func(rt *resolverTest) {
			rt.versions.followed = tooShort
			rt.history.err, rt.history.followed, rt.history.add = nil, longEnough, []string{"0"}
		}, "", 1},
		{"oldest data that is accepted", func(rt *resolverTest) { rt.versions.age = fresh }, "1", 0},
		{"data too old", func(rt *resolverTest) { rt.versions.age = tooOld }, "", 0},
		{"data too old, a peer's is fresh", func(rt *resolverTest) {
			rt.versions.age = tooOld
			rt.peers.answers = []Answer{answer(longEnough, fresh, "1")}
		}, "1", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rt := newResolverTest()
			tt.prepare(rt)
			o, recorded, err := rt.resolve()
			is.True(!recorded)
			is.Equal(errors.Is(err, ErrUnknown), tt.version == "")
			is.Equal(err == nil, tt.version != "")
			is.Equal(o.Version, tt.version)
			is.Equal(rt.history.reads, tt.reads)
			is.Equal(rt.Table.Len(), 0) // a conclusion is no record
		})
	}
}

// Guards against a host that asks others, or concludes, although it knows the origin.
func TestOwnRecordIsUsed(t *testing.T) {
	is := is.New(t)
	rt := newResolverTest()
	rt.Table.AddOwn(record(rt.clock, testStream, "9", time.Minute))
	o, recorded, err := rt.resolve()
	is.NoErr(err)
	is.True(recorded)
	is.Equal(o, Origin{Service: "s", Version: "9"})
	is.Equal(len(rt.peers.asked), 0)
	is.Equal(rt.metrics.Snapshot().Counters()["origin.resolved+source=own"].Value(), int64(1))
}

// Guards against an origin that is lost with the host that told it: the second break of a stream must not ask the same hosts.
func TestRecordOfPeerIsKept(t *testing.T) {
	is := is.New(t)
	rt := newResolverTest()
	told := record(rt.clock, testStream, "9", time.Minute)
	rt.peers.answers = []Answer{answer(longEnough, 0, "1"), {Host: "h", Origin: &told}}
	for range 2 {
		o, recorded, err := rt.resolve()
		is.NoErr(err)
		is.True(recorded)
		is.Equal(o.Version, "9")
	}
	is.Equal(len(rt.peers.asked), 1)
	is.Equal(rt.peers.asked[0], Query{Stream: testStream, Service: testService, Window: testWindow})
	is.Equal(len(rt.Table.TakeUnshared(1)), 0) // it is another host's
}

// Guards against an answer that claims to know the versions for a time of which it lacks some: the history is read while
// another request asks.
func TestAnswerClaimsNoMoreThanItsVersionsTell(t *testing.T) {
	is := is.New(t)
	rt := newResolverTest()
	rt.versions.versions, rt.versions.followed, rt.versions.age = []string{"2"}, 0, tooOld
	rt.versions.onVersions = func() {
		rt.versions.versions, rt.versions.followed, rt.versions.age = []string{"1", "2"}, longEnough, 0
	}
	a := rt.Known(Query{Stream: testStream, Service: testService, Window: testWindow})
	is.True(len(a.Versions) == 2 || a.Followed < testWindow)
	is.True(len(a.Versions) == 2 || a.Age > testMaxAge)
}

// Guards against streams that go on at another version at a host that is out of step for a moment: cut off from the others, or
// frozen, while upstreams of a new version joined, one of which began the stream.
func TestVersionIsNotConcludedBeforeHostHasCaughtUp(t *testing.T) {
	for _, tt := range []struct {
		name       string
		unseen     []string
		refreshErr error
		known      bool
	}{
		{"no other version", nil, nil, true}, {"a new version", []string{"2"}, nil, false},
		{"the store does not respond", nil, errors.New("down"), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rt := newResolverTest()
			rt.versions.age = fresh
			rt.history.unseen, rt.history.refreshErr = tt.unseen, tt.refreshErr
			_, _, err := rt.resolve()
			is.Equal(err == nil, tt.known)
			is.Equal(len(rt.history.refreshed), 1)
			is.True(!rt.history.refreshed[0].Before(rt.clock.Now())) // not before the request arrived
		})
	}
}

// Guards against streams that go on at the version that an upstream had before it started again under its ID, although the new
// incarnation, of another version, may have begun them; and against refusals where it has the same version.
func TestUncertainOriginIsResolvedOnceUpstreamIsPublished(t *testing.T) {
	const registration = 300 * time.Millisecond
	for _, tt := range []struct {
		name       string
		published  map[string]string // after the registration time
		refreshErr error
		known      bool
	}{
		{"same version", map[string]string{"i-1": "9", "i-2": "8"}, nil, true},
		{"gone", map[string]string{"i-2": "8"}, nil, true},
		{"another version", map[string]string{"i-1": "8"}, nil, false},
		{"the store does not respond", map[string]string{"i-1": "9"}, errors.New("down"), false},
	} {
		for _, source := range []string{"own", "peer"} {
			t.Run(tt.name+", "+source, func(t *testing.T) {
				is := is.New(t)
				rt := newResolverTest()
				rt.versions.upstreams, rt.history.refreshErr = map[string]string{"i-1": "9"}, tt.refreshErr
				rec := record(rt.clock, testStream, "9", time.Minute)
				rec.Upstream, rec.Due = "i-1", rt.clock.Now().Add(registration)
				if source == "own" {
					rt.Table.AddOwn(rec)
				} else {
					rt.peers.answers = []Answer{{Host: "h", Origin: &rec}}
				}
				resolved := make(chan error, 1)
				var o Origin
				go func() {
					var err error
					o, _, err = rt.resolve()
					resolved <- err
				}()
				is.NoErr(rt.clock.BlockUntilContext(t.Context(), 1))
				is.Equal(len(rt.history.refreshed), 0)
				rt.versions.upstreams = tt.published
				rt.clock.Advance(registration)
				err := <-resolved
				is.Equal(err == nil, tt.known)
				is.Equal(errors.Is(err, ErrUnknown), !tt.known)
				is.Equal(rt.history.refreshed, []time.Time{rec.Due}) // what was published until then is read
				if !tt.known {
					return
				}
				is.Equal(o.Version, "9")
				rt.versions.upstreams = map[string]string{"i-1": "8"} // a later change does not matter
				o, recorded, err := rt.resolve()
				is.NoErr(err)
				is.True(recorded)
				is.Equal(o.Version, "9")
			})
		}
	}
}

// Guards against a request that waits for a stream's origin after its caller has left.
func TestUncertainOriginIsNotAwaitedForever(t *testing.T) {
	is := is.New(t)
	rt := newResolverTest()
	rec := record(rt.clock, testStream, "9", time.Minute)
	rec.Upstream, rec.Due = "i-1", rt.clock.Now().Add(time.Second)
	rt.Table.AddOwn(rec)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err := rt.Resolve(ctx, Query{Stream: testStream, Service: testService, Window: testWindow})
	is.True(errors.Is(err, ErrUnknown))
}
