package fleet

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/lending"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

const (
	takeUpsAt = 9 * time.Second
	// Callers take streams up within takeUpSpread, and wait for takeUpPatience.
	takeUpSpread   = 100 * time.Millisecond
	takeUpPatience = 2400 * time.Millisecond
	takeUpPoll     = 20 * time.Millisecond
	takeUpLimit    = 1.0
	// loanValidity is the time within which a borrowed request is sent.
	loanValidity = 500 * time.Millisecond
	// minTakeUps is the least share of the streams taken up that must go on, as a share of the new requests that begin.
	minTakeUps = 0.5
)

// versionedPool is a pool of engines of two software versions. The engines of one of them that name no limit crash at once,
// and callers take their streams up.
type versionedPool struct {
	*limitedPool
	desks         map[*surgeHost]*lending.Desk
	version       string
	begun, asked  int
	takeUps, went int
}

// newVersionedPool returns a pool in which limited of the engines of the crashing version name a limit.
func newVersionedPool(hosts, dataCentres, engines, limited int, unaware float64, seed uint64) *versionedPool {
	p := &versionedPool{limitedPool: newLimitedPool(hosts, dataCentres, engines, unaware, seed), version: "2"}
	for i, u := range p.snap.Upstreams["s"] {
		u.Version = "1"
		if i%2 == 0 {
			u.Version = p.version
		}
	}
	p.deliver = p.begin
	p.desks = map[*surgeHost]*lending.Desk{}
	for _, h := range p.hosts {
		p.desks[h] = lending.New(lending.Options{
			Store: p, Selector: p.selectors[h], Peers: &lenders{p, h}, Clock: p.clock, Rand: p.rand, Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
	}
	p.after(limitStart, func() {
		limit := takeUpLimit
		for _, u := range p.ofVersion()[:limited] {
			p.limits[u.ID] = &limit
		}
	})
	return p
}

// lenders are the other hosts of a pool as one of them asks them. One question in a hundred is lost, and one answer.
type lenders struct {
	pool *versionedPool
	self *surgeHost
}

func (l *lenders) AskLoan(ctx context.Context, host string, q lending.Question) (incarnationID uint32, ok bool, err error) {
	for _, h := range l.pool.hosts {
		if h.Self == host && l.pool.rand.IntN(100) > 0 {
			reply, err := h.Lend(ctx, &fleetpb.LendRequest{Service: q.Service, Version: q.Version, Affinity: q.AffinityHash, Upstreams: q.Upstreams})
			if err == nil && l.pool.rand.IntN(100) > 0 {
				return reply.GetUpstream(), reply.GetLent(), nil
			}
		}
	}
	return 0, false, errors.New("no answer")
}

func (l *lenders) OnAskLoan(lend func(lending.Question) (incarnationID uint32, ok bool)) {
	l.self.OnAskLoan(lend)
}

// Current implements lending.Snapshots.
func (p *versionedPool) Current() *catalog.Snapshot { return p.snap }

func (p *versionedPool) ofVersion() []*catalog.Upstream {
	return slices.DeleteFunc(slices.Clone(p.snap.Upstreams["s"]), func(u *catalog.Upstream) bool { return u.Version != p.version })
}

// begin sends a new request.
func (p *versionedPool) begin(h *surgeHost, k surgeKey) {
	before := p.refused[h]
	p.send(h, k)
	if p.clock.Since(p.start) >= limitStart+limitSettled {
		p.asked++
		p.begun += 1 - (p.refused[h] - before)
	}
}

// crash ends the engines of the version that name no limit, after which callers take n streams up at random ones of the hosts.
func (p *versionedPool) crash(n int, hosts []*surgeHost) {
	snap := *p.snap
	snap.Upstreams = map[string][]*catalog.Upstream{"s": slices.DeleteFunc(slices.Clone(p.snap.Upstreams["s"]), func(u *catalog.Upstream) bool {
		return u.Version == p.version && p.limits[u.ID] == nil
	})}
	p.snap = &snap
	for range n {
		p.after(p.upTo(takeUpSpread), func() { p.takeUp(hosts[p.rand.IntN(len(hosts))]) })
	}
}

// takeUp continues a stream at an engine of its version as soon as the host may send to one.
func (p *versionedPool) takeUp(h *surgeHost) {
	p.takeUps++
	deadline := p.clock.Now().Add(takeUpPatience)
	endWait := h.table.WaitForVersion(p.snap, "s", p.version)
	var try func()
	try = func() {
		criteria := balance.Criteria{Engine: true, AffinityHash: p.rand.Uint64() | 1, Version: &p.version, TakenUp: true}
		choice, sentIn := p.selectors[h].Select(p.snap, "s", criteria), time.Duration(0)
		if choice == nil {
			choice, sentIn = p.desks[h].Borrow(context.Background(), p.snap, "s", criteria, ""), p.upTo(loanValidity)
		}
		switch {
		case choice != nil:
			p.went++
			p.after(sentIn, func() { p.received[choice.ID] = append(p.received[choice.ID], arrival{p.clock.Now(), h}) })
			endWait()
		case !p.clock.Now().Before(deadline):
			endWait()
		default:
			p.after(takeUpPoll, try)
		}
	}
	try()
}

// takeUpSize is the size of a fleet, how many streams callers take up at how many of its hosts (0 for all), and the number of seeds.
type takeUpSize struct {
	hosts, dataCentres, engines, limited, takeUps int
	seeds                                         uint64
	takingHosts                                   int
}

// testTakeUps plays the size with some seeds, and hosts that are each unaware of none or a quarter of the others.
func testTakeUps(t *testing.T, size takeUpSize) {
	for _, unaware := range []float64{0, 0.25} {
		for seed := range size.seeds {
			t.Run(fmt.Sprintf("%d hosts, unaware %.2f, %d streams, seed %d", size.hosts, unaware, size.takeUps, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				p := newVersionedPool(size.hosts, size.dataCentres, size.engines, size.limited, unaware, seed)
				p.after(takeUpsAt, func() { p.crash(size.takeUps, p.hosts[:cmp.Or(size.takingHosts, size.hosts)]) })
				p.run(0)
				begun, went := float64(p.begun)/float64(p.asked), float64(p.went)/float64(p.takeUps)
				t.Logf("%d of %d streams go on, %.2f of new requests begin; worst window %.2f of what is allowed, %.2f by all",
					p.went, p.takeUps, begun, p.worstWindow(true), p.worstWindow(false))
				is.True(p.worstWindow(true) <= 1)
				is.True(p.worstWindow(false) <= 1)
				is.True(went >= minTakeUps*begun)
			})
		}
	}
}

// Guards against streams that are refused when callers take them up beside limits, while upstreams of their version serve (LOST).
// Pattern: the upstreams of a version that name no limit crash at once, and callers take a dozen streams up; the three others
// accept one request a second each.
func TestStreamsAreTakenUpBesideLimits(t *testing.T) {
	testTakeUps(t, takeUpSize{hosts: 6, dataCentres: 4, engines: 13, limited: 3, takeUps: 12, seeds: 5})
}

// Guards against the same where more streams are taken up, or where so many hosts share the limits that few have a part of each.
func TestManyStreamsAreTakenUpBesideLimits(t *testing.T) {
	for _, size := range []takeUpSize{
		{hosts: 6, dataCentres: 4, engines: 13, limited: 3, takeUps: 20, seeds: 5}, {hosts: 7, dataCentres: 4, engines: 9, limited: 3, takeUps: 16, seeds: 5},
		{hosts: 90, dataCentres: 4, engines: 60, limited: 15, takeUps: 60, seeds: 2},
	} {
		testTakeUps(t, size)
	}
}

// Guards against the same where callers reach two hosts alone, while the others have parts of the limits that they don't use.
func TestStreamsAreTakenUpAtFewHostsBesideLimits(t *testing.T) {
	for _, size := range []takeUpSize{
		{hosts: 7, dataCentres: 4, engines: 9, limited: 3, takeUps: 16, seeds: 5, takingHosts: 2},
		{hosts: 90, dataCentres: 4, engines: 60, limited: 4, takeUps: 30, seeds: 2, takingHosts: 2},
	} {
		testTakeUps(t, size)
	}
}
