// Package resume completes an engine's response when the engine or the path to it fails midway. It runs on the host
// that accepted the request. A streamed response that breaks off is continued on another engine, from the first event
// that was not relayed. Any other response that breaks off is requested again.
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

// Name is the step that this filter's refusals carry.
const Name = "resume"

// HeaderResumeFrom is the header with the index, counted from 0, of the first event that an engine is asked to send.
const HeaderResumeFrom = "X-Resume-From"

const (
	// maxResumes bounds the attempts to continue one response.
	maxResumes = 3
	// maxBufferedBytes bounds the part of a response that is buffered before it is relayed. The rest of a longer response
	// is relayed as it arrives.
	maxBufferedBytes = 1 << 20
	eventStream      = "text/event-stream"
)

// CrashReporter reports broken responses to the quarantine, which determines whether the upstream crashed.
type CrashReporter interface {
	// ReportBrokenResponse is called when a response of the upstream broke off or never arrived. If the upstream
	// crashed, it records the crash for the request. It reports whether the request is now quarantined.
	ReportBrokenResponse(ctx context.Context, x *exchange.Exchange, upstream, bootID string) (quarantined bool)
}

// Filter is the resume step.
type Filter struct {
	crashes CrashReporter
	resumed tally.Counter
	gaveUp  tally.Counter
}

// New returns the filter.
func New(crashes CrashReporter, scope tally.Scope) *Filter {
	return &Filter{crashes: crashes, resumed: scope.Counter("resume_resumed"), gaveUp: scope.Counter("resume_gave_up")}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle implements exchange.Filter. Responses of services, and responses on routes that are not repeatable, are passed
// on unchanged.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	if err := next(ctx, x); err != nil {
		return err
	}
	pool := x.Snapshot.Pool(x.Route.Pool)
	if !x.Route.Repeatable || pool.Kind != document.KindEngine || x.Response.Status != http.StatusOK {
		return nil
	}
	first := *x.Response
	resp := &resumableResponse{ctx: ctx, filter: f, x: x, next: next, response: &first, firstEvent: requestedEvent(x.Header)}
	if strings.HasPrefix(x.Response.Header.Get("Content-Type"), eventStream) {
		x.Response.Body = newStream(resp)
		return nil
	}
	return f.readWhole(x, resp)
}

// requestedEvent returns the index of the first event that the caller asked for.
func requestedEvent(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderResumeFrom))
	if err != nil {
		return 0
	}
	return max(0, n)
}

// readWhole buffers the response, up to maxBufferedBytes, before any of it is relayed. It sends the request again when
// the response breaks off.
func (f *Filter) readWhole(x *exchange.Exchange, resp *resumableResponse) error {
	for {
		var buf bytes.Buffer
		_, err := io.Copy(&buf, io.LimitReader(resp.response.Body, maxBufferedBytes))
		if err == nil {
			whole := *resp.response
			whole.Body = &wholeBody{Reader: io.MultiReader(&buf, resp.response.Body), Closer: resp.response.Body}
			x.Response = &whole
			return nil
		}
		if resumeErr := resp.resumeFrom(resp.firstEvent); resumeErr != nil {
			return responseCutRefusal(resp.response.Upstream, err)
		}
	}
}

func responseCutRefusal(upstream string, err error) error {
	return &outcome.Refusal{
		Status: http.StatusBadGateway, Code: "answer-cut", Message: "the answer broke off",
		Step: Name, Peer: upstream, Outcome: outcome.Unknown, Cause: err,
	}
}

// wholeBody reads from one source and closes another.
type wholeBody struct {
	io.Reader
	io.Closer
}

// resumableResponse holds the response that is being read and what is needed to replace it.
type resumableResponse struct {
	ctx        context.Context
	filter     *Filter
	x          *exchange.Exchange
	next       exchange.Next
	response   *exchange.Response
	firstEvent int
	resumes    int
}

// resumeFrom replaces the response with one from another attempt that starts at the given event.
func (resp *resumableResponse) resumeFrom(from int) error {
	// The broken connection is discarded, so an error on closing it has no consequence.
	_ = resp.response.Body.Close()
	quarantined := resp.filter.crashes.ReportBrokenResponse(resp.ctx, resp.x, resp.response.Upstream, resp.response.Header.Get(transport.HeaderBootID))
	for !quarantined && resp.resumes < maxResumes && resp.ctx.Err() == nil {
		resp.resumes++
		response, err := resp.send(from)
		if err == nil {
			resp.response = response
			resp.filter.resumed.Inc(1)
			return nil
		}
		r := exchange.AsRefusal(err)
		quarantined = r.Code == quarantine.CodeQuarantined || resp.filter.crashes.ReportBrokenResponse(resp.ctx, resp.x, r.Peer, "")
	}
	resp.filter.gaveUp.Inc(1)
	return errors.Errorf("resume response: gave up after %d attempts, request quarantined: %t", resp.resumes, quarantined)
}

// send sends the request again and asks for the response from the given event on.
func (resp *resumableResponse) send(from int) (*exchange.Response, error) {
	retry := *resp.x
	retry.Header = resp.x.Header.Clone()
	if retry.Header == nil {
		retry.Header = http.Header{}
	}
	if from > 0 {
		retry.Header.Set(HeaderResumeFrom, strconv.Itoa(from))
	}
	if err := resp.next(resp.ctx, &retry); err != nil {
		return nil, err
	}
	if retry.Response.Status != http.StatusOK {
		_ = retry.Response.Body.Close()
		return nil, errors.Errorf("%s answered with status %d", retry.Response.Upstream, retry.Response.Status)
	}
	return retry.Response, nil
}

var _ CrashReporter = (*quarantine.EntryFilter)(nil)
