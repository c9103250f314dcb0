// Command oriole-load drives a fleet with requests and reports what its callers saw.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/process"
)

type demoCommand struct {
	Callers  string `long:"callers" required:"yes" value-name:"FILE" description:"entry addresses and keys"`
	Document string `long:"document" required:"yes" value-name:"FILE" description:"the fleet's document"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	callers, err := load.ReadCallers(c.Callers)
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(c.Document)
	if err != nil {
		return errors.Wrap(err, "read document")
	}
	snap, err := document.Parse(raw)
	if err != nil {
		return err
	}
	return load.Demo(process.SignalContext(), callers, snap, os.Stdout)
}

type options struct {
	process.VersionFlag
	Demo demoCommand `command:"demo" description:"make one call of each kind and print what happened"`
}

func main() {
	opts := options{VersionFlag: process.NewVersionFlag()}
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	process.ParseCommands(parser)
}
