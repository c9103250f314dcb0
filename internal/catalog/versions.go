package catalog

import (
	"slices"
	"time"
)

// versionExpiry is how long a software version that is no longer published is remembered. It exceeds the time for which a
// stream may be continued.
const versionExpiry = 2 * time.Minute

// serviceVersion is a software version of a service's upstreams.
type serviceVersion struct {
	service, version string
}

// versionLog holds when software versions were last published.
type versionLog map[serviceVersion]time.Time

// record records that an upstream of the version was published until now.
func (l versionLog) record(u *Upstream, now time.Time) {
	for v, at := range l {
		if now.Sub(at) > versionExpiry {
			delete(l, v)
		}
	}
	l[serviceVersion{u.Service, u.Version}] = now
}

// distinctVersions returns the software versions of the upstreams in ascending order.
func distinctVersions(upstreams []*Upstream) []string {
	var versions []string
	for _, u := range upstreams {
		if !slices.Contains(versions, u.Version) {
			versions = append(versions, u.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// VersionsSince returns the software versions of the service's upstreams that were published at any time since then, as
// far as this host has followed the published items, in ascending order.
func (s *Store) VersionsSince(service string, since time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := slices.Clone(s.Current().Versions[service])
	for v, at := range s.pastVersions {
		if v.service == service && !at.Before(since) && !slices.Contains(versions, v.version) {
			versions = append(versions, v.version)
		}
	}
	slices.Sort(versions)
	return versions
}

// RecordPastVersion records that an upstream of the version was published at the given time, as the store's history
// tells.
func (s *Store) RecordPastVersion(service, version string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := (serviceVersion{service, version}); s.pastVersions[v].Before(at) {
		s.pastVersions[v] = at
	}
}
