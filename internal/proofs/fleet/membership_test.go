package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/peertls/certtest"
	"github.com/orioleusher/orioleusher/internal/router"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

func TestKilledHostIsReplacedAsOwnerAndRejoinsAfterRestart(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 78, Hosts: []int{3}, Engines: 3})
	before, ok := f.RouterState(f.Routers[0])
	is.True(ok)
	for n := 1; n < len(f.Routers); n++ {
		waitLive(t, f, n, "router-1", true)
	}
	f.Routers[0].Kill()
	for n := 1; n < len(f.Routers); n++ {
		waitLive(t, f, n, "router-1", false)
	}
	checkServing(t, f, 1, 2)
	f.Routers[0].Restart()
	f.WaitReady(f.Routers[0])
	for n := 1; n < len(f.Routers); n++ {
		testfleet.Eventually(t, worstTarget, "the new process is a live member", func() bool {
			s, ok := f.RouterState(f.Routers[n])
			for _, m := range s.Members {
				if ok && m.Host == "router-1" && m.Live && m.Incarnation != before.Incarnation {
					return true
				}
			}
			return false
		})
	}
	checkServing(t, f, allRouters(f)...)
}

func TestOtherDataCentresTakeOverUpstreamsOfFailedOne(t *testing.T) {
	skipIfShort(t)
	f := testfleet.Start(t, testfleet.Options{Block: 88, Hosts: []int{2, 2, 1}, Engines: 3})
	for n := range f.Routers {
		for m := range f.Routers {
			waitLive(t, f, n, f.Routers[m].Name, true)
		}
	}
	f.Routers[0].Kill()
	f.Routers[1].Kill()
	for n := 2; n < len(f.Routers); n++ {
		waitLive(t, f, n, "router-1", false)
		waitLive(t, f, n, "router-2", false)
	}
	checkServing(t, f, 2, 3, 4)
	from := time.Now()
	f.Publish(changeRate)
	checkPropagationTimes(t, propagationTimes(t, f, f.Document.Version, from, 2, 3, 4))
	f.Routers[0].Restart()
	f.Routers[1].Restart()
	for n := range f.Routers {
		f.WaitReady(f.Routers[n])
		waitLive(t, f, n, "router-1", true)
		waitLive(t, f, n, "router-2", true)
	}
	checkServing(t, f, allRouters(f)...)
}

// partition is a way to separate data centre 1 (routers 0 and 1) from other parts of the fleet.
type partition struct {
	name string
	how  testfleet.Cut
	// outbound and inbound select which connections between the data centres are cut, as seen by data centre 1.
	// fromPlatform cuts its connections to the platform.
	outbound, inbound, fromPlatform bool
	// receivesDocument is set if data centre 1 can still receive a new document.
	receivesDocument bool
}

func (c partition) apply(f *testfleet.Fleet) {
	inside := []string{f.RouterIP(0), f.RouterIP(1)}
	outside := []string{f.RouterIP(2), f.RouterIP(3), f.EngineIP(1)}
	for _, a := range inside {
		for _, b := range outside {
			if c.outbound {
				f.Network.Cut(a, b, c.how)
			}
			if c.inbound {
				f.Network.Cut(b, a, c.how)
			}
		}
		if c.fromPlatform {
			f.Network.Cut(a, f.PlatformIP(), c.how)
		}
	}
	if c.inbound {
		f.Network.Cut(f.RouterIP(2), f.EngineIP(0), c.how)
		f.Network.Cut(f.RouterIP(3), f.EngineIP(0), c.how)
	}
}

// settleTime is the time after a cut in which requests may fail.
const settleTime = worstTarget

func TestPartitionedFleetServesAndPropagatesDocuments(t *testing.T) {
	cuts := []partition{
		{"from the platform", testfleet.CutRefuse, false, false, true, true},
		{"from the platform, silently", testfleet.CutBlackhole, false, false, true, true},
		{"from the other data centre", testfleet.CutRefuse, true, true, false, true},
		{"from the other data centre, silently", testfleet.CutBlackhole, true, true, false, true},
		{"one way towards the other", testfleet.CutRefuse, true, false, true, true},
		{"one way from the other", testfleet.CutRefuse, false, true, true, true},
		{"from both", testfleet.CutRefuse, true, true, true, false},
		{"from both, silently", testfleet.CutBlackhole, true, true, true, false},
	}
	if testing.Short() {
		cuts = []partition{cuts[4]}
	}
	f := testfleet.Start(t, testfleet.Options{Block: 79, Hosts: []int{2, 2}, Engines: 2})
	for _, c := range cuts {
		t.Run(c.name, func(t *testing.T) {
			c.apply(f)
			from := time.Now()
			f.Publish(changeRate)
			receivers := []int{2, 3}
			if c.receivesDocument {
				receivers = allRouters(f)
			}
			checkPropagationTimes(t, propagationTimes(t, f, f.Document.Version, from, receivers...))
			time.Sleep(time.Until(from.Add(settleTime)))
			checkServing(t, f, allRouters(f)...)
			f.Network.Heal()
			checkPropagationTimes(t, propagationTimes(t, f, f.Document.Version, time.Now(), allRouters(f)...))
			for n, p := range f.Routers {
				for m := range f.Routers {
					waitLive(t, f, n, f.Routers[m].Name, true)
				}
				testfleet.Eventually(t, worstTarget, p.Name+" reads from the platform again", func() bool {
					s, ok := f.RouterState(p)
					return ok && s.Platform.LastError == ""
				})
			}
		})
	}
	checkHistories(t, f)
}

