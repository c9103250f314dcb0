package loadshare

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

// fakeLoads returns its own observations once and passes on those that it receives.
type fakeLoads struct {
	own          []balance.LoadReport
	merged       chan []balance.LoadReport
	limits       []balance.LimitReport
	mergedLimits []balance.LimitReport

	silences, mergedSilences []balance.SilenceReport
	brittle, mergedBrittle   []balance.BrittleReport
}

func (l *fakeLoads) TakeObservations() []balance.LoadReport {
	own := l.own
	l.own = nil
	return own
}

func (l *fakeLoads) TakeChangedLimits() []balance.LimitReport {
	limits := l.limits
	l.limits = nil
	return limits
}

func (l *fakeLoads) MergeLimitReports(limits []balance.LimitReport) { l.mergedLimits = limits }

func (l *fakeLoads) TakeChangedBrittle() []balance.BrittleReport {
	brittle := l.brittle
	l.brittle = nil
	return brittle
}

func (l *fakeLoads) MergeBrittleReports(reports []balance.BrittleReport) { l.mergedBrittle = reports }

func (l *fakeLoads) MergeObservations(reports []balance.LoadReport) { l.merged <- reports }

func (l *fakeLoads) SilenceReports() []balance.SilenceReport { return l.silences }

func (l *fakeLoads) MergeSilenceReports(reports []balance.SilenceReport) { l.mergedSilences = reports }

type peerList []string

func (p peerList) LocalPeers() []string { return append([]string(nil), p...) }

func newSharer(t *testing.T, peers ...string) (*Sharer, *fakeLoads) {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	loads := &fakeLoads{merged: make(chan []balance.LoadReport, 8)}
	return New(Options{
		Conn: conn, Loads: loads, Peers: peerList(peers), Clock: clockwork.NewFakeClock(), Rand: rand.New(rand.NewPCG(1, 1)),
		Log: zerolog.Nop(), Scope: tally.NoopScope,
	}), loads
}

func TestObservationsReachOtherHosts(t *testing.T) {
	is := is.New(t)
	receiver, received := newSharer(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		receiver.Run(ctx)
		close(ended)
	}()
	// A peer that is down must not keep others from being told.
	sender, loads := newSharer(t, "127.0.0.1:1", receiver.Conn.LocalAddr().String())
	defer sender.Conn.Close()
	loads.own = []balance.LoadReport{{IncarnationID: 7, Load: 12, Age: 80 * time.Millisecond}, {IncarnationID: 9}}
	own := loads.own
	sender.send()
	is.Equal(<-received.merged, own)
	cancel()
	<-ended
}

func TestNothingIsSentWithoutObservations(t *testing.T) {
	is := is.New(t)
	s, _ := newSharer(t)
	defer s.Conn.Close()
	datagram, err := s.Datagram()
	is.NoErr(err)
	is.True(datagram == nil)
}

func TestLargestDatagramFitsIntoOnePacket(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := balance.NewTable("dc", clock, zerolog.Nop())
	s := New(Options{Loads: table, Scope: tally.NoopScope})
	for i := range 500 {
		table.RecordLoad(catalog.UpstreamKey{ID: fmt.Sprint(i)}, 1000)
	}
	clock.Advance(interval)
	datagram, err := s.Datagram()
	is.NoErr(err)
	const packetBytes = 1400 // what an Ethernet packet carries
	is.True(len(datagram) <= packetBytes)
	is.True(len(datagram) <= maxDatagramBytes)
}

func TestInvalidDatagramsAreRejected(t *testing.T) {
	is := is.New(t)
	s, loads := newSharer(t)
	defer s.Conn.Close()
	is.True(s.Merge([]byte("\xff\xff\xff")) != nil)
	raw, err := proto.Marshal(&fleetpb.Loads{Upstream: []uint32{1, 2, 3}, LoadTenths: []uint32{10, 20}, AgeMs: []uint32{uint32(maxAge.Milliseconds()) + 1, 5, 6}})
	is.NoErr(err)
	is.NoErr(s.Merge(raw))
	is.Equal(<-loads.merged, []balance.LoadReport{{IncarnationID: 2, Load: 2, Age: 5 * time.Millisecond}}) // 1 is too old, 3 has no load
}

func TestLargeDataCentreIsToldInParts(t *testing.T) {
	is := is.New(t)
	var peers []string
	for i := range 3 * maxPeers {
		peers = append(peers, fmt.Sprintf("127.0.0.1:%d", 1+i))
	}
	s, _ := newSharer(t, peers...)
	defer s.Conn.Close()
	told := map[string]bool{}
	for range 20 {
		receivers := s.receivers()
		is.Equal(len(receivers), maxPeers)
		for _, r := range receivers {
			told[r] = true
		}
	}
	is.True(len(told) > 2*maxPeers)
}

// Two hosts that know different responses must agree on the newest load, in any order of arrival.
func TestNewestObservationCounts(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	key := catalog.UpstreamKey{ID: "e"}
	tables := []*balance.Table{balance.NewTable("dc", clock, zerolog.Nop()), balance.NewTable("dc", clock, zerolog.Nop())}
	tables[0].RecordLoad(key, 3)
	clock.Advance(50 * time.Millisecond)
	tables[1].RecordLoad(key, 30)
	first, second := tables[0].TakeObservations(), tables[1].TakeObservations()
	clock.Advance(100 * time.Millisecond)
	for _, reports := range [][]balance.LoadReport{second, first} {
		for i := range reports {
			reports[i].Age += 100 * time.Millisecond
		}
	}
	tables[0].MergeObservations(second)
	tables[1].MergeObservations(first)
	is.Equal(tables[0].State()[0].Load, 30.0)
	is.Equal(tables[1].State()[0].Load, 30.0)
	is.Equal(len(tables[0].TakeObservations()), 0) // what others observed is not passed on
}

func TestDatagramHoldsChangedLimits(t *testing.T) {
	is := is.New(t)
	sender, loads := newSharer(t)
	defer sender.Conn.Close()
	receiver, received := newSharer(t)
	defer receiver.Conn.Close()
	loads.limits = []balance.LimitReport{{IncarnationID: 7, Named: true, PerSecond: 0.25, Age: 40 * time.Millisecond}, {IncarnationID: 8}}
	want := loads.limits
	datagram, err := sender.Datagram()
	is.NoErr(err)
	is.NoErr(receiver.Merge(datagram))
	is.Equal(received.mergedLimits, want)
	datagram, err = sender.Datagram()
	is.NoErr(err)
	is.True(datagram == nil) // nothing changed since
}

func TestDatagramHoldsBrittleServices(t *testing.T) {
	is := is.New(t)
	sender, loads := newSharer(t)
	defer sender.Conn.Close()
	receiver, received := newSharer(t)
	defer receiver.Conn.Close()
	loads.brittle = []balance.BrittleReport{{Service: "a", Rejections: 4, Age: 40 * time.Millisecond}, {Service: "b"}}
	want := loads.brittle
	datagram, err := sender.Datagram()
	is.NoErr(err)
	is.NoErr(receiver.Merge(datagram))
	is.Equal(received.mergedBrittle, want)
	datagram, err = sender.Datagram()
	is.NoErr(err)
	is.True(datagram == nil) // nothing changed since
}

func TestDatagramHoldsSilentUpstreams(t *testing.T) {
	is := is.New(t)
	sender, loads := newSharer(t)
	defer sender.Conn.Close()
	receiver, received := newSharer(t)
	defer receiver.Conn.Close()
	loads.silences = []balance.SilenceReport{{IncarnationID: 7, Silence: 350 * time.Millisecond}, {IncarnationID: 8, Silence: time.Minute}}
	for range 2 { // repeated while they are silent
		datagram, err := sender.Datagram()
		is.NoErr(err)
		is.NoErr(receiver.Merge(datagram))
		<-received.merged
		is.Equal(received.mergedSilences, loads.silences)
	}
}

// A datagram with as much as a host sends at once must fit the receiver's buffer.
func TestLargestDatagramFitsBuffer(t *testing.T) {
	is := is.New(t)
	s, loads := newSharer(t)
	defer s.Conn.Close()
	for i := range 96 {
		loads.own = append(loads.own, balance.LoadReport{IncarnationID: math.MaxUint32 - uint32(i), Load: 1e6, Age: maxAge})
	}
	for i := range 64 {
		loads.limits = append(loads.limits, balance.LimitReport{IncarnationID: math.MaxUint32 - uint32(i), Named: true, PerSecond: 1e6 / 3, Age: time.Hour})
	}
	for i := range 64 {
		loads.silences = append(loads.silences, balance.SilenceReport{IncarnationID: math.MaxUint32 - uint32(i), Silence: time.Hour})
	}
	datagram, err := s.Datagram()
	is.NoErr(err)
	is.True(len(datagram) <= maxDatagramBytes)
}
