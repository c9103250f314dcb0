// Package testfleet starts a small fleet of real processes on loopback addresses reserved for the test. Tests can kill,
// freeze, partition and replace the processes. All traffic between them passes through a Network that can cut links.
//
// Each test has its own address block B. The platform listens on 127.B.0.1, routers on 127.B.1.N, engines on 127.B.2.N
// and services on 127.B.3.N. The document and the settings contain the addresses of the network's proxies instead,
// 127.B.(10+R).N, where R is the third byte of the target's address.
package testfleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/router"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/standin/faults"
)

// Model is the model of every engine of a test fleet.
const Model = "test-model"

// Paths of the routes of a test fleet. Orders are not repeatable; PathHours needs no API key.
const (
	PathChat   = "/v1/chat/completions"
	PathOrders = "/v1/orders"
	PathHours  = "/v1/hours"
)

// readyTimeout limits how long a process may take to become ready.
const readyTimeout = 20 * time.Second

// Options describes the fleet to start.
type Options struct {
	// Block is the second byte of every address. Tests that run at the same time must use different blocks.
	Block int
	// Hosts is the number of routers in each data centre. Data centres are named dc-1, dc-2 and so on.
	Hosts []int
	// Engines and Services are the numbers of upstreams, which are assigned to the data centres round-robin.
	Engines  int
	Services int
	// Teams defaults to the single team "team-1" with a rate that no test reaches. Team NAME has the API key "key-NAME".
	Teams []document.Team
	// EditDocument, EditRouter and EditEngine modify the generated document and settings before the processes start.
	EditDocument func(*document.Document)
	EditRouter   func(*settings.Router)
	EditEngine   func(*settings.Engine)
}

// Fleet is a running fleet.
type Fleet struct {
	t        *testing.T
	options  Options
	dir      string
	bin      string
	Document *document.Document
	Network  *Network
	Platform *Process
	Routers  []*Process
	Engines  []*Process
	Services []*Process
}

// Start starts the fleet and waits until every router is ready. All processes are killed when the test ends.
func Start(t *testing.T, options Options) *Fleet {
	t.Helper()
	LockBlock(t, options.Block)
	f := &Fleet{t: t, options: options, dir: t.TempDir(), bin: Binaries(t), Network: NewNetwork(t)}
	f.Document = f.makeDocument()
	if options.EditDocument != nil {
		options.EditDocument(f.Document)
	}
	f.startStandIns()
	f.startRouters()
	for _, r := range f.Routers {
		f.WaitReady(r)
	}
	return f
}

func (f *Fleet) ip(role, n int) string { return fmt.Sprintf("127.%d.%d.%d", f.options.Block, role, n) }

// Roles, the third byte of an address.
const (
	rolePlatform = 0
	roleRouter   = 1
	roleEngine   = 2
	roleService  = 3
	// proxyRoleOffset is added to the role of the target process in a proxy's address.
	proxyRoleOffset = 10
)

// startProxy starts a proxy for the port of the role's n-th process, counted from 1, and returns the proxy's address.
func (f *Fleet) startProxy(role, n, port int) string {
	address := fmt.Sprintf("%s:%d", f.ip(role+proxyRoleOffset, n), port)
	f.Network.Proxy(address, fmt.Sprintf("%s:%d", f.ip(role, n), port))
	return address
}

