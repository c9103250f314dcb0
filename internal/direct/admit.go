package direct

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/inbound"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// Names of the steps.
const (
	stepAdmit    = "admit"
	stepReceive  = "receive"
	stepHold     = "hold"
	stepDispatch = "dispatch"
)

// shortRetry is when a caller should come again after a refusal whose cause passes soon.
const shortRetry = 250 * time.Millisecond

// admit finds the request's route and team in the configuration in force and sets its deadline.
type admit struct {
	store *catalog.Store
	clock clockwork.Clock
}

// A starting router has its first configuration within a second, so that a request does better to wait for it than to
// come again. It waits for that part of its caller's patience, and no longer than the limit.
const (
	configPatience = 4
	maxConfigWait  = time.Second
)

// configured returns the configuration in force, waiting a little for the first one.
func (f *admit) configured(ctx context.Context, x *Request) (*catalog.Config, error) {
	wait := maxConfigWait
	if x.CallerTimeout > 0 {
		wait = min(wait, x.CallerTimeout/configPatience)
	}
	select {
	case <-f.store.ConfigReady():
		return f.store.Current().Config, nil
	default:
	}
	select {
	case <-f.store.ConfigReady():
		return f.store.Current().Config, nil
	case <-ctx.Done():
	case <-f.clock.After(wait):
	}
	return nil, outcome.Unavailable(stepAdmit, "no-configuration", "no configuration is known yet").WithRetryAfter(shortRetry)
}

// Name implements Filter.
func (*admit) Name() string { return stepAdmit }

// Handle implements Filter.
func (f *admit) Handle(ctx context.Context, x *Request, next Next) error {
	config, err := f.configured(ctx, x)
	if err != nil {
		return err
	}
	if err := allow(x, config); err != nil {
		return err
	}
	if limit := config.Limits.HeaderBytes; limit > 0 && inbound.HeaderBytes(x.HTTP) > limit {
		return outcome.Refuse(stepAdmit, http.StatusRequestHeaderFieldsTooLarge, "header-too-large", "the headers are too large")
	}
	wait := x.Route.Timeout
	if x.CallerTimeout > 0 && (wait <= 0 || x.CallerTimeout < wait) {
		wait = x.CallerTimeout
	}
	x.Deadline = x.Start.Add(wait)
	return next(ctx, x)
}

// allow sets the request's route, team and service as the configuration has them, or refuses. It is asked again before
// each send, since keys are withdrawn and routes dropped while requests wait.
func allow(x *Request, c *catalog.Config) error {
	route := c.Match(hostName(x.HTTP.Host), x.HTTP.URL.EscapedPath())
	if route == nil {
		return outcome.Refuse(stepAdmit, http.StatusNotFound, "no-route", "no route matches")
	}
	if c.Teams != nil && !route.AllowsAnonymous {
		x.Team = c.Teams[x.APIKey]
		if x.Team == nil {
			return outcome.Refuse(stepAdmit, http.StatusUnauthorized, "bad-key", "the key is not known")
		}
	}
	x.Route = route
	x.Service = share(route, x.ID)
	return nil
}

// share returns the service that the request's ID falls to, by weight.
func share(r *catalog.Route, id string) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	var sum float64
	for _, s := range r.WeightedServices {
		sum += s.Weight
	}
	const span = 1 << 20 // finer than any weight
	at := float64(loadbalancer.HashKey(id)%span) / span * sum
	for _, s := range r.WeightedServices {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}

// hostName returns the host without its port, in lower case.
func hostName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}

// receive reads the request's body.
type receive struct {
	store  *catalog.Store
	bodies *inbound.BodyBudget
}

// defaultBodyBytes bounds a body when the configuration says nothing.
const defaultBodyBytes = 4 << 20

// Name implements Filter.
func (*receive) Name() string { return stepReceive }

// Handle implements Filter.
func (f *receive) Handle(ctx context.Context, x *Request, next Next) error {
	limit := f.store.Current().Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.HTTP.ContentLength > limit {
		return outcome.Refuse(stepReceive, http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large")
	}
	if x.HTTP.Body == nil || x.HTTP.Body == http.NoBody {
		return next(ctx, x)
	}
	body := f.bodies.Body(io.LimitReader(x.HTTP.Body, limit+1))
	defer body.Release()
	if err := read(x, body, limit); err != nil {
		return err
	}
	return next(ctx, x)
}

// read sets the request's body.
func read(x *Request, body io.Reader, limit int64) error {
	control := http.NewResponseController(x.out.w)
	// A connection that takes no deadline is bounded by the caller's patience.
	_ = control.SetReadDeadline(x.Deadline)
	raw, err := io.ReadAll(body)
	lifted := time.Time{}
	if err != nil {
		lifted = time.Unix(1, 0) // net/http would else wait for the rest of the body before it sends the answer
	}
	_ = control.SetReadDeadline(lifted)
	switch {
	case errors.Is(err, inbound.ErrBudgetExceeded):
		return outcome.Unavailable(stepReceive, "bodies-full", "too many bodies are held").WithRetryAfter(shortRetry)
	case err != nil:
		return &outcome.Refusal{
			Status: http.StatusRequestTimeout, Code: "body-incomplete", Message: "the body did not arrive whole",
			Step: stepReceive, Outcome: outcome.NotRun, Cause: errors.Wrap(err, "read body"),
		}
	case int64(len(raw)) > limit:
		return outcome.Refuse(stepReceive, http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large")
	}
	x.Body = raw
	return nil
}
