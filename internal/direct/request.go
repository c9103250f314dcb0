// Package direct serves callers by sending each request from the host that accepted it straight to an upstream.
//
// A request flows through the filters that chain.go lists.
package direct

import (
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/chain"
	"github.com/orioleusher/orioleusher/internal/events"
)

// Request is one attempt of a caller with everything that the filters learn about it.
type Request struct {
	RequestMetadata
	// HTTP is the caller's request; its body has been read into Body.
	HTTP *http.Request
	Body []byte
	// Start is when the request's headers were read.
	Start time.Time
	// Deadline is when the final answer is due.
	Deadline time.Time

	Route   *catalog.Route
	Team    *catalog.Team
	Service string
	// fingerprint identifies the request's content.
	fingerprint uint64

	// tried are the upstreams to which the request was sent.
	tried []catalog.UpstreamKey
	// shedBy are those of them that refused it; they are not asked again.
	shedBy []catalog.UpstreamKey
	// sends counts the requests that reached, or may have reached, an upstream; runs those that ran or may have run.
	sends, runs int
	// trail is what was decided and what came of it, for the log.
	trail []step
	// unknown is set when it is not known whether an earlier send ran.
	unknown bool

	out answer
}

// answer is what the caller has got so far.
type answer struct {
	w     http.ResponseWriter
	clock clockwork.Clock
	start time.Time
	// begun is set once the status was sent, first after how long.
	begun  bool
	first  time.Duration
	status int
	// lost is set once the caller did not take what it was sent.
	lost bool
	// stream follows the events of a stream that may go on at another upstream.
	stream events.Scanner
	// kept is a whole answer of an upstream that failed, sent if nothing better comes.
	kept *whole
}

// whole is a complete answer.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// Next runs the rest of the chain.
type Next = chain.Next[*Request]

// Filter is one step of it.
type Filter = chain.Filter[*Request]

// team returns the team's name, empty on open routes.
func (x *Request) team() string {
	if x.Team == nil {
		return ""
	}
	return x.Team.Name
}

// priority returns the rank of the request: its team's if that has one.
func (x *Request) priority() int {
	if x.Team != nil && x.Team.HasPriority {
		return x.Team.Priority
	}
	return x.Route.Priority
}

// lastEvent returns the last event of a stream that the caller has.
func (x *Request) lastEvent() int64 { return max(x.LastEventID, x.out.stream.LastID) }

// lastTried returns the ID of the upstream that got the request last, empty if none did.
func (x *Request) lastTried() string {
	if len(x.tried) == 0 {
		return ""
	}
	return x.tried[len(x.tried)-1].ID
}
