// Package explain reports why a chat is sent to its upstream: the order of the pool's upstreams, the reasons for which
// upstreams are excluded, and the host that owns each upstream. It calls the same functions as the request path and so
// reaches the same decisions.
package explain

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/ownership"
	"github.com/orioleusher/orioleusher/internal/routing"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// Report is the result for one chat on one route.
type Report struct {
	// Host and DataCentre identify the entry host that reports. Host is empty if the report is based on a document
	// alone.
	Host       string `json:"host,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	// Policy is the setting routing_policy. If it is random or round-robin, the order applies only to the next request.
	Policy  settings.RoutingPolicy `json:"policy"`
	Version uint64                 `json:"version"`
	Route   string                 `json:"route"`
	Pool    string                 `json:"pool"`
	// NearFirst is set if upstreams in the entry host's own data centre come first.
	NearFirst bool   `json:"near_first"`
	Chat      string `json:"chat"`
	// Upstreams lists the upstreams that may serve the chat in order of preference, followed by the others.
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is the entry of one upstream of the pool.
type Upstream struct {
	// Position is the position in the order of preference, starting at 1. It is 0 for an upstream that is not
	// considered.
	Position   int    `json:"position"`
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Owner is the host through which all requests to the upstream pass. It is empty if no live host can own the
	// upstream.
	Owner string `json:"owner,omitempty"`
	// Reason explains the position of the upstream.
	Reason string `json:"reason"`
}

// View is the viewpoint from which a chat is explained.
type View struct {
	// Host is the name of the entry host, or empty.
	Host       string
	DataCentre string
	Policy     settings.RoutingPolicy
	Live       ownership.Liveness
}

// Chat explains the chat on the named route from the given viewpoint.
func Chat(snap *document.Snapshot, view View, route, chat string) (*Report, error) {
	r := findRoute(snap, route)
	if r == nil {
		return nil, errors.Errorf("route %q is not in document version %d", route, snap.Version)
	}
	pool := snap.Pool(r.Pool)
	report := &Report{
		Host: view.Host, DataCentre: view.DataCentre, Policy: view.Policy, Version: snap.Version, Route: r.Name, Pool: pool.Name, NearFirst: pool.NearFirst, Chat: chat,
	}
	listed := map[string]bool{}
	planner := routing.NewPlanner(view.Policy, view.DataCentre)
	for i, name := range planner.Candidates(snap, pool, chat, nil) {
		listed[name] = true
		up, _ := snap.Upstream(name)
		report.Upstreams = append(report.Upstreams, view.describe(snap, up.Upstream, i+1, view.orderReason(pool, up.Upstream)))
	}
	for i := range pool.Upstreams {
		if u := &pool.Upstreams[i]; !listed[u.Name] {
			report.Upstreams = append(report.Upstreams, view.describe(snap, u, 0, exclusionReason(snap, u)))
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

func exclusionReason(snap *document.Snapshot, u *document.Upstream) string {
	switch {
	case snap.AcceptsNewWork(u):
		return fmt.Sprintf("behind the first %d, which alone are considered", routing.MaxCandidates)
	case u.State != document.StateIn:
		return "upstream is out"
	default:
		return "data centre is out"
	}
}

// AllLive treats every host as live, for a report based on a document alone.
type AllLive struct{}

// Live implements ownership.Liveness.
func (AllLive) Live(string) bool { return true }
