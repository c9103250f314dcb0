package published

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ReadTiming holds the intervals and timeouts for reading published items.
//
// In a large data centre only a few hosts read the store, and the others read changes from these hosts: each store call
// costs money, and most of the returned items are heartbeats without new content. The age of a host's data is always
// counted from the store's last response, whether the data came directly or through another host. These settings bound
// that age.
type ReadTiming struct {
	// PollInterval is the time between two store calls, so that one call returns several small changes.
	// SharedPollInterval replaces it on a host that serves changes to other hosts.
	PollInterval, SharedPollInterval time.Duration
	// SharedLongPollWait bounds how long a host that serves other hosts lets the store hold a call open. Until the call
	// returns, the host cannot confirm that nothing has changed.
	SharedLongPollWait time.Duration
	// PeerLongPollWait is how long a request to another host waits for a change. PeerTimeoutSlack is the additional
	// time before that host counts as unresponsive.
	PeerLongPollWait, PeerTimeoutSlack time.Duration
	// MaxPeerDataAge is the maximum age of the serving host's last store response.
	MaxPeerDataAge time.Duration
	// MaxStaleness is the maximum age of this host's data.
	MaxStaleness time.Duration
	// MaxDataAge is the age of this host's data at which a request to another host is given up.
	MaxDataAge time.Duration
}

// Fractions of the maximum staleness. If the serving host stops responding just before it would have returned a change,
// the request to it ends at MaxDataAge at the latest, or after PeerTimeoutSlack if that is later. The remainder is for
// the store's response time and the network.
const (
	pollIntervalFraction       = 0.6
	sharedPollIntervalFraction = 0.35
	sharedLongPollWaitFraction = 0.1
	peerLongPollWaitFraction   = 0.35
	peerTimeoutSlackFraction   = 0.15
	maxPeerDataAgeFraction     = 0.5
	maxDataAgeFraction         = 0.85
)

// maxPollInterval and maxSharedPollInterval apply however much staleness is allowed: the later a host receives the entry
// of a leaving upstream, the more requests that fail it sends there.
const (
	maxPollInterval       = 1200 * time.Millisecond
	maxSharedPollInterval = 700 * time.Millisecond
)

// ReadTimingFor returns the timing with which a change is received in less than the given staleness.
func ReadTimingFor(staleness time.Duration) ReadTiming {
	part := func(p float64) time.Duration { return time.Duration(p * float64(staleness)) }
	return ReadTiming{
		MaxStaleness:       staleness,
		PollInterval:       min(maxPollInterval, part(pollIntervalFraction)),
		SharedPollInterval: min(maxSharedPollInterval, part(sharedPollIntervalFraction)),
		SharedLongPollWait: part(sharedLongPollWaitFraction),
		PeerLongPollWait:   part(peerLongPollWaitFraction), PeerTimeoutSlack: part(peerTimeoutSlackFraction),
		MaxPeerDataAge: part(maxPeerDataAgeFraction), MaxDataAge: part(maxDataAgeFraction),
	}
}

const (
	// minPeerPollInterval is the minimum time between two requests to other hosts, whatever they return.
	minPeerPollInterval = 20 * time.Millisecond
	// maxPeersTried bounds the hosts that are tried in turn while each replies that it does not read the store.
	maxPeersTried = 8
	// storeRetryDelay is how long after a failed call this host avoids the store while other hosts serve changes to it.
	storeRetryDelay = 5 * time.Second
	// sharedTimeout is how long after the last request from another host this host counts as serving other hosts.
	sharedTimeout = 5 * time.Second
	// maxRelayBytes bounds the values of a batch that is relayed to hosts that can read it from the store. Relaying a
	// large configuration to ten hosts would fill the network link of the serving host for seconds; the store's link is
	// faster.
	maxRelayBytes = 16 << 10
	// maxServeWait bounds how long this host holds a request from another host open.
	maxServeWait = 5 * time.Second
)

// PeerBatch is a batch of changes received from another host.
type PeerBatch struct {
	Batch
	// Age is the time since the store last responded to that host.
	Age time.Duration
	// Withheld is set if there are changes that exceed the relay limit and must be read from the store.
	Withheld bool
}

// ErrNotStoreReader reports that a host does not read the store, or that its calls to the store fail.
var ErrNotStoreReader = errors.New("the host does not read the store")

