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
	near, far := best{}, best{}
	for _, seat := range snap.Seats() {
		if seat.Retired || !live.Live(seat.Name) {
			continue
		}
		score := loadbalancer.Score(key, seat.Name)
		if seat.DataCentre == upstream.DataCentre {
			near.offer(seat, score)
		} else {
			far.offer(seat, score)
		}
	}
	if near.found {
		return near.seat, true
	}
	return far.seat, far.found
}

// best keeps the seat with the highest score.
type best struct {
	seat  document.SeatHost
	score uint64
	found bool
}

func (b *best) offer(seat document.SeatHost, score uint64) {
	if b.found && score <= b.score {
		return
	}
	*b = best{seat: seat, score: score, found: true}
}
