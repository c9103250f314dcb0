package direct

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/callerconn"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/inbound"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// Step names, reported in refusals and logs.
const (
	stepAdmit      = "admit"
	stepReceive    = "receive"
	stepQuarantine = "hold"
	stepOrigin     = "origin"
	stepDispatch   = "dispatch"
	stepStop       = "stop"
)

// defaultRetryAfter is the Retry-After value of a refusal whose cause is expected to pass soon.
const defaultRetryAfter = 250 * time.Millisecond

// admissionFilter resolves the request's route and team from the current configuration and sets its deadline.
type admissionFilter struct {
	store *catalog.Store
	clock clockwork.Clock
}

// defaultTimeout limits a request if neither its route nor its caller sets a timeout.
const defaultTimeout = 2 * time.Minute

// Bounds on the wait for the first configuration. A starting router receives it within a second, so waiting is better
// for the caller than a refusal and a retry. The wait is at most 1/configWaitDivisor of the caller's timeout and never
// longer than maxConfigWait.
const (
	configWaitDivisor = 4
	maxConfigWait     = time.Second
)

// awaitConfig returns the current configuration. If none has arrived yet, it waits for one for a limited time.
func (f *admissionFilter) awaitConfig(ctx context.Context, req *Request) (*catalog.Config, error) {
	if config := f.store.Current().Config; config != nil {
		return config, nil
	}
	wait := maxConfigWait
	if req.CallerTimeout > 0 {
		wait = min(wait, req.CallerTimeout/configWaitDivisor)
	}
	select {
	case <-f.store.ConfigReady():
	case <-ctx.Done():
	case <-f.clock.After(wait):
	}
	if config := f.store.Current().Config; config != nil { // it may have come as the wait ended
		return config, nil
	}
	return nil, outcome.Unavailable(stepAdmit, "no-configuration", "no configuration is known yet").WithRetryAfter(defaultRetryAfter)
}

// Name implements Filter.
func (*admissionFilter) Name() string { return stepAdmit }

// Handle implements Filter.
func (f *admissionFilter) Handle(ctx context.Context, req *Request, next Next) error {
	if err := checkTarget(req.HTTP); err != nil {
		return err
	}
	config, err := f.awaitConfig(ctx, req)
	if err != nil {
		return err
	}
	if err := resolveRoute(req, config); err != nil {
		return err
	}
	if limit := config.Limits.HeaderBytes; limit > 0 && inbound.HeaderBytes(req.HTTP) > limit {
		return headerTooLarge()
	}
	timeout := req.Route.Timeout
	switch {
	case req.CallerTimeout > 0 && (timeout <= 0 || req.CallerTimeout < timeout):
		timeout, req.callersDeadline = req.CallerTimeout, true
	case timeout <= 0:
		timeout = defaultTimeout
	}
	req.Deadline = req.Start.Add(timeout)
	return next(ctx, req)
}

func headerTooLarge() *outcome.Refusal {
	return callerconn.Refuse(callerconn.CauseHeadSize, stepAdmit, 0)
}

// resolveRoute sets the request's route, team and service from the configuration, or returns a refusal. It is called
// again before each send, since keys can be revoked and routes removed while a request waits. A response that has begun
// can no longer become a refusal; its route and service stay as they were when it began.
func resolveRoute(req *Request, c *catalog.Config) error {
	if req.response.headerSent {
		if team := c.Teams[req.APIKey]; team != nil && req.Team != nil {
			req.Team = team
		}
		return nil
	}
	route := c.Match(normaliseHost(req.HTTP.Host), req.HTTP.URL.EscapedPath())
	if route == nil {
		return outcome.Refuse(stepAdmit, http.StatusNotFound, "no-route", "no route matches")
	}
	if req.outcomeUnknown && !route.Repeatable() {
		return outcome.Unavailable(stepAdmit, "not-repeatable", "the route no longer allows the request to be repeated")
	}
	if c.Teams != nil && !route.AllowsAnonymous {
		req.Team = c.Teams[req.APIKey]
		if req.Team == nil {
			return outcome.Refuse(stepAdmit, http.StatusUnauthorized, "bad-key", "the key is not known")
		}
	}
	req.Route = route
	req.Service = pickService(route, req.firstID())
	if req.origin != nil && route.SendsTo(req.origin.Service) {
		req.Service = req.origin.Service // the weights may have changed since the stream began
	}
	return nil
}

