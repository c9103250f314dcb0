package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

func TestSnapshotIsServedOnlyWithinCapacity(t *testing.T) {
	is := is.New(t)
	h := startHost(t, clockwork.NewFakeClock())
	h.store.update = published.PeerBatch{
		Batch: published.Batch{Revision: 9, Full: true, Items: []published.Item{{Key: "k", Revision: 8, Value: []byte("v")}}},
		Age:   300 * time.Millisecond,
	}
	client := &peerClient{fleet: h.Fleet, address: h.Self}
	update, err := client.Snapshot(context.Background())
	is.NoErr(err)
	is.Equal(update.Batch, h.store.update.Batch)
	is.True(update.Age >= h.store.update.Age)
	for range maxSnapshots {
		h.snapshots <- struct{}{}
	}
	_, err = client.Snapshot(context.Background())
	is.True(err != nil)
	for range maxSnapshots {
		<-h.snapshots
	}
	_, err = client.Snapshot(context.Background())
	is.NoErr(err)
	h.MarkLeaving()
	_, err = client.Snapshot(context.Background())
	is.True(err != nil)
}

func TestSnapshotPeerIsLocalHostOfLargeFleet(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	hosts := newLargeFleet(40, clock)
	h := hosts[0]
	for i, other := range hosts[1:] {
		is.Equal(h.SelectSnapshotPeer() != nil, i >= minSnapshotFleet)
		h.mu.Lock()
		h.recordSeen(&fleetpb.Host{Address: other.Self, Incarnation: other.Incarnation, DataCentre: other.dataCentreHash}, clock.Now())
		h.mu.Unlock()
	}
	for range 50 {
		address := h.SelectSnapshotPeer().Address()
		is.Equal(h.members[address].dataCentreHash, h.dataCentreHash)
	}
}

// Rounds of a large data centre mostly stay inside it, and hosts of another one are not sent loads.
func TestLargeDataCentreGossipsInside(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	hosts := newLargeFleet(100, clock)
	for range 10 {
		exchangeAll(hosts)
	}
	h, local := hosts[0], 0
	const rounds = 1000
	for range rounds {
		if h.dataCentreOf(h.pickTarget()) == h.dataCentreHash {
			local++
		}
	}
	is.True(local > rounds*6/10 && local < rounds*9/10)
	is.True(h.sendsLoads(h.dataCentreHash))
	is.True(!h.sendsLoads(hosts[1].dataCentreHash))
	small := newLargeFleet(7, clock)
	is.True(small[0].sendsLoads(small[1].dataCentreHash))
}
