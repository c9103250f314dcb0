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

// minSuccessRatio is the minimum ratio of the worst team's success rate to that of the median team.
const minSuccessRatio = 0.99

// steadyTeams is the number of teams that do not surge.
const steadyTeams = 5

// measureFairness makes one team surge to 100 callers on a small pool, where every other team has one caller. It returns
// the share of complete answers of each steady team, in ascending order.
func measureFairness(t *testing.T, block int, policy settings.RoutingPolicy) []float64 {
	t.Helper()
	const requestTimeout = 3 * time.Second
	var teams []document.Team
	for n := range steadyTeams + 1 {
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
			r.Timeouts.Request, r.Timeouts.FirstByte = settings.Duration(requestTimeout), settings.Duration(requestTimeout)
		},
		EditEngine: func(e *settings.Engine) { e.MaxActive = 4 },
	})
	waitWarm(t, f)
	var generators []*loadGenerator
	for n, team := range teams {
		d := &loadGenerator{
			fleet: f, entryRouters: []int{0, 1}, team: team.Name, callers: 1, answerTokens: 32, timeout: 2 * requestTimeout,
			pause: 300 * time.Millisecond,
		}
		if n == steadyTeams {
			d.callers, d.pause = 100, 100*time.Millisecond
		}
		d.start()
		generators = append(generators, d)
	}
	time.Sleep(8 * time.Second)
	var success []float64
	for n, d := range generators {
		results := d.finish()
		share := float64(countResults(results, callResult.succeeded)) / float64(len(results))
		t.Logf("%s %s: %d calls, %d refused, share of complete answers %.3f", policy, d.team, len(results), countResults(results, callResult.refused), share)
		if n < steadyTeams {
			success = append(success, share)
		}
	}
	slices.Sort(success)
	return success
}

func TestFairQueueingProtectsTeamsFromSurge(t *testing.T) {
	if testing.Short() {
		t.Skip("runs load for more than 8 s")
	}
	is := is.New(t)
	success := measureFairness(t, 53, settings.PolicyBounded)
	is.True(success[0] >= minSuccessRatio*success[steadyTeams/2])
	is.True(success[0] >= minSuccessRatio)
}

func TestSurgeStarvesTeamsWithoutFairQueueing(t *testing.T) {
	if testing.Short() {
		t.Skip("runs load for more than 8 s")
	}
	is := is.New(t)
	success := measureFairness(t, 54, settings.PolicyRendezvous)
	is.True(success[0] < minSuccessRatio)
}
