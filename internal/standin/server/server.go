// Package server runs a stand-in: its public server with faults and its admin server.
package server

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/standin/faults"
)

// stopTimeout bounds the graceful stop of a stand-in.
const stopTimeout = 5 * time.Second

// headerTimeout bounds the time to read an order's headers.
const headerTimeout = 5 * time.Second

// PathFault takes a faults.Order.
const PathFault = "/admin/fault"

// StandIn is what Run needs of a stand-in.
type StandIn interface {
	// State returns the state dump.
	State() any
	// Fault carries out an order.
	Fault(o faults.Order) error
}

// AdminHandler returns the admin handler of a stand-in, to which the caller may add paths.
func AdminHandler(s StandIn) http.Handler {
	router := admin.Handler(admin.Options{Ready: func() string { return "" }, State: s.State})
	router.HandleFunc(PathFault, func(w http.ResponseWriter, r *http.Request) {
		var o faults.Order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := s.Fault(o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	}).Methods(http.MethodPost)
	return router
}

// Run serves until the context ends. Public may be nil.
func Run(ctx context.Context, public *faults.Server, adminAddress string, handler http.Handler, log zerolog.Logger) error {
	listener, err := net.Listen("tcp", adminAddress)
	if err != nil {
		return errors.Wrap(err, "listen on admin address")
	}
	operators := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = operators.Serve(listener) }()
	if err := public.Start(); err != nil {
		return err
	}
	log.Info().Str("event", "started").Send()
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := public.Stop(stopCtx); err != nil {
		return err
	}
	return errors.Wrap(operators.Shutdown(stopCtx), "stop admin server")
}
