package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/proofs/rights/window"
	"github.com/orioleusher/orioleusher/internal/rpc/quotapb"
)

// The fleet of the policy comparison: seven hosts, as in the target deployment, and one large team.
const (
	comparedHosts = 7
	comparedRate  = 500
	comparedBurst = 100
	// borrowDelay is the duration of one borrow call between two hosts.
	borrowDelay = time.Millisecond
)

// directLender borrows from limiters in the same process, after a delay.
type directLender struct {
	limiters map[string]*Limiter
	calls    atomic.Int64
}

func (d *directLender) Borrow(_ context.Context, host document.EntryHost, team string, want uint32) (*quotapb.BorrowReply, error) {
	d.calls.Add(1)
	time.Sleep(borrowDelay)
	l := d.limiters[host.Name]
	if l == nil {
		return nil, errors.New("host is down")
	}
	return l.Lend(team, want), nil
}

type allLive struct{}

func (allLive) Live(string) bool { return true }

// admitter is one host under one of the compared policies.
type admitter func(ctx context.Context) Decision

// comparedFleet returns the hosts of a policy, settled and with full buckets.
func comparedFleet(t testing.TB, policy string) ([]admitter, *directLender) {
	clock := clockwork.NewRealClock()
	names := make([]string, comparedHosts)
	for i := range names {
		names[i] = fmt.Sprintf("host-%d", i)
	}
	teams := []document.Team{{Name: "team", RatePerSecond: comparedRate, Burst: comparedBurst}}
	lender := &directLender{limiters: map[string]*Limiter{}}
	var hosts []admitter
	for i, name := range names {
		listed := names
		if policy == "each host alone" {
			listed = []string{name}
		}
		snap := documentWithHosts(t, 1, teams, listed...)
		l := NewLimiter(name, uint64(i+1), clock)
		l.Apply(snap)
		lender.limiters[name] = l
		b := NewBorrower(l, lender, allLive{}, clock, tally.NoopScope)
		team := snap.Team("team")
		hosts = append(hosts, func(ctx context.Context) Decision {
			if policy == "borrowing" {
				return b.Admit(ctx, snap, team)
			}
			return l.Admit(snap, team)
		})
	}
	settleReal(lender.limiters)
	time.Sleep(2*GrantValidity + time.Duration(comparedBurst*float64(time.Second)/comparedRate))
	return hosts, lender
}

func settleReal(limiters map[string]*Limiter) {
	time.Sleep(3 * GrantValidity)
	for name, l := range limiters {
		for _, q := range l.PendingStatusQueries() {
			l.HandleStatusReply(q, limiters[q.Host.Name].Status(name, l.incarnation))
		}
	}
}

// loadResult is the result of a load run.
type loadResult struct {
	sent, refused int
	longestWait   time.Duration
	admitted      []time.Time
}

// runLoad sends requests with Poisson arrivals at a multiple of the team's rate to the hosts in turn.
func runLoad(hosts []admitter, multiple float64, d time.Duration) loadResult {
	rnd := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	var r loadResult
	var wg sync.WaitGroup
	start := time.Now()
	at := time.Duration(0)
	for {
		at += time.Duration(rnd.ExpFloat64() / (multiple * comparedRate) * float64(time.Second))
		if at > d {
			break
		}
		time.Sleep(time.Until(start.Add(at)))
		host := hosts[r.sent%len(hosts)]
		r.sent++
		wg.Go(func() {
			called := time.Now()
			decision := host(context.Background())
			mu.Lock()
			defer mu.Unlock()
			if !decision.Admitted {
				r.refused++
				return
			}
			r.admitted = append(r.admitted, decision.At)
			r.longestWait = max(r.longestWait, time.Since(called))
		})
	}
	wg.Wait()
	return r
}

