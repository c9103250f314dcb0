// Package direct serves callers by sending each request from the host that accepted it directly to an upstream.
//
// A request passes through the filters listed in chain.go.
package direct

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/chain"
	"github.com/orioleusher/orioleusher/internal/events"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/origin"
	"github.com/orioleusher/orioleusher/internal/promptblame"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

// Request is one request of a caller, with the state that the filters attach to it. A retry by the caller is a new
// Request.
type Request struct {
	RequestMetadata
	// HTTP is the caller's request; its body has been read into Body.
	HTTP *http.Request
	Body []byte
	// receiving is set once the body is being read.
	receiving bool
	// bodyLate is set if the reading of the body was interrupted, by the deadline, the end of a stop or an ambiguous part.
	// net/http may then cancel the request's context although the caller still waits.
	bodyLate bool
	// Start is when the request's headers were read.
	Start time.Time
	// receivedAt is when the body had been read.
	receivedAt time.Time
	// Deadline is when the final response is due.
	Deadline time.Time
	// callersDeadline is set if the deadline is the caller's, and not the end of the route's timeout.
	callersDeadline bool

	Route   *catalog.Route
	Team    *catalog.Team
	Service string
	// fingerprint identifies the request's content.
	fingerprint uint64
	// hashes are computed once by segmentHashes.
	hashes []uint64

	// tried holds the upstreams that were tried, including those to which no connection could be made.
	tried []catalog.UpstreamKey
	// rejectedBy holds those of them that reported that they did not execute the request; they are not tried again.
	rejectedBy []catalog.UpstreamKey
	// unreached holds the data centres to which a connection timed out.
	unreached []string
	// sends counts the sends that reached, or may have reached, an upstream; runs counts those that were or may have
	// been executed.
	sends, runs int
	// next is the upstream that is reserved for the next send, with a retry of the budget; nil if none is.
	next *balance.Choice
	// borrowed is an upstream that may receive the request within another host's share, once a connection to it is proven; nil if
	// there is none.
	borrowed *balance.Choice
	// attempts holds the upstream selections and their results, for the log.
	attempts []attemptRecord
	// reserved is the number of bytes reserved for the bodies of responses.
	reserved int64
	// origin is the service and version of the upstream that began the stream; nil before its first byte.
	origin *origin.Origin
	// process is that to which the request was last sent. provisional is set while it is not proven that origin is that of the
	// upstream that began the stream.
	process     servingProcess
	provisional *provisionalOrigin
	// peer is the address of the host through which the present attempt goes; empty if it goes directly to the upstream.
	peer string
	// needsUnusedConn is set if the present attempt may not go on a connection of the peer that has carried a request.
	needsUnusedConn bool
	// conns holds all connections on which the request was sent. None carries it twice: upstreams that follow one another at an address
	// have different keys, and a late copy of the response to one send would be taken for that to the next.
	conns []*upconn.Conn
	// unprovenUntil holds the upstreams of the stream's version whose incarnation is not proven, with the times at which they are
	// checked again; provenUntil is when the request no longer waits for that.
	unprovenUntil map[catalog.UpstreamKey]time.Time
	provenUntil   time.Time
	// passed is the stage to which an upstream's answer to the prompt has come without a crash.
	passed promptblame.Stage
	// outcomeUnknown is set if an earlier send may have been executed.
	outcomeUnknown bool

	response callerResponse
}

// callerResponse is the response to the caller, with what has been sent of it so far.
type callerResponse struct {
	writer http.ResponseWriter
	clock  clockwork.Clock
	start  time.Time
	// isEndToEnd is the Codec's.
	isEndToEnd func(name string) bool
	// stopping reports whether a planned stop has begun.
	stopping func() bool
	// writeDeadline is the write deadline of the connection; zero until it has been set for this request.
	writeDeadline time.Time
	// headerSent is set once the status has been sent; firstByteAfter is the time from the request's start to then.
	headerSent     bool
	firstByteAfter time.Duration
	status         int
	// bytes counts the body bytes that were written to the caller.
	bytes int64
	// writtenAt is when the latest event was written.
	writtenAt time.Time
	// mediaType is that of the response that was begun.
	mediaType string
	// callerGone is set once a write to the caller has failed.
	callerGone bool
	// unresumable is set once part of a response has been relayed that cannot be continued by another one.
	unresumable bool
	// stream tracks the events of a stream that may be resumed at another upstream.
	stream events.Scanner
	// fallback is a complete failure response of an upstream, sent if no later attempt succeeds.
	fallback *bufferedResponse
}

