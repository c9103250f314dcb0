// Package quota admits requests under each team's rate and burst over the whole fleet.
//
// The configuration document lists the hosts and thereby determines how rate and burst are split over them, so that the
// shares add up to at most the whole, whatever the hosts' views of each other. A host spends its own share, and borrows
// single tokens for waiting requests from other hosts: the lender debits its bucket before it replies, and the borrower
// spends a token within GrantValidity or drops it. Lost, repeated and late messages can therefore only lose tokens.
// When a new document moves shares, a host whose share grows waits until every listed host has acknowledged the new
// split. Hosts that the document marks as retired hold no share.
package quota

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// minShareBurst is the minimum burst of one share, in requests. A team whose burst divided by all hosts is lower is
// split over fewer hosts, since a share of less than one request could never be spent.
const minShareBurst = 4

// activeHosts returns the hosts that hold shares, in document order.
func activeHosts(snap *document.Snapshot) []document.EntryHost {
	var hosts []document.EntryHost
	for _, s := range snap.EntryHosts() {
		if !s.Retired {
			hosts = append(hosts, s)
		}
	}
	return hosts
}

// hostCount returns the number of hosts, out of n, over which the team is split: all of them, or a power of two for a
// small team, so that few changes of a burst move shares.
func hostCount(team *document.Team, n int) int {
	maxHosts := int(min(team.Burst/minShareBurst, float64(n)))
	if maxHosts >= n {
		return n
	}
	count := 1
	for count*2 <= maxHosts {
		count *= 2
	}
	return count
}

// teamHosts returns the hosts that hold the team's shares: all active ones, or the first ones in rendezvous order.
func teamHosts(team *document.Team, active []document.EntryHost) []document.EntryHost {
	count := hostCount(team, len(active))
	if count >= len(active) {
		return active
	}
	key := loadbalancer.HashKey(team.Name)
	ordered := slices.Clone(active)
	slices.SortFunc(ordered, func(a, b document.EntryHost) int {
		if ranksBefore(key, a.Name, b.Name) {
			return -1
		}
		return 1
	})
	return ordered[:count]
}

// ranksBefore reports whether host a precedes host b in the rendezvous order of the key.
func ranksBefore(key uint64, a, b string) bool {
	scoreA, scoreB := loadbalancer.Score(key, a), loadbalancer.Score(key, b)
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a < b
}

// fraction returns the host's share of the team's rate and burst, from 0 to 1. It counts the hosts that rank
// before this one instead of sorting all of them, since each change of the hosts computes it for every team.
func fraction(host string, team *document.Team, active []document.EntryHost) float64 {
	count := hostCount(team, len(active))
	if !isActiveHost(host, active) || count < len(active) && !ranksAmongFirst(count, host, team, active) {
		return 0
	}
	return 1 / float64(count)
}

func isActiveHost(host string, active []document.EntryHost) bool {
	for i := range active {
		if active[i].Name == host {
			return true
		}
	}
	return false
}

// ranksAmongFirst reports whether the host is one of the first count hosts of the team.
func ranksAmongFirst(count int, host string, team *document.Team, active []document.EntryHost) bool {
	key := loadbalancer.HashKey(team.Name)
	own := loadbalancer.Score(key, host)
	rank := 0
	for i := range active {
		name := active[i].Name
		score := loadbalancer.Score(key, name)
		if score > own || score == own && name < host {
			rank++
		}
		if rank >= count {
			return false
		}
	}
	return true
}

// splitHash returns a hash that identifies the fractions of every team on every host. It covers the active hosts and
// the host count of each team that is not split over all of them.
func splitHash(snap *document.Snapshot, active []document.EntryHost) uint64 {
	names := make([]string, 0, len(active))
	for _, s := range active {
		names = append(names, s.Name)
	}
	slices.Sort(names)
	var partialTeams []string
	for i := range snap.Teams {
		team := &snap.Teams[i]
		if count := hostCount(team, len(active)); count < len(active) {
			partialTeams = append(partialTeams, string(binary.AppendUvarint(nil, uint64(count)))+team.Name)
		}
	}
	slices.Sort(partialTeams)
	digest := xxhash.New()
	for _, name := range append(append(names, ""), partialTeams...) {
		// Writing to an xxhash digest cannot fail.
		_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(name))))
		_, _ = digest.WriteString(name)
	}
	return digest.Sum64()
}
