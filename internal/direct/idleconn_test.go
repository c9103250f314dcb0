package direct

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

// hostCount is the number of hosts.
type hostCount int

func (n hostCount) ShareCount() int { return int(n) }

// Guards against idle connections of all hosts together that take up the connections which an upstream accepts.
func TestIdleConnectionsAreWithinUpstreamsLimit(t *testing.T) {
	for _, tt := range []struct {
		limit int
		hosts hostCount
		want  int
	}{
		{0, 7, upconn.MaxIdlePerUpstream}, {96, 7, 6}, {100, 1, 50}, {590, 64, 4}, {100, 300, 1}, {1, 1, 1},
	} {
		h := newHarness(t, catalog.Safe, false)
		h.setService(catalog.Service{Name: "s", MaxConnections: tt.limit})
		d := &dispatchFilter{store: h.store, hosts: tt.hosts}
		is.New(t).Equal(d.maxIdleConns("s"), tt.want)
	}
}

func TestConnectionsBeyondUpstreamsLimitAreClosed(t *testing.T) {
	is := is.New(t)
	const requests = 9 // of which an upstream gets three or more
	h := newHarness(t, catalog.Safe, false, slices.Repeat([]behaviour{ok.after(200 * time.Millisecond)}, requests)...)
	h.setService(catalog.Service{Name: "s", MaxConnections: 2}) // one of them may be idle
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() { is.Equal(h.call(http.MethodGet, "/r/", "").status, http.StatusOK) })
	}
	wg.Wait()
	is.True(h.connCount() > len(h.listeners))
	for start := time.Now(); h.openConnCount() > len(h.listeners) && time.Since(start) < responseTimeout; {
		time.Sleep(time.Millisecond)
	}
	is.True(h.openConnCount() <= len(h.listeners))
	is.True(h.openConnCount() > 0)
}

// setService brings a configuration with the service into force.
func (h *harness) setService(s catalog.Service) {
	next := *h.config
	next.Version++
	next.Services = map[string]catalog.Service{s.Name: s}
	h.config = &next
	h.publish("config")
}
