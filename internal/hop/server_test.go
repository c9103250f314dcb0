package hop

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/rpc/hoppb"
)

// storeWithKeys returns a store with document version 5, whose team has one key that is valid at the given time and one
// that expired an hour before.
func storeWithKeys(t *testing.T, now time.Time) *config.Store {
	t.Helper()
	past := now.Add(-time.Hour)
	doc := document.Document{
		Schema: document.SchemaVersion, Fleet: "test", Version: 5,
		DataCentres: []document.DataCentre{{Name: "dc", State: document.StateIn}},
		Pools:       []document.Pool{{Name: "services", Kind: document.KindService, LoadFactor: 1.25}},
		Routes:      []document.Route{{Name: "orders", Path: "/v1/orders", Methods: []string{"POST"}, Pool: "services"}},
		Teams: []document.Team{{Name: "team", RatePerSecond: 1, Burst: 1, Keys: []document.Key{
			{ID: "good", SHA256: document.HashKey("good")}, {ID: "expired", SHA256: document.HashKey("expired"), NotAfter: &past},
		}}},
	}
	raw, err := doc.Encode()
	if err != nil {
		t.Fatal(err)
	}
	store := config.NewStore(clockwork.NewFakeClockAt(now), zerolog.Nop())
	if _, err := store.Offer(raw, "test"); err != nil {
		t.Fatal(err)
	}
	return store
}

func TestServerChecksKeyAndKeepsAttemptBudget(t *testing.T) {
	cases := []struct {
		name    string
		key     string
		version uint64
		code    string
	}{
		{"valid key", "good", 5, "reached"},
		{"withdrawn key, sender is older", "withdrawn", 4, "bad-key"},
		{"withdrawn key, same version", "withdrawn", 5, "bad-key"},
		{"expired key", "expired", 5, "bad-key"},
		{"key of a document that the receiver does not have yet", "new", 6, "reached"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1e9, 0)
			chain := func(_ context.Context, x *exchange.Exchange) error {
				is.Equal(x.Attempts.Remaining(), 3)
				return outcome.Refuse("test", http.StatusTeapot, "reached", "reached")
			}
			s := &Server{
				Store: storeWithKeys(t, now), Clock: clockwork.NewFakeClockAt(now), Log: zerolog.Nop(), MaxBodyBytes: 100,
				Chains: map[hoppb.Role]exchange.Next{hoppb.Role_ROLE_OWNER: chain},
			}
			text, err := encodeEnvelope(&hoppb.Envelope{
				Role: hoppb.Role_ROLE_OWNER, Route: "orders", Team: "team", KeyId: c.key, DocumentVersion: c.version,
				TimeoutMs: 1000, Attempts: 3,
			})
			is.NoErr(err)
			r := httptest.NewRequest(http.MethodPost, Path, strings.NewReader("body"))
			r.Header.Set(headerEnvelope, text)
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)
			var refusal outcome.Refusal
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &refusal))
			is.Equal(refusal.Code, c.code)
			is.Equal(refusal.Outcome, outcome.NotRun)
		})
	}
}
