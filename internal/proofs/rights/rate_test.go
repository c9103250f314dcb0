package rights

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/proofs/rights/window"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// Limits of the team in the rate tests.
const (
	limitedRate  = 40
	limitedBurst = 40
	pathQuotes   = "/v1/quotes"
	// recordDelay is the maximum time between a request's admission and its record by the service. It is converted into a
	// tolerance in requests at the team's rate.
	recordDelay = 250 * time.Millisecond
)

func limitedFleet(t *testing.T, block int, hosts []int) *testfleet.Fleet {
	return testfleet.Start(t, testfleet.Options{
		Block: block, Hosts: hosts, Services: 2,
		Teams: []document.Team{{Name: "team-1", RatePerSecond: limitedRate, Burst: limitedBurst}},
		EditDocument: func(d *document.Document) {
			d.Routes = append(d.Routes, document.Route{
				Name: "quotes", Path: pathQuotes, Methods: []string{"POST"}, Pool: "services", Repeatable: true,
			})
		},
	})
}

// sendAtRate sends requests at a constant rate to the hosts, round-robin, and counts the responses by status. Status 0
// stands for no response.
func sendAtRate(f *testfleet.Fleet, hosts []int, perSecond int, d time.Duration) map[int]int {
	caller := load.NewCaller(callTimeout)
	counts := map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := range int(d.Seconds() * float64(perSecond)) {
		<-ticker.C
		wg.Go(func() {
			status := 0
			result, err := caller.Do(context.Background(), load.Call{
				Address: f.CallerAddress(hosts[n%len(hosts)]), Method: http.MethodPost, Path: pathQuotes, Key: testfleet.TeamKey("team-1"),
			})
			if err == nil {
				status = result.Status
			}
			mu.Lock()
			counts[status]++
			mu.Unlock()
		})
	}
	wg.Wait()
	return counts
}

// peerBytes returns the number of bytes on the first host's connections to the other two.
func peerBytes(f *testfleet.Fleet) uint64 {
	return f.Network.Bytes(f.RouterIP(0), f.RouterIP(1)) + f.Network.Bytes(f.RouterIP(0), f.RouterIP(2))
}

// checkRate checks all requests that the services ran against the team's rate and burst.
func checkRate(t *testing.T, f *testfleet.Fleet) {
	t.Helper()
	byKey, _ := executedOrders(t, f)
	var times []time.Time
	for _, runs := range byKey {
		for _, run := range runs {
			times = append(times, run.At)
		}
	}
	if err := window.Check(times, limitedRate, limitedBurst+limitedRate*recordDelay.Seconds()); err != nil {
		t.Error(err)
	}
}

func TestTeamGetsFullRateFromOneHostAndNoMore(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(t, 36, []int{2, 1})
	time.Sleep(time.Second)
	before := peerBytes(f)
	const d = 3 * time.Second
	within := sendAtRate(f, []int{0}, limitedRate*8/10, d)
	t.Logf("80%% of the rate, one host: %v; its connections to the other two carried %.1f KB/s, including gossip and forwarded requests", within,
		float64(peerBytes(f)-before)/1000/d.Seconds())
	is.Equal(within[http.StatusOK], limitedRate*8/10*int(d.Seconds()))
	over := sendAtRate(f, []int{0, 1, 2}, limitedRate*10, 2*time.Second)
	t.Logf("10 times the rate, all hosts: %v", over)
	is.True(over[http.StatusTooManyRequests] > 0)
	checkRate(t, f)
}

func TestRateLimitHoldsUnderFaultsAndShareChanges(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for half a minute")
	}
	is := is.New(t)
	f := limitedFleet(t, 37, []int{2, 2})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			sendAtRate(f, []int{0, 1, 2, 3}, limitedRate*4, time.Second)
		}
	})
	wg.Go(func() { changeShares(ctx, f) })
	injectFaults(ctx, f)
	wg.Wait()
	checkRate(t, f)
	last := sendAtRate(f, []int{0, 1, 2, 3}, limitedRate, 2*time.Second)
	t.Logf("after the faults: %v", last)
	is.True(last[http.StatusOK] > 0)
}

// changeShares publishes documents that spread the team's rate over varying numbers of hosts.
func changeShares(ctx context.Context, f *testfleet.Fleet) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(2 * time.Second)
		f.Publish(func(d *document.Document) {
			// The number of hosts depends on the burst. It never exceeds limitedBurst, against which checkRate checks.
			d.Teams[0].Burst = []float64{limitedBurst, 9, 4}[n%3]
		})
	}
}
