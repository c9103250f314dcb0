package document

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"
)

// Snapshot is a validated document with indexes for the look-ups on the request path. It is immutable.
type Snapshot struct {
	*Document
	// Hash is the SHA-256 of Raw in hexadecimal.
	Hash string
	// Raw is the canonical encoding of the document.
	Raw []byte

	keys        map[[sha256.Size]byte]TeamKey
	teams       map[string]*Team
	pools       map[string]*Pool
	hosts       map[string]EntryHost
	hostList    []EntryHost
	upstreams   map[string]PoolUpstream
	dataCentres map[string]*DataCentre
}

// TeamKey is an API key with the team that owns it.
type TeamKey struct {
	Team *Team
	Key  *Key
}

// EntryHost is an entry host with the name of its data centre.
type EntryHost struct {
	Host
	DataCentre string
}

// PoolUpstream is an upstream with the pool that contains it.
type PoolUpstream struct {
	*Upstream
	Pool *Pool
}

// NewSnapshot indexes a valid document. Unlike Parse, it does not limit the document's size.
func NewSnapshot(doc *Document) (*Snapshot, error) {
	raw, err := doc.Encode()
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(raw)
	s := &Snapshot{
		Document:    doc,
		Hash:        hex.EncodeToString(sum[:]),
		Raw:         raw,
		keys:        make(map[[sha256.Size]byte]TeamKey, doc.keyCount()),
		teams:       make(map[string]*Team, len(doc.Teams)),
		pools:       map[string]*Pool{},
		hosts:       map[string]EntryHost{},
		upstreams:   map[string]PoolUpstream{},
		dataCentres: map[string]*DataCentre{},
	}
	s.indexHosts()
	s.indexPools()
	return s, s.indexTeams()
}

// keyCount returns the total number of API keys of all teams.
func (d *Document) keyCount() int {
	count := 0
	for i := range d.Teams {
		count += len(d.Teams[i].Keys)
	}
	return count
}

func (s *Snapshot) indexHosts() {
	for i := range s.DataCentres {
		dc := &s.DataCentres[i]
		s.dataCentres[dc.Name] = dc
		for _, h := range dc.Hosts {
			host := EntryHost{Host: h, DataCentre: dc.Name}
			s.hosts[h.Name] = host
			s.hostList = append(s.hostList, host)
		}
	}
}

func (s *Snapshot) indexPools() {
	for i := range s.Pools {
		pool := &s.Pools[i]
		s.pools[pool.Name] = pool
		for j := range pool.Upstreams {
			u := &pool.Upstreams[j]
			s.upstreams[u.Name] = PoolUpstream{Upstream: u, Pool: pool}
		}
	}
}

func (s *Snapshot) indexTeams() error {
	for i := range s.Teams {
		team := &s.Teams[i]
		s.teams[team.Name] = team
		for j := range team.Keys {
			key := &team.Keys[j]
			var sum [sha256.Size]byte
			if _, err := hex.Decode(sum[:], []byte(key.SHA256)); err != nil {
				return errors.Wrapf(err, "decode hash of key %q of team %q", key.ID, team.Name)
			}
			s.keys[sum] = TeamKey{Team: team, Key: key}
		}
	}
	return nil
}

// LookupKey finds an API key and its team by the hash of the secret. It returns false if the key is unknown.
// It compares only hashes, so that timing does not leak information about the secret.
func (s *Snapshot) LookupKey(secret []byte) (TeamKey, bool) {
	tk, ok := s.keys[sha256.Sum256(secret)]
	return tk, ok
}

// Expired reports whether now is at or past the key's NotAfter time.
func (k *Key) Expired(now time.Time) bool {
	return k.NotAfter != nil && !now.Before(*k.NotAfter)
}

// Team returns the team with the given name, or nil.
func (s *Snapshot) Team(name string) *Team { return s.teams[name] }

// Pool returns the pool with the given name, or nil.
func (s *Snapshot) Pool(name string) *Pool { return s.pools[name] }

// Route returns the route with the given name, or nil.
func (s *Snapshot) Route(name string) *Route {
	for i := range s.Routes {
		if s.Routes[i].Name == name {
			return &s.Routes[i]
		}
	}
	return nil
}

// Host returns the entry host with the given name.
func (s *Snapshot) Host(name string) (EntryHost, bool) {
	h, ok := s.hosts[name]
	return h, ok
}

// EntryHosts returns all entry hosts, retired ones included, in document order. The caller must not modify the slice.
func (s *Snapshot) EntryHosts() []EntryHost { return s.hostList }

// Upstream returns the upstream with the given name and its pool.
func (s *Snapshot) Upstream(name string) (PoolUpstream, bool) {
	u, ok := s.upstreams[name]
	return u, ok
}

// AcceptsNewWork reports whether the upstream accepts new requests: both it and its data centre must be in.
func (s *Snapshot) AcceptsNewWork(u *Upstream) bool {
	dc := s.dataCentres[u.DataCentre]
	return u.State == StateIn && dc != nil && dc.State == StateIn
}
