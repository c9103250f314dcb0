// Command oriole-router is the router daemon that runs on every entry host.
package main

import (
	"bytes"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

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

// runOwned runs the router in the mode in which each upstream has an owner host and the configuration is one document.
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

// runDirect runs the router in the mode that sends directly to the upstreams that the platform publishes.
func runDirect(opts options) error {
	hangups := make(chan os.Signal, 1) // a SIGHUP may come before the settings have been read
	signal.Notify(hangups, syscall.SIGHUP)
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
	pool := gateway.NewPool(&s, clock)
	g := gateway.New(&s, gateway.Adapter{
		Source: platform.NewStore(s.StoreAddress, gateway.NewTransport(pool)), Decode: platform.Decode, Equivalent: platform.Equivalent,
		Lasting: platform.Lasting, Supersedes: platform.Supersedes, Codec: platform.Codec{},
		KeyPrefix: platform.KeyPrefix,
	}, pool, clock, log)
	go watchSettings(opts.Settings, hangups, g, log)
	return g.Run(process.SignalContext())
}

// settingsPollInterval is how often the settings file is read again, since it may change without a signal.
const settingsPollInterval = 5 * time.Second

// watchSettings applies changes of the settings file, on SIGHUP and when polling finds one.
func watchSettings(file string, hangups <-chan os.Signal, g *gateway.Gateway, log zerolog.Logger) {
	loaded, err := os.ReadFile(file)
	for {
		if err != nil {
			log.Error().Str("event", "reload-failed").Err(err).Send()
		}
		signalled := false
		select {
		case <-hangups:
			signalled = true
		case <-time.After(settingsPollInterval):
		}
		var content []byte
		content, err = os.ReadFile(file)
		if err != nil || !signalled && bytes.Equal(content, loaded) {
			continue
		}
		loaded = content
		var next settings.Direct
		if err = settings.Load(file, &next); err == nil {
			g.Reload(&next)
		}
	}
}
