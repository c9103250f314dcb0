// Package explain says why a chat goes to its upstream: the order of the pool's upstreams, what keeps an upstream out of
// it, and which host owns each. It makes the same decisions as the request path, from the same functions.
package explain

import (
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/ownership"
	"github.com/orioleusher/orioleusher/internal/routing"
)

// Report is the answer for one chat on one route.
type Report struct {
	// Host and DataCentre are those of the entry host that answers; Host is empty for a report from a document alone.
	Host       string `json:"host,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	Version    uint64 `json:"version"`
	Route      string `json:"route"`
	Pool       string `json:"pool"`
	// NearFirst says that upstreams of the entry host's own data centre come first.
	NearFirst bool   `json:"near_first"`
	Chat      string `json:"chat"`
	// Upstreams lists those that may serve the chat in the order of preference, then those that may not.
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one upstream of the pool.
type Upstream struct {
	// Position counts from 1 in the order of preference; 0 means that the upstream takes no new work.
	Position   int    `json:"position"`
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Owner is the host that all work for the upstream passes through; empty if no live host can own it.
	Owner string `json:"owner,omitempty"`
	// Reason says why the upstream stands where it does.
	Reason string `json:"reason"`
}

// Chat explains the chat on the named route, seen from dataCentre with the given view of live hosts.
func Chat(snap *document.Snapshot, live ownership.Liveness, route, chat, dataCentre string) (*Report, error) {
	r := findRoute(snap, route)
	if r == nil {
		return nil, errors.Errorf("route %q is not in document version %d", route, snap.Version)
	}
	pool := snap.Pool(r.Pool)
	report := &Report{
		DataCentre: dataCentre, Version: snap.Version, Route: r.Name, Pool: pool.Name, NearFirst: pool.NearFirst, Chat: chat,
	}
	placed := map[string]bool{}
	for i, name := range routing.Candidates(snap, pool, chat, dataCentre) {
		placed[name] = true
		up, _ := snap.Upstream(name)
		report.Upstreams = append(report.Upstreams, describe(snap, live, up.Upstream, i+1, orderReason(pool, up.Upstream, dataCentre)))
	}
	for i := range pool.Upstreams {
		if u := &pool.Upstreams[i]; !placed[u.Name] {
			report.Upstreams = append(report.Upstreams, describe(snap, live, u, 0, outReason(u)))
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

func describe(snap *document.Snapshot, live ownership.Liveness, u *document.Upstream, position int, reason string) Upstream {
	owner, ok := ownership.Owner(snap, live, u)
	if !ok {
		reason += "; no live host can own it"
	}
	return Upstream{Position: position, Name: u.Name, DataCentre: u.DataCentre, Owner: owner.Name, Reason: reason}
}

func orderReason(pool *document.Pool, u *document.Upstream, dataCentre string) string {
	switch {
	case !pool.NearFirst:
		return "rendezvous order of the chat"
	case u.DataCentre == dataCentre:
		return "near, in rendezvous order of the chat"
	default:
		return "far, in rendezvous order of the chat"
	}
}

func outReason(u *document.Upstream) string {
	if u.State != document.StateIn {
		return "upstream is out"
	}
	return "data centre is out"
}

// AllLive is the view in which every host lives, for a report from a document alone.
type AllLive struct{}

// Live implements ownership.Liveness.
func (AllLive) Live(string) bool { return true }
