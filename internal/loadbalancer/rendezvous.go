// Package loadbalancer orders upstreams and hosts by rendezvous hashing: every router computes the same order for the
// same key without shared state, and a member that leaves or returns moves only its own share of the keys.
package loadbalancer

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous score of member for key. The member with the highest score is first in the order.
func Score(key uint64, member string) uint64 {
	return ScoreHashed(key, HashKey(member))
}

// ScoreHashed is Score for a member whose HashKey is already computed.
func ScoreHashed(key, member uint64) uint64 { return mix(key ^ member) }

// mix is the finaliser of SplitMix64. It distributes the XOR of two hashes over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// HashKey returns the hash of a key, such as a chat ID, for Score and SortByScore, or the hash of a member for
// ScoreHashed.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// SortByScore sorts members in place by descending score for key.
func SortByScore(key uint64, members []string) {
	slices.SortFunc(members, func(a, b string) int {
		sa, sb := Score(key, a), Score(key, b)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		default:
			return 0
		}
	})
}

// HighestScored returns the member with the highest score, or "" if there is none.
func HighestScored(key uint64, members []string) string {
	best, bestScore := "", uint64(0)
	for _, m := range members {
		if s := Score(key, m); best == "" || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
}
