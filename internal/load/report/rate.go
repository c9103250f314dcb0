package report

import (
	"sort"
	"time"
)

// bucket is the exact token bucket that a team would have if the fleet were a single host.
type bucket struct {
	rate   TeamRate
	tokens float64
	last   time.Duration
}

func (b *bucket) tryTake(at time.Duration) bool {
	b.tokens = min(b.rate.Burst, b.tokens+b.rate.PerSecond*(at-b.last).Seconds())
	b.last = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// rateCount compares the rate refusals of a team with an exact token bucket that starts full.
type rateCount struct {
	charged  int
	refused  int
	wrongful int
}

// replayCharges replays the charges of each team against an exact token bucket. A refused charge that the bucket would
// have admitted is wrongful. Every charge refills and drains the bucket, but only those at times that include accepts
// are counted.
func replayCharges(charges []Charge, rates map[string]TeamRate, include func(time.Duration) bool) map[string]*rateCount {
	sorted := append([]Charge(nil), charges...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At < sorted[j].At })
	buckets := map[string]*bucket{}
	counts := map[string]*rateCount{}
	for _, c := range sorted {
		b := buckets[c.Team]
		if b == nil {
			b = &bucket{rate: rates[c.Team], tokens: rates[c.Team].Burst}
			buckets[c.Team] = b
			counts[c.Team] = &rateCount{}
		}
		admits := b.tryTake(c.At)
		if include(c.At) {
			counts[c.Team].add(c.Refused, admits)
		}
	}
	return counts
}

func (n *rateCount) add(refused, admits bool) {
	n.charged++
	if refused {
		n.refused++
	}
	if refused && admits {
		n.wrongful++
	}
}
