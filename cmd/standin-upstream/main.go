// Command standin-upstream is a test double of one engine or plain service of the users' platform.
package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/logging"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/platform/standin"
)

const (
	// headerTimeout limits the time to read the headers of a request, stopTimeout the time that requests have at the stop.
	headerTimeout = 5 * time.Second
	stopTimeout   = 5 * time.Second
)

type options struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of all stand-ins, in JSON"`
	Name     string `long:"name" required:"yes" description:"name of the upstream in the settings"`
	process.VersionFlag
}

func main() {
	opts := options{VersionFlag: process.NewVersionFlag()}
	process.Parse(&opts, "Runs a test double of one upstream.")
	var all settings.DirectStandIns
	if err := settings.Load(opts.Settings, &all); err != nil {
		process.Exit(err)
	}
	s, ok := all.Upstream(opts.Name)
	if !ok {
		process.Exit(errors.Errorf("%s: upstream %q does not exist", opts.Settings, opts.Name))
	}
	process.Exit(run(process.SignalContext(), s, all.Store.WriteAddress))
}

// run serves requests until the context is cancelled, and then stops gracefully.
func run(ctx context.Context, s settings.StandInUpstream, writes string) error {
	u := standin.NewUpstream(s, writes, logging.New(os.Stderr, s.Log.Level, s.Name))
	server := &http.Server{Addr: s.Address, Handler: u, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan error, 1)
	go func() {
		u.Register(ctx)
		stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		stopped <- server.Shutdown(stopCtx)
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", s.Address)
	}
	return errors.Wrap(<-stopped, "shut down upstream")
}
