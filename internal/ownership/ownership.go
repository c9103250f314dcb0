// Package ownership picks the entry host that all work for an upstream passes through: its owner.
//
// Every router computes the owner from the document's seats and its own view of who is live. Views may differ for
// seconds, so that two hosts own an upstream at once; no bound may depend on the owner being unique.
package ownership

import (
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// Liveness says which hosts are believed live and not leaving.
type Liveness interface {
	Live(host string) bool
}

// Owner returns the owner of the upstream: the first live seat of the upstream's own data centre in rendezvous order,
// or, when none of them lives, the first live seat of the others. It returns false when no seat lives.
func Owner(snap *document.Snapshot, live Liveness, upstream *document.Upstream) (document.SeatHost, bool) {
	key := loadbalancer.HashKey(upstream.Name)
	near := func(seat *document.SeatHost) bool { return seat.DataCentre == upstream.DataCentre }
	if owner := first(snap, live, key, near); owner != nil {
		return *owner, true
	}
	far := func(seat *document.SeatHost) bool { return seat.DataCentre != upstream.DataCentre }
	if owner := first(snap, live, key, far); owner != nil {
		return *owner, true
	}
	return document.SeatHost{}, false
}

// first returns the live seat with the highest score among those that match, or nil. Liveness is asked only of a seat
// that would be the best so far, since it costs more than the score.
func first(snap *document.Snapshot, live Liveness, key uint64, match func(*document.SeatHost) bool) *document.SeatHost {
	var best *document.SeatHost
	var highest uint64
	seats := snap.Seats()
	for i := range seats {
		seat := &seats[i]
		if seat.Retired || !match(seat) {
			continue
		}
		score := loadbalancer.Score(key, seat.Name)
		if (best == nil || score > highest) && live.Live(seat.Name) {
			best, highest = seat, score
		}
	}
	return best
}
