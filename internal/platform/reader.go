package platform

import (
	"slices"
	"time"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/ownership"
)

const (
	// watchersPerDataCentre hosts of each data centre watch the platform; the others hear of changes from their peers.
	watchersPerDataCentre = 2
	// pollUnit times a host's rank among the readers of its data centre is the time between two reads of a host that
	// does not watch. The sum over a data centre of n hosts grows with the logarithm of n.
	pollUnit = 10 * time.Second
)

// rank returns the host's place among the live hosts of its data centre, from 0, in an order that all of them agree on.
// A host that the document does not list has rank 0.
func rank(snap *document.Snapshot, live ownership.Liveness, host string) int {
	self, ok := snap.Host(host)
	if !ok {
		return 0
	}
	names := []string{host}
	for _, seat := range snap.Seats() {
		if seat.DataCentre == self.DataCentre && seat.Name != host && !seat.Retired && live.Live(seat.Name) {
			names = append(names, seat.Name)
		}
	}
	loadbalancer.SortByScore(loadbalancer.HashKey("platform-reader"), names)
	return slices.Index(names, host)
}

// pollInterval returns the time between two reads of the host of that rank, and 0 for a host that watches.
func pollInterval(rank int) time.Duration {
	if rank < watchersPerDataCentre {
		return 0
	}
	return time.Duration(rank) * pollUnit
}
