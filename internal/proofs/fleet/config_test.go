package fleet

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
	"github.com/orioleusher/orioleusher/internal/standin/faults"
	"github.com/orioleusher/orioleusher/internal/standin/platform"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

func TestDocumentPropagationTime(t *testing.T) {
	const publications = 10
	for name, readers := range map[string]int{"all reach the platform": 7, "one host reaches the platform": 1} {
		t.Run(name, func(t *testing.T) {
			f := testfleet.Start(t, testfleet.Options{Block: 70 + readers%7, Hosts: []int{2, 2, 3}})
			for n := readers; n < len(f.Routers); n++ {
				f.Network.Cut(f.RouterIP(n), f.PlatformIP(), testfleet.CutRefuse)
			}
			var took []time.Duration
			for range publications {
				from := time.Now()
				f.Publish(changeRate)
				took = append(took, propagationTimes(t, f, f.Document.Version, from, allRouters(f)...)...)
			}
			checkPropagationTimes(t, took)
			checkHistories(t, f)
		})
	}
}

func TestStartingRouterTakesPeerVersionWhilePlatformIsStale(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 72, Hosts: []int{2, 1}, Engines: 1})
	old, err := f.Document.Encode()
	is.NoErr(err)
	f.Publish(func(d *document.Document) { d.Teams[0].Keys = nil })
	waitVersion(t, f, 2, allRouters(f)...)
	f.PublishRaw(old)
	for range 5 {
		f.Routers[0].Kill()
		f.Routers[0].Restart()
		f.WaitReady(f.Routers[0])
		s, ok := f.RouterState(f.Routers[0])
		is.True(ok)
		is.Equal(s.Config.Version, uint64(2))
		is.Equal(chatStatus(f, load.NewCaller(callTimeout), 0, "withdrawn"), http.StatusUnauthorized)
	}
	testfleet.Eventually(t, worstTarget, "the router reports the stale platform", func() bool {
		s, ok := f.RouterState(f.Routers[0])
		return ok && s.Platform.Stale
	})
	checkHistories(t, f)
}

func TestRouterStartsFromPeersWhilePlatformIsDown(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 73, Hosts: []int{1, 1}, Engines: 2})
	f.Publish(changeRate)
	waitVersion(t, f, 2, allRouters(f)...)
	f.InjectFault(f.Platform, platform.Down, time.Minute)
	f.Routers[0].Kill()
	f.Routers[0].Restart()
	f.WaitReady(f.Routers[0])
	s, ok := f.RouterState(f.Routers[0])
	is.True(ok)
	is.Equal(s.Config.Version, uint64(2))
	checkServing(t, f, allRouters(f)...)
}

// TestAllRoutersRestartWhilePlatformIsStale restarts every router while the platform is stale, so that no router has the
// newer version any more. The fleet must serve with the platform's version and apply a newer one once it is published.
func TestAllRoutersRestartWhilePlatformIsStale(t *testing.T) {
	f := testfleet.Start(t, testfleet.Options{Block: 74, Hosts: []int{1, 2}, Engines: 2})
	old, err := f.Document.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.Publish(changeRate)
	waitVersion(t, f, 2, allRouters(f)...)
	f.PublishRaw(old)
	for _, p := range f.Routers {
		p.Kill()
	}
	for _, p := range f.Routers {
		p.Restart()
	}
	for _, p := range f.Routers {
		f.WaitReady(p)
	}
	waitVersion(t, f, 1, allRouters(f)...)
	checkServing(t, f, allRouters(f)...)
	from := time.Now()
	f.Publish(changeRate)
	checkPropagationTimes(t, propagationTimes(t, f, 3, from, allRouters(f)...))
	checkHistories(t, f)
}

func TestInvalidDocumentIsRefusedAndReported(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 75, Hosts: []int{1, 1}, Engines: 1})
	f.PublishRaw([]byte(`{"schema": 1, "version": 99}`))
	testfleet.Eventually(t, worstTarget, "a router reports the invalid document", func() bool {
		s, ok := f.RouterState(f.Routers[0])
		return ok && s.Config.Refused != nil && s.Config.Version == 1
	})
	checkServing(t, f, allRouters(f)...)
	from := time.Now()
	f.Publish(changeRate)
	checkPropagationTimes(t, propagationTimes(t, f, f.Document.Version, from, allRouters(f)...))
	is.True(!t.Failed())
}

