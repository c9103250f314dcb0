package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/promptblame"
	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/quarantine"
)

// newLargeFleet returns hosts in five data centres that exchange digests by direct calls. Each knows only the first
// one.
func newLargeFleet(n int, clock clockwork.Clock) []*Fleet {
	hosts := make([]*Fleet, n)
	for i := range hosts {
		hosts[i] = New(Options{
			Self: fmt.Sprintf("10.0.%d.%d:9", i/200, i%200), Incarnation: uint64(i + 1), MinHosts: 2, GossipInterval: time.Second,
			DataCentre: fmt.Sprintf("dc-%d", i%5), Mirror: published.NewMirror(published.MirrorOptions{Clock: clock, OnChange: func([]published.Item) {}}),
			Store: &fakeStore{reading: true}, Loads: &fakeLoads{},
			Crashes: quarantine.NewTable(quarantine.Limits{CrashThreshold: 2, Lifetime: time.Minute}, clock, nil), Prompts: promptblame.NewTable(uint64(i+1), clock, zerolog.Nop()), Clock: clock,
			Rand: rand.New(rand.NewPCG(1, uint64(i))), Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
	}
	for _, h := range hosts[1:] {
		h.SetSeeds([]string{hosts[0].Self})
	}
	return hosts
}

// exchangeAll makes each host exchange digests with one other, as GossipRound does.
func exchangeAll(hosts []*Fleet) {
	byAddress := map[string]*Fleet{}
	for _, h := range hosts {
		byAddress[h.Self] = h
	}
	for _, h := range hosts {
		if other := byAddress[h.pickTarget()]; other != nil {
			request := h.digest(other.dataCentreHash, unknownMembers)
			other.merge(request)
			h.merge(other.digest(h.dataCentreHash, int(request.GetKnown())))
		}
	}
}

// Guards against membership that spreads too slowly when a fleet is much larger than one message holds. Within seconds
// each host must know at least three quarters of the fleet, which is the margin for dividing limits, and the hosts must
// agree on the store readers.
func TestLargeFleetDiscoversItselfWithSmallMessages(t *testing.T) {
	is := is.New(t)
	const (
		size   = 200
		missed = 0.25
	)
	clock := clockwork.NewFakeClock()
	hosts := newLargeFleet(size, clock)
	const rounds, minRounds, settledRounds = 25, 5, 15
	for round := range rounds {
		exchangeAll(hosts)
		clock.Advance(time.Second)
		reading, least := 0, float64(size)
		for _, h := range hosts {
			least = min(least, float64(h.ShareCount()))
			if h.SelectPeer(false) == nil {
				reading++
			}
		}
		if round >= minRounds {
			is.True(least >= (1-missed)*size)
		}
		if round >= settledRounds {
			is.True(least >= newcomerFraction*size)      // a host that knows fewer members receives all of them
			is.True(reading <= 5*readersPerDataCentre+1) // one host may not see another for a round
		}
	}
}
