package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

// Parameters that decide which hosts read the store.
const (
	// readersPerDataCentre hosts of each data centre read the store: one more than needed, so that one may fail.
	readersPerDataCentre = 2
	// failedPeerDelay is how long a host is not asked for changes after a failed call.
	failedPeerDelay = 5 * time.Second
	// notReaderDelay is how long a host is not asked for changes after it replied that it does not read the store or
	// that its store calls fail.
	notReaderDelay = time.Second
	// readerExpiry is how long a host that was not seen still counts as a store reader, and readerExpiryPerHost is the
	// additional time for each host of the fleet. A new heartbeat of a host takes up to 17 s to reach all of 88 hosts,
	// and 42 s among 200.
	readerExpiry        = 15 * time.Second
	readerExpiryPerHost = 100 * time.Millisecond
)

// News implements fleetpb.Fleet. It waits for changes of the published items on behalf of another host.
func (f *Fleet) News(ctx context.Context, r *fleetpb.NewsRequest) (*fleetpb.NewsAnswer, error) {
	f.mu.Lock()
	leaving := f.leaving
	f.mu.Unlock()
	if leaving {
		return &fleetpb.NewsAnswer{}, nil
	}
	startedAt := f.Clock.Now()
	after := f.completeVersion(r.GetEra(), r.GetComplete())
	update, reading := f.Store.ServeChanges(ctx, after, time.Duration(r.GetWaitMs())*time.Millisecond)
	if !reading {
		return &fleetpb.NewsAnswer{}, nil
	}
	return &fleetpb.NewsAnswer{
		Reading: true, AgeMs: uint32(update.Age.Milliseconds()) + 1,
		Mirror: encodeMirror(r.GetComplete(), update.Batch), WaitedMs: uint32(f.Clock.Since(startedAt).Milliseconds()),
		Withheld: update.Withheld,
	}, nil
}

// SelectPeer implements published.PeerSelector. The choice of store readers affects only the cost: a host whose peer
// turns out not to read the store reads it itself. A host whose store calls fail also asks hosts of other data centres.
func (f *Fleet) SelectPeer(storeFailed bool) published.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	local := f.storeReaders(f.dataCentreHash)
	if f.leaving || slices.Contains(local, f.Self) && !storeFailed {
		return nil
	}
	address := f.selectHost(local)
	if address == "" && storeFailed {
		address = f.selectHost(f.remoteReaders())
	}
	if address == "" {
		return nil
	}
	return &peerClient{fleet: f, address: address}
}

// remoteReaders returns the store readers of the other data centres. The caller holds mu.
func (f *Fleet) remoteReaders() []string {
	var remote []string
	seen := map[uint32]bool{f.dataCentreHash: true}
	for _, address := range slices.Sorted(maps.Keys(f.members)) {
		if hash := f.members[address].dataCentreHash; !seen[hash] {
			seen[hash] = true
			remote = append(remote, f.storeReaders(hash)...)
		}
	}
	return remote
}

// selectHost returns one of the hosts, always the same one while it responds, or "". The caller holds mu.
func (f *Fleet) selectHost(hosts []string) string {
	now := f.Clock.Now()
	hosts = slices.DeleteFunc(hosts, func(address string) bool {
		m := f.members[address]
		return m == nil || m.leaving || now.Before(m.skipUntil)
	})
	if len(hosts) == 0 {
		return ""
	}
	return hosts[loadbalancer.HashKey(f.Self)%uint64(len(hosts))]
}

// storeReaders returns the first hosts of a data centre in an order on which all hosts agree. The caller holds mu.
func (f *Fleet) storeReaders(dataCentreHash uint32) []string {
	now := f.Clock.Now()
	expiry := readerExpiry + time.Duration(len(f.members))*readerExpiryPerHost
	var hosts []string
	if dataCentreHash == f.dataCentreHash {
		hosts = append(hosts, f.Self)
	}
	for address, m := range f.members {
		if m.dataCentreHash == dataCentreHash && !m.leaving && now.Sub(m.lastSeen) < expiry {
			hosts = append(hosts, address)
		}
	}
	loadbalancer.SortByScore(loadbalancer.HashKey("store-reader"), hosts)
	return hosts[:min(readersPerDataCentre, len(hosts))]
}

// peerClient reads published items from another host.
type peerClient struct {
	fleet   *Fleet
	address string
}

// Address implements published.Peer.
func (c *peerClient) Address() string { return c.address }

