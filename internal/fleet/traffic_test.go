package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/promptblame"
	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/quarantine"
)

// steadyLoads are loads that do not change.
type steadyLoads struct {
	fakeLoads
}

func (*steadyLoads) MergeReports([]balance.LoadReport) {}

// trafficFleet is a quiet fleet that has discovered itself, without a network.
type trafficFleet struct {
	clock     *clockwork.FakeClock
	metrics   tally.TestScope
	hosts     []*Fleet
	byAddress map[string]*Fleet
	// bytes are those of all digests since the last measurement.
	bytes int
}

func newTrafficFleet(hosts, dataCentres, upstreams int) *trafficFleet {
	f := &trafficFleet{clock: clockwork.NewFakeClock(), metrics: tally.NewTestScope("", nil), byAddress: map[string]*Fleet{}}
	loads := &steadyLoads{}
	for i := range upstreams {
		loads.own = append(loads.own, balance.LoadReport{IncarnationID: uint32(i+1) * 2654435761, Load: 3, Age: time.Second})
	}
	for i := range hosts {
		h := New(Options{
			Self: fmt.Sprintf("10.0.%d.%d:9", i/200, i%200), Incarnation: uint64(i + 1), MinHosts: 2, GossipInterval: time.Second,
			DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), Mirror: published.NewMirror(published.MirrorOptions{Clock: f.clock, OnChange: func([]published.Item) {}}),
			Store: &fakeStore{reading: true}, Loads: loads, Prompts: promptblame.NewTable(uint64(i+1), f.clock, zerolog.Nop()),
			Crashes: quarantine.NewTable(quarantine.DefaultLimits, f.clock, nil), Clock: f.clock,
			Rand: rand.New(rand.NewPCG(1, uint64(i))), Log: zerolog.Nop(), Scope: f.metrics,
		})
		f.hosts = append(f.hosts, h)
		f.byAddress[h.Self] = h
	}
	for _, h := range f.hosts[1:] {
		h.SetSeeds([]string{f.hosts[0].Self})
	}
	return f
}

// run plays rounds, a second each.
func (f *trafficFleet) run(rounds int) {
	for range rounds {
		for _, h := range f.hosts {
			f.round(h)
		}
		f.clock.Advance(time.Second)
	}
}

func (f *trafficFleet) round(h *Fleet) {
	other := f.byAddress[h.pickTarget()]
	if other == nil {
		return
	}
	digest := h.digest(other.dataCentreHash, unknownMembers)
	h.countSent(other.dataCentreHash, digest)
	reply, err := other.Exchange(context.Background(), digest)
	if err != nil {
		panic(err) // Exchange calls no other host
	}
	f.bytes += proto.Size(digest) + proto.Size(reply)
	h.merge(reply)
}

// counts returns the bytes by part and kind of data centre.
func (f *trafficFleet) counts() map[string]int64 {
	counts := map[string]int64{}
	for _, c := range f.metrics.Snapshot().Counters() {
		if strings.HasSuffix(c.Name(), "fleet_digest_bytes") {
			counts[c.Tags()["part"]+" "+c.Tags()["data_centre"]] += c.Value()
		}
	}
	return counts
}

// Guards against control bytes that no metric shows: the parts must add up to what is sent.
func TestDigestBytesAreCountedByPartAndDataCentre(t *testing.T) {
	for _, hosts := range []int{30, 300} {
		if testing.Short() && hosts > 30 {
			continue // takes most of a minute with the race detector
		}
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			is := is.New(t)
			const rounds, dataCentres, upstreams = 30, 6, 128
			f := newTrafficFleet(hosts, dataCentres, upstreams)
			f.run(rounds)
			before := f.counts()
			f.bytes = 0
			f.run(rounds)
			total := int64(0)
			for part, bytes := range f.counts() {
				total += bytes - before[part]
				t.Logf("%s: %d B/s a host", part, (bytes-before[part])/int64(hosts*rounds))
			}
			is.Equal(total, int64(f.bytes))
			is.True(before["members local"] > 0 && before["members remote"] > 0 && before["loads local"] > 0)
		})
	}
}
