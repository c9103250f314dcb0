package catalog

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/published"
)

// returnGrace is how long an upstream whose entry lapsed in an outage of the store is kept after the store's return:
// upstreams that live publish themselves again within two seconds.
const returnGrace = 2 * time.Second

// minLapse is the shortest outage in which entries can lapse: upstreams publish themselves about once a second, and the
// third time that is missed ends an entry.
const minLapse = 2500 * time.Millisecond

// ItemKind is what a published item describes.
type ItemKind int

// The kinds of published items.
const (
	// ItemIgnored is an item that names nothing of use here, such as another writer's.
	ItemIgnored ItemKind = iota
	ItemConfig
	ItemDisabledDataCentre
	ItemUpstream
)

// Entry is a published item, decoded.
type Entry struct {
	Kind ItemKind
	// Name is the data centre of ItemOut and the upstream's ID of ItemUpstream.
	Name     string
	Config   *Config
	Upstream *Upstream
}

// DecodeFunc turns a published item into an entry. Items that cannot be read are ItemIgnored, with the reason; the kind and
// the name of removed items come from the key alone.
type DecodeFunc func(item published.Item, now time.Time) (Entry, error)

// Store builds snapshots from published items. It is safe for concurrent use.
type Store struct {
	decode DecodeFunc
	clock  clockwork.Clock
	log    zerolog.Logger

	current atomic.Pointer[Snapshot]
	// first is closed when a configuration is known.
	first  chan struct{}
	mu     sync.Mutex
	config *Config
	// revision is that of config.
	revision  uint64
	out       map[string]bool
	upstreams map[string]*Upstream
	// lapsed holds upstreams whose entries were removed in an outage of the store.
	lapsed map[string]bool
	// lapseEnd is until when removals count as lapses: forever while the store does not answer, and until returnGrace
	// after its return.
	lapseEnd time.Time
}

// NewStore returns a store without a configuration.
func NewStore(decode DecodeFunc, clock clockwork.Clock, log zerolog.Logger) *Store {
	s := &Store{
		decode: decode, clock: clock, log: log, out: map[string]bool{}, upstreams: map[string]*Upstream{},
		lapsed: map[string]bool{}, first: make(chan struct{}),
	}
	s.current.Store(&Snapshot{DisabledDataCentres: s.out, Upstreams: map[string][]*Upstream{}})
	return s
}

// Current returns what is in force.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// ConfigReady is closed when a configuration is known.
func (s *Store) ConfigReady() <-chan struct{} { return s.first }

// Apply takes changed items and publishes one snapshot with all of them.
func (s *Store) Apply(items []published.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := false
	for _, item := range items {
		known = s.apply(item) || known
	}
	if known {
		s.publish()
	}
}

// apply takes one item and reports whether it is of a known kind. The caller holds mu.
func (s *Store) apply(item published.Item) bool {
	entry, err := s.decode(item, s.clock.Now())
	if err != nil {
		s.log.Warn().Str("event", "item-unreadable").Str("key", item.Key).Uint64("revision", item.Revision).Err(err).Send()
	}
	switch entry.Kind {
	case ItemConfig:
		s.applyConfig(item, entry.Config)
	case ItemDisabledDataCentre:
		s.applyOut(item, entry.Name)
	case ItemUpstream:
		s.applyUpstream(item, entry)
	case ItemIgnored:
		return false
	}
	return true
}

func (s *Store) applyConfig(item published.Item, c *Config) {
	if c == nil {
		s.log.Warn().Str("event", "config-removed").Uint64("revision", item.Revision).Msg("the last one stays in force")
		return
	}
	if s.config != nil && c.Version <= s.config.Version {
		s.log.Warn().Str("event", "config-older").Uint64("version", c.Version).Uint64("in_force", s.config.Version).
			Uint64("revision", item.Revision).Send()
		return
	}
	c.Index()
	s.logWithdrawn(c, item.Revision)
	s.config, s.revision = c, item.Revision
	s.log.Info().Str("event", "config-in-force").Uint64("version", c.Version).Uint64("revision", item.Revision).
		Int("routes", len(c.Routes)).Int("keys", len(c.Teams)).Send()
}

