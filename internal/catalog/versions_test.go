package catalog

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/published"
)

// decodeVersion decodes items of upstreams, "up/ID", whose value is "SERVICE VERSION" or "SERVICE VERSION leaving".
func decodeVersion(item published.Item, now time.Time) (Entry, error) {
	if item.Removed || string(item.Value) == "bad" {
		return decodeTest(item, now)
	}
	fields := strings.Fields(string(item.Value))
	id := strings.TrimPrefix(item.Key, "up/")
	u := &Upstream{ID: id, Service: fields[0], Version: fields[1], DataCentre: "a", Leaving: len(fields) > 2}
	return Entry{Kind: ItemUpstream, Name: id, Upstream: u}, nil
}

func newVersionTest() *storeTest {
	clock := clockwork.NewFakeClock()
	return &storeTest{Store: NewStore(decodeVersion, clock, zerolog.Nop()), clock: clock}
}

// Guards against a version that is forgotten while streams that it began may still be taken up, so that they go on at
// another one.
func TestVersionsSince(t *testing.T) {
	for _, tt := range []struct {
		name  string
		steps func(s *storeTest)
		// want are the versions of service s in the ten seconds up to the end of the steps.
		want string
	}{
		{"none", func(*storeTest) {}, ""},
		{"published", func(s *storeTest) { s.put("up/u1", "s 1"); s.clock.Advance(time.Hour) }, "1"},
		{"leaving", func(s *storeTest) { s.put("up/u1", "s 1 leaving"); s.clock.Advance(time.Hour) }, "1"},
		{"several", func(s *storeTest) { s.put("up/u1", "s 2"); s.put("up/u2", "s 1"); s.put("up/u3", "s 2") }, "1 2"},
		{"another service", func(s *storeTest) { s.put("up/u1", "s 1"); s.put("up/u2", "t 2"); s.remove("up/u2") }, "1"},
		{"replaced under its ID", func(s *storeTest) { s.put("up/u1", "s 1"); s.put("up/u1", "s 2") }, "1 2"},
		{"replaced under its ID by another service", func(s *storeTest) { s.put("up/u1", "s 1"); s.put("up/u1", "t 2") }, "1"},
		{"replaced twice", func(s *storeTest) { s.put("up/u1", "s 1"); s.put("up/u1", "s 2"); s.put("up/u1", "s 3") }, "1 2 3"},
		{"replaced at the begin of the time", func(s *storeTest) {
			s.put("up/u1", "s 1")
			s.clock.Advance(time.Hour)
			s.put("up/u1", "s 2")
			s.clock.Advance(10 * time.Second)
		}, "1 2"},
		{"replaced before", func(s *storeTest) {
			s.put("up/u1", "s 1")
			s.put("up/u1", "s 2")
			s.clock.Advance(10*time.Second + 1)
		}, "2"},
		{"removed", func(s *storeTest) { s.put("up/u1", "s 1"); s.clock.Advance(time.Hour); s.remove("up/u1") }, "1"},
		{"unreadable", func(s *storeTest) { s.put("up/u1", "s 1"); s.put("up/u1", "bad") }, "1"},
		{"removed in an outage, still in use", func(s *storeTest) {
			s.put("up/u1", "s 1")
			s.OutageStarted()
			s.remove("up/u1")
			s.clock.Advance(time.Minute)
		}, "1"},
		{"removed in an outage that ended", func(s *storeTest) {
			s.put("up/u1", "s 1")
			s.OutageStarted()
			s.remove("up/u1")
			s.OutageEnded(minExpiryOutage)
			s.endGrace()
		}, "1"},
		{"another instance of the version is left", func(s *storeTest) { s.put("up/u1", "s 1"); s.put("up/u2", "s 1"); s.remove("up/u1") }, "1"},
		{"told by the history", func(s *storeTest) {
			s.put("up/u1", "s 2")
			s.RecordPastVersion("s", "1", s.clock.Now())
			s.RecordPastVersion("t", "3", s.clock.Now())
		}, "1 2"},
		{"told by the history as of an earlier time", func(s *storeTest) {
			s.put("up/u1", "s 1")
			s.remove("up/u1")
			s.RecordPastVersion("s", "1", s.clock.Now().Add(-time.Minute))
		}, "1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newVersionTest()
			tt.steps(s)
			is.Equal(strings.Join(s.VersionsSince("s", s.clock.Now().Add(-10*time.Second)), " "), tt.want)
		})
	}
}

// Guards against a log of versions that grows with every release, and against one that forgets a version too early.
func TestPastVersionsExpire(t *testing.T) {
	is := is.New(t)
	s := newVersionTest()
	s.put("up/u1", "s 1")
	s.put("up/u1", "s 2")
	s.clock.Advance(versionExpiry)
	s.put("up/u1", "s 3")
	is.Equal(s.VersionsSince("s", time.Time{}), []string{"1", "2", "3"})
	s.clock.Advance(1)
	s.put("up/u1", "s 4")
	is.Equal(s.VersionsSince("s", time.Time{}), []string{"2", "3", "4"})
	is.Equal(len(s.pastVersions.lastPublished), 2)
}

// Guards against take-ups that are sent to, or refused for, upstreams that are no longer there.
func TestSnapshotTellsVersions(t *testing.T) {
	is := is.New(t)
	s := newVersionTest()
	is.Equal(len(s.Current().Versions["s"]), 0)
	is.True(!s.Current().Serves("s", ""))
	s.put("up/u1", "s 2")
	s.put("up/u2", "s 1 leaving")
	s.put("up/u3", "s 2 leaving")
	s.put("up/u4", "t 3")
	snap := s.Current()
	is.Equal(snap.Versions["s"], []string{"1", "2"}) // those of leaving upstreams count
	is.Equal(snap.Versions["t"], []string{"3"})
	is.True(snap.Serves("s", "2"))
	is.True(!snap.Serves("s", "1"))
	is.True(!snap.Serves("s", "3"))
	is.True(snap.Serves("t", "3"))
	s.remove("up/u1")
	is.True(snap.Serves("s", "2")) // a snapshot does not change
	is.True(!s.Current().Serves("s", "2"))
	s.remove("up/u2")
	s.remove("up/u3")
	is.Equal(len(s.Current().Versions["s"]), 0)
}

// Guards against streams that began with the timeout of an earlier configuration, and that are taken for younger ones.
func TestStreamTimeoutsDoNotShrink(t *testing.T) {
	is := is.New(t)
	s := NewStore(func(item published.Item, _ time.Time) (Entry, error) {
		route := Route{Kind: Stream, Timeout: time.Duration(item.Value[0]) * time.Second, WeightedServices: []WeightedService{{Service: "s"}}}
		other := Route{Kind: Safe, Timeout: time.Hour, WeightedServices: []WeightedService{{Service: "s"}}}
		return Entry{Kind: ItemConfig, Config: &Config{Version: item.Revision, Routes: []Route{route, other}}}, nil
	}, clockwork.NewFakeClock(), zerolog.Nop())
	for i, seconds := range []byte{3, 12, 5} {
		s.Apply([]published.Item{{Key: "config", Value: []byte{seconds}, Revision: uint64(i + 1)}})
		is.Equal(s.Current().StreamTimeouts["s"], time.Duration(max(seconds, []byte{0, 0, 12}[i]))*time.Second)
	}
}
