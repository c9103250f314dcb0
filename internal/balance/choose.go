package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// Bounds of the load that affinity may put on one engine: loadFactor times the mean of its service, and loadRoom more.
// Deployments ask for at most twice the mean and 3.
const (
	loadFactor = 1.7
	loadRoom   = 2
)

// localRoom is the part of its slots up to which an upstream of the own data centre goes before those of others.
const localRoom = 0.7

// Criteria is what a request asks of its upstream.
type Criteria struct {
	// AffinityHash is the hash of the part of the prompt that other requests share; 0 if none.
	AffinityHash uint64
	// Engine is set for pools of model engines.
	Engine bool
	// Tried are the upstreams that the request was sent to.
	Tried []catalog.UpstreamKey
}

// Tiers say how far an upstream is passed over.
const (
	tierSound = iota
	// tierGrey upstreams are full or fail often.
	tierGrey
	// tierSuspect upstreams did not answer lately, or the path to them is cut.
	tierSuspect
	// tierTried upstreams had the request already.
	tierTried
)

// Choice is an upstream with what decided its place in the order.
type Choice struct {
	*catalog.Upstream
	// Load is the estimate of its requests, running and waiting; Known is set if it told it lately.
	Load      float64
	LoadKnown bool
	// Tier is how far it is passed over, 0 not at all.
	Tier int
}

// maxOrder bounds the upstreams that an order names: more than a request is ever sent to, with room for cold ones.
const maxOrder = 16

// candidate is an upstream with the figures of one decision.
type candidate struct {
	seat *seat
	tier int
	// later is 1 for upstreams that come after all others of their tier: over the load bound, or far away.
	later int
	load  float64
	mean  float64
	known bool
	rank  uint64
}

// Order returns usable upstreams of the service in the order in which the request should try them, the first maxOrder.
func (t *Table) Order(snap *catalog.Snapshot, service string, w Criteria) []Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.candidates(snap, service, w)
	less := byLoad
	if w.Engine && w.AffinityHash != 0 {
		less = byAffinity
		markOverBound(list)
	} else {
		t.markFar(list)
	}
	var buffer [maxOrder]*candidate
	first := firstOf(buffer[:0], list, less)
	order := make([]Choice, len(first))
	for i, c := range first {
		order[i] = Choice{Upstream: c.seat.upstream, Load: c.load, LoadKnown: c.known, Tier: c.tier}
	}
	return order
}

// candidates returns the usable upstreams, in memory that the next call uses again. The caller holds mu.
func (t *Table) candidates(snap *catalog.Snapshot, service string, w Criteria) []candidate {
	now := t.clock.Now()
	cutOff := t.cutOff(now)
	list := t.scratch[:0]
	seats := t.pool(snap, service, now)
	for i := range seats {
		s := &seats[i]
		v := s.view
		if v.replaced || !snap.AcceptsNewWork(s.upstream) {
			continue
		}
		tier := v.tier(now)
		if slices.Contains(w.Tried, s.key) {
			tier = tierTried
		} else if cutOff(s.upstream.DataCentre) {
			tier = max(tier, tierSuspect)
		}
		list = append(list, candidate{
			seat: s, tier: tier, load: v.load(now), mean: v.meanLoad(now), known: v.fresh(now),
			rank: loadbalancer.ScoreHashed(w.AffinityHash, s.hash),
		})
	}
	t.scratch = list
	return list
}

func (v *view) tier(now time.Time) int {
	switch {
	case now.Before(v.suspectUntil):
		return tierSuspect
	case now.Before(v.fullUntil) || v.failureShare(now) > greyShare:
		return tierGrey
	default:
		return tierSound
	}
}

// firstOf returns the first candidates of the list in the order of less, as many as the buffer holds.
func firstOf(buffer []*candidate, list []candidate, less func(a, b *candidate) bool) []*candidate {
	for i := range list {
		c := &list[i]
		if len(buffer) == cap(buffer) {
			if !less(c, buffer[len(buffer)-1]) {
				continue
			}
			buffer = buffer[:len(buffer)-1]
		}
		at := len(buffer)
		for at > 0 && less(c, buffer[at-1]) {
			at--
		}
		buffer = slices.Insert(buffer, at, c)
	}
	return buffer
}

// byLoad puts the least loaded first, those of the own data centre before the others while they have room.
func byLoad(a, b *candidate) bool {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.later, b.later), cmp.Compare(a.load, b.load),
		cmp.Compare(b.rank, a.rank)) < 0
}

// byAffinity puts the engines in the rendezvous order of the prompt's shared part, on which all hosts agree. Engines
// over the load bound come after those under it, by load.
func byAffinity(a, b *candidate) bool {
	if order := cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.later, b.later)); order != 0 {
		return order < 0
	}
	if a.later == 1 {
		return a.load < b.load
	}
	return a.rank > b.rank
}

// markFar marks the upstreams that come after those of the own data centre that have room.
func (t *Table) markFar(list []candidate) {
	for i := range list {
		c := &list[i]
		u := c.seat.upstream
		if u.DataCentre != t.local || u.Slots > 0 && c.load >= localRoom*float64(u.Slots) {
			c.later = 1
		}
	}
}

// markOverBound marks the engines that one more request would put over the load bound.
func markOverBound(list []candidate) {
	bound := loadFactor*meanLoad(list) + loadRoom
	for i := range list {
		if list[i].load+1 > bound {
			list[i].later = 1
		}
	}
}

// meanLoad is taken over the upstreams whose load is known: what this host has in flight at the others is a part of
// their load and would draw the mean down.
func meanLoad(list []candidate) float64 {
	var known, all float64
	n := 0
	for i := range list {
		all += list[i].load
		if list[i].known {
			known += list[i].mean
			n++
		}
	}
	if n == 0 {
		return all / float64(max(1, len(list)))
	}
	return known / float64(n)
}

// LikelyCacheHolder returns the engine that most likely keeps what other requests share of the prompt, beside the target: the
// first in the rendezvous order of all that run, leaving ones too. It returns nil if none does.
func (t *Table) LikelyCacheHolder(snap *catalog.Snapshot, service string, affinity uint64, target *catalog.Upstream) *catalog.Upstream {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	cutOff := t.cutOff(now)
	var best *catalog.Upstream
	var bestRank uint64
	for _, s := range t.pool(snap, service, now) {
		if s.upstream.ID == target.ID || s.view.replaced || now.Before(s.view.suspectUntil) || cutOff(s.upstream.DataCentre) {
			continue
		}
		if rank := loadbalancer.ScoreHashed(affinity, s.hash); best == nil || rank > bestRank {
			best, bestRank = s.upstream, rank
		}
	}
	return best
}
