// Package service is a stand-in for an ordinary HTTP service, such as billing or ordering. It records every executed call
// with its idempotency key and request ID, so that duplicate executions can be detected.
package service

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/standin/faults"
)

// Headers of the service's HTTP API.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// PathLoad is the path of the load report.
const PathLoad = "/v1/load"

// maxRequestBytes is the maximum size of a request body.
const maxRequestBytes = 1 << 20

// Service is a stand-in service.
type Service struct {
	settings settings.Service
	server   *faults.Server

	mu       sync.Mutex
	inFlight int
	runs     []ExecutedCall
}

// ExecutedCall is an executed call.
type ExecutedCall struct {
	At             time.Time `json:"at"`
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key"`
	Path           string    `json:"path"`
	Body           string    `json:"body"`
}

// New returns a service. Starting its Server makes it accept requests.
func New(s settings.Service, log zerolog.Logger) *Service {
	v := &Service{settings: s}
	v.server = faults.NewServer(s.Address, http.HandlerFunc(v.serve), nil, log)
	return v
}

// Server returns the server of the public address.
func (s *Service) Server() *faults.Server { return s.server }

// Fault implements server.StandIn.
func (s *Service) Fault(o faults.Request) error { return s.server.Apply(o) }

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathLoad {
		s.mu.Lock()
		defer s.mu.Unlock()
		admin.WriteJSON(w, Load{InFlight: s.inFlight})
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	number := s.record(r, body)
	time.Sleep(s.settings.WorkTime.Std())
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
	id := r.Header.Get(HeaderRequestID)
	if s.server.ConsumeCrossed() {
		id = "crossed-" + id
	}
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"service\":%s,\"run\":%d,\"request_id\":%s}\n",
		strconv.Quote(s.settings.Name), number, strconv.Quote(r.Header.Get(HeaderRequestID)))
}

// record records the execution of a call and returns its number, counted from 1.
func (s *Service) record(r *http.Request, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.runs = append(s.runs, ExecutedCall{
		At: time.Now(), RequestID: r.Header.Get(HeaderRequestID),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey), Path: r.URL.Path, Body: string(body),
	})
	return len(s.runs)
}

// Load is the service's load report.
type Load struct {
	InFlight int `json:"in_flight"`
}

// State is the service's state dump.
type State struct {
	Name     string         `json:"name"`
	InFlight int            `json:"in_flight"`
	Runs     []ExecutedCall `json:"runs"`
}

// State implements server.StandIn.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Name: s.settings.Name, InFlight: s.inFlight, Runs: append([]ExecutedCall(nil), s.runs...)}
}