func TestHostUnreachableFromOnePeerStaysAlive(t *testing.T) {
	skipIfShort(t)
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 80, Hosts: []int{3}, Engines: 3})
	for n := range f.Routers {
		waitLive(t, f, n, "router-2", true)
	}
	f.Network.Cut(f.RouterIP(0), f.RouterIP(1), testfleet.CutBlackhole)
	waitLive(t, f, 0, "router-2", false)
	end := time.Now().Add(settleTime)
	for time.Now().Before(end) {
		for n := range f.Routers {
			s, ok := f.RouterState(f.Routers[n])
			is.True(ok)
			for _, m := range s.Members {
				is.Equal(m.Status, "alive")
				is.True(m.Live || n == 0)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	checkServing(t, f, allRouters(f)...)
}

func TestPeerTLSRefusesHostOfForeignCA(t *testing.T) {
	is := is.New(t)
	ours, theirs := certtest.NewCA(t), certtest.NewCA(t)
	f := testfleet.Start(t, testfleet.Options{Block: 81, Hosts: []int{2, 1}, Engines: 2, EditRouter: func(s *settings.Router) {
		ca := ours
		if s.Name == "router-3" {
			ca = theirs
		}
		s.PeerTLS = ca.Write(t.TempDir(), time.Time{}, "127.81.11.1", "127.81.11.2", "127.81.11.3")
	}})
	waitLive(t, f, 0, "router-2", true)
	waitLive(t, f, 1, "router-1", true)
	s, ok := f.RouterState(f.Routers[0])
	is.True(ok)
	is.True(!s.PeerTLS.Plaintext)
	time.Sleep(time.Second)
	for n := range 2 {
		s, ok := f.RouterState(f.Routers[n])
		is.True(ok)
		is.True(!liveHosts(s)["router-3"])
	}
	foreign, ok := f.RouterState(f.Routers[2])
	is.True(ok)
	is.True(!liveHosts(foreign)["router-1"])
	checkServing(t, f, 0, 1)
}

// TestPausedRouterRefreshesDocumentBeforeAnswering revokes a key while a router is suspended by SIGSTOP. Requests with that
// key are already in the router's socket buffers when it resumes, and must be refused.
func TestPausedRouterRefreshesDocumentBeforeAnswering(t *testing.T) {
	for _, length := range []time.Duration{time.Second, 30 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			if testing.Short() && length > time.Second {
				t.Skip("runs under make prove")
			}
			is := is.New(t)
			f := testfleet.Start(t, testfleet.Options{Block: 82 + int(length.Seconds())/30, Hosts: []int{2, 1}, Engines: 2})
			caller := load.NewCaller(length + callTimeout)
			is.Equal(chatStatus(f, caller, 0, "before"), 200)
			f.Routers[0].Freeze()
			f.Publish(func(d *document.Document) { d.Teams[0].Keys = nil })
			waitVersion(t, f, 2, 1, 2)
			const requests = 8
			statuses := make(chan int, requests)
			for range requests {
				go func() { statuses <- chatStatus(f, caller, 0, "withdrawn") }()
			}
			time.Sleep(length)
			if length > settleTime {
				for n := range 2 {
					waitLive(t, f, n+1, "router-1", false)
				}
			}
			f.Routers[0].Thaw()
			for range requests {
				is.Equal(<-statuses, 401)
			}
			var s router.State
			is.True(f.State(f.Routers[0], &s))
			is.True(s.Pause.Pauses > 0)
			is.True(!s.Pause.Isolated)
			for n := range f.Routers {
				for m := range f.Routers {
					waitLive(t, f, n, f.Routers[m].Name, true)
				}
			}
		})
	}
}

func TestIsolatedRouterReportsIsolationAfterPauseAndServes(t *testing.T) {
	skipIfShort(t)
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 84, Hosts: []int{1, 1}, Engines: 2})
	f.Routers[0].Freeze()
	f.Network.CutBoth(f.RouterIP(0), f.RouterIP(1), testfleet.CutBlackhole)
	f.Network.Cut(f.RouterIP(0), f.PlatformIP(), testfleet.CutBlackhole)
	time.Sleep(time.Second)
	f.Routers[0].Thaw()
	testfleet.Eventually(t, worstTarget, "the router reports that it is isolated", func() bool {
		s, ok := f.RouterState(f.Routers[0])
		return ok && s.Pause.Isolated
	})
	time.Sleep(settleTime)
	checkServing(t, f, 0)
	f.Network.Heal()
	testfleet.Eventually(t, worstTarget, "the router reports that it is no longer isolated", func() bool {
		s, ok := f.RouterState(f.Routers[0])
		return ok && !s.Pause.Isolated
	})
	is.True(!t.Failed())
}
