// Command oriole-router is the daemon on every entry host.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/gateway"
	"github.com/orioleusher/orioleusher/internal/logging"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/router"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/platform"
)

type options struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings file in JSON"`
	Direct   bool   `long:"direct" description:"send straight to upstreams that the platform publishes; the settings are those of direct sending"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	process.VersionFlag
}

func main() {
	opts := options{VersionFlag: process.NewVersionFlag()}
	process.Parse(&opts, "Routes callers' requests to upstreams.")
	if opts.Direct {
		process.Exit(runDirect(opts))
	}
	process.Exit(runOwned(opts))
}

// runOwned runs the router whose upstreams have owners and whose configuration is one document.
func runOwned(opts options) error {
	var s settings.Router
	if err := settings.Load(opts.Settings, &s); err != nil {
		return err
	}
	r, err := router.New(&s, clockwork.NewRealClock(), logging.New(os.Stderr, s.Log.Level, s.Name))
	if err != nil {
		return err
	}
	if opts.Check {
		// New has read the TLS files too; nothing listens before Run.
		fmt.Printf("%s: settings are valid\n", opts.Settings)
		return nil
	}
	return r.Run(process.SignalContext())
}

// runDirect runs the router that sends straight to the upstreams that the platform publishes.
func runDirect(opts options) error {
	var s settings.Direct
	if err := settings.Load(opts.Settings, &s); err != nil {
		return err
	}
	if opts.Check {
		fmt.Printf("%s: settings are valid\n", opts.Settings)
		return nil
	}
	queue := logging.NewQueue(os.Stdout)
	defer queue.Close()
	clock := clockwork.NewRealClock()
	log := logging.New(queue, s.Log.Level, s.Name)
	pool := gateway.Pool(&s, clock)
	g := gateway.New(&s, gateway.Adapter{
		Source: platform.NewStore(s.StoreAddress, gateway.Transport(pool)), Decode: platform.Decode, Same: platform.Same, Codec: platform.Codec{},
		Prefix: platform.Prefix,
	}, pool, clock, log)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			var next settings.Direct
			if err := settings.Load(opts.Settings, &next); err != nil {
				log.Error().Str("event", "reload-failed").Err(err).Send()
				continue
			}
			g.Reload(&next)
		}
	}()
	return g.Run(process.SignalContext())
}
