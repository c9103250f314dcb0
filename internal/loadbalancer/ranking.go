package loadbalancer

import "github.com/cespare/xxhash/v2"

// maxRanked bounds how many members one call of Append ranks.
const maxRanked = 16

// Ranking finds the first members in rendezvous order of a key. It is never changed once made.
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

// ranked is a member with its score.
type ranked struct {
	score  uint64
	member int
}

// AppendTop appends the first members of the key's order to buf, at most limit and maxRanked of them.
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
		at := found - 1
		for at > 0 && best[at-1].score < score {
			best[at] = best[at-1]
			at--
		}
		best[at] = ranked{score: score, member: i}
	}
	for _, b := range best[:found] {
		buf = append(buf, r.names[b.member])
	}
	return buf
}
