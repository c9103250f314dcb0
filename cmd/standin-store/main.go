// Command standin-store is a test double of the store of the users' platform.
package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/logging"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/platform/standin"
)

// headerTimeout limits the time to read the headers of a call.
const headerTimeout = 5 * time.Second

type options struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of all stand-ins, in JSON"`
	process.VersionFlag
}

func main() {
	opts := options{VersionFlag: process.NewVersionFlag()}
	process.Parse(&opts, "Runs a test double of the platform's store.")
	var all settings.DirectStandIns
	if err := settings.Load(opts.Settings, &all); err != nil {
		process.Exit(err)
	}
	process.Exit(run(process.SignalContext(), all.Store))
}

// run serves reads and writes until the context is cancelled or an address fails.
func run(ctx context.Context, s settings.StandInStore) error {
	config, err := os.ReadFile(s.ConfigFile)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	store := standin.NewStore()
	store.Put(standin.KeyConfig, json.RawMessage(config))
	log := logging.New(os.Stderr, s.Log.Level, "store")
	log.Info().Str("event", "started").Send()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() { cancel(serve(ctx, s.WriteAddress, store.WriteHandler())) }()
	if err := serve(ctx, s.Address, store); err != nil {
		return err
	}
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

// serve serves the address until the context is cancelled. It does not wait for calls in progress.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", address)
	}
	return nil
}
