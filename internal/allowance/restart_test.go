package allowance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const (
	herdLength = 40 * time.Second
	herdStep   = 5 * time.Millisecond
	// herdWindow is the time in which all retries together are limited.
	herdWindow = 10 * time.Second
	// A killed process is down for downTime.
	downTime = 300 * time.Millisecond
	// greyShare is the share of sends that fail, and burstFactor is by how much the requests rise.
	greyShare, burstFactor = 0.45, 3
	maxSends               = 3
)

// herd is a fleet whose processes are killed together while upstreams fail many requests.
type herd struct {
	limits    RetryLimits
	clock     *clockwork.FakeClock
	start     time.Time
	rand      *rand.Rand
	budgets   []*RetryBudget
	views     []*testView
	downUntil time.Time
	// From greyFrom on upstreams fail failShare of the sends.
	greyFrom  time.Duration
	failShare float64
	// requests and retries are the numbers in each step, and served counts the requests that succeeded.
	requests, retries []int
	served            int
}

func newHerd(hosts int, limits RetryLimits, seed uint64) *herd {
	clock := clockwork.NewFakeClock()
	h := &herd{limits: limits, clock: clock, start: clock.Now(), rand: rand.New(rand.NewPCG(seed, 6)), failShare: greyShare}
	all := names(hosts)
	for _, name := range all {
		h.views = append(h.views, &testView{self: name, known: all, minShares: 8})
	}
	h.kill(0)
	return h
}

// kill ends all processes and starts their successors.
func (h *herd) kill(down time.Duration) {
	h.downUntil = h.clock.Now().Add(down)
	h.budgets = nil
	for _, v := range h.views {
		h.budgets = append(h.budgets, NewRetryBudget(h.limits, v, h.clock))
	}
}

// play sends perSecond requests a second, burstFactor times as many from burst on, and kills all processes at the times.
func (h *herd) play(perSecond float64, burst time.Duration, kills ...time.Duration) {
	for at := time.Duration(0); at < herdLength; at += herdStep {
		if len(kills) > 0 && at >= kills[0] {
			h.kill(downTime)
			kills = kills[1:]
		}
		rate := perSecond
		if at >= burst {
			rate *= burstFactor
		}
		h.requests, h.retries = append(h.requests, 0), append(h.retries, 0)
		for range poisson(h.rand, rate*herdStep.Seconds()) {
			h.requests[len(h.requests)-1]++
			h.send(h.budgets[h.rand.IntN(len(h.budgets))])
		}
		h.clock.Advance(herdStep)
	}
}

// send sends a request until it succeeds or may not be sent again.
func (h *herd) send(budget *RetryBudget) {
	if h.clock.Now().Before(h.downUntil) {
		return
	}
	budget.RecordRequest("s")
	grey := h.clock.Since(h.start) >= h.greyFrom
	for sends := 1; grey && h.rand.Float64() < h.failShare; sends++ {
		if sends == maxSends || !budget.TryWithdraw("s") {
			return
		}
		h.retries[len(h.retries)-1]++
	}
	h.served++
}

// excess returns by how much the retries of the worst window exceed what its requests allow, or the requests of the window
// before it or half a window before it.
func (h *herd) excess() float64 {
	requests, retries := sums(h.requests), sums(h.retries)
	worst := 0.0
	for from := 0; from+windowSteps <= len(h.requests); from++ {
		most := max(inWindow(requests, from), inWindow(requests, from-windowSteps), inWindow(requests, from-windowSteps/2))
		worst = max(worst, float64(inWindow(retries, from))-h.limits.Ratio*float64(most)-h.limits.Slack)
	}
	return worst
}

// sums returns the sums of the first numbers of the list, from none to all of them.
func sums(list []int) []int {
	total := []int{0}
	for _, n := range list {
		total = append(total, total[len(total)-1]+n)
	}
	return total
}

// windowSteps is the number of steps in a window.
const windowSteps = int(herdWindow / herdStep)

// inWindow returns the sum of the numbers of the window that begins at one of them; those before the first are 0.
func inWindow(total []int, from int) int {
	return total[max(0, from+windowSteps)] - total[max(0, from)]
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for sum := r.ExpFloat64(); sum < mean; sum += r.ExpFloat64() {
		n++
	}
	return n
}

// Guards against processes that are killed again and again and spend their share of the slack each time (BUDGET). Pattern: four
// kills of all processes within ten seconds while upstreams fail many requests and the traffic rises.
func TestRetryBudgetHoldsOverKillsOfAllProcesses(t *testing.T) {
	for _, tt := range []struct {
		hosts     int
		perSecond float64
		slack     float64
	}{{7, 26, 54}, {7, 73, 54}, {6, 26, 52}, {88, 400, 216}} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%d hosts, %.0f a second, seed %d", tt.hosts, tt.perSecond, seed), func(t *testing.T) {
				h := newHerd(tt.hosts, RetryLimits{Ratio: 0.2, Slack: tt.slack, Window: herdWindow}, seed)
				var kills []time.Duration
				for i := range 4 {
					kills = append(kills, 15*time.Second+time.Duration((float64(i)+h.rand.Float64()/2)*float64(2500*time.Millisecond)))
				}
				h.play(tt.perSecond, 12*time.Second, kills...)
				t.Logf("excess %.1f, %d served", h.excess(), h.served)
				is.New(t).True(h.excess() <= 0)
			})
		}
	}
}

