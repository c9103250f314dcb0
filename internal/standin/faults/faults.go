// Package faults makes a stand-in server misbehave on request: crash, freeze, go silent on open connections, answer
// late or crossed, flap.
package faults

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Kind names a fault.
type Kind string

// The faults that every stand-in server knows.
const (
	// Crash closes every connection and the listener at once; the server is back after Duration.
	Crash Kind = "crash"
	// Freeze stops all handling for Duration, as a stopped process would.
	Freeze Kind = "freeze"
	// Silent makes the connections that are open now go silent for good; new ones work.
	Silent Kind = "silent"
	// Late delays every answer by Duration until the next Late.
	Late Kind = "late"
	// Crossed makes the next two answers go to each other's callers.
	Crossed Kind = "crossed"
	// Flap crashes and returns every Duration until the next Flap with Duration 0.
	Flap Kind = "flap"
	// Cold makes an engine cold; servers that have no cold start ignore it.
	Cold Kind = "cold"
)

// Order is the body of POST /admin/fault.
type Order struct {
	Kind Kind `json:"kind"`
	// DurationMS is in milliseconds; its meaning depends on the kind.
	DurationMS int64 `json:"duration_ms"`
}

// Duration returns the order's duration.
func (o Order) Duration() time.Duration { return time.Duration(o.DurationMS) * time.Millisecond }

// Server is an HTTP server with faults.
type Server struct {
	address string
	handler http.Handler
	log     zerolog.Logger
	// restarted is called after each crash, before the server is back.
	restarted func()

	mu       sync.Mutex
	http     *http.Server
	conns    map[*conn]struct{}
	thawed   chan struct{}
	late     time.Duration
	crossing bool
	flapStop context.CancelFunc
}

// NewServer returns a server for the address. Restarted may be nil.
func NewServer(address string, handler http.Handler, restarted func(), log zerolog.Logger) *Server {
	if restarted == nil {
		restarted = func() {}
	}
	return &Server{address: address, handler: handler, restarted: restarted, log: log, conns: map[*conn]struct{}{}}
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	s.http = server
	s.mu.Unlock()
	go func() { _ = server.Serve(&trackingListener{Listener: listener, server: s}) }()
	return nil
}

// Stop ends the server gracefully.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	return errors.Wrap(server.Shutdown(ctx), "stop stand-in server")
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.WaitThawed()
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	if late > 0 {
		time.Sleep(late)
	}
	s.handler.ServeHTTP(w, r)
}

// WaitThawed blocks while the server is frozen.
func (s *Server) WaitThawed() {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// TakeCrossed reports whether the next answer should carry another request's id, and clears the fault.
func (s *Server) TakeCrossed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	crossing := s.crossing
	s.crossing = false
	return crossing
}

// Apply carries out an order.
func (s *Server) Apply(o Order) error {
	s.log.Info().Str("event", "fault").Str("kind", string(o.Kind)).Int64("duration_ms", o.DurationMS).Send()
	switch o.Kind {
	case Crash:
		s.Crash(o.Duration())
	case Freeze:
		s.freeze(o.Duration())
	case Silent:
		s.silence()
	case Late:
		s.mu.Lock()
		s.late = o.Duration()
		s.mu.Unlock()
	case Crossed:
		s.mu.Lock()
		s.crossing = true
		s.mu.Unlock()
	case Flap:
		s.flap(o.Duration())
	case Cold:
	default:
		return errors.Errorf("fault %q does not exist", o.Kind)
	}
	return nil
}

// Crash closes everything now and serves again after down.
func (s *Server) Crash(down time.Duration) {
	s.mu.Lock()
	server := s.http
	s.http = nil
	s.mu.Unlock()
	if server == nil {
		return
	}
	// Close returns the listener's error, and the listener is gone either way.
	_ = server.Close()
	s.restarted()
	time.AfterFunc(down, func() {
		if err := s.Start(); err != nil {
			s.log.Error().Str("event", "restart-failed").Err(err).Send()
		}
	})
}

func (s *Server) freeze(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed != nil {
		return
	}
	thawed := make(chan struct{})
	s.thawed = thawed
	time.AfterFunc(d, func() {
		s.mu.Lock()
		s.thawed = nil
		s.mu.Unlock()
		close(thawed)
	})
}

func (s *Server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silence()
	}
}

func (s *Server) flap(period time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flapStop != nil {
		s.flapStop()
		s.flapStop = nil
	}
	if period <= 0 {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.flapStop = cancel
	go s.runFlap(ctx, period)
}

func (s *Server) runFlap(ctx context.Context, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		s.Crash(period / 2)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
