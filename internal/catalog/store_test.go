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

// decodeTest decodes items in a format for tests: "config/VERSION", "out/NAME", and "up/ID" with the state as value.
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

// usable returns the IDs of the upstreams that accept new work.
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

func TestConfigVersionNeverDecreases(t *testing.T) {
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

func TestUpstreamsThatAcceptNewWork(t *testing.T) {
	tests := []struct {
		name  string
		steps func(*storeTest)
		want  string
	}{
		{"published", func(s *storeTest) {}, "u1 u2"},
		{"leaving", func(s *storeTest) { s.put("up/u1", "leaving") }, "u2"},
		{"removed", func(s *storeTest) { s.remove("up/u1") }, "u2"},
		{"unreadable", func(s *storeTest) { s.put("up/u1", "bad") }, "u2"},
		{"readable again", func(s *storeTest) { s.put("up/u1", "bad"); s.put("up/u1", "") }, "u1 u2"},
		{"unreadable in an outage", func(s *storeTest) { s.OutageStarted(); s.put("up/u1", "bad") }, "u2"},
		{"unreadable in the grace period after an outage", func(s *storeTest) {
			s.OutageStarted()
			s.OutageEnded(minExpiryOutage)
			s.put("up/u1", "bad")
		}, "u2"},
		{"unreadable in a restored store", func(s *storeTest) { s.Restored(published.Version{Era: 2, Revision: 5}); s.put("up/u1", "bad") }, "u2"},
		{"expired in an outage and unreadable after it", func(s *storeTest) {
			s.OutageStarted()
			s.remove("up/u1")
			s.OutageEnded(minExpiryOutage)
			s.put("up/u1", "bad")
		}, "u2"},
		{"item of another writer", func(s *storeTest) { s.put("other/u1", "") }, "u1 u2"},
		{"data centre disabled", func(s *storeTest) { s.put("out/a", "") }, ""},
		{"data centre enabled again", func(s *storeTest) { s.put("out/a", ""); s.remove("out/a") }, "u1 u2"},
		{"expired in an outage", func(s *storeTest) { s.OutageStarted(); s.remove("up/u1") }, "u1 u2"},
		{"leaving before an outage", func(s *storeTest) { s.put("up/u1", "leaving"); s.OutageStarted(); s.remove("up/u1") }, "u2"},
		{"published again after the outage", func(s *storeTest) {
			s.OutageStarted()
			s.remove("up/u1")
			s.OutageEnded(minExpiryOutage)
			s.put("up/u1", "")
			s.endGrace()
		}, "u1 u2"},
		{"not published again after the outage", func(s *storeTest) {
			s.OutageStarted()
			s.remove("up/u1")
			s.OutageEnded(minExpiryOutage)
			s.endGrace()
		}, "u2"},
		{"expired in an outage that began in the grace period of another", func(s *storeTest) {
			s.OutageStarted()
			s.OutageEnded(minExpiryOutage)
			s.clock.Advance(outageGrace / 2)
			s.OutageStarted()
			s.clock.Advance(outageGrace / 2)
			s.removeExpired()
			s.remove("up/u1")
		}, "u1 u2"},
		{"expired in the grace period of the second outage", func(s *storeTest) {
			s.OutageStarted()
			s.OutageEnded(minExpiryOutage)
			s.clock.Advance(outageGrace / 2)
			s.OutageStarted()
			s.OutageEnded(minExpiryOutage)
			s.clock.Advance(outageGrace / 2) // the grace period of the first outage would end here
			s.removeExpired()
			s.remove("up/u1")
		}, "u1 u2"},
		{"removed in an outage too short for expiry", func(s *storeTest) {
			s.OutageStarted()
			s.remove("up/u1")
			s.OutageEnded(minExpiryOutage - 1)
			s.removeExpired()
		}, "u2"},
		{"missing in a restored store after a short outage", func(s *storeTest) {
			s.OutageStarted()
			s.Restored(published.Version{Era: 2, Revision: 5})
			s.remove("up/u1")
			s.OutageEnded(minExpiryOutage - 1)
			s.removeExpired()
		}, "u1 u2"},
		{"published again in a restored store", func(s *storeTest) {
			s.Restored(published.Version{Era: 2, Revision: 5})
			s.remove("up/u1")
			s.put("up/u1", "")
			s.endGrace()
		}, "u1 u2"},
		{"not published again in a restored store", func(s *storeTest) {
			s.Restored(published.Version{Era: 2, Revision: 5})
			s.remove("up/u1")
			s.endGrace()
		}, "u2"},
		{"removed after the outage", func(s *storeTest) {
			s.OutageStarted()
			s.OutageEnded(minExpiryOutage)
			s.endGrace()
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

// endGrace ends the grace period after an outage. It calls removeExpired directly, since the fake clock runs its
// functions in the background.
func (s *storeTest) endGrace() {
	s.clock.Advance(outageGrace)
	s.removeExpired()
}
