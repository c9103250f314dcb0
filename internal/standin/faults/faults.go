// Package faults provides an HTTP server for stand-ins with injectable faults: crashes, freezes, silent connections,
// delayed responses, responses with a wrong request ID, and flapping.
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

// Kind is the kind of a fault.
type Kind string

// Faults that every stand-in server supports.
const (
	// Crash closes the listener and every connection at once. The server restarts after Duration.
	Crash Kind = "crash"
	// Freeze stops the handling of requests for Duration, like a suspended process.
	Freeze Kind = "freeze"
	// Silent makes all open connections discard their data until they are closed. New connections are not affected.
	Silent Kind = "silent"
	// Late delays every response by Duration until the next Late.
	Late Kind = "late"
	// Crossed makes the next response carry a request ID that is not its own, as if it belonged to another request.
	Crossed Kind = "crossed"
	// Flap crashes the server every Duration, for half of it, until the next Flap. Duration 0 only stops the flapping.
	Flap Kind = "flap"
	// Cold starts the cold start of an engine again. Other servers ignore it.
	Cold Kind = "cold"
)

// Request is the body of POST /admin/fault, which injects a fault.
type Request struct {
	Kind Kind `json:"kind"`
	// DurationMS is in milliseconds. Its meaning depends on Kind.
	DurationMS int64 `json:"duration_ms"`
}

// Duration returns DurationMS as a time.Duration.
func (o Request) Duration() time.Duration { return time.Duration(o.DurationMS) * time.Millisecond }

// Server is an HTTP server with injectable faults.
type Server struct {
	address string
	handler http.Handler
	log     zerolog.Logger
	// onCrash is called after each crash, before the server restarts.
	onCrash func()

	mu        sync.Mutex
	http      *http.Server
	conns     map[*conn]struct{}
	thawed    chan struct{}
	delay     time.Duration
	crossNext bool
	stopFlap  context.CancelFunc
}

// NewServer returns a server for the address. The function onCrash is called after each crash and may be nil.
func NewServer(address string, handler http.Handler, onCrash func(), log zerolog.Logger) *Server {
	if onCrash == nil {
		onCrash = func() {}
	}
	return &Server{address: address, handler: handler, onCrash: onCrash, log: log, conns: map[*conn]struct{}{}}
}

// Start listens on the address and serves in the background.
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

// Stop shuts the server down gracefully.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	return errors.Wrap(server.Shutdown(ctx), "shut down stand-in server")
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.WaitWhileFrozen()
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	s.handler.ServeHTTP(w, r)
}

// WaitWhileFrozen blocks while the server is frozen.
func (s *Server) WaitWhileFrozen() {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// ConsumeCrossed reports whether the next response must carry a wrong request ID, and clears the fault.
func (s *Server) ConsumeCrossed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	crossed := s.crossNext
	s.crossNext = false
	return crossed
}

// Apply injects the fault.
func (s *Server) Apply(o Request) error {
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
		s.delay = o.Duration()
		s.mu.Unlock()
	case Crossed:
		s.mu.Lock()
		s.crossNext = true
		s.mu.Unlock()
	case Flap:
		s.flap(o.Duration())
	case Cold:
	default:
		return errors.Errorf("fault %q does not exist", o.Kind)
	}
	return nil
}

// Crash closes the listener and every connection at once and restarts the server after downtime.
func (s *Server) Crash(downtime time.Duration) {
	s.mu.Lock()
	server := s.http
	s.http = nil
	s.mu.Unlock()
	if server == nil {
		return
	}
	// Close closes the listener even if it returns an error.
	_ = server.Close()
	s.onCrash()
	time.AfterFunc(downtime, func() {
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
	if s.stopFlap != nil {
		s.stopFlap()
		s.stopFlap = nil
	}
	if period <= 0 {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopFlap = cancel
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
