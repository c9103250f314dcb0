package loadbalancer

import "github.com/cespare/xxhash/v2"

// maxRanked is the maximum number of members that one call of AppendTop ranks.
const maxRanked = 16

// Ranking finds the members with the highest rendezvous scores for a key. It is immutable.
type Ranking struct {
	names  []string
	hashes []uint64
}

// NewRanking returns the ranking of the members.
func NewRanking(members []string) Ranking {
	r := Ranking{names: members, hashes: make([]uint64, len(members))}
	for i, m := range members {
		r.hashes[i] = xxhash.Sum64String(m)
	}
	return r
}

// Len returns the number of members.
func (r *Ranking) Len() int { return len(r.names) }

// Name returns the i-th member in the order given to NewRanking.
func (r *Ranking) Name(i int) string { return r.names[i] }

// ranked is the index of a member with its score.
type ranked struct {
	score  uint64
	member int
}

// AppendTop appends the members with the highest scores for key to buf, highest first, at most limit and at most maxRanked
// of them.
func (r *Ranking) AppendTop(buf []string, key uint64, limit int) []string {
	var best [maxRanked]ranked
	limit = min(limit, maxRanked)
	if limit <= 0 {
		return buf
	}
	found := 0
	for i, h := range r.hashes {
		score := mix(key ^ h)
		if found == limit && score <= best[found-1].score {
			continue
		}
		if found < limit {
			found++
		}
		pos := found - 1
		for pos > 0 && best[pos-1].score < score {
			best[pos] = best[pos-1]
			pos--
		}
		best[pos] = ranked{score: score, member: i}
	}
	for _, b := range best[:found] {
		buf = append(buf, r.names[b.member])
	}
	return buf
}
