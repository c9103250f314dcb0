package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// Load bound for prefix affinity: an engine may carry at most loadFactor times the mean load of its service plus
// loadSlack requests. Deployments require at most twice the mean plus 3.
const (
	loadFactor = 1.7
	loadSlack  = 2
)

// localLoadShare is the share of its slots up to which an upstream in the local data centre is preferred to upstreams in
// other data centres.
const localLoadShare = 0.7

// Criteria are the properties of a request that determine the choice of its upstream.
type Criteria struct {
	// AffinityHash is the hash of the prompt prefix that other requests share, or 0 if there is none.
	AffinityHash uint64
	// Engine is true for services whose upstreams are model engines.
	Engine bool
	// Tried lists the upstreams that were already tried for the request.
	Tried []catalog.UpstreamKey
	// Rejected lists those of them that did not execute the request; they are not tried again.
	Rejected []catalog.UpstreamKey
	// Unreached lists the data centres to which a connection for the request timed out. The request has lost much of its
	// time and next goes to a data centre that has just responded, if there is one.
	Unreached []string
	// Version is the software version that the upstream must have; nil if any may be chosen.
	Version *string
	// TakenUp is set if the caller takes up a stream that an earlier request began. Few upstreams can continue it, so that it
	// may use what an upstream tolerates beyond the limit that it names.
	TakenUp bool
}

// accepts reports whether the upstream has the software version that the request needs.
func (c *Criteria) accepts(u *catalog.Upstream) bool {
	return c.Version == nil || u.Version == *c.Version
}

// Priority tiers; upstreams of a higher tier are chosen only after all upstreams of lower tiers.
const (
	tierHealthy = iota
	// tierDegraded upstreams are at capacity or silent, or have a high failure share.
	tierDegraded
	// tierSuspect upstreams failed recently, or the network path to them is down.
	tierSuspect
	// tierTried upstreams were already tried for the request.
	tierTried
	// tierSuperseded upstreams have probably ended, although their entries are still published: another one has started at their
	// address since.
	tierSuperseded
)

// deferral orders upstreams of a tier: those with a higher one are chosen only after all others.
type deferral int

const (
	notDeferred deferral = iota
	// deferredByLoad are upstreams over the load bound, upstreams in another data centre, and busy local upstreams.
	deferredByLoad
	// deferredBySilence are upstreams that have been silent, so that nobody knows their load.
	deferredBySilence
)

// Choice is an upstream with the values that determined its position in the order.
type Choice struct {
	*catalog.Upstream
	// Load is the estimated number of running and waiting requests. LoadKnown is true if the upstream reported its load
	// recently.
	Load      float64
	LoadKnown bool
	// Silence is how long a host has waited for any response, and nothing was heard of the upstream. Silent is set if that is
	// too long.
	Silence time.Duration
	Silent  bool
	// Tier is the priority tier; 0 is the most preferred.
	Tier int
	// Borrowed is set if the request counts against the share of another host. It must then be sent before SendBefore.
	Borrowed   bool
	SendBefore time.Time

	limits []allowance.RateLimit
	target allowance.Target
	// places is how many places this host may take at the upstream; noPlaceLimit if there is no limit.
	places int
}

// noPlaceLimit stands for no limit on the places at an upstream.
const noPlaceLimit = -1

// maxChoices is the maximum length of an order. It exceeds the number of attempts of any request, since cold upstreams
// may be skipped.
const maxChoices = 16

// candidate is an upstream with the values used in one decision.
type candidate struct {
	member *member
	tier   int
	// deferred orders the upstreams of a tier.
	deferred deferral
	load     float64
	mean     float64
	known    bool
	silence  time.Duration
	silent   bool
	score    uint64
	limits   []allowance.RateLimit
	places   int
}

// Order returns the usable upstreams of the service in the order in which the request should try them, at most
// maxChoices.
func (t *Table) Order(snap *catalog.Snapshot, service string, criteria Criteria) []Choice {
	return t.order(snap, service, criteria, func(*member) (available, bool) { return available{places: noPlaceLimit}, true })
}

// order returns the order of the upstreams that are available within their limits. The others only count for the mean load.
func (t *Table) order(snap *catalog.Snapshot, service string, criteria Criteria, isAvailable availableFunc) []Choice {
	t.mu.Lock()
	defer t.unlock()
	list := t.candidates(snap, service, criteria)
	mean := meanLoad(list)
	t.poolStats[service].meanLoad = mean
	list = selectAvailable(list, criteria, isAvailable)
	less := lessByLoad
	if criteria.Engine && criteria.AffinityHash != 0 {
		less = lessByAffinity
		deferOverBound(list, mean)
	} else {
		t.deferRemote(list)
	}
	t.deferSilent(list)
	var buffer [maxChoices]*candidate
	first := selectFirst(buffer[:0], list, less)
	order := make([]Choice, len(first))
	for i, c := range first {
		order[i] = Choice{Upstream: c.member.upstream, Load: c.load, LoadKnown: c.known, Silence: c.silence, Silent: c.silent, Tier: c.tier, limits: c.limits, places: c.places, target: c.member.target()}
	}
	return order
}

