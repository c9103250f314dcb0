// Package exchange defines the request and response that pass through the filter chain.
package exchange

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/chain"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// Exchange is one request with the data that the filters add to it.
type Exchange struct {
	// TraceID identifies the request in logs, in calls between hosts and at the upstream.
	TraceID string
	// Start is when the entry host accepted the request.
	Start time.Time
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time
	// Method, Path, RawQuery and Header are the caller's. The identify filter removes credentials from Header and
	// RawQuery.
	Method   string
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte

	// Snapshot is the document that was in force when the request was accepted. The awake filter replaces it with the
	// current one.
	Snapshot *document.Snapshot
	Route    *document.Route
	// Team is nil if the request carries no key, which only open routes allow.
	Team *document.Team
	// KeyID identifies the caller's key for later checks that it is still valid.
	KeyID string
	// ChatID groups the requests of one returning chat.
	ChatID string
	// IdempotencyKey is the issued key sent with the request, or empty.
	IdempotencyKey string
	// Fingerprint identifies the request's content for the quarantine of requests that crash upstreams.
	Fingerprint uint64

	// CrashSuspect is set when an upstream crashed while it ran this request.
	CrashSuspect bool
	// FailedUpstreams names the upstreams that failed this request; they are tried last.
	FailedUpstreams []string

	// Attempts bounds the attempts at upstreams over all hosts.
	Attempts *AttemptBudget

	// Candidates lists upstream names in order of preference, as set by the route filter.
	Candidates []string
	// MaxWait is how long the upstream's owner may queue the request for a slot before refusing it.
	MaxWait time.Duration
	// Response is the upstream's response, set by the dispatch filter.
	Response *Response
}

// Response is an upstream's response to be returned to the caller. Its consumer must close Body.
type Response struct {
	Status int
	Header http.Header
	// Body streams the response. Read returns io.EOF only after the whole response has been read.
	Body     io.ReadCloser
	Upstream string
	// Earlier is set when the response was stored by an earlier attempt with the same idempotency key.
	Earlier outcome.Earlier
}

// Next runs the rest of a filter chain.
type Next = chain.Next[*Exchange]

// Filter is one step of a filter chain.
type Filter = chain.Filter[*Exchange]

// TeamName returns the team's name, or "open" for a request without a team.
func (x *Exchange) TeamName() string {
	if x.Team == nil {
		return "open"
	}
	return x.Team.Name
}

// AsRefusal returns err as a refusal. An error of another type becomes a refusal with status 500 and an unknown
// outcome.
func AsRefusal(err error) *outcome.Refusal {
	var r *outcome.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &outcome.Refusal{
		Status: http.StatusInternalServerError, Code: "internal", Message: "internal error",
		Step: "chain", Outcome: outcome.Unknown, Cause: err,
	}
}

// BodyFromBytes returns a body that reads from b.
func BodyFromBytes(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }
