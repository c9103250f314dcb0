package direct

import (
	"net/http"
	"time"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// PromptSegment is one part of a request's prompt. Requests that begin with the same parts share what an engine has read of them.
type PromptSegment struct {
	ID     string
	Tokens int
}

// RequestMetadata is what a caller's request says of itself, decoded once.
type RequestMetadata struct {
	// ID identifies this attempt of the caller; upstreams echo it.
	ID string
	// APIKey is the caller's credential, empty if none came.
	APIKey string
	// CallerTimeout is how long the caller will wait; 0 if unsaid.
	CallerTimeout time.Duration
	// Prompt is the prompt; the last part is the request's or its session's own.
	Prompt []PromptSegment
	// LastEventID is the last event of a stream that the caller has, 0 if it begins.
	LastEventID int64
}

// ForwardMetadata is what an upstream is told beside the caller's own headers.
type ForwardMetadata struct {
	// Upstream is the incarnation that is meant; another one at its address refuses.
	Upstream catalog.UpstreamKey
	// Team is the name of the caller's team, empty on open routes.
	Team string
	// RemainingTime is how long the answer may still take.
	RemainingTime time.Duration
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// LastEventID is the last event of the stream that the caller has; 0 if it begins.
	LastEventID int64
	// Engine is set if the upstream is a model engine.
	Engine bool
	// LikelyCacheHolder is the address of another engine that most likely keeps what is shared of the prompt; empty if none.
	LikelyCacheHolder string
}

// ResponseMetadata is what an upstream's answer says of itself.
type ResponseMetadata struct {
	// ID is that of the request which is answered, empty if unsaid.
	ID string
	// Signed answers carry the upstream's signature.
	Signed bool
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
	// WrongInstance says that another incarnation has the address.
	WrongInstance bool
	// Load is nil if the upstream does not tell it.
	Load *Load
}

// Load is an upstream's load as it told with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Codec translates between the wire and this package's types. Implementations are safe for concurrent use.
type Codec interface {
	// RequestMetadata decodes a caller's request.
	RequestMetadata(r *http.Request) RequestMetadata
	// ForwardHeader returns the headers for the upstream: the caller's without credentials and without those that only the
	// system sets, and what s says.
	ForwardHeader(caller http.Header, s ForwardMetadata) http.Header
	// ResponseMetadata decodes the headers of an upstream's answer.
	ResponseMetadata(status int, header http.Header) ResponseMetadata
}
