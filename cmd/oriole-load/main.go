// Command oriole-load is a load generator: it sends requests to a fleet and reports the results that its callers observe.
package main

import (
	"github.com/jessevdk/go-flags"

	"github.com/orioleusher/orioleusher/internal/process"
)

type options struct {
	process.VersionFlag
	Demo    demoCommand    `command:"demo" description:"make one call of each kind and print what happened"`
	Run     runCommand     `command:"run" description:"make the requests of a scenario and measure"`
	Check   checkCommand   `command:"check" description:"check the records of a run against the promises"`
	Compare compareCommand `command:"compare" description:"print one table of the four measures of several results"`
	Plot    plotCommand    `command:"plot" description:"draw reuse, load skew, latency and refusals over time"`
}

func main() {
	opts := options{VersionFlag: process.NewVersionFlag()}
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	process.RunCommand(parser)
}
