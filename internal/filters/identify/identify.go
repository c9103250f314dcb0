// Package identify finds the team whose key came with a request and removes every form of the key from it.
//
// A key comes as a credential in Authorization (any scheme, or none), in X-Api-Key, in the query or in a cookie. The
// headers of other systems' credentials are removed as well, and so is every header, query parameter and cookie that
// holds the key's text. The key is looked up for each request in the document in force, so that a withdrawn key stops
// on old connections, too. An answer that is being streamed when its key is withdrawn is cut off at its next byte,
// unless its route may not be repeated: such a request has run, and its answer is what the caller must know.
package identify

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// Name is the filter's step.
const Name = "identify"

// The places where a key may come.
const (
	headerAuthorization = "Authorization"
	headerAPIKey        = "X-Api-Key"
	headerCookie        = "Cookie"
	queryAPIKey         = "api_key"
	cookieAPIKey        = "api_key"
)

// Codes of this filter's refusals.
const (
	codeSeveral = "several-keys"
	codeBad     = "bad-key"
	codeInPath  = "key-in-path"
)

const (
	// maxSecretBytes is the longest credential that is looked up.
	maxSecretBytes = 1024
	// minScrubBytes is the shortest key whose text is looked for in other fields.
	minScrubBytes = 8
)

// strippedHeaders carry credentials under other names and never reach an upstream.
var strippedHeaders = []string{
	headerAuthorization, headerAPIKey, "Proxy-Authorization", "Api-Key", "X-Auth-Token", "X-Access-Token", "X-Amz-Security-Token",
}

// DocumentSource holds the document in force.
type DocumentSource interface {
	Current() *document.Snapshot
}

// Filter is the identify step.
type Filter struct {
	clock     clockwork.Clock
	documents DocumentSource
	refused   tally.Counter
	cut       tally.Counter
}

// New returns the filter.
func New(clock clockwork.Clock, documents DocumentSource, scope tally.Scope) *Filter {
	return &Filter{
		clock: clock, documents: documents,
		refused: scope.Counter("identify_refused"), cut: scope.Counter("identify_streams_cut"),
	}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle sets the exchange's team. A request without a key goes on without a team; authorise decides whether its route
// is open.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	if x.Attempts == nil {
		x.Attempts = exchange.NewAttemptBudget(exchange.MaxAttempts)
	}
	s := takeSecrets(x)
	switch {
	case s.count == 0:
		return next(ctx, x)
	case s.count > 1:
		return f.refuse(http.StatusBadRequest, codeSeveral, "the request carries more than one key")
	case len(s.first) > maxSecretBytes:
		return f.refuse(http.StatusUnauthorized, codeBad, "the key is unknown, withdrawn or expired")
	}
	tk, ok := x.Snapshot.LookupKey([]byte(s.first))
	if !ok || tk.Key.Expired(f.clock.Now()) {
		return f.refuse(http.StatusUnauthorized, codeBad, "the key is unknown, withdrawn or expired")
	}
	if !scrub(x, s.first) {
		return f.refuse(http.StatusBadRequest, codeInPath, "the request's path holds its key")
	}
	x.Team, x.KeyID = tk.Team, tk.Key.ID
	if err := next(ctx, x); err != nil {
		return err
	}
	if x.Route != nil && x.Route.Repeatable {
		x.Response.Body = &watchedBody{ReadCloser: x.Response.Body, filter: f, secret: s.first, seen: x.Snapshot, key: tk.Key}
	}
	return nil
}

func (f *Filter) refuse(status int, code, message string) error {
	f.refused.Inc(1)
	return outcome.Refuse(Name, status, code, message)
}

// secrets are the credentials of one request.
type secrets struct {
	first string
	count int
}

func (s *secrets) add(secret string) {
	if s.count == 0 {
		s.first = secret
	}
	s.count++
}

// takeSecrets removes every form of a key from the exchange and returns what it found.
func takeSecrets(x *exchange.Exchange) secrets {
	var s secrets
	for _, value := range x.Header[headerAuthorization] {
		s.add(credential(value))
	}
	for _, value := range x.Header[headerAPIKey] {
		s.add(value)
	}
	for _, name := range strippedHeaders {
		delete(x.Header, name)
	}
	takeQuery(x, &s)
	takeCookie(x, &s)
	return s
}

// credential returns the part of an Authorization value after its scheme. A value without a scheme is the credential.
func credential(value string) string {
	value = strings.TrimSpace(value)
	if i := strings.IndexAny(value, " \t"); i >= 0 {
		return strings.TrimSpace(value[i+1:])
	}
	return value
}

func takeQuery(x *exchange.Exchange, s *secrets) {
	if x.RawQuery == "" {
		return
	}
	query, err := url.ParseQuery(x.RawQuery)
	if err != nil {
		// A query that cannot be parsed cannot be searched for a key, so none of it goes to the upstream.
		x.RawQuery = ""
		return
	}
	found := false
	for name, values := range query {
		if !strings.EqualFold(name, queryAPIKey) {
			continue
		}
		for _, v := range values {
			s.add(v)
		}
		delete(query, name)
		found = true
	}
	if found {
		x.RawQuery = query.Encode()
	}
}

func takeCookie(x *exchange.Exchange, s *secrets) {
	if len(x.Header[headerCookie]) == 0 {
		return
	}
	cookies := (&http.Request{Header: x.Header}).Cookies()
	delete(x.Header, headerCookie)
	var kept []string
	for _, c := range cookies {
		if strings.EqualFold(c.Name, cookieAPIKey) {
			s.add(c.Value)
			continue
		}
		kept = append(kept, c.Name+"="+c.Value)
	}
	if len(kept) > 0 {
		x.Header.Set(headerCookie, strings.Join(kept, "; "))
	}
}

// scrub removes every header and query parameter that holds the secret's text. It returns false if the path holds it.
func scrub(x *exchange.Exchange, secret string) bool {
	if len(secret) < minScrubBytes {
		return true
	}
	for name, values := range x.Header {
		for _, v := range values {
			if strings.Contains(v, secret) || strings.Contains(name, secret) {
				delete(x.Header, name)
				break
			}
		}
	}
	if x.RawQuery != "" {
		scrubQuery(x, secret)
	}
	return !strings.Contains(x.Path, secret)
}

func scrubQuery(x *exchange.Exchange, secret string) {
	query, err := url.ParseQuery(x.RawQuery)
	if err != nil {
		x.RawQuery = ""
		return
	}
	found := false
	for name, values := range query {
		for _, v := range values {
			if strings.Contains(v, secret) || strings.Contains(name, secret) {
				delete(query, name)
				found = true
				break
			}
		}
	}
	if found {
		x.RawQuery = query.Encode()
	}
}
