package routing

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// MaxCandidates is how many upstreams are considered for one request.
const MaxCandidates = 8

// Planner orders a pool's upstreams for a request by the policy. It is safe for concurrent use.
type Planner struct {
	policy     settings.RoutingPolicy
	dataCentre string
	plan       atomic.Pointer[plan]
	turn       atomic.Uint64
}

// plan holds what one document gives; it is made once for each document.
type plan struct {
	snap  *document.Snapshot
	pools map[string]*members
}

// members are the upstreams of a pool that take new work.
type members struct {
	near loadbalancer.Ranking
	far  loadbalancer.Ranking
}

// NewPlanner returns the planner of a host in the data centre.
func NewPlanner(policy settings.RoutingPolicy, dataCentre string) *Planner {
	return &Planner{policy: policy, dataCentre: dataCentre}
}

// Candidates appends the names of the pool's upstreams that take new work to buf, at most MaxCandidates, the preferred
// one first. With a buf of that capacity it does not allocate.
func (p *Planner) Candidates(snap *document.Snapshot, pool *document.Pool, chatID string, buf []string) []string {
	m := p.current(snap).pools[pool.Name]
	if m == nil {
		return buf
	}
	key := loadbalancer.HashKey(chatID)
	switch p.policy {
	case settings.PolicyRandom:
		key = rand.Uint64()
	case settings.PolicyRoundRobin:
		return m.inTurn(p.turn.Add(1), buf)
	}
	buf = m.near.AppendTop(buf, key, MaxCandidates)
	return m.far.AppendTop(buf, key, MaxCandidates-len(buf))
}

// inTurn appends upstreams in document order from the turn on.
func (m *members) inTurn(turn uint64, buf []string) []string {
	near, far := m.near.Len(), m.far.Len()
	count := uint64(near + far)
	for i := range min(count, MaxCandidates) {
		at := int((turn + i) % count)
		if at < near {
			buf = append(buf, m.near.Name(at))
		} else {
			buf = append(buf, m.far.Name(at-near))
		}
	}
	return buf
}

func (p *Planner) current(snap *document.Snapshot) *plan {
	if known := p.plan.Load(); known != nil && known.snap == snap {
		return known
	}
	made := &plan{snap: snap, pools: map[string]*members{}}
	for i := range snap.Pools {
		made.pools[snap.Pools[i].Name] = p.members(snap, &snap.Pools[i])
	}
	p.plan.Store(made)
	return made
}

func (p *Planner) members(snap *document.Snapshot, pool *document.Pool) *members {
	var near, far []string
	for i := range pool.Upstreams {
		u := &pool.Upstreams[i]
		switch {
		case !snap.TakesWork(u):
		case pool.NearFirst && u.DataCentre == p.dataCentre:
			near = append(near, u.Name)
		default:
			far = append(far, u.Name)
		}
	}
	return &members{near: loadbalancer.NewRanking(near), far: loadbalancer.NewRanking(far)}
}
