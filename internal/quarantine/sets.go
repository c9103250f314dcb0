package quarantine

import (
	"encoding/binary"
	"slices"
	"time"
)

const (
	// maxSets bounds the crash sets of the table. The oldest are dropped first.
	maxSets = 64
	// maxDigestSets bounds the crash sets in one digest, which holds the newest ones.
	maxDigestSets = 8
	// setBits is the size of a set. With the 64 requests that an upstream commonly runs, one in 4,000 others is taken for a
	// member.
	setBits = 2048
	// setHashes is the number of bits of a member, each given by setHashBits bits of its fingerprint.
	setHashes, setHashBits = 4, 11
)

// requestSet is a Bloom filter of fingerprints.
type requestSet [setBits / 64]uint64

func (s *requestSet) add(fingerprint uint64) {
	for range setHashes {
		bit := fingerprint % setBits
		s[bit/64] |= 1 << (bit % 64)
		fingerprint >>= setHashBits
	}
}

func (s *requestSet) contains(fingerprint uint64) bool {
	for range setHashes {
		bit := fingerprint % setBits
		if s[bit/64]&(1<<(bit%64)) == 0 {
			return false
		}
		fingerprint >>= setHashBits
	}
	return true
}

// union returns the set of the members of both.
func (s requestSet) union(other requestSet) requestSet {
	for i, word := range other {
		s[i] |= word
	}
	return s
}

// CrashSet is a crash of an upstream with the requests that ran on it, as far as they are known.
type CrashSet struct {
	// Upstream is the hash of the upstream's name.
	Upstream uint64
	At       time.Time
	requests requestSet
}

// NewCrashSet returns a crash with requests in the form of EncodeRequests. What is missing counts as no request.
func NewCrashSet(upstream uint64, at time.Time, requests []byte) CrashSet {
	s := CrashSet{Upstream: upstream, At: at}
	for i := range min(len(requests)/8, len(s.requests)) {
		s.requests[i] = binary.LittleEndian.Uint64(requests[8*i:])
	}
	return s
}

// EncodeRequests returns the requests in the form of messages.
func (s CrashSet) EncodeRequests() []byte {
	encoded := make([]byte, 0, setBits/8)
	for _, word := range s.requests {
		encoded = binary.LittleEndian.AppendUint64(encoded, word)
	}
	return encoded
}

func (s CrashSet) isCrash(upstream uint64, at time.Time) bool {
	return s.Upstream == upstream && s.At.Sub(at).Abs() < duplicateWindow
}

// addSet adds the requests to the set of their crash and returns the set before and after. The caller holds mu.
func (t *Table) addSet(s CrashSet) (before, after requestSet) {
	if i := slices.IndexFunc(t.sets, func(known CrashSet) bool { return known.isCrash(s.Upstream, s.At) }); i >= 0 {
		before = t.sets[i].requests
		t.sets[i].requests = before.union(s.requests)
		return before, t.sets[i].requests
	}
	i := len(t.sets)
	for i > 0 && t.sets[i-1].At.After(s.At) {
		i--
	}
	t.sets = slices.Insert(t.sets, i, s)
	t.sets = t.sets[max(0, len(t.sets)-maxSets):]
	return requestSet{}, s.requests
}

// mergeSet merges a set of another host and reports whether it makes a request with a record here likely to be quarantined.
func (t *Table) mergeSet(s CrashSet) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.expire(now)
	if now.Sub(s.At) >= t.limits.Lifetime {
		return false
	}
	before, after := t.addSet(s)
	if before == after {
		return false
	}
	for fingerprint, known := range t.counts {
		if known >= t.limits.CrashThreshold || before.contains(fingerprint) || !after.contains(fingerprint) {
			continue
		}
		if t.likelyCrashes(fingerprint) >= t.limits.CrashThreshold {
			return true
		}
	}
	return false
}

// likelyCrashes returns the number of crashes of upstreams on which a request with the fingerprint ran, counting those of
// which only a set is known. The caller holds mu.
func (t *Table) likelyCrashes(fingerprint uint64) int {
	n := 0
	for i := range t.sets {
		if t.sets[i].requests.contains(fingerprint) {
			n++
		}
	}
	return max(n, t.counts[fingerprint])
}
