package fleet

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

// startFleet starts one host for each data centre name and runs enough gossip rounds for all to discover each other.
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

// readersOf returns the hosts of the data centre that read the store by their own view, and the hosts that the others
// ask.
func readersOf(hosts []*testHost, dataCentre string) (readers, asked []string) {
	for _, h := range hosts {
		if h.DataCentre != dataCentre {
			continue
		}
		if peer := h.SelectPeer(false); peer != nil {
			asked = append(asked, peer.Address())
		} else {
			readers = append(readers, h.Self)
		}
	}
	return readers, asked
}

func TestFewHostsOfEachDataCentreReadStore(t *testing.T) {
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

func TestChangesFromPeerCarryTheirAge(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	hosts := startFleet(t, clock, "a", "a", "a", "a")
	var client *testHost
	for _, h := range hosts {
		if h.SelectPeer(false) != nil {
			client = h
		}
	}
	peer := client.SelectPeer(false)
	at := slices.IndexFunc(hosts, func(h *testHost) bool { return h.Self == peer.Address() })
	store := hosts[at].store
	store.update = published.PeerBatch{
		Batch: published.Batch{Era: 3, Revision: 9, RestoredAt: 6, Items: []published.Item{{Key: "k", Era: 2, Revision: 8, Value: []byte("v"), Lost: true}}},
		Age:   300 * time.Millisecond, Withheld: true,
	}
	update, err := peer.Changes(context.Background(), published.Version{Era: 3, Revision: 5}, time.Second)
	is.NoErr(err)
	is.Equal(update.Batch, store.update.Batch)
	is.True(update.Withheld)
	is.True(update.Age >= store.update.Age)
	is.Equal(store.requestedAfter[len(store.requestedAfter)-1], published.Version{Era: 3, Revision: 5})
	store.reading = false
	_, err = peer.Changes(context.Background(), published.Version{Era: 3, Revision: 5}, time.Second)
	is.True(err != nil)
	is.True(client.SelectPeer(false).Address() != peer.Address())
	clock.Advance(notReaderDelay)
	is.Equal(client.SelectPeer(false).Address(), peer.Address()) // it responded, so it is soon asked again
}

func TestUnresponsiveReaderIsSkippedTemporarily(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	hosts := startFleet(t, clock, "a", "a", "a")
	var client *testHost
	for _, h := range hosts {
		if h.SelectPeer(false) != nil {
			client = h
		}
	}
	first := client.SelectPeer(false)
	at := slices.IndexFunc(hosts, func(h *testHost) bool { return h.Self == first.Address() })
	hosts[at].server.Close()
	_, err := first.Changes(context.Background(), published.Version{}, 0)
	is.True(err != nil)
	second := client.SelectPeer(false)
	is.True(second.Address() != first.Address())
	client.skipMember(second.Address(), failedPeerDelay)
	is.True(client.SelectPeer(false) == nil) // no host is left to ask
	client.mu.Lock()
	client.recordSeen(&fleetpb.Host{Address: second.Address(), Incarnation: 99, DataCentre: client.dataCentreHash}, clock.Now())
	client.mu.Unlock()
	is.Equal(client.SelectPeer(false).Address(), second.Address()) // its process has restarted
	clock.Advance(failedPeerDelay)
	is.Equal(client.SelectPeer(false).Address(), first.Address())
	clock.Advance(readerExpiry + time.Second)
	is.True(client.SelectPeer(false) == nil) // neither has been seen for longer than readerExpiry
}

func TestLeavingHostDoesNotServeChanges(t *testing.T) {
	is := is.New(t)
	hosts := startFleet(t, clockwork.NewFakeClock(), "a", "a", "a")
	for _, h := range hosts {
		h.MarkLeaving()
		reply, err := h.News(context.Background(), &fleetpb.NewsRequest{})
		is.NoErr(err)
		is.True(!reply.GetReading())
		is.True(h.SelectPeer(false) == nil)
	}
}

func TestHostWithFailingStoreAsksStoreReaders(t *testing.T) {
	is := is.New(t)
	hosts := startFleet(t, clockwork.NewFakeClock(), "a", "a", "b", "b", "b")
	remote, _ := readersOf(hosts, "b")
	for _, h := range hosts[:2] {
		is.True(h.SelectPeer(false) == nil) // this host reads the store
		peer := h.SelectPeer(true)
		is.True(peer.Address() != h.Self && !slices.Contains(remote, peer.Address())) // the other reader of its own data centre first
		h.skipMember(peer.Address(), failedPeerDelay)
		is.True(slices.Contains(remote, h.SelectPeer(true).Address()))
	}
}

// Guards against odd items of another writer for which hosts no longer pass on the others. Keys are text, as the store's
// responses are.
func TestOddItemsArePassedOn(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	upToDate := startHost(t, clock)
	behind := startHost(t, clock, upToDate.Self)
	var items []published.Item
	for i, key := range []string{"", "\x00\ufffd\r\n", strings.Repeat("k", 1000), "servers/", "servers/odd", "other/", "servers/good"} {
		items = append(items, published.Item{Key: key, Value: []byte("\xff\xfe" + strings.Repeat("[", 1000)), Revision: uint64(i + 2)})
	}
	behind.mirror.Replace(published.Batch{Items: []published.Item{{Key: "servers/odd", Value: []byte("v"), Revision: 1}}, Revision: 1})
	upToDate.mirror.Replace(published.Batch{Items: items, Revision: 9})
	upToDate.store.update = published.PeerBatch{Batch: published.Batch{Items: items, Revision: 9, Full: true}}
	peer := &peerClient{fleet: behind.Fleet, address: upToDate.Self}
	changes, err := peer.Changes(context.Background(), published.Version{Revision: 1}, time.Second)
	is.NoErr(err)
	is.Equal(changes.Items, items)
	snapshot, err := peer.Snapshot(context.Background())
	is.NoErr(err)
	is.Equal(snapshot.Items, items)
	behind.store.failing = true
	behind.GossipRound(context.Background())
	is.Equal(behind.mirror.CompleteRevision(), uint64(9))
	is.Equal(len(behind.mirror.Since(published.Version{}).Items), len(items))
}
