package watch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestControlBytes(t *testing.T) {
	for _, c := range []struct {
		name, dump string
		want       float64
		known      bool
	}{
		{"both ways", `{"control":{"sent_bytes":3,"received_bytes":4}}`, 7, true},
		{"none counted yet", `{"control":{"sent_bytes":0,"received_bytes":0}}`, 0, true},
		{"a router that does not count", `{"name":"r"}`, 0, false},
		{"no dump", `nothing`, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			admin := startServer(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, c.dump) })
			got, known := ControlBytes(context.Background(), admin)
			is.Equal(got, c.want)
			is.Equal(known, c.known)
		})
	}
}

func TestBalancerSkipsUnreadyHosts(t *testing.T) {
	is := is.New(t)
	var ready atomic.Bool
	probe := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if !ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	alwaysReady := startServer(t, func(http.ResponseWriter, *http.Request) {})
	b := NewBalancer([]Host{{CallerAddress: "a", AdminAddress: probe}, {CallerAddress: "b", AdminAddress: alwaysReady}}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.Run(ctx)
	eventually(t, func() bool { return !picks(b, "a") })
	is.True(picks(b, "b"))
	ready.Store(true)
	eventually(t, func() bool { return picks(b, "a") })
	for range 100 {
		is.True(b.Pick("a") != "a")
	}
}

// picks reports whether the host is among 100 picks.
func picks(b *Balancer, host string) bool {
	for range 100 {
		if b.Pick("") == host {
			return true
		}
	}
	return false
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("still not true after ten seconds")
		}
		time.Sleep(20 * time.Millisecond)
	}
}
