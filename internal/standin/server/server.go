// Package server runs a stand-in: its public server with injectable faults and its admin server.
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

// stopTimeout limits the graceful stop of a stand-in.
const stopTimeout = 5 * time.Second

// headerTimeout limits the time to read the headers of an admin request.
const headerTimeout = 5 * time.Second

// PathFault is the admin path that accepts a faults.Request.
const PathFault = "/admin/fault"

// StandIn is implemented by all stand-ins and used by AdminHandler.
type StandIn interface {
	// State returns the state dump.
	State() any
	// Fault injects a fault.
	Fault(o faults.Request) error
}

// AdminHandler returns the admin handler of a stand-in, to which a stand-in may add paths.
func AdminHandler(s StandIn) http.Handler {
	router := admin.Handler(admin.Options{Ready: func() string { return "" }, State: s.State})
	router.HandleFunc(PathFault, func(w http.ResponseWriter, r *http.Request) {
		var o faults.Request
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

// Run serves the public and the admin address until the context is cancelled, and then stops both servers gracefully.
func Run(ctx context.Context, public *faults.Server, adminAddress string, handler http.Handler, log zerolog.Logger) error {
	listener, err := net.Listen("tcp", adminAddress)
	if err != nil {
		return errors.Wrap(err, "listen on admin address")
	}
	adminServer := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = adminServer.Serve(listener) }()
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
	return errors.Wrap(adminServer.Shutdown(stopCtx), "shut down admin server")
}