func (f *Fleet) makeDocument() *document.Document {
	doc := &document.Document{Schema: document.SchemaVersion, Fleet: "test", Version: 1, Teams: f.options.Teams}
	n := 0
	for i, count := range f.options.Hosts {
		dc := document.DataCentre{Name: fmt.Sprintf("dc-%d", i+1), State: document.StateIn}
		for range count {
			n++
			dc.Hosts = append(dc.Hosts, document.Host{
				Name: fmt.Sprintf("router-%d", n), CallerAddress: f.ip(roleRouter, n) + ":8080",
				PeerAddress: f.startProxy(roleRouter, n, 7080), AdminAddress: f.ip(roleRouter, n) + ":9080",
			})
		}
		doc.DataCentres = append(doc.DataCentres, dc)
	}
	doc.Pools = []document.Pool{
		f.makePool("engines", "engine", document.KindEngine, roleEngine, f.options.Engines),
		f.makePool("services", "service", document.KindService, roleService, f.options.Services),
	}
	doc.Routes = []document.Route{
		{Name: "chat", Path: PathChat, Methods: []string{"POST"}, Pool: "engines", Repeatable: true},
		{Name: "orders", Path: PathOrders, Methods: []string{"POST"}, Pool: "services"},
		{Name: "hours", Path: PathHours, Methods: []string{"GET"}, Pool: "services", Open: true, Repeatable: true},
	}
	if len(doc.Teams) == 0 {
		doc.Teams = []document.Team{{Name: "team-1", RatePerSecond: 1e6, Burst: 1e6}}
	}
	for i := range doc.Teams {
		team := &doc.Teams[i]
		team.Keys = append(team.Keys, document.Key{ID: "test", SHA256: document.HashKey(TeamKey(team.Name))})
	}
	return doc
}

// TeamKey returns the API key of a team of a test fleet.
func TeamKey(team string) string { return "key-" + team }

func (f *Fleet) makePool(name, prefix string, kind document.PoolKind, role, count int) document.Pool {
	pool := document.Pool{Name: name, Kind: kind, LoadFactor: 1.25}
	if kind == document.KindEngine {
		pool.Model = Model
	}
	for n := 1; n <= count; n++ {
		pool.Upstreams = append(pool.Upstreams, document.Upstream{
			Name: fmt.Sprintf("%s-%d", prefix, n), DataCentre: fmt.Sprintf("dc-%d", (n-1)%len(f.options.Hosts)+1),
			Address: f.startProxy(role, n, 8000), State: document.StateIn, Capacity: 16,
		})
	}
	return pool
}

func (f *Fleet) startStandIns() {
	s := settings.StandIns{Platform: settings.Platform{
		Address: f.ip(rolePlatform, 1) + ":8500", AdminAddress: f.ip(rolePlatform, 1) + ":9500",
		DocumentFile: f.writeJSON("document.json", f.Document),
	}}
	for n := 1; n <= f.options.Engines; n++ {
		e := settings.Engine{
			Name: fmt.Sprintf("engine-%d", n), Address: f.ip(roleEngine, n) + ":8000",
			AdminAddress: f.ip(roleEngine, n) + ":9000", Model: Model, Seed: uint64(n),
		}
		if f.options.EditEngine != nil {
			f.options.EditEngine(&e)
		}
		s.Engines = append(s.Engines, e)
	}
	for n := 1; n <= f.options.Services; n++ {
		s.Services = append(s.Services, settings.Service{
			Name: fmt.Sprintf("service-%d", n), Address: f.ip(roleService, n) + ":8000",
			AdminAddress: f.ip(roleService, n) + ":9000",
		})
	}
	file := f.writeJSON("standins.json", s)
	f.Platform = f.startProcess("platform", s.Platform.AdminAddress, "standin-platform", "--settings", file)
	for _, e := range s.Engines {
		f.Engines = append(f.Engines, f.startProcess(e.Name, e.AdminAddress, "standin-engine", "--settings", file, "--name", e.Name))
	}
	for _, v := range s.Services {
		f.Services = append(f.Services, f.startProcess(v.Name, v.AdminAddress, "standin-service", "--settings", file, "--name", v.Name))
	}
}

