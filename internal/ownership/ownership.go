// Package ownership selects the owner of an upstream: the entry host through which all its requests pass.
//
// Every router computes the owner from the document's hosts and its own view of which hosts are live. Views may differ
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

// Owner returns the owner of the upstream: the first live entry host of the upstream's own data centre in rendezvous
// order, or, if none of them is live, the first live one of the other data centres. It returns false if no entry host
// is live.
func Owner(snap *document.Snapshot, live Liveness, upstream *document.Upstream) (document.EntryHost, bool) {
	key := loadbalancer.HashKey(upstream.Name)
	local := func(host *document.EntryHost) bool { return host.DataCentre == upstream.DataCentre }
	if owner := first(snap, live, key, local); owner != nil {
		return *owner, true
	}
	remote := func(host *document.EntryHost) bool { return host.DataCentre != upstream.DataCentre }
	if owner := first(snap, live, key, remote); owner != nil {
		return *owner, true
	}
	return document.EntryHost{}, false
}

// first returns the live entry host with the highest score among those that match, or nil. Liveness is checked only for
// a host with the highest score so far, since that check costs more than the score.
func first(snap *document.Snapshot, live Liveness, key uint64, match func(*document.EntryHost) bool) *document.EntryHost {
	var best *document.EntryHost
	var bestScore uint64
	hosts := snap.EntryHosts()
	for i := range hosts {
		host := &hosts[i]
		if host.Retired || !match(host) {
			continue
		}
		score := loadbalancer.Score(key, host.Name)
		if (best == nil || score > bestScore) && live.Live(host.Name) {
			best, bestScore = host, score
		}
	}
	return best
}
