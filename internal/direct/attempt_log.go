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

// servedLogSampling is the sampling rate of log lines for requests that were served in time and by the first attempt:
// one in this many, chosen by the hash of the request's ID. All other requests are logged.
const servedLogSampling = 64

// minFailureStatus is the lowest status that counts as a failure of the upstream.
const minFailureStatus = http.StatusInternalServerError

// attemptRecord is one attempt of a request: the basis of the selection of its upstream, and its result.
type attemptRecord struct {
	upstream   string
	dataCentre string
	version    string
	load       float64
	loadKnown  bool
	silence    time.Duration
	tier       int
	// peer is the address of the host through which the attempt went; empty if it went directly.
	peer string
	// startOffset is the time from the request's start to the attempt's, duration the time that the attempt took.
	startOffset, duration time.Duration
	result                string
	// status is the status of the upstream's response, 0 without one; notRun is set if it proved that the request was not executed.
	status int
	notRun bool
}

func newAttemptRecord(req *Request, c *balance.Choice, start, end time.Time, res attemptResult) attemptRecord {
	rec := attemptRecord{
		upstream: c.ID, dataCentre: c.DataCentre, version: c.Version, peer: req.peer, load: c.Load, loadKnown: c.LoadKnown, silence: c.Silence, tier: c.Tier, startOffset: start.Sub(req.Start),
		duration: end.Sub(start), result: "answered", status: res.status, notRun: res.notRun,
	}
	if !res.responded {
		rec.result = "failed"
		if r, ok := res.err.(*outcome.Refusal); ok { //nolint:errorlint // refusals of a send are never wrapped
			rec.result = r.Code
		}
	}
	return rec
}

// formatAttempts returns the attempts as one text: upstream@data centre, the host through which it went, if any, its software version, the load on which the selection was based
// (with ? if it was not reported recently), how long nothing had been heard of the upstream, the tier, the start offset, the duration, the
// result, the status of the upstream's response and whether it is proven that the upstream did not execute the request.
func (req *Request) formatAttempts() string {
	var b strings.Builder
	for i, a := range req.attempts {
		if i > 0 {
			b.WriteByte(';')
		}
		unknownMark := ""
		if !a.loadKnown {
			unknownMark = "?"
		}
		via := ""
		if a.peer != "" {
			via = ",via:" + a.peer
		}
		fmt.Fprintf(&b, "%s@%s%s,software:%s,load:%.0f%s,silence:%dms,tier:%d,at:%dms,took:%dms,%s,status:%d,not_run:%t", a.upstream, a.dataCentre, via, a.version, a.load, unknownMark,
			a.silence.Milliseconds(), a.tier, a.startOffset.Milliseconds(), a.duration.Milliseconds(), a.result, a.status, a.notRun)
	}
	return b.String()
}

// logServed logs a served request if it was late, continued a stream, took more than one attempt or ended with a failure response of an
// upstream; of all other requests it logs a sample.
func (s *Server) logServed(req *Request, elapsed time.Duration) {
	late := req.Route.Kind != catalog.Stream && elapsed > req.Route.LatencyObjective || req.response.firstByteAfter > req.Route.LatencyObjective
	if !late && !req.continuesStream() && len(req.attempts) == 1 && req.response.status < minFailureStatus && loadbalancer.HashKey(req.ID)%servedLogSampling != 0 {
		return
	}
	s.Log.Info().Str("event", "served").Func(s.requestFields(req, elapsed)).Bool("late", late).Int("status", req.response.status).Send()
}

// requestFields adds the fields of every log line about a request.
func (s *Server) requestFields(req *Request, elapsed time.Duration) func(*zerolog.Event) {
	return func(event *zerolog.Event) {
		event.Str("request", req.ID)
		if req.Route != nil {
			event.Str("route", req.Route.Name).Str("kind", string(req.Route.Kind)).Str("service", req.Service).Str("team", req.team()).
				Dur("left_ms", req.Deadline.Sub(s.Clock.Now()))
		}
		if snap := s.Store.Current(); snap.Config != nil {
			event.Uint64("version", snap.Config.Version)
		}
		if req.continuesStream() {
			event.Str("resumes", req.Resumes).Int64("after_event", req.LastEventID)
		}
		if req.response.firstByteAfter > 0 {
			event.Dur("first_ms", req.response.firstByteAfter)
		}
		event.Str("trail", req.formatAttempts()).Int("runs", req.runs).Dur("took_ms", elapsed)
	}
}