func TestConflictingDocumentsOfSameVersion(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 76, Hosts: []int{2, 2}})
	for round := range 4 {
		f.Document.Version++
		one, two := conflictingDocument(t, f.Document, 1), conflictingDocument(t, f.Document, 2)
		// Alternate whether the losing document is published first or last.
		if (one.Hash > two.Hash) == (round%2 == 0) {
			one, two = two, one
		}
		winner := max(one.Hash, two.Hash)
		f.PublishRaw(one.Raw)
		waitVersion(t, f, f.Document.Version, 0)
		f.PublishRaw(two.Raw)
		time.Sleep(time.Second)
		for _, p := range f.Routers {
			testfleet.Eventually(t, worstTarget, p.Name+" applies the winning document", func() bool {
				s, ok := f.RouterState(p)
				return ok && s.Config.Hash == winner
			})
		}
	}
	reported := uint64(0)
	for _, p := range f.Routers {
		s, _ := f.RouterState(p)
		reported += s.Config.Conflicts
	}
	is.True(reported > 0)
	checkHistories(t, f)
}

// conflictingDocument returns the document with another burst, as a second operator may publish it with the same version.
func conflictingDocument(t *testing.T, d *document.Document, burst float64) *document.Snapshot {
	t.Helper()
	own := *d
	own.Teams = slices.Clone(d.Teams)
	own.Teams[0].Burst += burst
	raw, err := own.Encode()
	if err != nil {
		t.Fatal(err)
	}
	snap, err := document.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

func TestPlatformFaults(t *testing.T) {
	cases := []struct {
		kind     faults.Kind
		duration time.Duration
	}{
		{platform.Down, time.Second},
		{platform.Stale, time.Second},
		{faults.Late, 300 * time.Millisecond},
		{faults.Crash, time.Second},
		{faults.Flap, 600 * time.Millisecond},
	}
	f := testfleet.Start(t, testfleet.Options{Block: 77, Hosts: []int{2, 1}, Engines: 2})
	for _, c := range cases {
		t.Run(fmt.Sprint(c.kind), func(t *testing.T) {
			// The propagation time starts when the platform serves the document again.
			back := time.Now().Add(c.duration)
			f.InjectFault(f.Platform, c.kind, c.duration)
			f.Publish(changeRate)
			checkServing(t, f, allRouters(f)...)
			if c.kind == faults.Flap {
				f.InjectFault(f.Platform, faults.Flap, 0)
			}
			checkPropagationTimes(t, propagationTimes(t, f, f.Document.Version, back, allRouters(f)...))
			f.InjectFault(f.Platform, faults.Late, 0)
		})
	}
	checkHistories(t, f)
}

// TestRevokedKeyAndDataCentreOutTakeEffect publishes while only one router can reach the platform.
func TestRevokedKeyAndDataCentreOutTakeEffect(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{
		Block: 87, Hosts: []int{1, 2}, Engines: 2, Teams: []document.Team{
			{Name: team, RatePerSecond: 1e6, Burst: 1e6}, {Name: "team-2", RatePerSecond: 1e6, Burst: 1e6},
		},
	})
	f.Network.Cut(f.RouterIP(0), f.PlatformIP(), testfleet.CutRefuse)
	f.Network.Cut(f.RouterIP(1), f.PlatformIP(), testfleet.CutRefuse)
	checkServing(t, f, allRouters(f)...)
	from := time.Now()
	f.Publish(func(d *document.Document) {
		d.Teams[1].Keys = nil
		d.DataCentres[0].State = document.StateOut
	})
	caller := load.NewCaller(callTimeout)
	for n := range f.Routers {
		testfleet.Eventually(t, time.Until(from.Add(worstTarget)), "the revoked key is refused by "+f.Routers[n].Name, func() bool {
			return chatStatusAs(f, caller, n, "team-2", "withdrawn") == http.StatusUnauthorized
		})
	}
	before := requests(t, f, 0)
	checkServing(t, f, allRouters(f)...)
	is.Equal(requests(t, f, 0), before)
	is.True(requests(t, f, 1) > 0)
}

// requests returns the number of requests that the n-th engine has received.
func requests(t *testing.T, f *testfleet.Fleet, n int) uint64 {
	t.Helper()
	var s engine.State
	if !f.State(f.Engines[n], &s) {
		t.Fatalf("%s does not respond", f.Engines[n].Name)
	}
	return s.Stats.Requests
}
