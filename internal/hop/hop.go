// Package hop forwards a request from one router to another, either to the owner of an upstream or to the issuer of an
// idempotency key. Each forward is called a hop. Twirp calls cannot stream a response, so a hop is a plain HTTP request
// to the peer address, with a protobuf envelope in its header.
package hop

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/rpc/hoppb"
)

// Path is the URL path on which each router receives hops at its peer address.
const Path = "/hop"

// Headers of the hop.
const (
	headerEnvelope = "Oriole-Hop-Envelope"
	// headerRefusal marks a response that is a refusal by the receiving router, not an upstream's response.
	headerRefusal = "Oriole-Hop-Refusal"
)

// step is the step that this package's refusals carry.
const step = "hop"

// Destination states the host that an exchange is forwarded to, and the role in which that host handles it.
type Destination struct {
	Role     hoppb.Role
	Host     document.EntryHost
	Upstream string
	// MaxWait is how long the request may queue for the upstream.
	MaxWait time.Duration
}

func encodeEnvelope(e *hoppb.Envelope) (string, error) {
	raw, err := proto.Marshal(e)
	if err != nil {
		return "", errors.Wrap(err, "encode hop envelope")
	}
	return base64.StdEncoding.EncodeToString(raw), nil
}

// DecodeEnvelope decodes the envelope of a received hop.
func DecodeEnvelope(text string) (*hoppb.Envelope, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, errors.Wrap(err, "decode hop envelope")
	}
	var e hoppb.Envelope
	if err := proto.Unmarshal(raw, &e); err != nil {
		return nil, errors.Wrap(err, "decode hop envelope")
	}
	return &e, nil
}

// envelope returns the envelope that describes the exchange to the receiver.
func envelope(x *exchange.Exchange, d Destination, sender string, incarnation uint64, now time.Time) *hoppb.Envelope {
	return &hoppb.Envelope{
		Role: d.Role, Sender: sender, SenderIncarnation: incarnation, DocumentVersion: x.Snapshot.Version,
		Trace: x.TraceID, Method: x.Method, Path: x.Path, RawQuery: x.RawQuery, Route: x.Route.Name,
		Team: teamOf(x), KeyId: x.KeyID, ChatId: x.ChatID, IdempotencyKey: x.IdempotencyKey,
		Fingerprint: x.Fingerprint, Upstream: d.Upstream, MaxWaitMs: uint32(d.MaxWait.Milliseconds()), TimeoutMs: x.Deadline.Sub(now).Milliseconds(),
		Suspect: x.CrashSuspect, Attempts: uint32(x.Attempts.Remaining()),
	}
}

func teamOf(x *exchange.Exchange) string {
	if x.Team == nil {
		return ""
	}
	return x.Team.Name
}

// writeRefusal sends a refusal to the sender of the hop.
func writeRefusal(w http.ResponseWriter, r *outcome.Refusal) {
	w.Header().Set(headerRefusal, "1")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.Status)
	// The sender treats a body that it cannot decode as an unknown outcome.
	_ = json.NewEncoder(w).Encode(r)
}
