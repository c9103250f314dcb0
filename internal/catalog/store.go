package catalog

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/published"
)

// outageGrace is how long an upstream whose entry expired in a store outage is kept after the outage: running upstreams
// publish themselves again within two seconds.
const outageGrace = 2 * time.Second

// minExpiryOutage is the shortest outage in which entries can expire: upstreams publish themselves about once a second,
// and an entry expires at the third missed publication.
const minExpiryOutage = 2500 * time.Millisecond

// ItemKind is the kind of object that a published item describes.
type ItemKind int

// The kinds of published items.
const (
	// ItemIgnored is an item that this package does not use, such as an item of another writer.
	ItemIgnored ItemKind = iota
	ItemConfig
	ItemDisabledDataCentre
	ItemUpstream
)

// Entry is a decoded published item.
type Entry struct {
	Kind ItemKind
	// Name is the data centre for ItemDisabledDataCentre and the upstream's ID for ItemUpstream.
	Name     string
	Config   *Config
	Upstream *Upstream
}

// DecodeFunc decodes a published item. An item that cannot be decoded is returned as ItemIgnored with an error. The
// kind and the name of a removed item are taken from its key alone.
type DecodeFunc func(item published.Item, now time.Time) (Entry, error)

// Store builds snapshots from published items. It is safe for concurrent use.
type Store struct {
	decode DecodeFunc
	clock  clockwork.Clock
	log    zerolog.Logger

	current atomic.Pointer[Snapshot]
	// configReady is closed when the first configuration is available.
	configReady chan struct{}
	mu          sync.Mutex
	config      *Config
	// configRevision is the store's revision of config.
	configRevision      uint64
	disabledDataCentres map[string]bool
	streamTimeouts      map[string]time.Duration
	upstreams           map[string]*Upstream
	// pastVersions holds the software versions of upstreams that were removed or replaced.
	pastVersions *versionLog
	// expiredInOutage holds the upstreams whose entries were removed in a store outage.
	expiredInOutage map[string]bool
	// outageGraceEnd is the time until which removals count as expired entries. It is in the distant future during a
	// store outage, and then outageGrace after its end.
	outageGraceEnd time.Time
	// restoreGraceEnd is the end of the grace period after the store was restored from an older copy.
	restoreGraceEnd time.Time
}

// NewStore returns a store without a configuration.
func NewStore(decode DecodeFunc, clock clockwork.Clock, log zerolog.Logger) *Store {
	s := &Store{
		decode: decode, clock: clock, log: log, disabledDataCentres: map[string]bool{}, upstreams: map[string]*Upstream{},
		expiredInOutage: map[string]bool{}, pastVersions: newVersionLog(), streamTimeouts: map[string]time.Duration{}, configReady: make(chan struct{}),
	}
	s.current.Store(&Snapshot{DisabledDataCentres: s.disabledDataCentres, Upstreams: map[string][]*Upstream{}})
	return s
}

// Current returns the current snapshot.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// ConfigReady returns a channel that is closed when the first configuration is available.
func (s *Store) ConfigReady() <-chan struct{} { return s.configReady }

// Apply applies changed items and publishes one snapshot with all of them.
func (s *Store) Apply(items []published.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recognised := false
	for _, item := range items {
		recognised = s.apply(item) || recognised
	}
	if recognised {
		s.publish()
	}
}

// apply applies one item and reports whether its kind is known. The caller holds mu.
func (s *Store) apply(item published.Item) bool {
	entry, err := s.decode(item, s.clock.Now())
	if err != nil {
		s.log.Warn().Str("event", "item-unreadable").Str("key", item.Key).Uint64("revision", item.Revision).Err(err).Send()
	}
	switch entry.Kind {
	case ItemConfig:
		s.applyConfig(item, entry.Config)
	case ItemDisabledDataCentre:
		s.applyDataCentre(item, entry.Name)
	case ItemUpstream:
		s.applyUpstream(item, entry)
	case ItemIgnored:
		return false
	}
	return true
}

func (s *Store) applyConfig(item published.Item, c *Config) {
	if c == nil {
		s.log.Warn().Str("event", "config-removed").Uint64("revision", item.Revision).Msg("the previous configuration stays in force")
		return
	}
	if s.config != nil && c.Version <= s.config.Version {
		s.log.Warn().Str("event", "config-older").Uint64("version", c.Version).Uint64("in_force", s.config.Version).
			Uint64("revision", item.Revision).Send()
		return
	}
	c.Index()
	s.logRevokedKeys(c, item.Revision)
	s.config, s.configRevision = c, item.Revision
	s.extendStreamTimeouts(c)
	s.log.Info().Str("event", "config-in-force").Uint64("version", c.Version).Uint64("revision", item.Revision).
		Int("routes", len(c.Routes)).Int("keys", len(c.Teams)).Send()
}

// extendStreamTimeouts takes over the timeouts of the configuration's routes for streams, if they are longer than before:
// streams that began with the previous configuration go on.
func (s *Store) extendStreamTimeouts(c *Config) {
	timeouts := maps.Clone(s.streamTimeouts)
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, share := range r.WeightedServices {
			if r.Kind == Stream {
				timeouts[share.Service] = max(timeouts[share.Service], r.Timeout)
			}
		}
	}
	s.streamTimeouts = timeouts
}

