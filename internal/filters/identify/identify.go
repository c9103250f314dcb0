// Package identify authenticates a request: it finds the team that owns the request's API key and removes the key from
// the request.
//
// The key is read from Authorization (any scheme, or none), X-Api-Key, the query or a cookie. Headers that carry
// credentials for other systems are removed too, as is every header, query parameter and cookie that contains the key's
// text. Each request looks the key up in the current document, so a withdrawn key also stops working on connections
// that are already open. A streamed response is cut off at its next byte after its key is withdrawn, but only on
// repeatable routes: on any other route the request has been executed, and the caller needs the response to learn its
// result.
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

// Name is the step that this filter's refusals carry.
const Name = "identify"

// Headers, query parameter and cookie that may carry the key.
const (
	headerAuthorization = "Authorization"
	headerAPIKey        = "X-Api-Key"
	headerCookie        = "Cookie"
	queryAPIKey         = "api_key"
	cookieAPIKey        = "api_key"
)

// Refusal codes of this filter.
const (
	codeSeveralKeys = "several-keys"
	codeBadKey      = "bad-key"
	codeKeyInPath   = "key-in-path"
)

const (
	// maxCredentialBytes bounds the credentials that are looked up.
	maxCredentialBytes = 1024
	// minCopySearchBytes is the length of the shortest key whose text is searched for in other fields.
	minCopySearchBytes = 8
)

// strippedHeaders are the headers that carry credentials; none of them is forwarded to an upstream.
var strippedHeaders = []string{
	headerAuthorization, headerAPIKey, "Proxy-Authorization", "Api-Key", "X-Auth-Token", "X-Access-Token", "X-Amz-Security-Token",
}

// DocumentSource provides the current document.
type DocumentSource interface {
	Current() *document.Snapshot
}

// Filter is the identify step.
type Filter struct {
	clock      clockwork.Clock
	documents  DocumentSource
	refused    tally.Counter
	streamsCut tally.Counter
}

// New returns the filter.
func New(clock clockwork.Clock, documents DocumentSource, scope tally.Scope) *Filter {
	return &Filter{
		clock: clock, documents: documents,
		refused: scope.Counter("identify_refused"), streamsCut: scope.Counter("identify_streams_cut"),
	}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle sets the exchange's team. A request without a key is passed on without a team; the authorise filter then
// decides whether its route is open.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	if x.Attempts == nil {
		x.Attempts = exchange.NewAttemptBudget(exchange.MaxAttempts)
	}
	found := extractCredentials(x)
	switch {
	case found.count == 0:
		return next(ctx, x)
	case found.count > 1:
		return f.refuse(http.StatusBadRequest, codeSeveralKeys, "the request carries more than one key")
	case len(found.first) > maxCredentialBytes:
		return f.refuse(http.StatusUnauthorized, codeBadKey, "the key is unknown, withdrawn or expired")
	}
	teamKey, ok := x.Snapshot.LookupKey([]byte(found.first))
	if !ok || teamKey.Key.Expired(f.clock.Now()) {
		return f.refuse(http.StatusUnauthorized, codeBadKey, "the key is unknown, withdrawn or expired")
	}
	if !removeCopies(x, found.first) {
		return f.refuse(http.StatusBadRequest, codeKeyInPath, "the request's path holds its key")
	}
	x.Team, x.KeyID = teamKey.Team, teamKey.Key.ID
	if err := next(ctx, x); err != nil {
		return err
	}
	if x.Route != nil && x.Route.Repeatable {
		x.Response.Body = &keyCheckedBody{ReadCloser: x.Response.Body, filter: f, secret: found.first, snapshot: x.Snapshot, key: teamKey.Key}
	}
	return nil
}

func (f *Filter) refuse(status int, code, message string) error {
	f.refused.Inc(1)
	return outcome.Refuse(Name, status, code, message)
}

// credentials counts the credentials of one request and holds the first one.
type credentials struct {
	first string
	count int
}

func (s *credentials) record(secret string) {
	if s.count == 0 {
		s.first = secret
	}
	s.count++
}

// extractCredentials removes all credentials from the exchange and returns the ones that may be a key.
func extractCredentials(x *exchange.Exchange) credentials {
	var s credentials
	for _, value := range x.Header[headerAuthorization] {
		s.record(stripScheme(value))
	}
	for _, value := range x.Header[headerAPIKey] {
		s.record(value)
	}
	for _, name := range strippedHeaders {
		delete(x.Header, name)
	}
	extractFromQuery(x, &s)
	extractFromCookies(x, &s)
	return s
}

// stripScheme returns an Authorization value without its scheme. A value without a scheme is returned whole.
func stripScheme(value string) string {
	value = strings.TrimSpace(value)
	if i := strings.IndexAny(value, " \t"); i >= 0 {
		return strings.TrimSpace(value[i+1:])
	}
	return value
}

func extractFromQuery(x *exchange.Exchange, s *credentials) {
	if x.RawQuery == "" {
		return
	}
	query, err := url.ParseQuery(x.RawQuery)
	if err != nil {
		// A query that does not parse cannot be searched for a key, so it is dropped whole.
		x.RawQuery = ""
		return
	}
	found := false
	for name, values := range query {
		if !strings.EqualFold(name, queryAPIKey) {
			continue
		}
		for _, v := range values {
			s.record(v)
		}
		delete(query, name)
		found = true
	}
	if found {
		x.RawQuery = query.Encode()
	}
}

func extractFromCookies(x *exchange.Exchange, s *credentials) {
	if len(x.Header[headerCookie]) == 0 {
		return
	}
	cookies := (&http.Request{Header: x.Header}).Cookies()
	delete(x.Header, headerCookie)
	var kept []string
	for _, c := range cookies {
		if strings.EqualFold(c.Name, cookieAPIKey) {
			s.record(c.Value)
			continue
		}
		kept = append(kept, c.Name+"="+c.Value)
	}
	if len(kept) > 0 {
		x.Header.Set(headerCookie, strings.Join(kept, "; "))
	}
}

// removeCopies removes every header and query parameter that contains the secret. It returns false if the path contains
// it.
func removeCopies(x *exchange.Exchange, secret string) bool {
	if len(secret) < minCopySearchBytes {
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
		removeQueryCopies(x, secret)
	}
	return !strings.Contains(x.Path, secret)
}

func removeQueryCopies(x *exchange.Exchange, secret string) {
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
