// Package awake holds a request back while the process catches up after a pause, so that no step decides on what the
// process believed before it. It is the first filter of every chain.
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

// Name is the filter's step.
const Name = "awake"

// Filter is the awake step.
type Filter struct {
	guard *pause.Guard
	store *config.Store
	last  bool
}

// New returns the filter for the head of a chain.
func New(guard *pause.Guard, store *config.Store) *Filter {
	return &Filter{guard: guard, store: store}
}

// NewPreSend returns the filter for the place before a request leaves for its upstream. It refuses a request during
// whose way through the chain the process paused, since the decisions behind it were made before the pause.
func NewPreSend(guard *pause.Guard, store *config.Store) *Filter {
	return &Filter{guard: guard, store: store, last: true}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle implements exchange.Filter.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	if err := f.guard.Wait(ctx); err != nil {
		return outcome.Unavailable(Name, "catching-up", "the router catches up after a pause").WithPeer("", err)
	}
	pauses := f.guard.Pauses()
	if !f.last {
		if err := f.renew(x); err != nil {
			return err
		}
		return next(context.WithValue(ctx, pausesKey{}, pauses), x)
	}
	if before, ok := ctx.Value(pausesKey{}).(uint64); ok && before != pauses {
		return outcome.Unavailable(Name, "paused", "the router paused while the request was under way")
	}
	return next(ctx, x)
}

// pausesKey is the context key of the number of pauses at the head of the chain.
type pausesKey struct{}

// renew puts the document in force in the place of the one with which the request was accepted. What the document no
// longer has is refused.
func (f *Filter) renew(x *exchange.Exchange) error {
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
