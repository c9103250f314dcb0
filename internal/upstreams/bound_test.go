package upstreams

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/settings"
)

var errEngineUnreachable = errors.New("engine is unreachable")

func refusalCode(err error) string { return exchange.AsRefusal(err).Code }

// boundCase is one fault scenario under load.
type boundCase struct {
	name  string
	fault func(s *simulation, second int)
	lag   time.Duration
}

var boundCases = []boundCase{
	{name: "no fault", fault: func(*simulation, int) {}},
	{name: "gossip is delayed by a second", lag: time.Second, fault: func(*simulation, int) {}},
	{name: "liveness views differ for three seconds", fault: func(s *simulation, second int) {
		s.hosts[0].live["host-1"] = second < 6 || second > 8
		s.hosts[2].live["host-0"] = second < 7 || second > 9
	}},
	{name: "an owner is paused and resumes late", fault: func(s *simulation, second int) {
		s.hosts[1].paused = second >= 6 && second < 11
		for _, h := range s.hosts {
			if h != s.hosts[1] {
				h.live["host-1"] = second < 7 || second > 11
			}
		}
	}},
	{name: "ownership moves immediately and back", fault: func(s *simulation, second int) {
		for _, h := range s.hosts {
			h.live["host-1"] = second < 6 || second > 9
		}
	}},
	{name: "an owner fails permanently", fault: func(s *simulation, second int) {
		s.hosts[1].paused = second >= 6
		for _, h := range s.hosts {
			h.live["host-1"] = second < 7
		}
	}},
}

// load runs a simulation for 14 seconds with Zipf-distributed chats. It returns the simulation and the number of
// requests that arrived.
func (c boundCase) load(t *testing.T, seed uint64, policy settings.RoutingPolicy) (s *simulation, arrived int) {
	t.Helper()
	s = newSimulation(t, seed, 4, 8, policy)
	s.gossipLag = c.lag
	for second := range 14 {
		c.fault(s, second)
		s.run(time.Second, func() {
			for range 8 + s.rnd.IntN(4) {
				entry := s.hosts[s.rnd.IntN(len(s.hosts))]
				if entry.paused {
					continue
				}
				arrived++
				s.arrive(entry, s.zipfChat(), 700*time.Millisecond)
			}
		})
	}
	return s, arrived
}

// zipfChat returns a chat ID. A third of all requests belong to three chats.
func (s *simulation) zipfChat() string {
	if s.rnd.IntN(3) == 0 {
		return fmt.Sprintf("large-%d", s.rnd.IntN(3))
	}
	return fmt.Sprintf("chat-%d", s.rnd.IntN(1000))
}

// summary returns the median and the highest load ratio after the first four seconds, in which the takeover ramp ends.
func (s *simulation) summary() (median, highest float64) {
	ratios := slices.Sorted(slices.Values(s.ratios[40:]))
	return ratios[len(ratios)/2], ratios[len(ratios)-1]
}

func TestLoadBoundHoldsUnderFaults(t *testing.T) {
	for _, c := range boundCases {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s/seed %d", c.name, seed), func(t *testing.T) {
				is := is.New(t)
				s, arrived := c.load(t, seed, settings.PolicyBounded)
				median, highest := s.summary()
				t.Logf("arrived %d, refused as busy %d, highest load over mean: median %.2f, highest %.2f, above the bound %d",
					arrived, s.refused[CodeBusy], median, highest, s.boundViolations)
				is.Equal(s.boundViolations, 0)
				is.True(median <= 1.25)
			})
		}
	}
}

func TestLargeChatsOverloadEngineWithoutLoadBound(t *testing.T) {
	for _, policy := range []settings.RoutingPolicy{settings.PolicyRendezvous, settings.PolicyDirect} {
		for seed := range uint64(5) {
			is := is.New(t)
			s, _ := boundCases[0].load(t, seed, policy)
			median, highest := s.summary()
			t.Logf("%s: highest load over mean: median %.2f, highest %.2f, above the bound %d", policy, median, highest, s.boundViolations)
			is.True(s.boundViolations > 0)
			is.True(median > 1.25)
		}
	}
}

func TestDataCentreIsRampedUpAfterItReturns(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1, 2, 8, settings.PolicyBounded)
	out := func(state document.State) func(*document.Document) {
		return func(d *document.Document) {
			for i := range 4 {
				d.Pools[0].Upstreams[i].State = state
			}
		}
	}
	arrivals := func() {
		for range 5 {
			s.arrive(s.hosts[s.rnd.IntN(2)], s.zipfChat(), 700*time.Millisecond)
		}
	}
	s.run(5*time.Second, arrivals)
	s.publish(out(document.StateOut))
	s.run(800*time.Millisecond, arrivals)
	for i := range 4 {
		is.Equal(s.engines[s.doc.Pools[0].Upstreams[i].Address].inFlight, 0)
	}
	s.run(3*time.Second, arrivals)
	s.publish(out(document.StateIn))
	s.run(200*time.Millisecond, arrivals)
	for i := range 4 {
		// A tenth of the ramp has passed, so no engine may have more than the idle load.
		is.True(s.engines[s.doc.Pools[0].Upstreams[i].Address].inFlight <= 2)
	}
}