// pickService maps the request's ID to one of the route's services, in proportion to their weights.
func pickService(r *catalog.Route, id string) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	var totalWeight float64
	for _, s := range r.WeightedServices {
		totalWeight += s.Weight
	}
	const span = 1 << 20 // finer than any weight
	point := float64(loadbalancer.HashKey(id)%span) / span * totalWeight
	for _, s := range r.WeightedServices {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}

// normaliseHost returns the host in lower case, without its port.
func normaliseHost(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}

// bodyFilter reads the request's body into memory.
type bodyFilter struct {
	store  *catalog.Store
	bodies *inbound.ByteBudget
	stop   *plannedStop
	clock  clockwork.Clock
}

// passed is a deadline that interrupts a read at once.
var passed = time.Unix(1, 0)

// defaultMaxBodyBytes limits a body if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// Name implements Filter.
func (*bodyFilter) Name() string { return stepReceive }

// Handle implements Filter.
func (f *bodyFilter) Handle(ctx context.Context, req *Request, next Next) error {
	limit := f.store.Current().Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if req.HTTP.ContentLength > limit {
		return outcome.Refuse(stepReceive, http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large")
	}
	if req.HTTP.Body == nil || req.HTTP.Body == http.NoBody {
		return next(ctx, req)
	}
	req.receiving = true
	body := f.bodies.NewReader(io.LimitReader(req.HTTP.Body, limit+1))
	defer body.Release()
	if err := f.read(req, body, limit); err != nil {
		return err
	}
	return next(ctx, req)
}

// read sets the request's body. It reads no more than one byte past the limit, and no longer than until the deadline or the
// end of a planned stop.
func (f *bodyFilter) read(req *Request, body *inbound.BudgetedReader, limit int64) error {
	control := http.NewResponseController(req.response.writer)
	// Some connections do not support deadlines; there the caller's own timeout bounds the read.
	_ = control.SetReadDeadline(req.Deadline)
	release := f.stop.onEnd(func() { _ = control.SetReadDeadline(passed) })
	raw, err := io.ReadAll(body)
	stopped := release()
	// The error does not always tell that the read was interrupted, and the interrupt may come just after the end of the body.
	req.bodyLate = stopped || !f.clock.Now().Before(req.Deadline) || errors.Is(err, callerconn.ErrAmbiguousBody)
	nextDeadline := time.Time{}
	if err != nil && !body.Ended() {
		// Keeps net/http from waiting for the rest of the body before it sends the response. Once the body has ended,
		// net/http reads on to notice a disconnected caller, and a failure of that read would cancel the request.
		nextDeadline = passed
	}
	_ = control.SetReadDeadline(nextDeadline)
	switch {
	case errors.Is(err, inbound.ErrBudgetExceeded):
		return outcome.Unavailable(stepReceive, "bodies-full", "too many bodies are held").WithRetryAfter(defaultRetryAfter)
	case err != nil && stopped:
		return refuseStopping("the router stops before the body has arrived")
	case errors.Is(err, callerconn.ErrAmbiguousBody):
		return callerconn.Refuse(callerconn.CauseAmbiguous, stepReceive, 0)
	case err != nil:
		return &outcome.Refusal{
			Status: http.StatusRequestTimeout, Code: "body-incomplete", Message: "the body did not arrive whole",
			Step: stepReceive, Outcome: outcome.NotRun, Cause: errors.Wrap(err, "read body"),
		}
	case int64(len(raw)) > limit:
		return outcome.Refuse(stepReceive, http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large")
	}
	req.Body = raw
	return nil
}
