package hop

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// watchInterval is the time between two checks of the peers that have hops in flight.
const watchInterval = 250 * time.Millisecond

// errPeerUnreachable is the cancellation cause of a hop in flight whose peer became unreachable.
var errPeerUnreachable = errors.New("peer became unreachable")

// peerWatch tracks the hops in flight and cancels those whose peer becomes unreachable. The membership detects a frozen
// peer or a broken network path long before a request timeout could distinguish either from a slow engine.
type peerWatch struct {
	peers Peers

	mu     sync.Mutex
	active map[string]map[*inFlightHop]struct{}
}

type inFlightHop struct {
	cancel context.CancelCauseFunc
}

func newPeerWatch(peers Peers) *peerWatch {
	return &peerWatch{peers: peers, active: map[string]map[*inFlightHop]struct{}{}}
}

// add returns a context that is cancelled when the host becomes unreachable, and a function that ends the watch.
func (w *peerWatch) add(ctx context.Context, host string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f := &inFlightHop{cancel: cancel}
	w.mu.Lock()
	if w.active[host] == nil {
		w.active[host] = map[*inFlightHop]struct{}{}
	}
	w.active[host][f] = struct{}{}
	w.mu.Unlock()
	return ctx, func() {
		w.mu.Lock()
		delete(w.active[host], f)
		w.mu.Unlock()
		cancel(nil)
	}
}

func (w *peerWatch) run(ctx context.Context, clock clockwork.Clock) {
	ticker := clock.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			w.check()
		}
	}
}

// check cancels every hop in flight whose peer is unreachable.
func (w *peerWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for host, forwards := range w.active {
		if len(forwards) == 0 {
			delete(w.active, host)
			continue
		}
		if w.peers.Reachable(host) {
			continue
		}
		for f := range forwards {
			f.cancel(errPeerUnreachable)
		}
	}
}