func (s *Store) logWithdrawn(next *Config, revision uint64) {
	if s.config == nil {
		return
	}
	withdrawn := map[string]int{}
	for key, team := range s.config.Teams {
		if next.Teams[key] == nil {
			withdrawn[team.Name]++
		}
	}
	for team, count := range withdrawn {
		s.log.Info().Str("event", "keys-withdrawn").Str("team", team).Int("count", count).
			Uint64("version", next.Version).Uint64("revision", revision).Send()
	}
}

func (s *Store) applyOut(item published.Item, dataCentre string) {
	out := make(map[string]bool, len(s.out)+1)
	for name := range s.out {
		out[name] = true
	}
	if item.Removed {
		delete(out, dataCentre)
	} else {
		out[dataCentre] = true
	}
	s.out = out
	s.log.Info().Str("event", "data-centre-out").Str("data_centre", dataCentre).Bool("out", !item.Removed).
		Uint64("revision", item.Revision).Send()
}

func (s *Store) applyUpstream(item published.Item, entry Entry) {
	known := s.upstreams[entry.Name]
	if item.Removed || entry.Upstream == nil {
		if known != nil && s.clock.Now().Before(s.lapseEnd) {
			s.lapsed[entry.Name] = true
			s.log.Info().Str("event", "upstream-lapsed").Str("upstream", entry.Name).Uint64("revision", item.Revision).Send()
			return
		}
		s.forget(entry.Name, item.Revision)
		return
	}
	delete(s.lapsed, entry.Name)
	u := entry.Upstream
	if known == nil || known.Key() != u.Key() || known.Leaving != u.Leaving {
		s.log.Info().Str("event", "upstream-published").Str("upstream", u.ID).Str("service", u.Service).
			Str("peer", u.Address).Str("data_centre", u.DataCentre).Bool("leaving", u.Leaving).Int64("born", u.StartedAtMs).
			Time("cold_until", u.ColdUntil).Uint64("revision", item.Revision).Send()
	}
	s.upstreams[entry.Name] = u
}

func (s *Store) forget(id string, revision uint64) {
	delete(s.lapsed, id)
	if s.upstreams[id] == nil {
		return
	}
	delete(s.upstreams, id)
	s.log.Info().Str("event", "upstream-gone").Str("upstream", id).Uint64("revision", revision).Send()
}

// Outage says that the store does not answer, so that entries may lapse whose upstreams live.
func (s *Store) Outage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseEnd = s.clock.Now().AddDate(1, 0, 0) // no outage that matters lasts a year
}

// Regained says that the store, or a host that reads it, answers again after so long. Entries that lapsed meanwhile
// count as gone if they are not back soon, and at once if the time was too short for entries to lapse.
func (s *Store) Regained(outage time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	grace := returnGrace
	if outage < minLapse {
		grace = 0
	}
	s.lapseEnd = s.clock.Now().Add(grace)
	s.clock.AfterFunc(grace, s.dropLapsed)
}

// dropLapsed ends the grace after an outage, unless another one began or ended meanwhile.
func (s *Store) dropLapsed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clock.Now().Before(s.lapseEnd) || len(s.lapsed) == 0 {
		return
	}
	for id := range s.lapsed {
		s.forget(id, 0)
	}
	s.publish()
}

// publish makes the next snapshot; the caller holds mu.
func (s *Store) publish() {
	next := &Snapshot{Config: s.config, ConfigRevision: s.revision, DisabledDataCentres: s.out, Upstreams: map[string][]*Upstream{}}
	for _, u := range s.upstreams {
		next.Upstreams[u.Service] = append(next.Upstreams[u.Service], u)
	}
	for _, list := range next.Upstreams {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	before := s.current.Swap(next)
	if before.Config == nil && next.Config != nil {
		close(s.first)
	}
}
