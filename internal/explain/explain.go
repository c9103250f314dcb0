// Package explain says why a chat goes to its upstream: the order of the pool's upstreams, what keeps an upstream out of
// it, and which host owns each. It makes the same decisions as the request path, from the same functions.
package explain

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/ownership"
	"github.com/orioleusher/orioleusher/internal/routing"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// Report is the answer for one chat on one route.
type Report struct {
	// Host and DataCentre are those of the entry host that answers; Host is empty for a report from a document alone.
	Host       string `json:"host,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	// Policy is the setting routing_policy; the order holds for the next request only if it is random or round-robin.
	Policy  settings.RoutingPolicy `json:"policy"`
	Version uint64                 `json:"version"`
	Route   string                 `json:"route"`
	Pool    string                 `json:"pool"`
	// NearFirst says that upstreams of the entry host's own data centre come first.
	NearFirst bool   `json:"near_first"`
	Chat      string `json:"chat"`
	// Upstreams lists those that may serve the chat in the order of preference, then those that may not.
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one upstream of the pool.
type Upstream struct {
	// Position counts from 1 in the order of preference; 0 means that the upstream is not considered.
	Position   int    `json:"position"`
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Owner is the host that all work for the upstream passes through; empty if no live host can own it.
	Owner string `json:"owner,omitempty"`
	// Reason says why the upstream stands where it does.
	Reason string `json:"reason"`
}

// View is the place from which a chat is explained.
type View struct {
	// Host is the entry host, or empty.
	Host       string
	DataCentre string
	Policy     settings.RoutingPolicy
	Live       ownership.Liveness
}

// Chat explains the chat on the named route, seen from the view.
func Chat(snap *document.Snapshot, view View, route, chat string) (*Report, error) {
	r := findRoute(snap, route)
	if r == nil {
		return nil, errors.Errorf("route %q is not in document version %d", route, snap.Version)
	}
	pool := snap.Pool(r.Pool)
	report := &Report{
		Host: view.Host, DataCentre: view.DataCentre, Policy: view.Policy, Version: snap.Version, Route: r.Name, Pool: pool.Name, NearFirst: pool.NearFirst, Chat: chat,
	}
	placed := map[string]bool{}
	planner := routing.NewPlanner(view.Policy, view.DataCentre)
	for i, name := range planner.Candidates(snap, pool, chat, nil) {
		placed[name] = true
		up, _ := snap.Upstream(name)
		report.Upstreams = append(report.Upstreams, view.describe(snap, up.Upstream, i+1, view.orderReason(pool, up.Upstream)))
	}
	for i := range pool.Upstreams {
		if u := &pool.Upstreams[i]; !placed[u.Name] {
			report.Upstreams = append(report.Upstreams, view.describe(snap, u, 0, restReason(snap, u)))
		}
	}
	return report, nil
}

func findRoute(snap *document.Snapshot, name string) *document.Route {
	for i := range snap.Routes {
		if snap.Routes[i].Name == name {
			return &snap.Routes[i]
		}
	}
	return nil
}

func (v View) describe(snap *document.Snapshot, u *document.Upstream, position int, reason string) Upstream {
	owner, ok := ownership.Owner(snap, v.Live, u)
	if !ok {
		reason += "; no live host can own it"
	}
	return Upstream{Position: position, Name: u.Name, DataCentre: u.DataCentre, Owner: owner.Name, Reason: reason}
}

func (v View) orderReason(pool *document.Pool, u *document.Upstream) string {
	order := "rendezvous order of the chat"
	if v.Policy == settings.PolicyRandom || v.Policy == settings.PolicyRoundRobin {
		order = string(v.Policy) + " order"
	}
	switch {
	case !pool.NearFirst:
		return order
	case u.DataCentre == v.DataCentre:
		return "near, in " + order
	default:
		return "far, in " + order
	}
}

func restReason(snap *document.Snapshot, u *document.Upstream) string {
	switch {
	case snap.TakesWork(u):
		return fmt.Sprintf("behind the first %d, which alone are considered", routing.MaxCandidates)
	case u.State != document.StateIn:
		return "upstream is out"
	default:
		return "data centre is out"
	}
}

// AllLive is the view in which every host lives, for a report from a document alone.
type AllLive struct{}

// Live implements ownership.Liveness.
func (AllLive) Live(string) bool { return true }
