package routing

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// MaxCandidates is the maximum number of upstreams that are considered for one request.
const MaxCandidates = 8

// Planner orders a pool's upstreams for a request according to the routing policy. It is safe for concurrent use.
type Planner struct {
	policy     settings.RoutingPolicy
	dataCentre string
	plan       atomic.Pointer[plan]
	counter    atomic.Uint64
}

// plan holds the rankings derived from one document. It is computed once for each document.
type plan struct {
	snap  *document.Snapshot
	pools map[string]*members
}

// members are the upstreams of a pool that accept new requests. Near ones, if the pool prefers them, are in the
// planner's data centre; all others are far.
type members struct {
	near loadbalancer.Ranking
	far  loadbalancer.Ranking
}

// NewPlanner returns a planner for a host in the data centre.
func NewPlanner(policy settings.RoutingPolicy, dataCentre string) *Planner {
	return &Planner{policy: policy, dataCentre: dataCentre}
}

// Candidates appends the names of the pool's upstreams that accept new requests to buf, in order of preference and at
// most MaxCandidates. It does not allocate if buf has that capacity.
func (p *Planner) Candidates(snap *document.Snapshot, pool *document.Pool, chatID string, buf []string) []string {
	m := p.currentPlan(snap).pools[pool.Name]
	if m == nil {
		return buf
	}
	key := loadbalancer.HashKey(chatID)
	switch p.policy {
	case settings.PolicyRandom:
		key = rand.Uint64()
	case settings.PolicyRoundRobin:
		return m.roundRobin(p.counter.Add(1), buf)
	}
	buf = m.near.AppendTop(buf, key, MaxCandidates)
	return m.far.AppendTop(buf, key, MaxCandidates-len(buf))
}

// roundRobin appends upstreams in document order, starting at index counter modulo their number.
func (m *members) roundRobin(counter uint64, buf []string) []string {
	near, far := m.near.Len(), m.far.Len()
	count := uint64(near + far)
	for i := range min(count, MaxCandidates) {
		index := int((counter + i) % count)
		if index < near {
			buf = append(buf, m.near.Name(index))
		} else {
			buf = append(buf, m.far.Name(index-near))
		}
	}
	return buf
}

func (p *Planner) currentPlan(snap *document.Snapshot) *plan {
	if cached := p.plan.Load(); cached != nil && cached.snap == snap {
		return cached
	}
	built := &plan{snap: snap, pools: map[string]*members{}}
	for i := range snap.Pools {
		built.pools[snap.Pools[i].Name] = p.members(snap, &snap.Pools[i])
	}
	p.plan.Store(built)
	return built
}

func (p *Planner) members(snap *document.Snapshot, pool *document.Pool) *members {
	var near, far []string
	for i := range pool.Upstreams {
		u := &pool.Upstreams[i]
		switch {
		case !snap.AcceptsNewWork(u):
		case pool.NearFirst && u.DataCentre == p.dataCentre:
			near = append(near, u.Name)
		default:
			far = append(far, u.Name)
		}
	}
	return &members{near: loadbalancer.NewRanking(near), far: loadbalancer.NewRanking(far)}
}