// Peer is another host that reads the store.
type Peer interface {
	Address() string
	// Changes returns the host's changes after the version and waits up to wait for a change. The error is
	// ErrNotStoreReader if the host cannot serve changes.
	Changes(ctx context.Context, after Version, wait time.Duration) (PeerBatch, error)
}

// PeerSelector selects the host from which changes are read.
type PeerSelector interface {
	// SelectPeer returns the host from which this one reads changes, or nil if it reads the store itself. storeFailed is
	// true if a recent store call of this host failed.
	SelectPeer(storeFailed bool) Peer
	// SelectSnapshotPeer returns a host that may have all items, or nil if the fleet is too small for that to matter or
	// not known yet.
	SelectSnapshotPeer() SnapshotPeer
}

// ErrNoSnapshot reports that a host does not know all items, or has no capacity to send them.
var ErrNoSnapshot = errors.New("the host cannot send all items")

// SnapshotPeer is another host that may know all items.
type SnapshotPeer interface {
	Address() string
	// Snapshot returns all items. The error is ErrNoSnapshot if the host cannot send them now.
	Snapshot(ctx context.Context) (PeerBatch, error)
}

const (
	// startGrace is how long a starting host waits until other hosts are known.
	startGrace = 50 * time.Millisecond
	// startPollInterval is the time between two attempts to read all items from another host.
	startPollInterval = 25 * time.Millisecond
)

// starting reports whether this host has just started and asks other hosts for all items.
func (r *Reader) starting() bool {
	elapsed := r.Clock.Since(r.startedAt)
	if r.Peers == nil || !r.needsFullList || !r.dataAsOf.get().IsZero() || elapsed >= r.StartDelay {
		return false
	}
	return elapsed < startGrace || r.Peers.SelectSnapshotPeer() != nil
}

// start tries to read all items from another host and returns the time until the next step.
func (r *Reader) start(ctx context.Context) time.Duration {
	if peer := r.Peers.SelectSnapshotPeer(); peer != nil && r.readSnapshot(ctx, peer) {
		return minPeerPollInterval
	}
	return startPollInterval
}

// readSnapshot reads all items from another host. Its data must be as recent as data from which changes are read, so
// that a host that has lost the store does not bring removed items back.
func (r *Reader) readSnapshot(ctx context.Context, peer SnapshotPeer) bool {
	r.peerCalls.Inc(1)
	update, err := peer.Snapshot(ctx)
	if err == nil && update.Age >= r.Timing.MaxPeerDataAge {
		err = errors.Errorf("read snapshot from %s: its data is %s old", peer.Address(), update.Age)
	}
	if err == nil && (update.Revision == 0 || !update.Full) {
		err = errors.Errorf("read snapshot from %s: it is incomplete", peer.Address())
	}
	if err != nil {
		r.peerFailures.Inc(1)
		r.Log.Debug().Str("event", "no-snapshot").Str("peer", peer.Address()).Err(err).Send()
		return false
	}
	r.Mirror.Replace(update.Batch)
	r.needsFullList = false
	asOf := r.Clock.Now().Add(-update.Age)
	r.recordListed(asOf)
	r.recordFresh(asOf)
	r.Log.Info().Str("event", "started-from-peer").Str("peer", peer.Address()).Dur("age_ms", update.Age).
		Int("items", len(update.Items)).Uint64("complete", update.Revision).Send()
	return true
}

// ServeSnapshot returns all items, and whether they are complete and recent enough for another host to start from.
func (r *Reader) ServeSnapshot() (PeerBatch, bool) {
	dataAsOf := r.dataAsOf.get()
	update := PeerBatch{Batch: r.Mirror.Since(Version{}), Age: r.Clock.Since(dataAsOf)}
	if dataAsOf.IsZero() || !update.Full || r.Disconnected() || update.Age >= r.Timing.MaxPeerDataAge {
		return PeerBatch{}, false
	}
	return update, true
}

// readFromPeers waits for changes from another host. It returns false if this host has to read the store itself.
func (r *Reader) readFromPeers(ctx context.Context) bool {
	if r.Peers == nil {
		return false
	}
	for range maxPeersTried {
		peer := r.Peers.SelectPeer(r.Clock.Since(r.storeFailedAt) < storeRetryDelay)
		if peer == nil {
			r.setSourcePeer("", 0, nil)
			return false
		}
		merged, err := r.readFromPeer(ctx, peer)
		if !errors.Is(err, ErrNotStoreReader) {
			return merged
		}
	}
	return false
}

