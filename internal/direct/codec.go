package direct

import (
	"net/http"
	"time"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/lending"
)

// PromptSegment is one segment of a request's prompt. Requests whose prompts start with the same segments can share an
// engine's prefix cache.
type PromptSegment struct {
	ID     string
	Tokens int
}

// RequestMetadata is the metadata of a caller's request, decoded once.
type RequestMetadata struct {
	// ID identifies the request; a retry by the caller has a new ID. Upstreams echo it.
	ID string
	// APIKey is the caller's credential; empty if none was sent.
	APIKey string
	// CallerTimeout is how long the caller will wait; 0 if not specified.
	CallerTimeout time.Duration
	// Prompt holds the segments of the prompt; the last one is specific to the request or its session.
	Prompt []PromptSegment
	// LastEventID is the last event of a stream that the caller has received; 0 for a new stream.
	LastEventID int64
	// Resumes is the ID of the request that received the first event of the stream that this one continues; empty if not
	// specified.
	Resumes string
}

// ForwardMetadata is what the router sends to an upstream in addition to the caller's own headers.
type ForwardMetadata struct {
	// Upstream is the intended incarnation; another one at the same address refuses the request.
	Upstream catalog.UpstreamKey
	// Team is the name of the caller's team; empty on open routes.
	Team string
	// RemainingTime is how long the response may still take.
	RemainingTime time.Duration
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// LastEventID is the last event of the stream that the caller has received; 0 for a new stream.
	LastEventID int64
	// Engine is set if the upstream is a model engine.
	Engine bool
	// LikelyCacheHolder is the address of another engine that is likely to have the shared prompt prefix cached; empty
	// if none.
	LikelyCacheHolder string
}

// ResponseMetadata is the metadata of an upstream's response.
type ResponseMetadata struct {
	// ID identifies the request that the response belongs to; empty if not specified.
	ID string
	// Signed is set if the response carries the upstream's signature.
	Signed bool
	// NotRun is set if the response states that the upstream did not execute the request and never will.
	NotRun bool
	// WrongInstance is set if the response says that another incarnation has the address.
	WrongInstance bool
	// Load is nil if the upstream does not report it.
	Load *Load
	// RequestLimit is the number of requests per second that the upstream accepts from all hosts together; nil if it names
	// no limit.
	RequestLimit *float64
	// Brittle is the number of requests that the upstream may reject in a second without falling over; nil if it names none.
	Brittle *int
	// Leaving is set if the upstream is leaving and accepts no new requests.
	Leaving bool
	// RetryAfter is how long the upstream, which turned the request away, wants nothing more from this host; 0 if not
	// specified.
	RetryAfter time.Duration
}

// Load is an upstream's load as reported with a response.
type Load struct {
	Running, Waiting, Slots int
}

// HostCount tells among how many hosts a limit is divided.
type HostCount interface {
	ShareCount() int
}

// Hosts are the other hosts of the fleet.
type Hosts interface {
	HostCount
	lending.Peers
}

// Codec translates between the wire format and this package's types. Implementations are safe for concurrent use.
type Codec interface {
	// DecodeRequest decodes the metadata of a caller's request.
	DecodeRequest(r *http.Request) RequestMetadata
	// IsEndToEnd reports whether the platform defines the header, in canonical form, for all recipients of a message. A
	// Connection header that names it does not make it hop-by-hop.
	IsEndToEnd(name string) bool
	// ForwardHeader returns the headers for the upstream: the caller's, which contain no hop-by-hop headers, without
	// credentials and without those that only the router sets, with the metadata added.
	ForwardHeader(caller http.Header, meta ForwardMetadata) http.Header
	// DecodeResponse decodes the metadata of an upstream's response.
	DecodeResponse(status int, header http.Header) ResponseMetadata
}
