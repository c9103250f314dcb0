package catalog

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// versionExpiry is how long a software version that is no longer published is remembered. It exceeds the time for which a
// stream may be continued.
const versionExpiry = 2 * time.Minute

// serviceVersion is a software version of a service's upstreams.
type serviceVersion struct {
	service, version string
}

// versionLog holds when software versions were last published. It has its own lock, since it is read for each stream and a
// large configuration is decoded under that of the store.
type versionLog struct {
	mu            sync.Mutex
	lastPublished map[serviceVersion]time.Time
}

func newVersionLog() *versionLog { return &versionLog{lastPublished: map[serviceVersion]time.Time{}} }

// record records that the version was published until the given time.
func (l *versionLog) record(v serviceVersion, at, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.lastPublished, func(_ serviceVersion, at time.Time) bool { return now.Sub(at) > versionExpiry })
	if l.lastPublished[v].Before(at) {
		l.lastPublished[v] = at
	}
}

// appendSince appends the versions of the service that were published since then and are not in the list.
func (l *versionLog) appendSince(list []string, service string, since time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for v, at := range l.lastPublished {
		if v.service == service && !at.Before(since) && !slices.Contains(list, v.version) {
			list = append(list, v.version)
		}
	}
	return list
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
	// A version is recorded as past before the snapshot that lacks it, so that reading the snapshot first misses none.
	versions := slices.Clone(s.Current().Versions[service])
	versions = s.pastVersions.appendSince(versions, service, since)
	slices.Sort(versions)
	return versions
}

// RecordPastVersion records that an upstream of the version was published at the given time, as the store's history
// tells.
func (s *Store) RecordPastVersion(service, version string, at time.Time) {
	s.pastVersions.record(serviceVersion{service, version}, at, s.clock.Now())
}
