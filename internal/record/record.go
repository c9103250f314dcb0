// Package record defines the records that callers, routers and stand-ins produce during a run, as typed JSON lines. It
// contains only plain types, so that a checker of records does not depend on the code under test.
package record

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Kind selects which field of a Line is set.
type Kind string

// Kinds of records.
const (
	KindCall    Kind = "call"
	KindRun     Kind = "run"
	KindLoad    Kind = "load"
	KindVersion Kind = "version"
	KindDrain   Kind = "closure"
	KindLimit   Kind = "limit"
)

// Outcomes that a response may state.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
	OutcomeRun     = "run"
)

// Line is one record. Exactly the field that Kind names is set.
type Line struct {
	Kind    Kind     `json:"kind"`
	Call    *Call    `json:"call,omitempty"`
	Run     *Run     `json:"run,omitempty"`
	Load    *Load    `json:"load,omitempty"`
	Version *Version `json:"version,omitempty"`
	Drain   *Drain   `json:"closure,omitempty"`
	Limit   *Limit   `json:"limit,omitempty"`
}

// Call is one attempt of a request, recorded by the caller.
type Call struct {
	// ID identifies the request. All attempts of a request have the same ID.
	ID      uint64 `json:"id"`
	Attempt int    `json:"attempt"`
	Team    string `json:"team"`
	Route   string `json:"route"`
	Host    string `json:"host"`
	// Scheduled is when the request was due, Sent when this attempt was sent, FirstByte when the response started (zero
	// if there was none), and Done when the attempt ended.
	Scheduled time.Time `json:"scheduled"`
	Sent      time.Time `json:"sent"`
	FirstByte time.Time `json:"first_byte,omitzero"`
	Done      time.Time `json:"done"`
	// Status is the HTTP status of the response, or 0 if there was none.
	Status         int    `json:"status"`
	Code           string `json:"code,omitempty"`
	Outcome        string `json:"outcome,omitempty"`
	Trace          string `json:"trace,omitempty"`
	Upstream       string `json:"upstream,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Body is the request body on routes that may not be repeated. It identifies the operation in the upstream's
	// records.
	Body string `json:"body,omitempty"`
	// Complete reports whether the response was received in full. ExpectedDigest and ResponseDigest are digests of the
	// response text; ExpectedDigest is empty if any response is correct.
	Complete       bool   `json:"whole"`
	ExpectedDigest string `json:"want,omitempty"`
	ResponseDigest string `json:"got,omitempty"`
	// Admitted reports whether the response shows that the attempt was admitted by the team's rate limit.
	Admitted bool   `json:"admitted"`
	Error    string `json:"error,omitempty"`
}

// Run is one execution of a request, recorded by a service.
type Run struct {
	Upstream       string    `json:"upstream"`
	At             time.Time `json:"at"`
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Path           string    `json:"path"`
	Body           string    `json:"body,omitempty"`
}

// Load is a load sample of the upstreams of a pool.
type Load struct {
	At        time.Time      `json:"at"`
	Pool      string         `json:"pool"`
	Factor    float64        `json:"factor"`
	Upstreams []UpstreamLoad `json:"upstreams"`
}

// UpstreamLoad is the load of one upstream in a sample. Upstreams whose state could not be read are omitted.
type UpstreamLoad struct {
	Name     string `json:"name"`
	InFlight int    `json:"in_flight"`
	// Total is the number of requests that the upstream has accepted since its process started.
	Total uint64 `json:"total"`
	// Draining is set while the document gives the upstream no new requests.
	Draining bool `json:"out,omitempty"`
}

// Version is the document in force on a router at one time.
type Version struct {
	At          time.Time `json:"at"`
	Router      string    `json:"router"`
	Incarnation uint64    `json:"incarnation"`
	Version     uint64    `json:"version"`
	Hash        string    `json:"hash"`
	Ready       bool      `json:"ready"`
}

// Drain is a period in which the upstreams must accept no new requests: from At plus Grace until EndedAt, or until the
// end of the run if EndedAt is zero.
type Drain struct {
	At        time.Time     `json:"at"`
	Grace     time.Duration `json:"grace_ns"`
	EndedAt   time.Time     `json:"reopened,omitzero"`
	Upstreams []string      `json:"upstreams"`
}

// Limit is the rate limit of a team.
type Limit struct {
	Team          string  `json:"team"`
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
}

// Write writes the records to w.
func Write(w io.Writer, lines []Line) error {
	enc := json.NewEncoder(w)
	for i := range lines {
		if err := enc.Encode(&lines[i]); err != nil {
			return errors.Wrapf(err, "write record %d", i+1)
		}
	}
	return nil
}

// Read reads records from r until its end. A record without the field that its kind names is an error.
func Read(r io.Reader) ([]Line, error) {
	dec := json.NewDecoder(bufio.NewReader(r))
	dec.DisallowUnknownFields()
	var lines []Line
	for {
		var l Line
		err := dec.Decode(&l)
		if errors.Is(err, io.EOF) {
			return lines, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "decode record %d", len(lines)+1)
		}
		if !l.complete() {
			return nil, errors.Errorf("record %d: kind %q without the field of that name", len(lines)+1, l.Kind)
		}
		lines = append(lines, l)
	}
}

func (l *Line) complete() bool {
	switch l.Kind {
	case KindCall:
		return l.Call != nil
	case KindRun:
		return l.Run != nil
	case KindLoad:
		return l.Load != nil
	case KindVersion:
		return l.Version != nil
	case KindDrain:
		return l.Drain != nil
	case KindLimit:
		return l.Limit != nil
	default:
		return false
	}
}
