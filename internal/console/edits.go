package console

import (
	"strings"

	"github.com/orioleusher/orioleusher/internal/document"
)

// edit applies the values of a form to the document. If it adds problems to the form, the change is discarded.
type edit func(doc *document.Document, f *form)

// editsByPath maps each form's path to its edit. The validation of the whole draft checks the values further.
var editsByPath = map[string]edit{
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
	checkNameUnused(f, doc.Teams, "team", team.Name, teamName)
	setTeamFields(&team, f)
	doc.Teams = append(doc.Teams, team)
}

func saveTeam(doc *document.Document, f *form) {
	if team := findByName(f, doc.Teams, "team", f.pathVariable("team"), teamName); team != nil {
		setTeamFields(team, f)
	}
}

func setTeamFields(team *document.Team, f *form) {
	team.RatePerSecond = f.float("rate_per_second")
	team.Burst = f.float("burst")
	team.Weight = f.int("weight")
}

// removeTeam also removes the team from the routes that list it; otherwise the draft would be invalid.
func removeTeam(doc *document.Document, f *form) {
	name := f.pathVariable("team")
	doc.Teams = removeByName(f, doc.Teams, "team", name, teamName)
	for i := range doc.Routes {
		r := &doc.Routes[i]
		remaining := removeString(r.Teams, name)
		if len(r.Teams) > 0 && len(remaining) == 0 {
			// An empty list would allow all teams on the route.
			f.addProblem("team", name, "a team that is not the only one of route "+r.Name)
		}
		r.Teams = remaining
	}
}

func removeString(list []string, value string) []string {
	var remaining []string
	for _, s := range list {
		if s != value {
			remaining = append(remaining, s)
		}
	}
	return remaining
}

func removeKey(doc *document.Document, f *form) {
	if team := findByName(f, doc.Teams, "team", f.pathVariable("team"), teamName); team != nil {
		team.Keys = removeByName(f, team.Keys, "key", f.pathVariable("key"), keyID)
	}
}

func addDataCentre(doc *document.Document, f *form) {
	dc := document.DataCentre{Name: f.name("name"), State: document.StateIn, Hosts: []document.Host{}}
	checkNameUnused(f, doc.DataCentres, "data centre", dc.Name, dataCentreName)
	doc.DataCentres = append(doc.DataCentres, dc)
}

func setDataCentreState(doc *document.Document, f *form) {
	if dc := findByName(f, doc.DataCentres, "data centre", f.pathVariable("dc"), dataCentreName); dc != nil {
		dc.State = document.State(f.text("state"))
	}
}

func removeDataCentre(doc *document.Document, f *form) {
	doc.DataCentres = removeByName(f, doc.DataCentres, "data centre", f.pathVariable("dc"), dataCentreName)
}

func addHost(doc *document.Document, f *form) {
	dc := findByName(f, doc.DataCentres, "data centre", f.pathVariable("dc"), dataCentreName)
	if dc == nil {
		return
	}
	host := document.Host{Name: f.name("name")}
	checkNameUnused(f, dc.Hosts, "host", host.Name, hostName)
	setHostFields(&host, f)
	dc.Hosts = append(dc.Hosts, host)
}

func saveHost(doc *document.Document, f *form) {
	dc := findByName(f, doc.DataCentres, "data centre", f.pathVariable("dc"), dataCentreName)
	if dc == nil {
		return
	}
	if host := findByName(f, dc.Hosts, "host", f.pathVariable("host"), hostName); host != nil {
		setHostFields(host, f)
	}
}

func setHostFields(host *document.Host, f *form) {
	host.CallerAddress = f.text("caller_address")
	host.PeerAddress = f.text("peer_address")
	host.AdminAddress = f.text("admin_address")
	host.Retired = f.bool("retired")
}

func removeHost(doc *document.Document, f *form) {
	if dc := findByName(f, doc.DataCentres, "data centre", f.pathVariable("dc"), dataCentreName); dc != nil {
		dc.Hosts = removeByName(f, dc.Hosts, "host", f.pathVariable("host"), hostName)
	}
}

func addPool(doc *document.Document, f *form) {
	pool := document.Pool{Name: f.name("name"), Kind: document.PoolKind(f.text("kind")), Upstreams: []document.Upstream{}}
	checkNameUnused(f, doc.Pools, "pool", pool.Name, poolName)
	setPoolFields(&pool, f)
	doc.Pools = append(doc.Pools, pool)
}

func savePool(doc *document.Document, f *form) {
	if pool := findByName(f, doc.Pools, "pool", f.pathVariable("pool"), poolName); pool != nil {
		setPoolFields(pool, f)
	}
}

func setPoolFields(pool *document.Pool, f *form) {
	pool.Model = f.text("model")
	pool.NearFirst = f.bool("near_first")
	pool.LoadFactor = f.float("load_factor")
}

func removePool(doc *document.Document, f *form) {
	doc.Pools = removeByName(f, doc.Pools, "pool", f.pathVariable("pool"), poolName)
}

func addUpstream(doc *document.Document, f *form) {
	pool := findByName(f, doc.Pools, "pool", f.pathVariable("pool"), poolName)
	if pool == nil {
		return
	}
	up := document.Upstream{Name: f.name("name")}
	checkNameUnused(f, pool.Upstreams, "upstream", up.Name, upstreamName)
	setUpstreamFields(&up, f)
	pool.Upstreams = append(pool.Upstreams, up)
}

func saveUpstream(doc *document.Document, f *form) {
	pool := findByName(f, doc.Pools, "pool", f.pathVariable("pool"), poolName)
	if pool == nil {
		return
	}
	if up := findByName(f, pool.Upstreams, "upstream", f.pathVariable("up"), upstreamName); up != nil {
		setUpstreamFields(up, f)
	}
}

func setUpstreamFields(up *document.Upstream, f *form) {
	up.DataCentre = f.text("data_centre")
	up.Address = f.text("address")
	up.State = document.State(f.text("state"))
	up.Capacity = f.int("capacity")
}

func removeUpstream(doc *document.Document, f *form) {
	if pool := findByName(f, doc.Pools, "pool", f.pathVariable("pool"), poolName); pool != nil {
		pool.Upstreams = removeByName(f, pool.Upstreams, "upstream", f.pathVariable("up"), upstreamName)
	}
}

func addRoute(doc *document.Document, f *form) {
	route := document.Route{Name: f.name("name")}
	checkNameUnused(f, doc.Routes, "route", route.Name, routeName)
	setRouteFields(&route, f)
	doc.Routes = append(doc.Routes, route)
}

func saveRoute(doc *document.Document, f *form) {
	if route := findByName(f, doc.Routes, "route", f.pathVariable("route"), routeName); route != nil {
		setRouteFields(route, f)
	}
}

func setRouteFields(route *document.Route, f *form) {
	route.Path = f.text("path")
	route.Methods = nil
	for _, method := range f.list("methods") {
		route.Methods = append(route.Methods, strings.ToUpper(method))
	}
	route.Pool = f.text("pool")
	route.Open = f.bool("open")
	route.Repeatable = f.bool("repeatable")
	route.Teams = f.list("teams")
	if len(route.Teams) == 0 {
		route.Teams = nil
	}
}

func removeRoute(doc *document.Document, f *form) {
	doc.Routes = removeByName(f, doc.Routes, "route", f.pathVariable("route"), routeName)
}