func (f *Fleet) startRouters() {
	platform := "http://" + f.startProxy(rolePlatform, 1, 8500)
	n := 0
	for _, dc := range f.Document.DataCentres {
		for _, h := range dc.Hosts {
			n++
			s := settings.Router{
				Name: h.Name, DataCentre: dc.Name, CallerAddress: h.CallerAddress,
				PeerAddress: f.ip(roleRouter, n) + ":7080", AdminAddress: h.AdminAddress, Platform: platform,
				Fleet: f.Document.Fleet, PeerTLS: settings.PeerTLS{Plaintext: true}, Log: settings.Log{Level: "debug"},
			}
			for _, other := range f.Document.DataCentres {
				for _, seed := range other.Hosts {
					if seed.Name != h.Name {
						s.SeedPeers = append(s.SeedPeers, seed.PeerAddress)
					}
				}
			}
			if f.options.EditRouter != nil {
				f.options.EditRouter(&s)
			}
			f.Routers = append(f.Routers, f.startProcess(h.Name, h.AdminAddress, "oriole-router", "--settings", f.writeJSON(h.Name+".json", s)))
		}
	}
}

func (f *Fleet) writeJSON(name string, v any) string {
	f.t.Helper()
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// WaitReady waits until the process's readiness probe succeeds.
func (f *Fleet) WaitReady(p *Process) {
	f.t.Helper()
	Eventually(f.t, readyTimeout, p.Name+" is ready", func() bool {
		resp, err := http.Get("http://" + p.AdminAddress + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// Eventually polls until the condition holds and fails the test after the timeout.
func Eventually(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	const pollInterval = 20 * time.Millisecond
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition does not hold after %s: %s", timeout, what)
		}
		time.Sleep(pollInterval)
	}
}

// Publish edits the fleet's document, increments its version and publishes it on the platform.
func (f *Fleet) Publish(edit func(*document.Document)) {
	f.t.Helper()
	f.Document.Parent.Version = f.Document.Version
	f.Document.Version++
	edit(f.Document)
	raw, err := f.Document.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	f.PublishRaw(raw)
}

// PublishRaw publishes raw on the platform without validation.
func (f *Fleet) PublishRaw(raw []byte) {
	f.t.Helper()
	f.callAdmin(http.MethodPut, f.Platform, "/admin/config", raw)
}

// InjectFault injects a fault into a stand-in.
func (f *Fleet) InjectFault(p *Process, kind faults.Kind, d time.Duration) {
	f.t.Helper()
	raw, err := json.Marshal(faults.Request{Kind: kind, DurationMS: d.Milliseconds()})
	if err != nil {
		f.t.Fatal(err)
	}
	f.callAdmin(http.MethodPost, p, "/admin/fault", raw)
}

func (f *Fleet) callAdmin(method string, p *Process, path string, body []byte) {
	f.t.Helper()
	req, err := http.NewRequest(method, "http://"+p.AdminAddress+path, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(resp.Body)
		f.t.Fatalf("%s %s: status %d: %s", method, path, resp.StatusCode, text)
	}
}

// State decodes a process's state dump into v. It returns false if the process does not respond or the dump is invalid.
func (f *Fleet) State(p *Process, v any) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.AdminAddress + "/debug/state")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v) == nil
}

// RouterState returns a router's state dump. It returns false if the router does not respond.
func (f *Fleet) RouterState(p *Process) (router.State, bool) {
	var s router.State
	ok := f.State(p, &s)
	return s, ok
}

// CallerAddress returns the caller address of the n-th router, counted from 0.
func (f *Fleet) CallerAddress(n int) string { return f.ip(roleRouter, n+1) + ":8080" }

// RouterIP returns the IP of the n-th router, counted from 0, for Network.Cut.
func (f *Fleet) RouterIP(n int) string { return f.ip(roleRouter, n+1) }

// EngineIP returns the IP of the n-th engine, counted from 0.
func (f *Fleet) EngineIP(n int) string { return f.ip(roleEngine, n+1) }

// ServiceIP returns the IP of the n-th service, counted from 0.
func (f *Fleet) ServiceIP(n int) string { return f.ip(roleService, n+1) }

// PlatformIP returns the platform's IP.
func (f *Fleet) PlatformIP() string { return f.ip(rolePlatform, 1) }
