// Package quota admits requests under each team's rate and burst over the whole fleet.
//
// The document splits both over the seats, so that the parts add up to no more than the whole whatever the hosts
// believe of each other. A host spends its own part, and borrows single tokens for waiting requests from other seats:
// the lender debits its bucket before it answers, and the borrower spends a token within GrantValidity or drops it.
// Lost, repeated and late messages can therefore only lose tokens. When a document moves parts, a host that gains
// waits until every seat has acknowledged the new split.
package quota

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// minPartBurst is the smallest burst of one part, in requests. A team whose burst over all seats gives less sits on
// fewer seats, since a part below one request could never be spent.
const minPartBurst = 4

// activeSeats returns the seats that hold parts, in document order.
func activeSeats(snap *document.Snapshot) []document.SeatHost {
	var seats []document.SeatHost
	for _, s := range snap.Seats() {
		if !s.Retired {
			seats = append(seats, s)
		}
	}
	return seats
}

// seatCount returns the number of the team's seats among n: all of them, or a power of two for a small team, so that
// few changes of a burst move parts.
func seatCount(team *document.Team, n int) int {
	most := int(min(team.Burst/minPartBurst, float64(n)))
	if most >= n {
		return n
	}
	count := 1
	for count*2 <= most {
		count *= 2
	}
	return count
}

// teamSeats returns the seats that hold the team's parts: all active ones, or the first few by rendezvous hashing.
func teamSeats(team *document.Team, active []document.SeatHost) []document.SeatHost {
	count := seatCount(team, len(active))
	if count >= len(active) {
		return active
	}
	key := loadbalancer.HashKey(team.Name)
	ordered := slices.Clone(active)
	slices.SortFunc(ordered, func(a, b document.SeatHost) int {
		if before(key, a.Name, b.Name) {
			return -1
		}
		return 1
	})
	return ordered[:count]
}

// before reports whether seat a comes before seat b in the order of a team's key.
func before(key uint64, a, b string) bool {
	sa, sb := loadbalancer.Score(key, a), loadbalancer.Score(key, b)
	if sa != sb {
		return sa > sb
	}
	return a < b
}

// fraction returns the host's part of the team's rate and burst, from 0 to 1. It counts the seats before the host
// until there are too many instead of ordering all of them, since a change of seats asks for every team.
func fraction(host string, team *document.Team, active []document.SeatHost) float64 {
	count := seatCount(team, len(active))
	if !seated(host, active) || count < len(active) && !among(count, host, team, active) {
		return 0
	}
	return 1 / float64(count)
}

func seated(host string, active []document.SeatHost) bool {
	for i := range active {
		if active[i].Name == host {
			return true
		}
	}
	return false
}

// among reports whether the host is one of the first count seats of the team.
func among(count int, host string, team *document.Team, active []document.SeatHost) bool {
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

// splitHash identifies the fractions of every team on every seat: the active seats, and the seat count of each team
// that does not sit on all of them.
func splitHash(snap *document.Snapshot, active []document.SeatHost) uint64 {
	names := make([]string, 0, len(active))
	for _, s := range active {
		names = append(names, s.Name)
	}
	slices.Sort(names)
	var small []string
	for i := range snap.Teams {
		team := &snap.Teams[i]
		if count := seatCount(team, len(active)); count < len(active) {
			small = append(small, string(binary.AppendUvarint(nil, uint64(count)))+team.Name)
		}
	}
	slices.Sort(small)
	digest := xxhash.New()
	for _, name := range append(append(names, ""), small...) {
		// Writing to an xxhash digest cannot fail.
		_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(name))))
		_, _ = digest.WriteString(name)
	}
	return digest.Sum64()
}
