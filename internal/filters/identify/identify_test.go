package identify

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

const secret = "key-of-team-1"

// documents is a DocumentSource whose current document a test can replace.
type documents struct{ current *document.Snapshot }

func (d *documents) Current() *document.Snapshot { return d.current }

func parse(t testing.TB, version uint64, keys ...document.Key) *document.Snapshot {
	t.Helper()
	doc := document.Document{
		Schema: document.SchemaVersion, Fleet: "test", Version: version,
		DataCentres: []document.DataCentre{{Name: "dc", State: document.StateIn}},
		Teams: []document.Team{
			{Name: "team-1", RatePerSecond: 1, Burst: 1, Keys: keys},
			{Name: "team-2", RatePerSecond: 1, Burst: 1, Keys: []document.Key{{ID: "a", SHA256: document.HashKey("key-of-team-2")}}},
		},
	}
	raw, err := doc.Encode()
	if err != nil {
		t.Fatal(err)
	}
	snap, err := document.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

func valid() document.Key { return document.Key{ID: "a", SHA256: document.HashKey(secret)} }

func exchangeWith(snap *document.Snapshot, query string, header http.Header) *exchange.Exchange {
	return &exchange.Exchange{Snapshot: snap, Header: header, RawQuery: query, Path: "/v1/chat"}
}

func TestHandleFindsAndRemovesEveryFormOfKey(t *testing.T) {
	cases := []struct {
		name   string
		query  string
		header http.Header
		team   string
		code   string
	}{
		{"bearer", "", http.Header{"Authorization": {"Bearer " + secret}}, "team-1", ""},
		{"bearer in another case", "", http.Header{"Authorization": {"bEARER   " + secret + " "}}, "team-1", ""},
		{"another scheme", "", http.Header{"Authorization": {"ApiKey " + secret}}, "team-1", ""},
		{"no scheme", "", http.Header{"Authorization": {secret}}, "team-1", ""},
		{"api key header", "", http.Header{"X-Api-Key": {secret}}, "team-1", ""},
		{"query", "a=1&api_key=" + secret, http.Header{}, "team-1", ""},
		{"query in another case", "API_KEY=" + secret, http.Header{}, "team-1", ""},
		{"query, escaped", "api_key=%6bey-of-team-1", http.Header{}, "team-1", ""},
		{"cookie", "", http.Header{"Cookie": {"a=1; api_key=" + secret}}, "team-1", ""},
		{"proxy header only", "", http.Header{"Proxy-Authorization": {"Bearer " + secret}}, "", ""},
		{"query that cannot be parsed", "api_key=" + secret + "&x=%zz", http.Header{}, "", ""},
		{"copy in another header", "", http.Header{"X-Api-Key": {secret}, "X-Copy": {"a " + secret}}, "team-1", ""},
		{"copy in a header's name", "", http.Header{"X-Api-Key": {secret}, "X-" + secret: {"1"}}, "team-1", ""},
		{"copy in another query parameter", "token=" + secret, http.Header{"X-Api-Key": {secret}}, "team-1", ""},
		{"copy in another cookie", "", http.Header{"X-Api-Key": {secret}, "Cookie": {"s=" + secret}}, "team-1", ""},
		{"copy in a proxy header", "", http.Header{"X-Api-Key": {secret}, "Proxy-Authorization": {secret}}, "team-1", ""},
		{"twice in one header", "", http.Header{"Authorization": {"Bearer " + secret, "Bearer " + secret}}, "", "several-keys"},
		{"two teams", "api_key=key-of-team-2", http.Header{"X-Api-Key": {secret}}, "", "several-keys"},
		{"header and cookie", "", http.Header{"X-Api-Key": {secret}, "Cookie": {"api_key=" + secret}}, "", "several-keys"},
		{"unknown", "", http.Header{"Authorization": {"Bearer other-secret"}}, "", "bad-key"},
		{"empty", "", http.Header{"Authorization": {""}}, "", "bad-key"},
		{"scheme only", "", http.Header{"Authorization": {"Bearer "}}, "", "bad-key"},
		{"hash instead of the key", "", http.Header{"X-Api-Key": {document.HashKey(secret)}}, "", "bad-key"},
		{"oversized", "", http.Header{"X-Api-Key": {strings.Repeat("a", 20000)}}, "", "bad-key"},
		{"zero byte", "", http.Header{"X-Api-Key": {secret + "\x00"}}, "", "bad-key"},
		{"list in one header", "", http.Header{"X-Api-Key": {secret + ", " + secret}}, "", "bad-key"},
	}
	snap := parse(t, 1, valid())
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x := exchangeWith(snap, c.query, c.header)
			f := New(clockwork.NewFakeClock(), &documents{snap}, tally.NoopScope)
			passed := false
			err := f.Handle(context.Background(), x, func(context.Context, *exchange.Exchange) error {
				passed = true
				return nil
			})
			is.Equal(passed, c.code == "")
			if c.code != "" {
				r := exchange.AsRefusal(err)
				is.Equal(r.Code, c.code)
				is.Equal(r.Outcome, outcome.NotRun)
				is.True(!strings.Contains(r.Error(), secret))
				is.True(x.Team == nil)
				return
			}
			is.NoErr(err)
			is.Equal(x.Team == nil, c.team == "")
			is.True(!strings.Contains(x.RawQuery, secret) && !strings.Contains(x.RawQuery, "api_key"))
			for name, values := range x.Header {
				is.True(!strings.Contains(name+strings.Join(values, " "), secret))
			}
		})
	}
}