// begun reports whether an upstream has begun to answer: the caller has received an event of a stream, or part of a
// response that is relayed as it arrives.
func (c *callerResponse) begun() bool { return c.stream.DataEvents > 0 || c.unresumable }

// lastSentAt returns when the caller was last sent something, or else the request's start.
func (c *callerResponse) lastSentAt() time.Time {
	if c.writtenAt.IsZero() {
		return c.start
	}
	return c.writtenAt
}

// bufferedResponse is a complete response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// Next runs the rest of the chain.
type Next = chain.Next[*Request]

// Filter is one step of the chain.
type Filter = chain.Filter[*Request]

// team returns the team's name; empty on open routes.
func (req *Request) team() string {
	if req.Team == nil {
		return ""
	}
	return req.Team.Name
}

// priority returns the priority of the request: its team's if the team has one, else the route's.
func (req *Request) priority() int {
	if req.Team != nil && req.Team.HasPriority {
		return req.Team.Priority
	}
	return req.Route.Priority
}

// timeLeft returns how long the caller still waits, or 0 if that is not known. The deadline is known only with the route.
func (req *Request) timeLeft(now time.Time) time.Duration {
	deadline := req.Deadline
	if deadline.IsZero() && req.CallerTimeout > 0 {
		deadline = req.Start.Add(req.CallerTimeout)
	}
	if deadline.IsZero() {
		return 0
	}
	return max(0, deadline.Sub(now))
}

// sharedSegments returns the segments of the prompt that other requests may share: all but the last one.
func (req *Request) sharedSegments() []PromptSegment { return req.Prompt[:max(0, len(req.Prompt)-1)] }

// segmentHashes returns the hashes of the shared segments.
func (req *Request) segmentHashes() []uint64 {
	if req.hashes == nil {
		for _, segment := range req.sharedSegments() {
			req.hashes = append(req.hashes, loadbalancer.HashKey(segment.ID))
		}
	}
	return req.hashes
}

// maxLoggedSegments limits the segments in one log line.
const maxLoggedSegments = 8

// formatSegments returns the IDs of the first shared segments, for the log.
func (req *Request) formatSegments() string {
	shared := req.sharedSegments()
	var ids []string
	for _, segment := range shared[:min(len(shared), maxLoggedSegments)] {
		ids = append(ids, segment.ID)
	}
	return strings.Join(ids, ",")
}

// continuesStream reports whether the caller has received a part of the stream from an earlier request.
func (req *Request) continuesStream() bool { return req.Resumes != "" || req.LastEventID > 0 }

// streamID identifies the stream to which the request belongs.
func (req *Request) streamID() origin.StreamID { return origin.HashRequestID(req.firstID()) }

// firstID returns the ID of the request that began the stream.
func (req *Request) firstID() string { return cmp.Or(req.Resumes, req.ID) }

// version returns the software version to which the request is bound; nil if it is not bound.
func (req *Request) version() *string {
	if req.origin == nil {
		return nil
	}
	return &req.origin.Version
}

// accepts reports whether the upstream has the service of the request, and the software version to which it is bound.
func (req *Request) accepts(u *catalog.Upstream) bool {
	return u.Service == req.Service && (req.origin == nil || u.Version == req.origin.Version)
}

// lastEventID returns the last event of a stream that the caller has received.
func (req *Request) lastEventID() int64 { return max(req.LastEventID, req.response.stream.LastID) }

// triedAddress reports whether an upstream at the address was tried. Upstreams that follow one another at an address, or that start
// again under their ID, have different keys.
func (req *Request) triedAddress(address string) bool {
	return slices.ContainsFunc(req.tried, func(key catalog.UpstreamKey) bool { return key.Address == address })
}

// lastTriedID returns the ID of the upstream that was tried last; empty if none was.
func (req *Request) lastTriedID() string {
	if len(req.tried) == 0 {
		return ""
	}
	return req.tried[len(req.tried)-1].ID
}