// readFromPeer waits for changes from the peer.
func (r *Reader) readFromPeer(ctx context.Context, peer Peer) (bool, error) {
	r.peerCalls.Inc(1)
	wait := r.peerWait()
	ctx, cancel := context.WithTimeout(ctx, wait+r.Timing.PeerTimeoutSlack)
	defer cancel()
	after := r.Mirror.Complete()
	update, err := peer.Changes(ctx, after, wait)
	switch {
	case err != nil:
	case update.Era < after.Era || update.Era > after.Era && !update.Full:
		err = errors.Errorf("read changes from %s: its era is %d, and %d is known", peer.Address(), update.Era, after.Era)
	case update.Withheld:
		return false, nil
	case update.Age >= r.Timing.MaxPeerDataAge:
		err = errors.Errorf("read changes from %s: its data is %s old", peer.Address(), update.Age)
	}
	if err != nil {
		r.peerFailures.Inc(1)
		r.setSourcePeer("", update.Age, err)
		return false, err
	}
	r.setSourcePeer(peer.Address(), update.Age, nil)
	r.needsFullList = false // the other host's data is complete
	r.Mirror.Merge(after.Revision, update.Batch)
	asOf := r.Clock.Now().Add(-update.Age)
	r.recordListed(asOf)
	r.recordFresh(asOf)
	return true, nil
}

// peerWait returns how long a request to another host may wait for a change. The older this host's data already is, the
// sooner it must find out that the other host does not respond.
func (r *Reader) peerWait() time.Duration {
	dataAsOf := r.dataAsOf.get()
	if dataAsOf.IsZero() {
		return r.Timing.PeerLongPollWait
	}
	age := r.Clock.Since(dataAsOf)
	return max(0, min(r.Timing.PeerLongPollWait, r.Timing.MaxDataAge-r.Timing.PeerTimeoutSlack-age))
}

// setSourcePeer records the host from which this one reads changes, and logs when it changes.
func (r *Reader) setSourcePeer(address string, age time.Duration, err error) {
	if before := *r.sourcePeer.Swap(&address); before != address {
		r.Log.Info().Str("event", "news-source").Str("peer", address).Str("before", before).Dur("age_ms", age).
			Uint64("complete", r.Mirror.CompleteRevision()).Err(err).Send()
	}
}

// ServeChanges returns this host's changes after the version and waits up to wait for a change. It returns false if
// this host does not read the store, its store calls fail, or it has not seen the era of the version. The other host then
// checks for itself whether the store is down or is failing only for this host.
func (r *Reader) ServeChanges(ctx context.Context, after Version, wait time.Duration) (PeerBatch, bool) {
	now := r.Clock.Now()
	r.lastPeerRequestAt.set(now)
	until := now.Add(min(wait, maxServeWait))
	for {
		changed := r.Mirror.Changed()
		now, dataAsOf := r.Clock.Now(), r.dataAsOf.get()
		if dataAsOf.IsZero() || r.Disconnected() || *r.sourcePeer.Load() != "" || r.Mirror.Complete().Era < after.Era {
			return PeerBatch{}, false
		}
		update := PeerBatch{Batch: r.Mirror.Since(after), Age: now.Sub(dataAsOf)}
		if !update.WithinRelayLimit() {
			update.Items, update.Withheld = nil, true
			return update, true
		}
		left := min(until.Sub(now), r.Timing.MaxPeerDataAge-update.Age)
		if len(update.Items) > 0 || left <= 0 || ctx.Err() != nil {
			return update, true
		}
		select {
		case <-changed:
		case <-r.Clock.After(left):
		case <-ctx.Done():
		}
	}
}

// WithinRelayLimit reports whether the batch may be relayed to hosts that can read it from the store.
func (b *Batch) WithinRelayLimit() bool {
	total := 0
	for i := range b.Items {
		total += len(b.Items[i].Value)
	}
	return total <= maxRelayBytes
}

// isShared reports whether other hosts read changes from this one.
func (r *Reader) isShared() bool {
	return r.Clock.Since(r.lastPeerRequestAt.get()) < sharedTimeout
}

// nextPollInterval returns the time until the next store call.
func (r *Reader) nextPollInterval() time.Duration {
	if r.isShared() {
		return r.Timing.SharedPollInterval
	}
	return r.Timing.PollInterval
}

// longPollWait returns how long the store may hold a call for changes open.
func (r *Reader) longPollWait() time.Duration {
	if r.isShared() {
		return min(r.LongPollWait, r.Timing.SharedLongPollWait)
	}
	return r.LongPollWait
}
