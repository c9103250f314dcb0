package hop

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// watchInterval is the time between two looks at the peers that have forwards in flight.
const watchInterval = 250 * time.Millisecond

// errPeerLost is the cause for which a forward in flight is given up.
var errPeerLost = errors.New("peer became unreachable")

// watch knows the forwards in flight. A frozen peer or a cut path shows in the membership long before any timeout of a
// single request could tell it from a slow engine.
type watch struct {
	peers Peers

	mu     sync.Mutex
	active map[string]map[*forward]struct{}
}

type forward struct {
	cancel context.CancelCauseFunc
}

func newWatch(peers Peers) *watch {
	return &watch{peers: peers, active: map[string]map[*forward]struct{}{}}
}

// add returns a context that ends when the host becomes unreachable and the function that ends the watch.
func (w *watch) add(ctx context.Context, host string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f := &forward{cancel: cancel}
	w.mu.Lock()
	if w.active[host] == nil {
		w.active[host] = map[*forward]struct{}{}
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

func (w *watch) run(ctx context.Context, clock clockwork.Clock) {
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

// check ends every forward whose peer is not reachable.
func (w *watch) check() {
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
			f.cancel(errPeerLost)
		}
	}
}
