package catalog

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/published"
)

// decodeTest reads items of a form of the test's own: "config/VERSION", "out/NAME", "up/ID" with the state as value.
func decodeTest(item published.Item, now time.Time) (Entry, error) {
	kind, name, _ := strings.Cut(item.Key, "/")
	switch kind {
	case "config":
		if item.Removed {
			return Entry{Kind: ItemConfig}, nil
		}
		return Entry{Kind: ItemConfig, Config: &Config{Version: uint64(len(item.Value))}}, nil
	case "out":
		return Entry{Kind: ItemDisabledDataCentre, Name: name}, nil
	case "up":
		e := Entry{Kind: ItemUpstream, Name: name}
		if item.Removed {
			return e, nil
		}
		if string(item.Value) == "bad" {
			return e, errors.New("unreadable")
		}
		e.Upstream = &Upstream{ID: name, Service: "s", DataCentre: "a", Leaving: string(item.Value) == "leaving"}
		return e, nil
	}
	return Entry{}, nil
}

type storeTest struct {
	*Store
	clock    *clockwork.FakeClock
	revision uint64
}

func newStoreTest() *storeTest {
	clock := clockwork.NewFakeClock()
	return &storeTest{Store: NewStore(decodeTest, clock, zerolog.Nop()), clock: clock}
}

func (s *storeTest) put(key, value string) {
	s.revision++
	s.Apply([]published.Item{{Key: key, Value: []byte(value), Revision: s.revision}})
}

func (s *storeTest) remove(key string) {
	s.revision++
	s.Apply([]published.Item{{Key: key, Revision: s.revision, Removed: true}})
}

// usable returns the IDs of the upstreams that may get new work.
func (s *storeTest) usable() string {
	snap := s.Current()
	var ids []string
	for _, u := range snap.Upstreams["s"] {
		if snap.AcceptsNewWork(u) {
			ids = append(ids, u.ID)
		}
	}
	return strings.Join(ids, " ")
}

func TestAConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s := newStoreTest()
	s.put("config/", "333")
	s.put("config/", "22")
	is.Equal(s.Current().Config.Version, uint64(3))
	s.remove("config/")
	is.Equal(s.Current().Config.Version, uint64(3))
	s.put("config/", "55555")
	is.Equal(s.Current().Config.Version, uint64(5))
	is.Equal(s.Current().ConfigRevision, uint64(4))
}

func TestWhoMayGetNewWork(t *testing.T) {
	tests := []struct {
		name  string
		steps func(*storeTest)
		want  string
	}{
		{"published", func(s *storeTest) {}, "u1 u2"},
		{"leaving", func(s *storeTest) { s.put("up/u1", "leaving") }, "u2"},
		{"removed", func(s *storeTest) { s.remove("up/u1") }, "u2"},
		{"unreadable", func(s *storeTest) { s.put("up/u1", "bad") }, "u2"},
		{"of another writer", func(s *storeTest) { s.put("other/u1", "") }, "u1 u2"},
		{"data centre out", func(s *storeTest) { s.put("out/a", "") }, ""},
		{"data centre back", func(s *storeTest) { s.put("out/a", ""); s.remove("out/a") }, "u1 u2"},
		{"lapsed in an outage", func(s *storeTest) { s.Outage(); s.remove("up/u1") }, "u1 u2"},
		{"leaving before an outage", func(s *storeTest) { s.put("up/u1", "leaving"); s.Outage(); s.remove("up/u1") }, "u2"},
		{"back after the outage", func(s *storeTest) {
			s.Outage()
			s.remove("up/u1")
			s.Regained(minLapse)
			s.put("up/u1", "")
			s.settle()
		}, "u1 u2"},
		{"not back after the outage", func(s *storeTest) {
			s.Outage()
			s.remove("up/u1")
			s.Regained(minLapse)
			s.settle()
		}, "u2"},
		{"lapsed in an outage that began in the grace of another", func(s *storeTest) {
			s.Outage()
			s.Regained(minLapse)
			s.clock.Advance(returnGrace / 2)
			s.Outage()
			s.clock.Advance(returnGrace / 2)
			s.dropLapsed()
			s.remove("up/u1")
		}, "u1 u2"},
		{"lapsed in the grace of the second outage", func(s *storeTest) {
			s.Outage()
			s.Regained(minLapse)
			s.clock.Advance(returnGrace / 2)
			s.Outage()
			s.Regained(minLapse)
			s.clock.Advance(returnGrace / 2) // the grace of the first outage would end here
			s.dropLapsed()
			s.remove("up/u1")
		}, "u1 u2"},
		{"removed in an outage too short for a lapse", func(s *storeTest) {
			s.Outage()
			s.remove("up/u1")
			s.Regained(minLapse - 1)
			s.dropLapsed()
		}, "u2"},
		{"removed after the outage", func(s *storeTest) {
			s.Outage()
			s.Regained(minLapse)
			s.settle()
			s.remove("up/u1")
		}, "u2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStoreTest()
			s.put("up/u1", "")
			s.put("up/u2", "")
			tt.steps(s)
			is.New(t).Equal(s.usable(), tt.want)
		})
	}
}

// settle ends the grace after an outage. The fake clock runs its functions in the background, so it is done by hand.
func (s *storeTest) settle() {
	s.clock.Advance(returnGrace)
	s.dropLapsed()
}