// Guards against more hosts than the slack has retries, each of which saves one (BUDGET). Pattern: upstreams begin to fail half
// of the requests or all when all processes have run for long; each host is unaware of none or a quarter of the others.
func TestRetryBudgetHoldsInFleetLargerThanSlack(t *testing.T) {
	for _, hosts := range []int{295, 850} {
		for _, perSecond := range []float64{30, 400, 2000} {
			for _, failShare := range []float64{greyShare, 1} {
				for _, unaware := range []float64{0, 0.25} {
					t.Run(fmt.Sprintf("%d hosts, %.0f a second, failing %.2f, unaware %.2f", hosts, perSecond, failShare, unaware), func(t *testing.T) {
						h := newLargeHerd(hosts, unaware)
						h.greyFrom, h.failShare = 20*time.Second, failShare
						h.play(perSecond, herdLength)
						t.Logf("excess %.1f, %d served, %d retries", h.excess(), h.served, sums(h.retries)[len(h.retries)])
						is.New(t).True(h.excess() <= 0)
					})
				}
			}
		}
	}
}

// newLargeHerd returns a fleet with a slack of 216 whose hosts are each unaware of a share of the others.
func newLargeHerd(hosts int, unaware float64) *herd {
	h := newHerd(hosts, RetryLimits{Ratio: 0.2, Slack: 216, Window: herdWindow}, 1)
	for _, v := range h.views {
		v.known = slices.DeleteFunc(slices.Clone(v.known), func(name string) bool { return name != v.self && h.rand.Float64() < unaware })
	}
	return h
}

// Guards against one retry at each of more hosts than the slack has retries. Pattern: after a quiet time each host receives one
// request, which fails.
func TestRetryBudgetHoldsIfEachHostRetriesOnce(t *testing.T) {
	for _, hosts := range []int{295, 850} {
		for _, unaware := range []float64{0, 0.25} {
			t.Run(fmt.Sprintf("%d hosts, unaware %.2f", hosts, unaware), func(t *testing.T) {
				h := newLargeHerd(hosts, unaware)
				for _, budget := range h.budgets {
					for range 10 {
						budget.RecordRequest("s")
					}
				}
				h.clock.Advance(3 * herdWindow)
				retries := 0
				for _, budget := range h.budgets {
					budget.RecordRequest("s")
					if budget.TryWithdraw("s") {
						retries++
					}
				}
				allowed := h.limits.Ratio*float64(hosts) + h.limits.Slack
				t.Logf("%d retries for %d requests, %.0f allowed", retries, hosts, allowed)
				is := is.New(t)
				is.True(float64(retries) <= allowed)
				is.True(retries > hosts/10) // some of the slack is used
			})
		}
	}
}

// The slack is there once a process has run for a window, less what was withdrawn meanwhile.
func TestRetrySlackComesAfterWindow(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := NewRetryBudget(RetryLimits{Ratio: 0.5, Slack: 16, Window: herdWindow}, &testView{minShares: 4}, clock) // a share of 3
	is.True(!r.TryWithdraw("s"))
	r.RecordRequest("s")
	r.RecordRequest("s")
	is.True(r.TryWithdraw("s")) // earned
	is.True(!r.TryWithdraw("s"))
	clock.Advance(herdWindow - time.Millisecond)
	is.True(!r.Available("s"))
	clock.Advance(time.Millisecond)
	is.True(r.TryWithdraw("s"))
	is.True(r.TryWithdraw("s"))
	is.True(!r.TryWithdraw("s")) // one of the three was withdrawn before
	for range 3 {
		is.True(r.TryWithdraw("new")) // a service without requests so far
	}
	is.True(!r.TryWithdraw("new"))
}

// Guards against hosts without a part of the slack that never retry, and against ones that save retries beyond a window.
func TestHostWithoutSlackRetriesWhatRecentRequestsAllow(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := NewRetryBudget(RetryLimits{Ratio: 0.2, Slack: 0, Window: herdWindow}, &testView{minShares: 8}, clock)
	earn := func() {
		for range 5 {
			r.RecordRequest("s")
		}
	}
	earn()
	is.True(r.TryWithdraw("s"))
	is.True(!r.TryWithdraw("s"))
	earn()
	is.True(r.Available("s"))
	clock.Advance(herdWindow)
	is.True(!r.TryWithdraw("s")) // earned too long ago
	earn()
	is.True(r.TryWithdraw("s"))
	clock.Advance(100 * herdWindow)
	earn()
	is.True(r.TryWithdraw("s"))
	r.Return("s")
	is.True(r.TryWithdraw("s"))
	is.True(!r.TryWithdraw("s"))
}
