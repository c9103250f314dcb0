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

// Want is what a request asks of its upstream.
type Want struct {
	// Affinity is the hash of the part of the prompt that other requests share; 0 if none.
	Affinity uint64
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

// candidate is a choice with the figures that only the order needs.
type candidate struct {
	Choice
	// mean is the moving mean of the load.
	mean  float64
	local bool
	rank  uint64
}

// Choice is an upstream with what decided its place in the order.
type Choice struct {
	*catalog.Upstream
	// Load is the estimate of its requests, running and waiting; Known is set if it told it lately.
	Load  float64
	Known bool
	// Tier is how far it is passed over, 0 not at all.
	Tier int
}

// Order returns the usable upstreams of the service in the order in which the request should try them.
func (t *Table) Order(snap *catalog.Snapshot, service string, w Want) []Choice {
	candidates := t.candidates(snap, service, w)
	if len(candidates) == 0 {
		return nil
	}
	if w.Engine && w.Affinity != 0 {
		orderByAffinity(candidates)
	} else {
		orderByLoad(candidates)
	}
	order := make([]Choice, len(candidates))
	for i, c := range candidates {
		order[i] = c.Choice
	}
	return order
}

func (t *Table) candidates(snap *catalog.Snapshot, service string, w Want) []candidate {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	cutOff := t.cutOff(now)
	var list []candidate
	for _, u := range snap.Upstreams[service] {
		if !snap.Usable(u) {
			continue
		}
		key := u.Key()
		v := t.view(key, now)
		tier := v.tier(now, slices.Contains(w.Tried, key))
		if cutOff(u.DataCentre) {
			tier = max(tier, tierSuspect)
		}
		list = append(list, candidate{
			Choice: Choice{Upstream: u, Load: v.load(now), Known: v.fresh(now), Tier: tier}, mean: v.meanLoad(now), local: u.DataCentre == t.local,
			rank: loadbalancer.Score(w.Affinity, u.ID),
		})
	}
	return list
}

func (v *view) tier(now time.Time, tried bool) int {
	switch {
	case tried:
		return tierTried
	case now.Before(v.suspectUntil):
		return tierSuspect
	case now.Before(v.fullUntil) || v.failureShare(now) > greyShare:
		return tierGrey
	default:
		return tierSound
	}
}

// orderByLoad puts the least loaded first, those of the own data centre before the others while they have room.
func orderByLoad(list []candidate) {
	far := func(c candidate) int {
		if c.local && (c.Slots == 0 || c.Load < localRoom*float64(c.Slots)) {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(far(a), far(b)), cmp.Compare(a.Load, b.Load),
			cmp.Compare(b.rank, a.rank))
	})
}

// orderByAffinity puts the engines in the rendezvous order of the prompt's shared part, on which all hosts agree.
// Engines over the load bound come after those under it, by load.
func orderByAffinity(list []candidate) {
	bound := loadFactor*meanLoad(list) + loadRoom
	over := func(c candidate) int {
		if c.Load+1 > bound {
			return 1
		}
		return 0
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if order := cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(over(a), over(b))); order != 0 {
			return order
		}
		if over(a) == 1 {
			return cmp.Compare(a.Load, b.Load)
		}
		return cmp.Compare(b.rank, a.rank)
	})
}

// meanLoad is taken over the upstreams whose load is known: what this host has in flight at the others is a part of
// their load and would draw the mean down.
func meanLoad(list []candidate) float64 {
	var known, all float64
	n := 0
	for _, c := range list {
		all += c.Load
		if c.Known {
			known += c.mean
			n++
		}
	}
	if n == 0 {
		return all / float64(len(list))
	}
	return known / float64(n)
}

// Holder returns the engine that most likely keeps what other requests share of the prompt, beside the target: the
// first in the rendezvous order of all that run, leaving ones too. It returns nil if none does.
func (t *Table) Holder(snap *catalog.Snapshot, service string, affinity uint64, target *catalog.Upstream) *catalog.Upstream {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	cutOff := t.cutOff(now)
	var best *catalog.Upstream
	for _, u := range snap.Upstreams[service] {
		if u.ID == target.ID || now.Before(t.view(u.Key(), now).suspectUntil) || cutOff(u.DataCentre) {
			continue
		}
		if best == nil || loadbalancer.Score(affinity, u.ID) > loadbalancer.Score(affinity, best.ID) {
			best = u
		}
	}
	return best
}
