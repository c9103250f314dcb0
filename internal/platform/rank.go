package platform

import (
	"slices"
	"time"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/ownership"
)

const (
	// watchersPerDataCentre is the number of hosts in each data centre that watch the platform. The others receive
	// changes from their peers.
	watchersPerDataCentre = 2
	// pollIntervalPerRank times a host's rank is the time between two reads by a host that does not watch. The total
	// call rate of a data centre of n hosts grows with the logarithm of n.
	pollIntervalPerRank = 10 * time.Second
)

// rank returns the host's position, from 0, among the live hosts of its data centre in rendezvous order, which is the
// same on every host. A host that the document does not list has rank 0.
func rank(snap *document.Snapshot, live ownership.Liveness, host string) int {
	self, ok := snap.Host(host)
	if !ok {
		return 0
	}
	names := []string{host}
	for _, other := range snap.EntryHosts() {
		if other.DataCentre == self.DataCentre && other.Name != host && !other.Retired && live.Live(other.Name) {
			names = append(names, other.Name)
		}
	}
	loadbalancer.SortByScore(loadbalancer.HashKey("platform-reader"), names)
	return slices.Index(names, host)
}

// pollInterval returns the time between two reads by a host of the given rank, or 0 for a host that watches.
func pollInterval(rank int) time.Duration {
	if rank < watchersPerDataCentre {
		return 0
	}
	return time.Duration(rank) * pollIntervalPerRank
}
