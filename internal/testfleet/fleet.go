// Package testfleet starts a small fleet as real processes on loopback addresses of its own, for tests that kill,
// freeze, cut and replace its parts. Everything between the processes passes through a Network that can cut links.
//
// Addresses: each test has a block B of its own. The platform is 127.B.0.1, routers 127.B.1.N, engines 127.B.2.N and
// services 127.B.3.N. What the document and the settings name are the network's proxies, 127.B.10+R.N with R as above.
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

// Names of the routes of a test fleet. Orders may not be repeated; Hours is open.
const (
	PathChat   = "/v1/chat/completions"
	PathOrders = "/v1/orders"
	PathHours  = "/v1/hours"
)

// readyTimeout bounds the start of a process.
const readyTimeout = 20 * time.Second

// Shape says what to start.
type Shape struct {
	// Block is the second byte of every address; no two tests may share one.
	Block int
	// Hosts is the number of routers in each data centre; data centres are named dc-1, dc-2 and so on.
	Hosts []int
	// Engines and Services are spread over the data centres in turn.
	Engines  int
	Services int
	// Teams defaults to one team, "team-1", with a rate that no test reaches. Team NAME has the key "key-NAME".
	Teams []document.Team
	// Edit, EditRouter and EditEngine change what was made before the processes start.
	Edit       func(*document.Document)
	EditRouter func(*settings.Router)
	EditEngine func(*settings.Engine)
}

// Fleet is a running fleet.
type Fleet struct {
	t        *testing.T
	shape    Shape
	dir      string
	bin      string
	Document *document.Document
	Network  *Network
	Platform *Process
	Routers  []*Process
	Engines  []*Process
	Services []*Process
}

// Start starts the fleet and waits until every router is ready. Everything ends with the test.
func Start(t *testing.T, shape Shape) *Fleet {
	t.Helper()
	LockBlock(t, shape.Block)
	f := &Fleet{t: t, shape: shape, dir: t.TempDir(), bin: Binaries(t), Network: NewNetwork(t)}
	f.Document = f.makeDocument()
	if shape.Edit != nil {
		shape.Edit(f.Document)
	}
	f.startStandIns()
	f.startRouters()
	for _, r := range f.Routers {
		f.WaitReady(r)
	}
	return f
}

func (f *Fleet) ip(role, n int) string { return fmt.Sprintf("127.%d.%d.%d", f.shape.Block, role, n) }

// The roles in addresses.
const (
	rolePlatform = 0
	roleRouter   = 1
	roleEngine   = 2
	roleService  = 3
	// proxyRole is added to the role of the process behind a proxy.
	proxyRole = 10
)

// proxied starts a proxy for IP:port of the role's n-th process and returns the proxy's address.
func (f *Fleet) proxied(role, n, port int) string {
	address := fmt.Sprintf("%s:%d", f.ip(role+proxyRole, n), port)
	f.Network.Proxy(address, fmt.Sprintf("%s:%d", f.ip(role, n), port))
	return address
}

func (f *Fleet) makeDocument() *document.Document {
	doc := &document.Document{Schema: document.SchemaVersion, Fleet: "test", Version: 1, Teams: f.shape.Teams}
	n := 0
	for i, count := range f.shape.Hosts {
		dc := document.DataCentre{Name: fmt.Sprintf("dc-%d", i+1), State: document.StateIn}
		for range count {
			n++
			dc.Hosts = append(dc.Hosts, document.Host{
				Name: fmt.Sprintf("router-%d", n), CallerAddress: f.ip(roleRouter, n) + ":8080",
				PeerAddress: f.proxied(roleRouter, n, 7080), AdminAddress: f.ip(roleRouter, n) + ":9080",
			})
		}
		doc.DataCentres = append(doc.DataCentres, dc)
	}
	doc.Pools = []document.Pool{
		f.makePool("engines", "engine", document.KindEngine, roleEngine, f.shape.Engines),
		f.makePool("services", "service", document.KindService, roleService, f.shape.Services),
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
		team.Keys = append(team.Keys, document.Key{ID: "test", SHA256: document.HashKey(KeyOf(team.Name))})
	}
	return doc
}

// KeyOf returns the key of a team of a test fleet.
func KeyOf(team string) string { return "key-" + team }

func (f *Fleet) makePool(name, prefix string, kind document.PoolKind, role, count int) document.Pool {
	pool := document.Pool{Name: name, Kind: kind, LoadFactor: 1.25}
	if kind == document.KindEngine {
		pool.Model = Model
	}
	for n := 1; n <= count; n++ {
		pool.Upstreams = append(pool.Upstreams, document.Upstream{
			Name: fmt.Sprintf("%s-%d", prefix, n), DataCentre: fmt.Sprintf("dc-%d", (n-1)%len(f.shape.Hosts)+1),
			Address: f.proxied(role, n, 8000), State: document.StateIn, Capacity: 16,
		})
	}
	return pool
}

