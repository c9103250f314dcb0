// Command standin-service is a test double of one plain server.
package main

import (
	"os"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/logging"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/standin/server"
	"github.com/orioleusher/orioleusher/internal/standin/service"
)

type options struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of all stand-ins, in JSON"`
	Name     string `long:"name" required:"yes" description:"name of the service in the settings"`
	process.VersionFlag
}

func main() {
	opts := options{VersionFlag: process.NewVersionFlag()}
	process.Parse(&opts, "Runs a test double of one plain server.")
	var all settings.StandIns
	if err := settings.Load(opts.Settings, &all); err != nil {
		process.Exit(err)
	}
	s, ok := all.Service(opts.Name)
	if !ok {
		process.Exit(errors.Errorf("%s: service %q does not exist", opts.Settings, opts.Name))
	}
	log := logging.New(os.Stderr, s.Log.Level, s.Name)
	svc := service.New(s, log)
	process.Exit(server.Run(process.SignalContext(), svc.Server(), s.AdminAddress, server.AdminHandler(svc), log))
}
