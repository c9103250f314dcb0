// Package lending lets a host that has used up its shares of upstreams' limits send requests within the unused share of another
// host. The host that lends counts the request as its own, so that the limits hold whatever is lost on the way.
package lending

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

const (
	// validity is the time after its question within which a host may send the request that another host lends it. It is longer
	// than a new connection takes to be proven to lead to an upstream of the stream's version.
	validity = 500 * time.Millisecond
	// askTimeout limits the wait for the answer.
	askTimeout = 100 * time.Millisecond
	// minAskInterval is the time between two questions of this host. After one in vain it is longer if many hosts would ask few
	// others: a host is asked in vain at most maxAsked times a second, even if all others ask.
	minAskInterval = 20 * time.Millisecond
	maxAsked       = 200
)

// Question asks a host to lend a request to an upstream.
type Question struct {
	Service string
	// Version is the software version that the upstream must have.
	Version string
	// AffinityHash is the hash of the prompt prefix that the request shares with others; 0 if there is none.
	AffinityHash uint64
	// Upstreams are the incarnations that may receive the request.
	Upstreams []uint32
}

// Peers asks other hosts.
type Peers interface {
	// AskLoan returns the incarnation of the upstream to which the host lends a request; ok is false if it lends none.
	AskLoan(ctx context.Context, host string, q Question) (incarnationID uint32, ok bool, err error)
	// OnAskLoan sets the function that answers other hosts.
	OnAskLoan(func(Question) (incarnationID uint32, ok bool))
}

// Snapshots provides the published upstreams.
type Snapshots interface {
	Current() *catalog.Snapshot
}

// Options configures New.
type Options struct {
	Store    Snapshots
	Selector *balance.Selector
	Peers    Peers
	Clock    clockwork.Clock
	Rand     *rand.Rand
	Log      zerolog.Logger
	Scope    tally.Scope
}

// Desk borrows requests from other hosts, and lends them to others. It is safe for concurrent use.
type Desk struct {
	Options
	borrowed, denied, lent, wasted tally.Counter
	startedAt                      time.Time

	mu sync.Mutex
	// nextAsk is when this host may ask again.
	nextAsk time.Time
}

// New returns a desk that answers other hosts.
func New(o Options) *Desk {
	scope := o.Scope.SubScope("lending")
	d := &Desk{
		Options: o, borrowed: scope.Counter("borrowed"), denied: scope.Counter("denied"), lent: scope.Counter("lent"), wasted: scope.Counter("wasted"),
		startedAt: o.Clock.Now(),
	}
	o.Peers.OnAskLoan(d.Lend)
	return d
}

// Lend lends a request of this host's shares. A process that was killed may have lent them just before, so that its successor
// lends nothing until the longest window of a limit has passed.
func (d *Desk) Lend(q Question) (incarnationID uint32, ok bool) {
	snap := d.Store.Current()
	if snap.Config == nil || len(snap.Upstreams[q.Service]) == 0 || d.Clock.Since(d.startedAt) < allowance.LongestWindow {
		return 0, false
	}
	criteria := balance.Criteria{Engine: snap.Config.Services[q.Service].Engine, AffinityHash: q.AffinityHash, Version: &q.Version, TakenUp: true}
	incarnationID, ok = d.Selector.Lend(snap, q.Service, criteria, q.Upstreams, validity)
	if ok {
		d.lent.Inc(1)
	}
	return incarnationID, ok
}

// Borrow returns an upstream that may receive the request with the ID within another host's share, or nil. It asks one host at
// most, and none if this host has just asked. Only streams that callers take up borrow: few upstreams can continue them.
func (d *Desk) Borrow(ctx context.Context, snap *catalog.Snapshot, service string, criteria balance.Criteria, requestID string) *balance.Choice {
	if !criteria.TakenUp || criteria.Version == nil {
		return nil
	}
	host, upstreams := d.pickHost(snap, service, criteria)
	if host == "" {
		return nil
	}
	start := d.Clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, d.Clock, askTimeout)
	defer cancel()
	incarnationID, ok, err := d.Peers.AskLoan(ctx, host, Question{service, *criteria.Version, criteria.AffinityHash, upstreams})
	took := d.Clock.Since(start)
	if err != nil {
		d.Log.Debug().Str("event", "loan-not-answered").Str("request", requestID).Str("peer", host).Err(err).Send()
	}
	if !ok {
		d.denied.Inc(1)
		return nil
	}
	d.askAgain(start)
	var choice *balance.Choice
	if took < validity {
		choice = d.Selector.Borrowed(snap, service, criteria, incarnationID, start.Add(validity))
	}
	event := d.Log.Info().Str("event", "loan").Str("request", requestID).Str("service", service).Str("peer", host).Dur("took_ms", took)
	if choice == nil {
		d.wasted.Inc(1)
		event.Str("outcome", "wasted").Send()
		return nil
	}
	d.borrowed.Inc(1)
	event.Str("outcome", "used").Str("upstream", choice.ID).Send()
	return choice
}

// askAgain allows a question soon after one with success.
func (d *Desk) askAgain(asked time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextAsk = asked.Add(minAskInterval)
}

// pickHost returns a random host that has a share of the limits of an upstream that could take the request, with all such
// upstreams; "" if there is none or this host may not ask yet.
func (d *Desk) pickHost(snap *catalog.Snapshot, service string, criteria balance.Criteria) (host string, upstreams []uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if now.Before(d.nextAsk) {
		return "", nil
	}
	d.nextAsk = now.Add(minAskInterval)
	exhausted := d.Selector.Exhausted(snap, service, criteria)
	if len(exhausted) == 0 {
		return "", nil
	}
	holders, hosts := d.Selector.Holders(exhausted[d.Rand.IntN(len(exhausted))])
	if len(holders) == 0 {
		return "", nil
	}
	asked := min(hosts, len(holders)*len(exhausted))
	d.nextAsk = now.Add(max(minAskInterval, time.Second*time.Duration(hosts)/time.Duration(asked*maxAsked)))
	for _, e := range exhausted {
		upstreams = append(upstreams, e.IncarnationID)
	}
	return holders[d.Rand.IntN(len(holders))], upstreams
}