func (s *Store) logRevokedKeys(next *Config, revision uint64) {
	if s.config == nil {
		return
	}
	revoked := map[string]int{}
	for key, team := range s.config.Teams {
		if next.Teams[key] == nil {
			revoked[team.Name]++
		}
	}
	for team, count := range revoked {
		s.log.Info().Str("event", "keys-withdrawn").Str("team", team).Int("count", count).
			Uint64("version", next.Version).Uint64("revision", revision).Send()
	}
}

func (s *Store) applyDataCentre(item published.Item, dataCentre string) {
	disabledDataCentres := make(map[string]bool, len(s.disabledDataCentres)+1)
	for name := range s.disabledDataCentres {
		disabledDataCentres[name] = true
	}
	if item.Removed {
		delete(disabledDataCentres, dataCentre)
	} else {
		disabledDataCentres[dataCentre] = true
	}
	s.disabledDataCentres = disabledDataCentres
	s.log.Info().Str("event", "data-centre-out").Str("data_centre", dataCentre).Bool("out", !item.Removed).
		Uint64("revision", item.Revision).Send()
}

func (s *Store) applyUpstream(item published.Item, entry Entry) {
	known := s.upstreams[entry.Name]
	if item.Removed || entry.Upstream == nil {
		if item.Removed && known != nil && s.clock.Now().Before(s.outageGraceEnd) {
			s.expiredInOutage[entry.Name] = true
			s.log.Info().Str("event", "upstream-lapsed").Str("upstream", entry.Name).Uint64("revision", item.Revision).Send()
			return
		}
		s.removeUpstream(entry.Name, item.Revision)
		return
	}
	delete(s.expiredInOutage, entry.Name)
	u := entry.Upstream
	if known == nil || known.Key() != u.Key() || known.Leaving != u.Leaving {
		s.log.Info().Str("event", "upstream-published").Str("upstream", u.ID).Str("service", u.Service).
			Str("peer", u.Address).Str("data_centre", u.DataCentre).Bool("leaving", u.Leaving).Int64("born", u.StartedAtMs).
			Str("software", u.Version).Time("cold_until", u.ColdUntil).Uint64("revision", item.Revision).Send()
	}
	if known != nil && (known.Version != u.Version || known.Service != u.Service) {
		s.recordPast(known)
	}
	s.upstreams[entry.Name] = u
}

// recordPast records the software version of an upstream that was published until now.
func (s *Store) recordPast(u *Upstream) {
	now := s.clock.Now()
	s.pastVersions.record(serviceVersion{u.Service, u.Version}, now, now)
}

func (s *Store) removeUpstream(id string, revision uint64) {
	delete(s.expiredInOutage, id)
	known := s.upstreams[id]
	if known == nil {
		return
	}
	s.recordPast(known)
	delete(s.upstreams, id)
	s.log.Info().Str("event", "upstream-gone").Str("upstream", id).Uint64("revision", revision).Send()
}

// OutageStarted records that the store does not respond, so that entries of running upstreams may expire.
func (s *Store) OutageStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outageGraceEnd = s.clock.Now().AddDate(1, 0, 0) // longer than any outage
}

// OutageEnded records that the store, or a host that reads it, responds again after an outage of the given length.
// Upstreams whose entries expired in the outage are removed if they do not publish themselves again within outageGrace,
// or at once if the outage was too short for entries to expire.
func (s *Store) OutageEnded(outage time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	grace := outageGrace
	if outage < minExpiryOutage {
		grace = 0
	}
	s.outageGraceEnd = s.clock.Now().Add(grace)
	if s.outageGraceEnd.Before(s.restoreGraceEnd) {
		s.outageGraceEnd = s.restoreGraceEnd
	}
	s.clock.AfterFunc(grace, s.removeExpired)
}

// Restored records that the store was restored from an older copy, which lacks what was published since. Upstreams that
// it lacks are removed if they do not publish themselves again within outageGrace.
func (s *Store) Restored(era published.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Warn().Str("event", "store-restored").Uint64("era", era.Era).Uint64("restored_at", era.Revision).
		Uint64("config_revision", s.configRevision).Int("upstreams", len(s.upstreams)).Send()
	s.restoreGraceEnd = s.clock.Now().Add(outageGrace)
	if s.outageGraceEnd.Before(s.restoreGraceEnd) {
		s.outageGraceEnd = s.restoreGraceEnd
	}
	s.clock.AfterFunc(outageGrace, s.removeExpired)
}

// removeExpired removes the upstreams with expired entries at the end of the grace period, unless another outage has
// begun or ended since.
func (s *Store) removeExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.clock.Now(); now.Before(s.outageGraceEnd) || len(s.expiredInOutage) == 0 {
		return
	}
	for id := range s.expiredInOutage {
		s.removeUpstream(id, 0)
	}
	s.publish()
}

// publish builds and publishes the next snapshot. The caller holds mu.
func (s *Store) publish() {
	next := &Snapshot{Config: s.config, ConfigRevision: s.configRevision, DisabledDataCentres: s.disabledDataCentres, Upstreams: map[string][]*Upstream{}, StreamTimeouts: s.streamTimeouts, Versions: map[string][]string{}}
	for _, u := range s.upstreams {
		next.Upstreams[u.Service] = append(next.Upstreams[u.Service], u)
	}
	for _, list := range next.Upstreams {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
		next.Versions[list[0].Service] = distinctVersions(list)
	}
	before := s.current.Swap(next)
	if before.Config == nil && next.Config != nil {
		close(s.configReady)
	}
}
