package hop

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/relay"
	"github.com/orioleusher/orioleusher/internal/rpc/hoppb"
)

// Server receives hops and runs the filter chain for the envelope's role.
type Server struct {
	Store *config.Store
	Clock clockwork.Clock
	Log   zerolog.Logger
	// Chains holds the filter chain of each role.
	Chains map[hoppb.Role]exchange.Next
	// MaxBodyBytes bounds the forwarded body.
	MaxBodyBytes int64
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	acknowledge(w)
	env, x, err := s.receive(r)
	if err != nil {
		writeRefusal(w, toRefusal(err))
		return
	}
	chain := s.Chains[env.Role]
	if chain == nil {
		writeRefusal(w, outcome.Refuse(step, http.StatusBadRequest, "bad-hop", "unknown role"))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.Deadline)
	defer cancel()
	if err := chain(ctx, x); err != nil {
		refusal := exchange.AsRefusal(err)
		s.Log.Debug().Str("event", "hop-refused").Str("trace", x.TraceID).Str("peer", env.Sender).Err(refusal).Send()
		writeRefusal(w, refusal)
		return
	}
	if err := relay.Copy(w, x); err != nil {
		s.Log.Warn().Str("event", "hop-cut").Str("trace", x.TraceID).Str("peer", env.Sender).Err(err).Send()
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) receive(r *http.Request) (*hoppb.Envelope, *exchange.Exchange, error) {
	env, err := DecodeEnvelope(r.Header.Get(headerEnvelope))
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, s.MaxBodyBytes+1))
	if err != nil || int64(len(body)) > s.MaxBodyBytes {
		return nil, nil, errors.Errorf("body incomplete or above %d bytes", s.MaxBodyBytes)
	}
	snap := s.Store.Current()
	if snap == nil {
		return nil, nil, errors.New("no document in force")
	}
	route := findRoute(snap, env.Route)
	if route == nil {
		return nil, nil, errors.Errorf("route %q is not in document version %d", env.Route, snap.Version)
	}
	team := snap.Team(env.Team)
	if team == nil && !route.Open {
		return nil, nil, errors.Errorf("team %q is not in document version %d", env.Team, snap.Version)
	}
	now := s.Clock.Now()
	if refusal := checkKey(snap, team, env, now); refusal != nil {
		return nil, nil, refusal
	}
	header := r.Header.Clone()
	header.Del(headerEnvelope)
	return env, &exchange.Exchange{
		TraceID: env.Trace, Start: now, Deadline: now.Add(time.Duration(env.TimeoutMs) * time.Millisecond),
		Method: env.Method, Path: env.Path, RawQuery: env.RawQuery, Header: header, Body: body,
		Snapshot: snap, Route: route, Team: team, KeyID: env.KeyId, ChatID: env.ChatId,
		IdempotencyKey: env.IdempotencyKey, Fingerprint: env.Fingerprint, Candidates: candidates(env),
		MaxWait:      time.Duration(env.MaxWaitMs) * time.Millisecond,
		CrashSuspect: env.Suspect, Attempts: exchange.NewAttemptBudget(int(min(env.Attempts, exchange.MaxAttempts))),
	}, nil
}

// toRefusal returns the refusal for a hop that was rejected before its chain ran.
func toRefusal(err error) *outcome.Refusal {
	var r *outcome.Refusal
	if errors.As(err, &r) {
		return r
	}
	return outcome.Refuse(step, http.StatusBadRequest, "bad-hop", err.Error())
}

// checkKey refuses a request whose key is expired or no longer in the receiver's document. It accepts any key if
// the sender's document is newer, since that document may have added the key.
func checkKey(snap *document.Snapshot, team *document.Team, env *hoppb.Envelope, now time.Time) error {
	if team == nil || env.KeyId == "" || snap.Version < env.DocumentVersion {
		return nil
	}
	for i := range team.Keys {
		if key := &team.Keys[i]; key.ID == env.KeyId && !key.Expired(now) {
			return nil
		}
	}
	return outcome.Refuse(step, http.StatusUnauthorized, "bad-key", "the key is withdrawn or expired")
}

func candidates(env *hoppb.Envelope) []string {
	if env.Upstream == "" {
		return nil
	}
	return []string{env.Upstream}
}

func findRoute(snap *document.Snapshot, name string) *document.Route {
	for i := range snap.Routes {
		if snap.Routes[i].Name == name {
			return &snap.Routes[i]
		}
	}
	return nil
}
