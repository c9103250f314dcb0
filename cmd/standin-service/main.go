// Command standin-service stands in for one plain server.
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
	process.Parse(&opts, "Stands in for one plain server.")
	var all settings.StandIns
	if err := settings.Load(opts.Settings, &all); err != nil {
		process.Exit(err)
	}
	s, ok := all.Service(opts.Name)
	if !ok {
		process.Exit(errors.Errorf("%s: service %q does not exist", opts.Settings, opts.Name))
	}
	log := logging.New(os.Stderr, s.Log.Level, s.Name)
	v := service.New(s, log)
	process.Exit(server.Run(process.SignalContext(), v.Server(), s.AdminAddress, server.AdminHandler(v), log))
}
