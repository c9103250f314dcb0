package callers

import (
	"context"
	"fmt"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/callerconn"
)

const (
	// finalResponseTime limits the writing of the responses to heads that were cut off.
	finalResponseTime = 300 * time.Millisecond
	// closePollInterval is how often Close looks whether these responses have been written.
	closePollInterval = time.Millisecond
	// stoppingRetryAfter is the Retry-After of refusals at the end of a planned stop.
	stoppingRetryAfter = time.Second
)

// Server is the server for callers.
type Server struct {
	http     *http.Server
	conns    *callerconn.Tracker
	clock    clockwork.Clock
	stopping atomic.Bool

	mu sync.Mutex
	// listener is being served until served is closed; both are nil before Serve.
	listener net.Listener
	served   chan struct{}
}

// Server returns the server for callers; wrap is applied to its handler. net/http clears the read deadline once the body has been
// read, so ReadTimeout does not bound the response. A WriteTimeout would cut off long streams, so the handler sets a deadline for
// each write instead.
func (h *Handler) Server(wrap func(http.Handler) http.Handler) *Server {
	conns := callerconn.New(callerconn.Options{
		Clock: h.clock, Limits: h.connLimits, Refusal: headRefusal, OnIncompleteHead: h.logIncompleteHead, OnLateBytes: h.logLateBytes,
		OnAmbiguous: h.ambiguous,
	})
	return &Server{conns: conns, clock: h.clock, http: &http.Server{
		Handler: wrap(h.Router()), ReadHeaderTimeout: h.timeouts.Header.Std(), ReadTimeout: h.timeouts.Body.Std(),
		MaxHeaderBytes: headerReadFactor * h.limits.HeaderBytes, ConnState: conns.OnStateChange, DisableGeneralOptionsHandler: true,
		ErrorLog: stdlog.New(&serverLog{log: h.log}, "", 0),
	}}
}

// Serve serves the listener until Shutdown or Close, and then returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	served := make(chan struct{})
	defer close(served)
	s.mu.Lock()
	s.listener, s.served = l, served
	s.mu.Unlock()
	if s.stopping.Load() {
		return l.Close()
	}
	err := s.http.Serve(s.conns.Listen(l))
	if s.stopping.Load() {
		return http.ErrServerClosed
	}
	return errors.Wrap(err, "serve callers")
}

// Shutdown closes the address and the idle connections, and waits until all requests that have begun to arrive have ended, or the
// context is done. http.Server.Shutdown would also close connections on which a request has begun to arrive.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	s.mu.Lock()
	listener, served := s.listener, s.served
	s.mu.Unlock()
	if listener != nil {
		// The process ends whatever becomes of the address.
		_ = callerconn.CloseListener(listener, s.clock)
		// The connection that was accepted last is tracked now.
		<-served
	}
	return s.conns.Drain(ctx)
}

// Close refuses the requests whose head is still arriving, and closes all connections.
func (s *Server) Close() error {
	s.conns.CutOff()
	ctx, cancel := context.WithTimeout(context.Background(), finalResponseTime)
	defer cancel()
	for s.conns.State().ReadingHead > 0 && ctx.Err() == nil {
		s.clock.Sleep(closePollInterval)
	}
	return errors.Wrap(s.http.Close(), "close callers' connections")
}

func (h *Handler) connLimits() callerconn.Limits {
	return callerconn.Limits{Idle: h.timeouts.Idle.Std(), Header: h.timeouts.Header.Std()}
}

// headRefusal returns the response to a request whose head has not arrived whole.
func headRefusal(cause callerconn.Cause) *http.Response {
	refusal := callerconn.Refuse(cause, step, stoppingRetryAfter)
	header, body := encodeRefusal(fmt.Sprintf("%016x", rand.Uint64()), refusal)
	return callerconn.NewRefusal(refusal.Status, header, body)
}

func (h *Handler) logIncompleteHead(head callerconn.IncompleteHead) {
	h.headsIncomplete.Inc(1)
	h.log.Info().Str("event", "head-incomplete").Stringer("peer", head.Peer).Str("cause", string(head.Cause)).Int64("bytes", head.Bytes).
		Dur("waited_ms", head.Waited).Send()
}

func (h *Handler) logLateBytes(peer net.Addr, cause callerconn.Cause, waited time.Duration) {
	h.log.Debug().Str("event", "bytes-at-timeout").Stringer("peer", peer).Str("cause", string(cause)).Dur("waited_ms", waited).Send()
}
