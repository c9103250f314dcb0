package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// fairnessTarget is the least part of the median team's success that the worst team may have.
const fairnessTarget = 0.99

// steady is the number of teams that do not surge.
const steady = 5

// measureFairness lets one team surge to ten times the others' callers on a small pool, and returns each steady team's
// share of whole answers.
func measureFairness(t *testing.T, block int, policy settings.RoutingPolicy) []float64 {
	t.Helper()
	const patience = 3 * time.Second
	var teams []document.Team
	for n := range steady + 1 {
		teams = append(teams, document.Team{Name: fmt.Sprintf("team-%d", n+1), RatePerSecond: 1e6, Burst: 1e6})
	}
	f := testfleet.Start(t, testfleet.Options{
		Block: block, Hosts: []int{1, 1}, Engines: 2, Teams: teams,
		EditDocument: func(d *document.Document) {
			for i := range d.Pools[0].Upstreams {
				d.Pools[0].Upstreams[i].Capacity = 4
			}
		},
		EditRouter: func(r *settings.Router) {
			r.RoutingPolicy = policy
			r.Timeouts.Request, r.Timeouts.FirstByte = settings.Duration(patience), settings.Duration(patience)
		},
		EditEngine: func(e *settings.Engine) { e.MaxActive = 4 },
	})
	waitWarm(t, f)
	var drivers []*driver
	for n, team := range teams {
		d := &driver{
			fleet: f, entries: []int{0, 1}, team: team.Name, callers: 1, tokens: 32, timeout: 2 * patience,
			pause: 300 * time.Millisecond,
		}
		if n == steady {
			d.callers, d.pause = 100, 100*time.Millisecond
		}
		d.start()
		drivers = append(drivers, d)
	}
	time.Sleep(8 * time.Second)
	var success []float64
	for n, d := range drivers {
		results := d.finish()
		share := float64(count(results, seen.whole)) / float64(len(results))
		t.Logf("%s %s: %d calls, %d refused, whole %.3f", policy, d.team, len(results), count(results, seen.refused), share)
		if n < steady {
			success = append(success, share)
		}
	}
	slices.Sort(success)
	return success
}

func TestASurgingTeamDoesNotStarveTheOthers(t *testing.T) {
	if testing.Short() {
		t.Skip("drives a fleet for longer than 8 s")
	}
	is := is.New(t)
	success := measureFairness(t, 53, settings.PolicyBounded)
	is.True(success[0] >= fairnessTarget*success[steady/2])
	is.True(success[0] >= fairnessTarget)
}

func TestWithoutFairQueueingASurgeStarvesTheOthers(t *testing.T) {
	if testing.Short() {
		t.Skip("drives a fleet for longer than 8 s")
	}
	is := is.New(t)
	success := measureFairness(t, 54, settings.PolicyRendezvous)
	is.True(success[0] < fairnessTarget)
}
