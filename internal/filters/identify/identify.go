// Package identify finds the team whose key came with a request and removes every form of the key from it.
package identify

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// Name is the filter's step.
const Name = "identify"

// The places where a key may come.
const (
	headerAuthorization = "Authorization"
	headerAPIKey        = "X-Api-Key"
	queryAPIKey         = "api_key"
	cookieAPIKey        = "api_key"
	bearerPrefix        = "Bearer "
)

// Filter is the identify step.
type Filter struct {
	clock   clockwork.Clock
	refused tally.Counter
}

// New returns the filter.
func New(clock clockwork.Clock, scope tally.Scope) *Filter {
	return &Filter{clock: clock, refused: scope.Counter("identify_refused")}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle sets the exchange's team. A request without a known, valid key goes on without a team; authorise decides
// whether its route is open.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	secrets := takeSecrets(x)
	if len(secrets) > 1 {
		f.refused.Inc(1)
		return outcome.Refuse(Name, http.StatusBadRequest, "several-keys", "the request carries more than one key")
	}
	if len(secrets) == 1 {
		tk, ok := x.Snapshot.LookupKey([]byte(secrets[0]))
		if !ok || tk.Key.Expired(f.clock.Now()) {
			f.refused.Inc(1)
			return outcome.Refuse(Name, http.StatusUnauthorized, "bad-key", "the key is unknown, withdrawn or expired")
		}
		x.Team, x.KeyID = tk.Team, tk.Key.ID
	}
	return next(ctx, x)
}

// takeSecrets removes every form of a key from the exchange and returns what it found.
func takeSecrets(x *exchange.Exchange) []string {
	var secrets []string
	for _, value := range x.Header.Values(headerAuthorization) {
		secrets = append(secrets, strings.TrimPrefix(value, bearerPrefix))
	}
	secrets = append(secrets, x.Header.Values(headerAPIKey)...)
	x.Header.Del(headerAuthorization)
	x.Header.Del("Proxy-Authorization")
	x.Header.Del(headerAPIKey)
	secrets = append(secrets, takeQuery(x)...)
	return append(secrets, takeCookie(x)...)
}

func takeQuery(x *exchange.Exchange) []string {
	if x.RawQuery == "" {
		return nil
	}
	query, err := url.ParseQuery(x.RawQuery)
	if err != nil {
		// A query that cannot be parsed cannot be searched for a key, so none of it goes to the upstream.
		x.RawQuery = ""
		return nil
	}
	secrets := query[queryAPIKey]
	query.Del(queryAPIKey)
	x.RawQuery = query.Encode()
	return secrets
}

func takeCookie(x *exchange.Exchange) []string {
	cookies := (&http.Request{Header: x.Header}).Cookies()
	x.Header.Del("Cookie")
	var secrets, kept []string
	for _, c := range cookies {
		if c.Name == cookieAPIKey {
			secrets = append(secrets, c.Value)
			continue
		}
		kept = append(kept, c.Name+"="+c.Value)
	}
	if len(kept) > 0 {
		x.Header.Set("Cookie", strings.Join(kept, "; "))
	}
	return secrets
}
