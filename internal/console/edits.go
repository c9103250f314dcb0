package console

import (
	"strings"

	"github.com/orioleusher/orioleusher/internal/document"
)

// edit changes the document as a form says. Problems go to the form, and then the change is thrown away.
type edit func(doc *document.Document, f *form)

// edits holds the edit of each path. Values are checked further by the validation of the whole draft.
var edits = map[string]edit{
	"/teams/add":                             addTeam,
	"/teams/{team}/save":                     saveTeam,
	"/teams/{team}/remove":                   removeTeam,
	"/teams/{team}/keys/{key}/remove":        removeKey,
	"/data-centres/add":                      addDataCentre,
	"/data-centres/{dc}/state":               setDataCentreState,
	"/data-centres/{dc}/remove":              removeDataCentre,
	"/data-centres/{dc}/hosts/add":           addHost,
	"/data-centres/{dc}/hosts/{host}/save":   saveHost,
	"/data-centres/{dc}/hosts/{host}/remove": removeHost,
	"/pools/add":                             addPool,
	"/pools/{pool}/save":                     savePool,
	"/pools/{pool}/remove":                   removePool,
	"/pools/{pool}/upstreams/add":            addUpstream,
	"/pools/{pool}/upstreams/{up}/save":      saveUpstream,
	"/pools/{pool}/upstreams/{up}/remove":    removeUpstream,
	"/routes/add":                            addRoute,
	"/routes/{route}/save":                   saveRoute,
	"/routes/{route}/remove":                 removeRoute,
}

func teamName(t *document.Team) string             { return t.Name }
func keyID(k *document.Key) string                 { return k.ID }
func dataCentreName(d *document.DataCentre) string { return d.Name }
func hostName(h *document.Host) string             { return h.Name }
func poolName(p *document.Pool) string             { return p.Name }
func upstreamName(u *document.Upstream) string     { return u.Name }
func routeName(r *document.Route) string           { return r.Name }

func addTeam(doc *document.Document, f *form) {
	team := document.Team{Name: f.name("name"), Keys: []document.Key{}}
	unused(f, doc.Teams, "team", team.Name, teamName)
	readTeam(&team, f)
	doc.Teams = append(doc.Teams, team)
}

func saveTeam(doc *document.Document, f *form) {
	if team := find(f, doc.Teams, "team", f.variable("team"), teamName); team != nil {
		readTeam(team, f)
	}
}

func readTeam(team *document.Team, f *form) {
	team.RatePerSecond = f.float("rate_per_second")
	team.Burst = f.float("burst")
	team.Weight = f.int("weight")
}

// removeTeam also takes the team out of the routes that name it, which validation would refuse otherwise.
func removeTeam(doc *document.Document, f *form) {
	name := f.variable("team")
	doc.Teams = remove(f, doc.Teams, "team", name, teamName)
	for i := range doc.Routes {
		r := &doc.Routes[i]
		left := without(r.Teams, name)
		if len(r.Teams) > 0 && len(left) == 0 {
			// An empty list would open the route to every team.
			f.fail("team", name, "a team that is not the only one of route "+r.Name)
		}
		r.Teams = left
	}
}

func without(list []string, word string) []string {
	var kept []string
	for _, w := range list {
		if w != word {
			kept = append(kept, w)
		}
	}
	return kept
}

func removeKey(doc *document.Document, f *form) {
	if team := find(f, doc.Teams, "team", f.variable("team"), teamName); team != nil {
		team.Keys = remove(f, team.Keys, "key", f.variable("key"), keyID)
	}
}

func addDataCentre(doc *document.Document, f *form) {
	dc := document.DataCentre{Name: f.name("name"), State: document.StateIn, Hosts: []document.Host{}}
	unused(f, doc.DataCentres, "data centre", dc.Name, dataCentreName)
	doc.DataCentres = append(doc.DataCentres, dc)
}

func setDataCentreState(doc *document.Document, f *form) {
	if dc := find(f, doc.DataCentres, "data centre", f.variable("dc"), dataCentreName); dc != nil {
		dc.State = document.State(f.text("state"))
	}
}

func removeDataCentre(doc *document.Document, f *form) {
	doc.DataCentres = remove(f, doc.DataCentres, "data centre", f.variable("dc"), dataCentreName)
}

