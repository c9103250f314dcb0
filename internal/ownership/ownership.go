// Package ownership selects the owner of an upstream: the entry host through which all its requests pass.
//
// Every router computes the owner from the document's seats and its own view of which hosts are live. Views may differ
// for seconds, so that two hosts may own an upstream at the same time. No limit may depend on the owner being unique.
package ownership

import (
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// Liveness reports which hosts are considered live and not leaving.
type Liveness interface {
	Live(host string) bool
}

// Owner returns the owner of the upstream: the first live seat of the upstream's own data centre in rendezvous order, or,
// if none of them is live, the first live seat of the other data centres. It returns false if no seat is live.
func Owner(snap *document.Snapshot, live Liveness, upstream *document.Upstream) (document.EntryHost, bool) {
	key := loadbalancer.HashKey(upstream.Name)
	local := func(seat *document.EntryHost) bool { return seat.DataCentre == upstream.DataCentre }
	if owner := first(snap, live, key, local); owner != nil {
		return *owner, true
	}
	remote := func(seat *document.EntryHost) bool { return seat.DataCentre != upstream.DataCentre }
	if owner := first(snap, live, key, remote); owner != nil {
		return *owner, true
	}
	return document.EntryHost{}, false
}

// first returns the live seat with the highest score among those that match, or nil. Liveness is checked only for a seat
// with the highest score so far, since that check costs more than the score.
func first(snap *document.Snapshot, live Liveness, key uint64, match func(*document.EntryHost) bool) *document.EntryHost {
	var best *document.EntryHost
	var bestScore uint64
	seats := snap.EntryHosts()
	for i := range seats {
		seat := &seats[i]
		if seat.Retired || !match(seat) {
			continue
		}
		score := loadbalancer.Score(key, seat.Name)
		if (best == nil || score > bestScore) && live.Live(seat.Name) {
			best, bestScore = seat, score
		}
	}
	return best
}
