package ownership

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/orioleusher/orioleusher/internal/document"
)

// liveHosts is the set of hosts that are considered live.
type liveHosts map[string]bool

func (l liveHosts) Live(host string) bool { return l[host] }

// snapshot returns a document with the given number of hosts, named dc-D-N, and one upstream in each data centre.
func snapshot(t interface{ Fatal(...any) }, hosts ...int) *document.Snapshot {
	doc := document.Document{Schema: document.SchemaVersion, Fleet: "test", Version: 1}
	pool := document.Pool{Name: "p", Kind: document.KindService, LoadFactor: 1.25}
	for d, count := range hosts {
		dc := document.DataCentre{Name: fmt.Sprintf("dc-%d", d), State: document.StateIn}
		for n := range count {
			ip := fmt.Sprintf("127.0.%d.%d", d, n+1)
			dc.Hosts = append(dc.Hosts, document.Host{
				Name: fmt.Sprintf("dc-%d-%d", d, n), CallerAddress: ip + ":1", PeerAddress: ip + ":2", AdminAddress: ip + ":3",
			})
		}
		doc.DataCentres = append(doc.DataCentres, dc)
		pool.Upstreams = append(pool.Upstreams, document.Upstream{
			Name: fmt.Sprintf("u-%d", d), DataCentre: dc.Name, Address: fmt.Sprintf("127.0.9.%d:1", d+1), State: document.StateIn, Capacity: 1,
		})
	}
	doc.Pools = []document.Pool{pool}
	doc.Routes = []document.Route{{Name: "r", Path: "/", Methods: []string{"GET"}, Pool: "p", Open: true, Repeatable: true}}
	raw, err := doc.Encode()
	if err != nil {
		t.Fatal(err)
	}
	snap, err := document.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

func allLive(snap *document.Snapshot) liveHosts {
	live := liveHosts{}
	for _, host := range snap.EntryHosts() {
		live[host.Name] = true
	}
	return live
}

func TestOwnerIsInUpstreamDataCentreWhileAnyHostThereIsLive(t *testing.T) {
	is := is.New(t)
	snap := snapshot(t, 2, 3)
	up, _ := snap.Upstream("u-0")
	live := allLive(snap)
	first, ok := Owner(snap, live, up.Upstream)
	is.True(ok)
	is.Equal(first.DataCentre, "dc-0")
	delete(live, first.Name)
	second, ok := Owner(snap, live, up.Upstream)
	is.True(ok)
	is.Equal(second.DataCentre, "dc-0")
	delete(live, second.Name)
	third, ok := Owner(snap, live, up.Upstream)
	is.True(ok)
	is.Equal(third.DataCentre, "dc-1")
	_, ok = Owner(snap, liveHosts{}, up.Upstream)
	is.True(!ok)
}

// TestOwnerChangesOnlyWithOwnerLiveness takes a random host down and up again. The owner must change only if the owner
// itself was taken down.
func TestOwnerChangesOnlyWithOwnerLiveness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snap := snapshot(t, rapid.IntRange(1, 4).Draw(t, "near"), rapid.IntRange(0, 4).Draw(t, "far"))
		up, _ := snap.Upstream("u-0")
		live := allLive(snap)
		before, _ := Owner(snap, live, up.Upstream)
		stopped := rapid.SampledFrom(snap.EntryHosts()).Draw(t, "gone").Name
		delete(live, stopped)
		during, ok := Owner(snap, live, up.Upstream)
		if stopped != before.Name && (!ok || during.Name != before.Name) {
			t.Fatalf("%s went down and the owner changed from %s to %s", stopped, before.Name, during.Name)
		}
		if during.Name == stopped {
			t.Fatalf("%s went down and is still the owner", stopped)
		}
		live[stopped] = true
		if after, _ := Owner(snap, live, up.Upstream); after.Name != before.Name {
			t.Fatalf("%s is up again and the owner is %s, want %s", stopped, after.Name, before.Name)
		}
	})
}
