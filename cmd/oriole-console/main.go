// Command oriole-console serves the operators' web forms for editing a fleet's document. Their only output is a validated
// document to download.
package main

import (
	"fmt"
	"os"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/console"
	"github.com/orioleusher/orioleusher/internal/logging"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/settings"
)

type options struct {
	Settings     string `long:"settings" value-name:"FILE" description:"settings file in JSON"`
	Check        bool   `long:"check" description:"check the settings and exit"`
	HashPassword bool   `long:"hash-password" description:"read a password from the first line of standard input, print its bcrypt hash and exit"`
	process.VersionFlag
}

func main() {
	opts := options{VersionFlag: process.NewVersionFlag()}
	process.Parse(&opts, "Serves the operators' web forms for editing a document; their only output is a validated document.")
	if opts.HashPassword {
		process.Exit(console.HashPassword(os.Stdin, os.Stdout))
	}
	var s settings.Console
	if err := settings.Load(opts.Settings, &s); err != nil {
		process.Exit(err)
	}
	c := console.New(&s, clockwork.NewRealClock(), logging.New(os.Stderr, s.Log.Level, "console"))
	if err := c.CheckFiles(); err != nil {
		process.Exit(err)
	}
	if opts.Check {
		fmt.Printf("%s: settings are valid\n", opts.Settings)
		return
	}
	process.Exit(c.Run(process.SignalContext()))
}
