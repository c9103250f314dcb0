package config

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/orioleusher/orioleusher/internal/document"
)

// sampleDocument returns a valid document of the given version whose content depends on variant.
func sampleDocument(version uint64, variant int) []byte {
	doc := document.Document{
		Schema: document.SchemaVersion, Fleet: "test", Version: version,
		DataCentres: []document.DataCentre{{Name: "dc-1", State: document.StateIn, Hosts: []document.Host{{
			Name: "h1", CallerAddress: "127.0.0.1:8080", PeerAddress: "127.0.0.1:7080", AdminAddress: "127.0.0.1:9080",
		}}}},
		Pools: []document.Pool{{Name: "p", Kind: document.KindService, LoadFactor: 1.25, Upstreams: []document.Upstream{{
			Name: "u", DataCentre: "dc-1", Address: "127.0.0.1:8000", State: document.StateIn, Capacity: 1 + variant,
		}}}},
		Routes: []document.Route{{Name: "r", Path: "/", Methods: []string{"GET"}, Pool: "p", Open: true, Repeatable: true}},
	}
	raw, err := doc.Encode()
	if err != nil {
		panic(err)
	}
	return raw
}

func newStore() *Store { return NewStore(clockwork.NewFakeClock(), zerolog.Nop()) }

func TestInvalidDocumentIsRefusedAndCurrentOneRemains(t *testing.T) {
	cases := []struct {
		name string
		raw  []byte
	}{
		{"empty", nil},
		{"cut short", sampleDocument(9, 0)[:100]},
		{"unknown field", []byte(`{"schema":1,"version":9,"surprise":true}`)},
		{"not valid", []byte(`{"schema":1,"fleet":"test","version":9}`)},
		{"too large", make([]byte, document.MaxBytes+1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newStore()
			_, err := s.Offer(sampleDocument(3, 0), "platform")
			is.NoErr(err)
			result, err := s.Offer(c.raw, "platform")
			is.True(err != nil)
			is.Equal(result, Invalid)
			is.Equal(s.Current().Version, uint64(3))
			is.True(s.State().Refused != nil)
		})
	}
}

func TestConflictIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	s := newStore()
	for range 3 {
		_, _ = s.Offer(sampleDocument(3, 0), "platform")
		_, _ = s.Offer(sampleDocument(3, 1), "peer b")
	}
	is.Equal(s.State().Conflicts, uint64(1))
	is.Equal(s.State().Conflict.Winner, s.Current().Hash)
}

// TestStoresConvergeAndNeverRevert offers the same documents in any order.
func TestStoresConvergeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offers := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) []byte {
			return sampleDocument(rapid.Uint64Range(1, 4).Draw(t, "version"), rapid.IntRange(0, 2).Draw(t, "variant"))
		}), 1, 10).Draw(t, "offers")
		one, two := newStore(), newStore()
		for _, raw := range offers {
			_, _ = one.Offer(raw, "a")
		}
		for _, raw := range rapid.Permutation(offers).Draw(t, "order") {
			_, _ = two.Offer(raw, "b")
		}
		if one.Current().Hash != two.Current().Hash {
			t.Fatalf("stores hold different documents: %s and %s", one.Current().Hash, two.Current().Hash)
		}
		for _, s := range []*Store{one, two} {
			history := s.State().History
			for i := 1; i < len(history); i++ {
				a, b := history[i-1], history[i]
				if b.Version < a.Version || b.Version == a.Version && b.Hash <= a.Hash {
					t.Fatalf("store reverted from version %d %s to %d %s", a.Version, a.Hash, b.Version, b.Hash)
				}
			}
		}
	})
}