// Changes implements published.Peer.
func (c *peerClient) Changes(ctx context.Context, after published.Version, wait time.Duration) (published.PeerBatch, error) {
	client := fleetpb.NewFleetProtobufClient("http://"+c.address, c.fleet.watchClient)
	sent := c.fleet.Clock.Now()
	reply, err := client.News(ctx, &fleetpb.NewsRequest{Complete: after.Revision, Era: after.Era, WaitMs: uint32(wait.Milliseconds())})
	if err != nil {
		c.fleet.skipMember(c.address, failedPeerDelay)
		return published.PeerBatch{}, errors.Wrapf(err, "read changes from %s", c.address)
	}
	if !reply.GetReading() {
		c.fleet.skipMember(c.address, notReaderDelay)
		return published.PeerBatch{}, errors.Wrapf(published.ErrNotStoreReader, "read changes from %s", c.address)
	}
	if after.Era != 0 && reply.GetMirror().GetEra() == 0 {
		// An older build, of whose revisions it is not known to which era they belong.
		c.fleet.skipMember(c.address, failedPeerDelay)
		return published.PeerBatch{}, errors.Wrapf(published.ErrNotStoreReader, "read changes without an era from %s", c.address)
	}
	networkTime := c.fleet.Clock.Since(sent) - time.Duration(reply.GetWaitedMs())*time.Millisecond
	return published.PeerBatch{
		Batch: decodeMirror(reply.GetMirror()), Withheld: reply.GetWithheld(),
		Age: time.Duration(reply.GetAgeMs())*time.Millisecond + max(0, networkTime),
	}, nil
}

// maxSnapshots limits the snapshots that a host prepares at the same time. One has about a hundred kilobytes.
const maxSnapshots = 2

// snapshotTimeout limits a call for a snapshot.
const snapshotTimeout = time.Second

// Snapshot implements fleetpb.Fleet. It returns all published items to a host that starts.
func (f *Fleet) Snapshot(context.Context, *fleetpb.SnapshotRequest) (*fleetpb.NewsAnswer, error) {
	select {
	case f.snapshots <- struct{}{}:
		defer func() { <-f.snapshots }()
	default:
		return &fleetpb.NewsAnswer{}, nil
	}
	f.mu.Lock()
	leaving := f.leaving
	f.mu.Unlock()
	update, ok := f.Store.ServeSnapshot()
	if leaving || !ok {
		return &fleetpb.NewsAnswer{}, nil
	}
	return &fleetpb.NewsAnswer{Reading: true, AgeMs: uint32(update.Age.Milliseconds()) + 1, Mirror: encodeMirror(0, update.Batch)}, nil
}

// minSnapshotFleet is the number of other hosts from which on starting hosts read snapshots. In a smaller fleet all hosts
// can list the store at once.
const minSnapshotFleet = 16

// SelectSnapshotPeer returns a random host of the local data centre that may have all published items, or of any data
// centre if no other host of the local one is known, or nil if the fleet is small or there is none.
func (f *Fleet) SelectSnapshotPeer() published.SnapshotPeer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.members) < minSnapshotFleet {
		return nil
	}
	now := f.Clock.Now()
	localOnly := f.localHosts() > 0
	var candidates []string
	for address, m := range f.members {
		if m.leaving || m.unreachable || now.Before(m.skipUntil) || localOnly && m.dataCentreHash != f.dataCentreHash {
			continue
		}
		candidates = append(candidates, address)
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.Sort(candidates) // map order would make runs with one random seed differ
	return &peerClient{fleet: f, address: candidates[f.Rand.IntN(len(candidates))]}
}

// Snapshot implements published.SnapshotPeer.
func (c *peerClient) Snapshot(ctx context.Context) (published.PeerBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	client := fleetpb.NewFleetProtobufClient("http://"+c.address, c.fleet.watchClient)
	sent := c.fleet.Clock.Now()
	reply, err := client.Snapshot(ctx, &fleetpb.SnapshotRequest{})
	if err != nil {
		c.fleet.skipMember(c.address, failedPeerDelay)
		return published.PeerBatch{}, errors.Wrapf(err, "read snapshot from %s", c.address)
	}
	if !reply.GetReading() {
		return published.PeerBatch{}, errors.Wrapf(published.ErrNoSnapshot, "read snapshot from %s", c.address)
	}
	return published.PeerBatch{
		Batch: decodeMirror(reply.GetMirror()), Age: time.Duration(reply.GetAgeMs())*time.Millisecond + c.fleet.Clock.Since(sent),
	}, nil
}

func (f *Fleet) skipMember(address string, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[address]; m != nil {
		m.skipUntil = f.Clock.Now().Add(wait)
	}
}
