// Package awake delays requests while the process resynchronises after a pause, so that no filter decides on state from
// before the pause. It is the first filter of every chain.
package awake

import (
	"context"
	"net/http"
	"slices"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/pause"
)

// Name is the step that this filter's refusals carry.
const Name = "awake"

// Filter is the awake step.
type Filter struct {
	guard   *pause.Guard
	store   *config.Store
	preSend bool
}

// New returns the filter for the start of a chain.
func New(guard *pause.Guard, store *config.Store) *Filter {
	return &Filter{guard: guard, store: store}
}

// NewPreSend returns the filter that runs just before a request is sent to its upstream. It refuses the request if the
// process was paused while the request passed through the chain, since earlier filters decided on state from before the
// pause.
func NewPreSend(guard *pause.Guard, store *config.Store) *Filter {
	return &Filter{guard: guard, store: store, preSend: true}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle implements exchange.Filter.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	if err := f.guard.Wait(ctx); err != nil {
		return outcome.Unavailable(Name, "catching-up", "the router catches up after a pause").WithPeer("", err)
	}
	pauseCount := f.guard.Pauses()
	if !f.preSend {
		if err := f.adoptCurrentDocument(x); err != nil {
			return err
		}
		return next(context.WithValue(ctx, pauseCountKey{}, pauseCount), x)
	}
	if before, ok := ctx.Value(pauseCountKey{}).(uint64); ok && before != pauseCount {
		return outcome.Unavailable(Name, "paused", "the router paused while the request was under way")
	}
	return next(ctx, x)
}

// pauseCountKey is the context key of the number of pauses seen at the start of the chain.
type pauseCountKey struct{}

// adoptCurrentDocument replaces the document with which the request was accepted by the current one. It refuses the
// request if its team, key or route is no longer in the document.
func (f *Filter) adoptCurrentDocument(x *exchange.Exchange) error {
	current := f.store.Current()
	if current == nil || x.Snapshot == nil || current == x.Snapshot {
		return nil
	}
	if x.Team != nil {
		team := current.Team(x.Team.Name)
		if team == nil {
			return outcome.Refuse(Name, http.StatusUnauthorized, "no-team", "the team is no longer in the document")
		}
		if x.KeyID != "" && !hasKey(team, x.KeyID) {
			return outcome.Refuse(Name, http.StatusUnauthorized, "bad-key", "the key is no longer in the document")
		}
		x.Team = team
	}
	if x.Route != nil {
		route := current.Route(x.Route.Name)
		if route == nil {
			return outcome.Refuse(Name, http.StatusNotFound, "no-route", "the route is no longer in the document")
		}
		x.Route = route
	}
	x.Snapshot = current
	return nil
}

func hasKey(team *document.Team, id string) bool {
	return slices.ContainsFunc(team.Keys, func(k document.Key) bool { return k.ID == id })
}
