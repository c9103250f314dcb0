// Command standin-platform is a test double of the platform's configuration service and host list.
package main

import (
	"os"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/logging"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/standin/platform"
	"github.com/orioleusher/orioleusher/internal/standin/server"
)

type options struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of all stand-ins, in JSON"`
	process.VersionFlag
}

func main() {
	opts := options{VersionFlag: process.NewVersionFlag()}
	process.Parse(&opts, "Runs a test double of the platform.")
	var all settings.StandIns
	if err := settings.Load(opts.Settings, &all); err != nil {
		process.Exit(err)
	}
	s := all.Platform
	raw, err := os.ReadFile(s.DocumentFile)
	if err != nil {
		process.Exit(errors.Wrap(err, "read document"))
	}
	log := logging.New(os.Stderr, s.Log.Level, "platform")
	p := platform.New(s, raw, log)
	process.Exit(server.Run(process.SignalContext(), p.Server(), s.AdminAddress, p.AdminHandler(), log))
}
