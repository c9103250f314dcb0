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

var errGone = errors.New("engine is gone")

func refusalCode(err error) string { return exchange.AsRefusal(err).Code }

// boundCase is one row of the fault table: what goes wrong while load arrives.
type boundCase struct {
	name  string
	fault func(s *simulation, second int)
	lag   time.Duration
}

var boundCases = []boundCase{
	{name: "nothing goes wrong", fault: func(*simulation, int) {}},
	{name: "gossip is a second late", lag: time.Second, fault: func(*simulation, int) {}},
	{name: "views differ for three seconds", fault: func(s *simulation, second int) {
		s.hosts[0].live["host-1"] = second < 6 || second > 8
		s.hosts[2].live["host-0"] = second < 7 || second > 9
	}},
	{name: "an owner pauses and wakes late", fault: func(s *simulation, second int) {
		s.hosts[1].frozen = second >= 6 && second < 11
		for _, h := range s.hosts {
			if h != s.hosts[1] {
				h.live["host-1"] = second < 7 || second > 11
			}
		}
	}},
	{name: "ownership moves at once and back", fault: func(s *simulation, second int) {
		for _, h := range s.hosts {
			h.live["host-1"] = second < 6 || second > 9
		}
	}},
	{name: "an owner is lost for good", fault: func(s *simulation, second int) {
		s.hosts[1].frozen = second >= 6
		for _, h := range s.hosts {
			h.live["host-1"] = second < 7
		}
	}},
}

// load drives a simulation for 14 seconds with zipf-distributed chats and returns it with the number of arrivals.
func (c boundCase) load(t *testing.T, seed uint64, policy settings.RoutingPolicy) (s *simulation, arrived int) {
	t.Helper()
	s = newSimulation(t, seed, 4, 8, policy)
	s.gossipLag = c.lag
	for second := range 14 {
		c.fault(s, second)
		s.run(time.Second, func() {
			for range 8 + s.rnd.IntN(4) {
				entry := s.hosts[s.rnd.IntN(len(s.hosts))]
				if entry.frozen {
					continue
				}
				arrived++
				s.arrive(entry, s.zipfChat(), 700*time.Millisecond)
			}
		})
	}
	return s, arrived
}

// zipfChat returns a chat; a third of all requests belong to three chats.
func (s *simulation) zipfChat() string {
	if s.rnd.IntN(3) == 0 {
		return fmt.Sprintf("large-%d", s.rnd.IntN(3))
	}
	return fmt.Sprintf("chat-%d", s.rnd.IntN(1000))
}

// summary describes the ratios after the first four seconds, in which the fleet's ramp ends.
func (s *simulation) summary() (median, highest float64) {
	ratios := slices.Sorted(slices.Values(s.ratios[40:]))
	return ratios[len(ratios)/2], ratios[len(ratios)-1]
}

func TestNoEngineIsAdmittedAboveTheBoundUnderFaults(t *testing.T) {
	for _, c := range boundCases {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s/seed %d", c.name, seed), func(t *testing.T) {
				is := is.New(t)
				s, arrived := c.load(t, seed, settings.PolicyBounded)
				median, highest := s.summary()
				t.Logf("arrived %d, refused as busy %d, highest load over mean: median %.2f, highest %.2f, above the bound %d",
					arrived, s.refused[CodeBusy], median, highest, s.broken)
				is.Equal(s.broken, 0)
				is.True(median <= 1.25)
			})
		}
	}
}

func TestWithoutTheOwnersBoundLargeChatsOverloadAnEngine(t *testing.T) {
	for _, policy := range []settings.RoutingPolicy{settings.PolicyRendezvous, settings.PolicyDirect} {
		for seed := range uint64(5) {
			is := is.New(t)
			s, _ := boundCases[0].load(t, seed, policy)
			median, highest := s.summary()
			t.Logf("%s: highest load over mean: median %.2f, highest %.2f, above the bound %d", policy, median, highest, s.broken)
			is.True(s.broken > 0)
			is.True(median > 1.25)
		}
	}
}

func TestADataCentreThatReturnsIsRampedUp(t *testing.T) {
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
		is.Equal(s.engines[s.doc.Pools[0].Upstreams[i].Address].carried, 0)
	}
	s.run(3*time.Second, arrivals)
	s.publish(out(document.StateIn))
	s.run(200*time.Millisecond, arrivals)
	for i := range 4 {
		// A tenth of the ramp has passed: no engine may carry more than the idle load yet.
		is.True(s.engines[s.doc.Pools[0].Upstreams[i].Address].carried <= 2)
	}
}
