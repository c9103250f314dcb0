// Package record defines what callers, routers and stand-ins of one run wrote down, as typed JSON lines. It holds plain
// types only, so that a checker that reads them depends on none of the code under test.
package record

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Kind says which part of a Line is set.
type Kind string

// The kinds of line.
const (
	KindCall    Kind = "call"
	KindRun     Kind = "run"
	KindLoad    Kind = "load"
	KindVersion Kind = "version"
	KindClosure Kind = "closure"
	KindLimit   Kind = "limit"
)

// Outcomes that an answer may state.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
	OutcomeRun     = "run"
)

// Line is one record; exactly the field that Kind names is set.
type Line struct {
	Kind    Kind     `json:"kind"`
	Call    *Call    `json:"call,omitempty"`
	Run     *Run     `json:"run,omitempty"`
	Load    *Load    `json:"load,omitempty"`
	Version *Version `json:"version,omitempty"`
	Closure *Closure `json:"closure,omitempty"`
	Limit   *Limit   `json:"limit,omitempty"`
}

// Call is one attempt of a caller.
type Call struct {
	// ID numbers the caller's request; the attempts of one request share it.
	ID      uint64 `json:"id"`
	Attempt int    `json:"attempt"`
	Team    string `json:"team"`
	Route   string `json:"route"`
	Host    string `json:"host"`
	// Scheduled is when the request was due, Sent when this attempt left, FirstByte when its answer began (zero if none
	// did), Done when it ended.
	Scheduled time.Time `json:"scheduled"`
	Sent      time.Time `json:"sent"`
	FirstByte time.Time `json:"first_byte,omitzero"`
	Done      time.Time `json:"done"`
	// Status is 0 if no answer came.
	Status         int    `json:"status"`
	Code           string `json:"code,omitempty"`
	Outcome        string `json:"outcome,omitempty"`
	Trace          string `json:"trace,omitempty"`
	Upstream       string `json:"upstream,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Body is the text by which the upstream's record names the request, on routes that may not be repeated.
	Body string `json:"body,omitempty"`
	// Whole says that the answer ended as a whole answer does. Want and Got are digests of the answer; Want is empty
	// where any answer is right.
	Whole bool   `json:"whole"`
	Want  string `json:"want,omitempty"`
	Got   string `json:"got,omitempty"`
	// Admitted says that the answer shows that the attempt was admitted against the team's rate.
	Admitted bool   `json:"admitted"`
	Error    string `json:"error,omitempty"`
}

// Run is one execution in the record of a service.
type Run struct {
	Upstream       string    `json:"upstream"`
	At             time.Time `json:"at"`
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Path           string    `json:"path"`
	Body           string    `json:"body,omitempty"`
}

// Load is one sample of every upstream of a pool.
type Load struct {
	At        time.Time      `json:"at"`
	Pool      string         `json:"pool"`
	Factor    float64        `json:"factor"`
	Upstreams []UpstreamLoad `json:"upstreams"`
}

// UpstreamLoad is one upstream in a sample; upstreams that did not answer the sampler are left out.
type UpstreamLoad struct {
	Name     string `json:"name"`
	InFlight int    `json:"in_flight"`
	// Total is the number of requests that the upstream accepted since its process started.
	Total uint64 `json:"total"`
	// Out is set while the document gives the upstream no new work.
	Out bool `json:"out,omitempty"`
}

// Version is the document in force in one router at one time.
type Version struct {
	At          time.Time `json:"at"`
	Router      string    `json:"router"`
	Incarnation uint64    `json:"incarnation"`
	Version     uint64    `json:"version"`
	Hash        string    `json:"hash"`
	Ready       bool      `json:"ready"`
}

// Closure is an order that the upstreams take no new work from At plus Grace until Reopened; a zero Reopened means for
// the rest of the run.
type Closure struct {
	At        time.Time     `json:"at"`
	Grace     time.Duration `json:"grace_ns"`
	Reopened  time.Time     `json:"reopened,omitzero"`
	Upstreams []string      `json:"upstreams"`
}

// Limit is the rate and burst of one team.
type Limit struct {
	Team          string  `json:"team"`
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
}

// Write writes the lines to w.
func Write(w io.Writer, lines []Line) error {
	enc := json.NewEncoder(w)
	for i := range lines {
		if err := enc.Encode(&lines[i]); err != nil {
			return errors.Wrapf(err, "write record %d", i+1)
		}
	}
	return nil
}

// Read reads lines from r until its end. A line without the part that its kind names is an error.
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
			return nil, errors.Wrapf(err, "record %d", len(lines)+1)
		}
		if !l.complete() {
			return nil, errors.Errorf("record %d: kind %q without its part", len(lines)+1, l.Kind)
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
	case KindClosure:
		return l.Closure != nil
	case KindLimit:
		return l.Limit != nil
	default:
		return false
	}
}