// candidates returns the usable upstreams. The slice is reused by the next call. The caller holds mu.
func (t *Table) candidates(snap *catalog.Snapshot, service string, criteria Criteria) []candidate {
	now := t.clock.Now()
	pathDown := t.pathDown(now)
	list := t.scratch[:0]
	members := t.poolMembers(snap, service, now)
	for i := range members {
		m := &members[i]
		st := m.stats
		if st.replaced || !st.acceptsWork(now) || !snap.AcceptsNewWork(m.upstream) {
			continue
		}
		tier, silent := st.tier(now), t.silent(st, now)
		if silent {
			tier = max(tier, tierDegraded)
		}
		if slices.Contains(criteria.Tried, m.key) {
			if criteria.Version != nil && tier == tierSuspect {
				continue // the few other upstreams of the version are worth a wait
			}
			tier = tierTried
		} else if pathDown(m.upstream.DataCentre) || len(criteria.Unreached) > 0 && t.isDoubtful(m.upstream.DataCentre, criteria.Unreached, now) {
			tier = max(tier, tierSuspect)
		}
		if m.superseded {
			tier = tierSuperseded
		}
		list = append(list, candidate{
			member: m, tier: tier, load: st.load(now), mean: st.meanLoad(now), known: st.fresh(now), silence: t.silence(st, now), silent: silent,
			score: loadbalancer.ScoreHashed(criteria.AffinityHash, m.hash),
		})
	}
	t.scratch = list
	return list
}

func (s *stats) tier(now time.Time) int {
	switch {
	case now.Before(s.suspectUntil):
		return tierSuspect
	case now.Before(s.fullUntil) || s.failureShare(now) > degradedFailureShare:
		return tierDegraded
	default:
		return tierHealthy
	}
}

// selectFirst returns the first candidates of the list in the order of less, up to the capacity of the buffer.
func selectFirst(buffer []*candidate, list []candidate, less func(a, b *candidate) bool) []*candidate {
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

// lessByLoad orders candidates by tier, then deferred last, then by ascending load.
func lessByLoad(a, b *candidate) bool {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.deferred, b.deferred), cmp.Compare(a.load, b.load),
		cmp.Compare(b.score, a.score)) < 0
}

// lessByAffinity orders engines by tier and then by their rendezvous score for the shared prompt prefix, which is the
// same on all hosts. Engines over the load bound follow the others, ordered by load.
func lessByAffinity(a, b *candidate) bool {
	if order := cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.deferred, b.deferred)); order != 0 {
		return order < 0
	}
	if a.deferred != notDeferred {
		return a.load < b.load
	}
	return a.score > b.score
}

// deferRemote defers all upstreams except those in the local data centre that are below localLoadShare.
func (t *Table) deferRemote(list []candidate) {
	for i := range list {
		c := &list[i]
		u := c.member.upstream
		if u.DataCentre != t.local || u.Slots > 0 && c.load >= localLoadShare*float64(u.Slots) {
			c.deferred = deferredByLoad
		}
	}
}

// deferOverBound defers the engines that one more request would put over the load bound.
func deferOverBound(list []candidate, mean float64) {
	bound := loadFactor*mean + loadSlack
	for i := range list {
		if list[i].load+1 > bound {
			list[i].deferred = deferredByLoad
		}
	}
}

// meanLoad returns the mean load of the upstreams whose load is known. The other upstreams are excluded: for them only
// this host's own requests in flight are known, which are a part of their load and would lower the mean.
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

// responsive reports whether the upstream probably responds at once, as far as this host knows. The caller holds mu.
func (t *Table) responsive(s *stats, now time.Time) bool {
	return !s.replaced && !now.Before(s.suspectUntil) && !t.silent(s, now)
}

// LikelyCacheHolder returns the engine, other than the target, that most likely has the shared prompt prefix in its
// cache: the first in rendezvous order among all engines that seem reachable, including those that are leaving. It
// returns nil if there is none.
func (t *Table) LikelyCacheHolder(snap *catalog.Snapshot, service string, affinity uint64, target *catalog.Upstream) *catalog.Upstream {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.unlock()
	pathDown := t.pathDown(now)
	var best *catalog.Upstream
	var bestScore uint64
	for _, m := range t.poolMembers(snap, service, now) {
		if m.upstream.ID == target.ID || !t.responsive(m.stats, now) || pathDown(m.upstream.DataCentre) {
			continue
		}
		if score := loadbalancer.ScoreHashed(affinity, m.hash); best == nil || score > bestScore {
			best, bestScore = m.upstream, score
		}
	}
	return best
}
