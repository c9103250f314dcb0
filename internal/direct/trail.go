package direct

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// servedSample is the share of the requests served in time and at the first send that are logged: one in so many, by
// the request's ID. All others are logged.
const servedSample = 64

// failedStatus is the first status by which an upstream says that it failed.
const failedStatus = http.StatusInternalServerError

// step is one send of a request: what decided on the upstream, and what came of it.
type step struct {
	upstream   string
	dataCentre string
	load       float64
	known      bool
	tier       int
	// at and took are the time from the request's start and the time of the send.
	at, took time.Duration
	result   string
}

func newStep(x *Request, c *balance.Choice, begun, ended time.Time, res result) step {
	s := step{
		upstream: c.ID, dataCentre: c.DataCentre, load: c.Load, known: c.LoadKnown, tier: c.Tier, at: begun.Sub(x.Start),
		took: ended.Sub(begun), result: "answered",
	}
	if !res.done {
		s.result = "failed"
		if r, ok := res.err.(*outcome.Refusal); ok { //nolint:errorlint // refusals of a send are never wrapped
			s.result = r.Code
		}
	}
	return s
}

// trailText returns the sends as one text: upstream@data centre, the load that decided (? if it was not told lately),
// the tier, when it was sent, how long it took, what came of it.
func (x *Request) trailText() string {
	var b strings.Builder
	for i, s := range x.trail {
		if i > 0 {
			b.WriteByte(';')
		}
		doubt := ""
		if !s.known {
			doubt = "?"
		}
		fmt.Fprintf(&b, "%s@%s,load:%.0f%s,tier:%d,at:%dms,took:%dms,%s", s.upstream, s.dataCentre, s.load, doubt, s.tier,
			s.at.Milliseconds(), s.took.Milliseconds(), s.result)
	}
	return b.String()
}

// logServed writes the line of an answered request: always if it was late, sent more than once or answered with a
// failure of its upstream, a sample otherwise.
func (s *Server) logServed(x *Request, took time.Duration) {
	late := x.Route.Kind != catalog.Stream && took > x.Route.LatencyObjective || x.out.first > x.Route.LatencyObjective
	if !late && len(x.trail) == 1 && x.out.status < failedStatus && loadbalancer.HashKey(x.ID)%servedSample != 0 {
		return
	}
	s.Log.Info().Str("event", "served").Func(s.describe(x, took)).Bool("late", late).Int("status", x.out.status).Send()
}

// describe adds what a line about a request always has.
func (s *Server) describe(x *Request, took time.Duration) func(*zerolog.Event) {
	return func(event *zerolog.Event) {
		event.Str("request", x.ID)
		if x.Route != nil {
			event.Str("route", x.Route.Name).Str("kind", string(x.Route.Kind)).Str("service", x.Service).Str("team", x.team()).
				Dur("left_ms", x.Deadline.Sub(s.Clock.Now()))
		}
		if snap := s.Store.Current(); snap.Config != nil {
			event.Uint64("version", snap.Config.Version)
		}
		if x.out.first > 0 {
			event.Dur("first_ms", x.out.first)
		}
		event.Str("trail", x.trailText()).Int("runs", x.runs).Dur("took_ms", took)
	}
}