func TestHandleKeepsUnrelatedFields(t *testing.T) {
	is := is.New(t)
	snap := parse(t, 1, valid())
	x := exchangeWith(snap, "b=2&a=1&b=%31", http.Header{"X-Api-Key": {secret}, "Cookie": {"a=1; b=2"}, "X-Other": {"1", "2"}})
	f := New(clockwork.NewFakeClock(), &documents{snap}, tally.NoopScope)
	is.NoErr(f.Handle(context.Background(), x, func(context.Context, *exchange.Exchange) error { return nil }))
	is.Equal(x.RawQuery, "b=2&a=1&b=%31")
	is.Equal(x.Header, http.Header{"Cookie": {"a=1; b=2"}, "X-Other": {"1", "2"}})
}

func TestHandleRefusesKeyInPath(t *testing.T) {
	is := is.New(t)
	snap := parse(t, 1, valid())
	x := exchangeWith(snap, "", http.Header{"X-Api-Key": {secret}})
	x.Path = "/v1/" + secret
	f := New(clockwork.NewFakeClock(), &documents{snap}, tally.NoopScope)
	err := f.Handle(context.Background(), x, func(context.Context, *exchange.Exchange) error { return nil })
	is.Equal(exchange.AsRefusal(err).Code, "key-in-path")
}

// stream returns one byte for each Read and first calls before with the index of that byte.
type stream struct {
	n      int
	before func(n int)
}

func (s *stream) Read(p []byte) (int, error) {
	s.before(s.n)
	s.n++
	if s.n > 10 {
		return 0, io.EOF
	}
	p[0] = 'a'
	return 1, nil
}

func (s *stream) Close() error { return nil }

func TestKeyWithdrawalCutsStreamOnRepeatableRouteOnly(t *testing.T) {
	soon := time.Unix(1000, 0)
	expiring := valid()
	expiring.NotAfter = &soon
	cases := []struct {
		name       string
		repeatable bool
		key        document.Key
		event      func(*documents, *clockwork.FakeClock)
		bytes      int
		cut        bool
	}{
		{"nothing happens", true, valid(), func(*documents, *clockwork.FakeClock) {}, 10, false},
		{"another version with the key", true, valid(), func(d *documents, _ *clockwork.FakeClock) { d.current = parse(t, 2, valid()) }, 10, false},
		{"withdrawn", true, valid(), func(d *documents, _ *clockwork.FakeClock) { d.current = parse(t, 2) }, 5, true},
		{"expired", true, expiring, func(_ *documents, c *clockwork.FakeClock) { c.Advance(time.Hour) }, 5, true},
		{"withdrawn, not repeatable", false, valid(), func(d *documents, _ *clockwork.FakeClock) { d.current = parse(t, 2) }, 10, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &documents{parse(t, 1, c.key)}
			clock := clockwork.NewFakeClockAt(soon.Add(-time.Minute))
			x := exchangeWith(d.current, "", http.Header{"X-Api-Key": {secret}})
			f := New(clock, d, tally.NoopScope)
			is.NoErr(f.Handle(context.Background(), x, func(_ context.Context, x *exchange.Exchange) error {
				x.Route = &document.Route{Repeatable: c.repeatable}
				x.Response = &exchange.Response{Body: &stream{before: func(n int) {
					if n == 5 {
						c.event(d, clock)
					}
				}}}
				return nil
			}))
			body, err := io.ReadAll(x.Response.Body)
			is.Equal(len(body), c.bytes)
			is.Equal(errors.Is(err, ErrKeyWithdrawn), c.cut)
		})
	}
}
