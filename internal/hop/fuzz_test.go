package hop

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/rpc/hoppb"
)

// FuzzEnvelope checks that no envelope causes a panic, and that a request reaches a filter chain only with a route and,
// unless the route is open, with a team of the receiver's own document.
func FuzzEnvelope(f *testing.F) {
	raw, err := os.ReadFile("../../deploy/lobue/document.json")
	if err != nil {
		f.Fatal(err)
	}
	store := config.NewStore(clockwork.NewRealClock(), zerolog.Nop())
	if _, err := store.Offer(raw, "test"); err != nil {
		f.Fatal(err)
	}
	snap := store.Current()
	valid, err := encodeEnvelope(&hoppb.Envelope{
		Role: hoppb.Role_ROLE_OWNER, Route: snap.Routes[0].Name, Team: snap.Teams[0].Name, Trace: "1", TimeoutMs: 1000,
	})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{"", "=", "AAAA", valid, valid[:len(valid)-4], valid + valid, "//////////8="} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		chain := func(_ context.Context, x *exchange.Exchange) error {
			if x.Route == nil || x.Team == nil && !x.Route.Open || x.Attempts.Remaining() > exchange.MaxAttempts {
				t.Fatalf("envelope %q reached the chain", text)
			}
			return outcome.Refuse("test", http.StatusTeapot, "test", "test")
		}
		s := &Server{
			Store: store, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), MaxBodyBytes: 100,
			Chains: map[hoppb.Role]exchange.Next{hoppb.Role_ROLE_OWNER: chain, hoppb.Role_ROLE_ISSUER: chain},
		}
		r := httptest.NewRequest(http.MethodPost, Path, strings.NewReader("body"))
		r.Header[headerEnvelope] = []string{text}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Header().Get(headerRefusal) == "" {
			t.Fatalf("envelope %q was not refused: status %d", text, w.Code)
		}
	})
}