func TestBorrowingServesSkewedTeamWithinRate(t *testing.T) {
	d := 10 * time.Second
	if testing.Short() {
		t.Skip("runs for a minute")
	}
	loads := []struct {
		name     string
		multiple float64
		hosts    int
	}{
		{"80% of the rate, one host", 0.8, 1},
		{"80% of the rate, all hosts", 0.8, comparedHosts},
		{"10 times the rate, one host", 10, 1},
		{"10 times the rate, all hosts", 10, comparedHosts},
	}
	for _, load := range loads {
		for _, policy := range []string{"borrowing", "static split", "each host alone"} {
			t.Run(load.name+"/"+policy, func(t *testing.T) {
				t.Parallel()
				hosts, lender := comparedFleet(t, policy)
				r := runLoad(hosts[:load.hosts], load.multiple, d)
				err := window.Check(r.admitted, comparedRate, comparedBurst)
				refused := float64(r.refused) / float64(r.sent)
				t.Logf("sent %d refused %.3f%% admitted %.1f/s loans %.1f/s longest wait %s over the bound: %v", r.sent,
					100*refused, float64(len(r.admitted))/d.Seconds(), float64(lender.calls.Load())/d.Seconds(), r.longestWait, err != nil)
				if policy != "borrowing" {
					return
				}
				if err != nil {
					t.Error(err)
				}
				if load.multiple < 1 && refused > 0.001 {
					t.Errorf("refused %.3f%% of a team within its rate, target is 0.1%%", 100*refused)
				}
			})
		}
	}
}

func TestDownLenderDelaysButDoesNotRefuse(t *testing.T) {
	is := is.New(t)
	hosts, lender := comparedFleet(t, "borrowing")
	for i := 1; i < 4; i++ {
		delete(lender.limiters, fmt.Sprintf("host-%d", i))
	}
	admitted := 0
	for range 40 {
		if hosts[0](context.Background()).Admitted {
			admitted++
		}
	}
	is.Equal(admitted, 40)
}

func TestUnlistedHostServesBorrowedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		snap := documentWithHosts(t, 1, []document.Team{{Name: "team", RatePerSecond: 100, Burst: 20}}, "a", "b")
		lender := &directLender{limiters: map[string]*Limiter{}}
		for i, name := range []string{"a", "b", "unlisted"} {
			lender.limiters[name] = NewLimiter(name, uint64(i+1), clock)
			lender.limiters[name].Apply(snap)
		}
		settleReal(lender.limiters)
		time.Sleep(300 * time.Millisecond)
		unlisted := lender.limiters["unlisted"]
		b := NewBorrower(unlisted, lender, allLive{}, clock, tally.NoopScope)
		is.Equal(spend(unlisted, snap), 0)
		for range 10 {
			d := b.Admit(context.Background(), snap, snap.Team("team"))
			is.True(d.Admitted)
			is.True(d.Borrowed)
		}
	})
}

func TestAdmitRefusesImmediatelyWithoutLender(t *testing.T) {
	is := is.New(t)
	snap := documentWithHosts(t, 2, oneTeam, "a", "b")
	l := NewLimiter("a", 1, clockwork.NewRealClock())
	l.Apply(snap)
	b := NewBorrower(l, &directLender{}, noneLive{}, clockwork.NewRealClock(), tally.NoopScope)
	start := time.Now()
	d := b.Admit(context.Background(), snap, snap.Team("team"))
	is.True(!d.Admitted)
	is.Equal(d.RetryAfter, defaultRetryAfter)
	is.True(time.Since(start) < maxTokenWait)
}

type noneLive struct{}

func (noneLive) Live(string) bool { return false }

// Guards against memory for each team that any document has ever contained.
func TestQueuesOfRemovedTeamsAreDropped(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := NewLimiter("host-0", 1, clock)
	b := NewBorrower(l, &directLender{}, allLive{}, clock, tally.NoopScope)
	for n := range 9 {
		name := fmt.Sprintf("team-%d", n)
		snap := documentWithHosts(t, uint64(n+1), []document.Team{{Name: "lasting", RatePerSecond: 1, Burst: 1}, {Name: name, RatePerSecond: 1, Burst: 1}}, "host-0")
		l.Apply(snap)
		for _, team := range []string{"lasting", name} {
			w, _ := b.enqueue(snap.Team(team), Decision{RetryAfter: time.Hour})
			is.True(w == nil)
		}
		is.Equal(len(b.queues), 2)
		is.True(b.queues["lasting"] != nil)
	}
}
