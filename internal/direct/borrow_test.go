package direct

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/lending"
	"github.com/orioleusher/orioleusher/internal/origin"
)

// pairOfHosts are this host and another one that lends requests to the upstream u1.
type pairOfHosts struct {
	oneHost
	mu    sync.Mutex
	loans int
}

func (*pairOfHosts) ShareCount() int               { return 2 }
func (*pairOfHosts) Rank(uint64) (rank, hosts int) { return 0, 2 }
func (*pairOfHosts) Ranked(uint64) []string        { return []string{"self", "other"} }

func (p *pairOfHosts) AskLoan(_ context.Context, host string, q lending.Question) (uint32, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if host != "other" || q.Version != "1" {
		return 0, false, nil
	}
	p.loans++
	return balance.IncarnationID(catalog.UpstreamKey{ID: "u1"}), true, nil
}

// newPairHarness serves as one of two hosts; u1 alone has version 1 and accepts one request in four seconds, of which each host
// has two for streams that are taken up.
func newPairHarness(t *testing.T, registration time.Duration, script ...behaviour) (*harness, *pairOfHosts) {
	h := newHarness(t, catalog.Stream, true, script...)
	pair := &pairOfHosts{}
	h.hosts, h.registration = pair, registration
	h.front.Close()
	h.serve(allowance.RetryLimits{Ratio: 0.2, Slack: 100}, 1<<20)
	h.publishVersions("1", "2", "2")
	limit := 0.25
	h.server.Balancer.RecordRequestLimit(h.store.Current().Upstreams["s"][0], &limit)
	return h, pair
}

// takeUp takes a stream of version 1 up.
func (h *harness) takeUp(stream string) reply {
	h.origins.Add(origin.Record{
		Stream: origin.HashRequestID(stream), Origin: origin.Origin{Service: "s", Version: "1"}, Expires: time.Now().Add(time.Minute),
	})
	return h.call(http.MethodPost, "/r/", "", "X-Id", stream+"-again", "X-Resumes", stream, "X-Last", "2")
}

// Guards against streams that are refused when callers take them up at a host that has used up its share of a limit, while another
// host has a share that it does not use (LOST).
func TestStreamIsTakenUpWithinShareOfAnotherHost(t *testing.T) {
	is := is.New(t)
	limited := streams.withHeader("X-Limit: 0.25")
	h, pair := newPairHarness(t, 0, limited, limited, limited, limited)
	for i := range 4 {
		is.Equal(h.takeUp(fmt.Sprint("stream-", i)).status, http.StatusOK)
	}
	is.Equal(pair.loans, 2)
}

// Guards against a new loan for each look at a connection that is not proven yet.
func TestLoanIsKeptUntilConnectionIsProven(t *testing.T) {
	is := is.New(t)
	closing := streams.withHeader("X-Limit: 0.25").withHeader("Connection: close")
	h, pair := newPairHarness(t, 300*time.Millisecond, closing, closing, closing)
	for i := range 3 {
		is.Equal(h.takeUp(fmt.Sprint("stream-", i)).status, http.StatusOK)
	}
	is.Equal(pair.loans, 1)
}

// Guards against loans for requests that may go to any upstream.
func TestNewRequestsDoNotBorrow(t *testing.T) {
	is := is.New(t)
	h, pair := newPairHarness(t, 0, streams, streams)
	for _, i := range []int{1, 2} {
		h.remove(fmt.Sprintf("up/u%d/%s/version-2", i+1, h.listeners[i].Addr()))
	}
	limit := 1.0 // two requests of each host in four seconds
	for i := range 3 {
		h.server.Balancer.RecordRequestLimit(h.store.Current().Upstreams["s"][0], &limit)
		is.Equal(h.call(http.MethodPost, "/r/", "", "X-Id", fmt.Sprint("request-", i)).status, map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable}[i < 2])
	}
	is.Equal(pair.loans, 0)
}