func (f *Fleet) startStandIns() {
	s := settings.StandIns{Platform: settings.Platform{
		Address: f.ip(rolePlatform, 1) + ":8500", AdminAddress: f.ip(rolePlatform, 1) + ":9500",
		DocumentFile: f.write("document.json", f.Document),
	}}
	for n := 1; n <= f.shape.Engines; n++ {
		e := settings.Engine{
			Name: fmt.Sprintf("engine-%d", n), Address: f.ip(roleEngine, n) + ":8000",
			AdminAddress: f.ip(roleEngine, n) + ":9000", Model: Model, Seed: uint64(n),
		}
		if f.shape.EditEngine != nil {
			f.shape.EditEngine(&e)
		}
		s.Engines = append(s.Engines, e)
	}
	for n := 1; n <= f.shape.Services; n++ {
		s.Services = append(s.Services, settings.Service{
			Name: fmt.Sprintf("service-%d", n), Address: f.ip(roleService, n) + ":8000",
			AdminAddress: f.ip(roleService, n) + ":9000",
		})
	}
	file := f.write("standins.json", s)
	f.Platform = f.start("platform", s.Platform.AdminAddress, "standin-platform", "--settings", file)
	for _, e := range s.Engines {
		f.Engines = append(f.Engines, f.start(e.Name, e.AdminAddress, "standin-engine", "--settings", file, "--name", e.Name))
	}
	for _, v := range s.Services {
		f.Services = append(f.Services, f.start(v.Name, v.AdminAddress, "standin-service", "--settings", file, "--name", v.Name))
	}
}

func (f *Fleet) startRouters() {
	platform := "http://" + f.proxied(rolePlatform, 1, 8500)
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
			if f.shape.EditRouter != nil {
				f.shape.EditRouter(&s)
			}
			f.Routers = append(f.Routers, f.start(h.Name, h.AdminAddress, "oriole-router", "--settings", f.write(h.Name+".json", s)))
		}
	}
}

func (f *Fleet) write(name string, v any) string {
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

// WaitReady waits until the process's readiness probe answers.
func (f *Fleet) WaitReady(p *Process) {
	f.t.Helper()
	Eventually(f.t, readyTimeout, p.Name+" is ready", func() bool {
		resp, err := http.Get("http://" + p.Admin + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// Eventually polls until the condition holds and fails the test when the time is over.
func Eventually(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	const pollInterval = 20 * time.Millisecond
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("after %s still not true: %s", timeout, what)
		}
		time.Sleep(pollInterval)
	}
}

// Publish edits the fleet's document, raises its version and publishes it on the platform.
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

// PublishRaw publishes any bytes on the platform.
func (f *Fleet) PublishRaw(raw []byte) {
	f.t.Helper()
	f.send(http.MethodPut, f.Platform, "/admin/config", raw)
}

// Fault gives an order to a stand-in.
func (f *Fleet) Fault(p *Process, kind faults.Kind, d time.Duration) {
	f.t.Helper()
	raw, err := json.Marshal(faults.Order{Kind: kind, DurationMS: d.Milliseconds()})
	if err != nil {
		f.t.Fatal(err)
	}
	f.send(http.MethodPost, p, "/admin/fault", raw)
}

func (f *Fleet) send(method string, p *Process, path string, body []byte) {
	f.t.Helper()
	req, err := http.NewRequest(method, "http://"+p.Admin+path, bytes.NewReader(body))
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

// State reads a process's state dump into v. It returns false if the process does not answer.
func (f *Fleet) State(p *Process, v any) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.Admin + "/debug/state")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v) == nil
}

// RouterState reads a router's state dump. It returns false if the router does not answer.
func (f *Fleet) RouterState(p *Process) (router.State, bool) {
	var s router.State
	ok := f.State(p, &s)
	return s, ok
}

// Caller returns the callers' address of the n-th router, counted from 0.
func (f *Fleet) Caller(n int) string { return f.ip(roleRouter, n+1) + ":8080" }

// RouterIP returns the address of the n-th router, counted from 0, for Network.Cut.
func (f *Fleet) RouterIP(n int) string { return f.ip(roleRouter, n+1) }

// EngineIP returns the address of the n-th engine.
func (f *Fleet) EngineIP(n int) string { return f.ip(roleEngine, n+1) }

// ServiceIP returns the address of the n-th service.
func (f *Fleet) ServiceIP(n int) string { return f.ip(roleService, n+1) }

// PlatformIP returns the platform's address.
func (f *Fleet) PlatformIP() string { return f.ip(rolePlatform, 1) }
