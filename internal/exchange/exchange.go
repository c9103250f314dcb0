// Package exchange defines the request that flows through the filters.
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

// Exchange is one request with everything that the filters learn about it.
type Exchange struct {
	// TraceID identifies the request in logs, on the hop and at the upstream.
	TraceID string
	// Start is when the entry host accepted the request.
	Start time.Time
	// Deadline is when the caller no longer wants the answer.
	Deadline time.Time
	// Method, Path and Header are the caller's; credentials are removed from Header and RawQuery by identify.
	Method   string
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte

	// Snapshot is the configuration that was in force when the request was accepted.
	Snapshot *document.Snapshot
	Route    *document.Route
	// Team is nil on open routes.
	Team *document.Team
	// KeyHash identifies the caller's key for later checks that it is still valid.
	KeyID string
	// ChatID groups the requests of one returning chat.
	ChatID string
	// IdempotencyKey is the issued key that came with the request, or empty.
	IdempotencyKey string
	// Fingerprint identifies the request's content for the poison quarantine.
	Fingerprint uint64

	// CrashSuspect is set when an upstream died while this request ran on it.
	CrashSuspect bool
	// FailedUpstreams names upstreams that failed this request; they are tried last.
	FailedUpstreams []string

	// Attempts bounds the attempts at upstreams over all hosts.
	Attempts *AttemptBudget

	// Candidates are upstream names in the order of preference, set by route.
	Candidates []string
	// MaxWait is how long the upstream's owner may let the request wait for a place instead of refusing it.
	MaxWait time.Duration
	// Response is the upstream's answer, set by dispatch.
	Response *Response
}

// Response is an upstream's answer on its way to the caller. The reader of Body must close it.
type Response struct {
	Status int
	Header http.Header
	// Body streams the answer. Read returns io.EOF only after the whole answer has been read.
	Body     io.ReadCloser
	Upstream string
	// Earlier is set when the answer was kept from an earlier attempt with the same idempotency key.
	Earlier outcome.Earlier
}

// Next runs the rest of a chain of filters.
type Next = chain.Next[*Exchange]

// Filter is one step of it.
type Filter = chain.Filter[*Exchange]

// TeamName returns the team's name, or "open" on routes that are open to all.
func (x *Exchange) TeamName() string {
	if x.Team == nil {
		return "open"
	}
	return x.Team.Name
}

// AsRefusal returns err as a refusal; any other error becomes a 500 whose outcome is unknown.
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
