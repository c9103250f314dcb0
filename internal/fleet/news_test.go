package fleet

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

// startFleet starts hosts that know each other, one for each name of a data centre.
func startFleet(t *testing.T, clock clockwork.Clock, dataCentres ...string) []*testHost {
	t.Helper()
	var hosts []*testHost
	var seeds []string
	for _, dc := range dataCentres {
		hosts = append(hosts, startHostIn(t, dc, clock, seeds...))
		seeds = []string{hosts[0].Self}
	}
	for range 8 {
		for _, h := range hosts {
			h.GossipRound(context.Background())
		}
	}
	return hosts
}

// readersOf returns who reads the store in the data centre by their own view, and whom the others ask.
func readersOf(hosts []*testHost, dataCentre string) (readers, asked []string) {
	for _, h := range hosts {
		if h.DataCentre != dataCentre {
			continue
		}
		if peer := h.Reader(false); peer != nil {
			asked = append(asked, peer.Address())
		} else {
			readers = append(readers, h.Self)
		}
	}
	return readers, asked
}

func TestAFewHostsOfEachDataCentreReadTheStore(t *testing.T) {
	is := is.New(t)
	hosts := startFleet(t, clockwork.NewFakeClock(), "a", "a", "a", "a", "a", "b", "b")
	readers, asked := readersOf(hosts, "a")
	is.Equal(len(readers), readersPerDataCentre)
	is.Equal(len(asked), 3)
	for _, address := range asked {
		is.True(slices.Contains(readers, address))
	}
	readers, asked = readersOf(hosts, "b")
	is.Equal(len(readers), 2)
	is.Equal(len(asked), 0)
}

func TestNewsTravelWithTheirAge(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	hosts := startFleet(t, clock, "a", "a", "a", "a")
	var asking *testHost
	for _, h := range hosts {
		if h.Reader(false) != nil {
			asking = h
		}
	}
	peer := asking.Reader(false)
	at := slices.IndexFunc(hosts, func(h *testHost) bool { return h.Self == peer.Address() })
	store := hosts[at].store
	store.news = published.PeerBatch{
		Batch: published.Batch{Revision: 9, Items: []published.Item{{Key: "k", Revision: 8, Value: []byte("v")}}},
		Age:   300 * time.Millisecond, Withheld: true,
	}
	news, err := peer.News(context.Background(), 5, time.Second)
	is.NoErr(err)
	is.Equal(news.Batch, store.news.Batch)
	is.True(news.Withheld)
	is.True(news.Age >= store.news.Age)
	is.Equal(store.asked[len(store.asked)-1], uint64(5))
	store.reading = false
	_, err = peer.News(context.Background(), 5, time.Second)
	is.True(err != nil)
	is.True(asking.Reader(false).Address() != peer.Address())
	clock.Advance(notReadingFor)
	is.Equal(asking.Reader(false).Address(), peer.Address()) // it answered, so that it is soon asked again
}

func TestASilentReaderIsLeftOutForAWhile(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	hosts := startFleet(t, clock, "a", "a", "a")
	var asking *testHost
	for _, h := range hosts {
		if h.Reader(false) != nil {
			asking = h
		}
	}
	first := asking.Reader(false)
	at := slices.IndexFunc(hosts, func(h *testHost) bool { return h.Self == first.Address() })
	hosts[at].server.Close()
	_, err := first.News(context.Background(), 0, 0)
	is.True(err != nil)
	second := asking.Reader(false)
	is.True(second.Address() != first.Address())
	asking.noteSilent(second.Address(), silentFor)
	is.True(asking.Reader(false) == nil) // nobody is left to ask
	asking.mu.Lock()
	asking.hear(&fleetpb.Host{Address: second.Address(), Incarnation: 99, DataCentre: asking.centre}, clock.Now())
	asking.mu.Unlock()
	is.Equal(asking.Reader(false).Address(), second.Address()) // its process is a new one
	clock.Advance(silentFor)
	is.Equal(asking.Reader(false).Address(), first.Address())
	clock.Advance(unheardAfter + time.Second)
	is.True(asking.Reader(false) == nil) // nobody heard of either for long
}

func TestALeavingHostPassesNoNewsOn(t *testing.T) {
	is := is.New(t)
	hosts := startFleet(t, clockwork.NewFakeClock(), "a", "a", "a")
	for _, h := range hosts {
		h.MarkLeaving()
		answer, err := h.News(context.Background(), &fleetpb.NewsRequest{})
		is.NoErr(err)
		is.True(!answer.GetReading())
		is.True(h.Reader(false) == nil)
	}
}

func TestAHostThatTheStoreTurnsAwayAsksThoseThatReadIt(t *testing.T) {
	is := is.New(t)
	hosts := startFleet(t, clockwork.NewFakeClock(), "a", "a", "b", "b", "b")
	far, _ := readersOf(hosts, "b")
	for _, h := range hosts[:2] {
		is.True(h.Reader(false) == nil) // it reads the store
		peer := h.Reader(true)
		is.True(peer.Address() != h.Self && !slices.Contains(far, peer.Address())) // the other one nearby first
		h.noteSilent(peer.Address(), silentFor)
		is.True(slices.Contains(far, h.Reader(true).Address()))
	}
}
