// Package resume gives a caller the whole answer of an engine although the engine or the path to it fails in the
// middle. It runs on the host that accepted the request: a streamed answer that breaks off is continued on another
// engine from the first event that was not relayed; a whole answer that breaks off is asked for again.
package resume

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/filters/quarantine"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/transport"
)

// Name is the filter's step.
const Name = "resume"

// HeaderResumeFrom asks an engine for the answer from this event on, counted from 0.
const HeaderResumeFrom = "X-Resume-From"

const (
	// maxResumes bounds how often one answer is continued.
	maxResumes = 3
	// maxWholeBytes is the longest answer that is held back until it is whole; a longer one is relayed as it comes.
	maxWholeBytes = 1 << 20
	eventStream   = "text/event-stream"
)

// CrashReporter tells the quarantine of upstreams that died under an answer.
type CrashReporter interface {
	// Broke is called when an answer of the upstream broke off. It records a death of the upstream and reports whether
	// the request is now held back.
	Broke(ctx context.Context, x *exchange.Exchange, upstream, boot string) (held bool)
}

// Filter is the resume step.
type Filter struct {
	deaths  CrashReporter
	resumed tally.Counter
	gaveUp  tally.Counter
}

// New returns the filter.
func New(deaths CrashReporter, scope tally.Scope) *Filter {
	return &Filter{deaths: deaths, resumed: scope.Counter("resume_resumed"), gaveUp: scope.Counter("resume_gave_up")}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle implements exchange.Filter. Answers of services and of routes that may not be repeated pass as they are.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	if err := next(ctx, x); err != nil {
		return err
	}
	pool := x.Snapshot.Pool(x.Route.Pool)
	if !x.Route.Repeatable || pool.Kind != document.KindEngine || x.Response.Status != http.StatusOK {
		return nil
	}
	first := *x.Response
	a := &attempt{ctx: ctx, filter: f, x: x, next: next, answer: &first, base: resumeBase(x.Header)}
	if strings.HasPrefix(x.Response.Header.Get("Content-Type"), eventStream) {
		x.Response.Body = newStream(a)
		return nil
	}
	return f.whole(x, a)
}

// resumeBase returns the event from which the caller itself asked for the answer.
func resumeBase(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderResumeFrom))
	if err != nil {
		return 0
	}
	return max(0, n)
}

// whole reads the answer before any of it is relayed, asking again when it breaks off.
func (f *Filter) whole(x *exchange.Exchange, a *attempt) error {
	for {
		var buf bytes.Buffer
		_, err := io.Copy(&buf, io.LimitReader(a.answer.Body, maxWholeBytes))
		if err == nil {
			whole := *a.answer
			whole.Body = &wholeBody{Reader: io.MultiReader(&buf, a.answer.Body), Closer: a.answer.Body}
			x.Response = &whole
			return nil
		}
		if again := a.again(a.base); again != nil {
			return brokenOff(a.answer.Upstream, err)
		}
	}
}

func brokenOff(upstream string, err error) error {
	return &outcome.Refusal{
		Status: http.StatusBadGateway, Code: "answer-cut", Message: "the answer broke off",
		Step: Name, Peer: upstream, Outcome: outcome.Unknown, Cause: err,
	}
}

// wholeBody reads from one place and closes another.
type wholeBody struct {
	io.Reader
	io.Closer
}

// attempt is the answer that is read now and the means to replace it.
type attempt struct {
	ctx     context.Context
	filter  *Filter
	x       *exchange.Exchange
	next    exchange.Next
	answer  *exchange.Response
	base    int
	resumes int
}

// again replaces the answer by one from another attempt that starts at the event.
func (a *attempt) again(from int) error {
	// The lost answer's connection is of no more use, and neither is the error of closing it.
	_ = a.answer.Body.Close()
	held := a.filter.deaths.Broke(a.ctx, a.x, a.answer.Upstream, a.answer.Header.Get(transport.HeaderBootID))
	for !held && a.resumes < maxResumes && a.ctx.Err() == nil {
		a.resumes++
		answer, err := a.send(from)
		if err == nil {
			a.answer = answer
			a.filter.resumed.Inc(1)
			return nil
		}
		r := exchange.AsRefusal(err)
		held = r.Code == quarantine.CodeQuarantined || a.filter.deaths.Broke(a.ctx, a.x, r.Peer, "")
	}
	a.filter.gaveUp.Inc(1)
	return errors.Errorf("resume answer: gave up after %d resumes, held back: %t", a.resumes, held)
}

// send makes another attempt.
func (a *attempt) send(from int) (*exchange.Response, error) {
	own := *a.x
	own.Header = a.x.Header.Clone()
	if own.Header == nil {
		own.Header = http.Header{}
	}
	if from > 0 {
		own.Header.Set(HeaderResumeFrom, strconv.Itoa(from))
	}
	if err := a.next(a.ctx, &own); err != nil {
		return nil, err
	}
	if own.Response.Status != http.StatusOK {
		_ = own.Response.Body.Close()
		return nil, errors.Errorf("%s answered with status %d", own.Response.Upstream, own.Response.Status)
	}
	return own.Response, nil
}

var _ CrashReporter = (*quarantine.EntryFilter)(nil)
