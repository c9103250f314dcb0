// Command oriole-router is the daemon on every entry host.
package main

import (
	"fmt"
	"os"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/logging"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/router"
	"github.com/orioleusher/orioleusher/internal/settings"
)

type options struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings file in JSON"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	process.VersionFlag
}

func main() {
	opts := options{VersionFlag: process.NewVersionFlag()}
	process.Parse(&opts, "Routes callers' requests to upstreams.")
	var s settings.Router
	if err := settings.Load(opts.Settings, &s); err != nil {
		process.Exit(err)
	}
	r, err := router.New(&s, clockwork.NewRealClock(), logging.New(os.Stderr, s.Log.Level, s.Name))
	if err != nil {
		process.Exit(err)
	}
	if opts.Check {
		// New has read the TLS files too; nothing listens before Run.
		fmt.Printf("%s: settings are valid\n", opts.Settings)
		return
	}
	process.Exit(r.Run(process.SignalContext()))
}