func addHost(doc *document.Document, f *form) {
	dc := find(f, doc.DataCentres, "data centre", f.variable("dc"), dataCentreName)
	if dc == nil {
		return
	}
	host := document.Host{Name: f.name("name")}
	unused(f, dc.Hosts, "host", host.Name, hostName)
	readHost(&host, f)
	dc.Hosts = append(dc.Hosts, host)
}

func saveHost(doc *document.Document, f *form) {
	dc := find(f, doc.DataCentres, "data centre", f.variable("dc"), dataCentreName)
	if dc == nil {
		return
	}
	if host := find(f, dc.Hosts, "host", f.variable("host"), hostName); host != nil {
		readHost(host, f)
	}
}

func readHost(host *document.Host, f *form) {
	host.CallerAddress = f.text("caller_address")
	host.PeerAddress = f.text("peer_address")
	host.AdminAddress = f.text("admin_address")
	host.Retired = f.bool("retired")
}

func removeHost(doc *document.Document, f *form) {
	if dc := find(f, doc.DataCentres, "data centre", f.variable("dc"), dataCentreName); dc != nil {
		dc.Hosts = remove(f, dc.Hosts, "host", f.variable("host"), hostName)
	}
}

func addPool(doc *document.Document, f *form) {
	pool := document.Pool{Name: f.name("name"), Kind: document.PoolKind(f.text("kind")), Upstreams: []document.Upstream{}}
	unused(f, doc.Pools, "pool", pool.Name, poolName)
	readPool(&pool, f)
	doc.Pools = append(doc.Pools, pool)
}

func savePool(doc *document.Document, f *form) {
	if pool := find(f, doc.Pools, "pool", f.variable("pool"), poolName); pool != nil {
		readPool(pool, f)
	}
}

func readPool(pool *document.Pool, f *form) {
	pool.Model = f.text("model")
	pool.NearFirst = f.bool("near_first")
	pool.LoadFactor = f.float("load_factor")
}

func removePool(doc *document.Document, f *form) {
	doc.Pools = remove(f, doc.Pools, "pool", f.variable("pool"), poolName)
}

func addUpstream(doc *document.Document, f *form) {
	pool := find(f, doc.Pools, "pool", f.variable("pool"), poolName)
	if pool == nil {
		return
	}
	up := document.Upstream{Name: f.name("name")}
	unused(f, pool.Upstreams, "upstream", up.Name, upstreamName)
	readUpstream(&up, f)
	pool.Upstreams = append(pool.Upstreams, up)
}

func saveUpstream(doc *document.Document, f *form) {
	pool := find(f, doc.Pools, "pool", f.variable("pool"), poolName)
	if pool == nil {
		return
	}
	if up := find(f, pool.Upstreams, "upstream", f.variable("up"), upstreamName); up != nil {
		readUpstream(up, f)
	}
}

func readUpstream(up *document.Upstream, f *form) {
	up.DataCentre = f.text("data_centre")
	up.Address = f.text("address")
	up.State = document.State(f.text("state"))
	up.Capacity = f.int("capacity")
}

func removeUpstream(doc *document.Document, f *form) {
	if pool := find(f, doc.Pools, "pool", f.variable("pool"), poolName); pool != nil {
		pool.Upstreams = remove(f, pool.Upstreams, "upstream", f.variable("up"), upstreamName)
	}
}

func addRoute(doc *document.Document, f *form) {
	route := document.Route{Name: f.name("name")}
	unused(f, doc.Routes, "route", route.Name, routeName)
	readRoute(&route, f)
	doc.Routes = append(doc.Routes, route)
}

func saveRoute(doc *document.Document, f *form) {
	if route := find(f, doc.Routes, "route", f.variable("route"), routeName); route != nil {
		readRoute(route, f)
	}
}

func readRoute(route *document.Route, f *form) {
	route.Path = f.text("path")
	route.Methods = nil
	for _, method := range f.words("methods") {
		route.Methods = append(route.Methods, strings.ToUpper(method))
	}
	route.Pool = f.text("pool")
	route.Open = f.bool("open")
	route.Repeatable = f.bool("repeatable")
	route.Teams = f.words("teams")
	if len(route.Teams) == 0 {
		route.Teams = nil
	}
}

func removeRoute(doc *document.Document, f *form) {
	doc.Routes = remove(f, doc.Routes, "route", f.variable("route"), routeName)
}
