// Package ctl implements oriolectl, the operators' command-line tool: it checks and compares documents, shows the state of
// the fleet, explains how a chat is routed and creates keys. It changes the state of routers only to issue idempotency keys
// and to lift quarantines.
package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	pkgerrors "github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/process"
)

const description = `Checks and compares documents, shows the state of a fleet, explains routing and issues keys.

Exit codes: 0 done and nothing wrong, 1 failed, 2 wrong command line, 4 done and something found: the ` +
	`document is invalid, the documents differ, something in the fleet is wrong, or no upstream serves the chat.`

// errCheckFailed is returned by a command that completed and found a problem. The command has already written what it
// found.
var errCheckFailed = errors.New("check failed")

// app holds what all commands share.
type app struct {
	out io.Writer
	// errOut is for messages that must stay out of the command's output, such as hints.
	errOut  io.Writer
	options *options
}

type options struct {
	Output  string        `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout time.Duration `long:"timeout" default:"3s" description:"longest wait for one answer"`
	process.VersionFlag

	Validate       validateCommand       `command:"validate" description:"check a document"`
	Diff           diffCommand           `command:"diff" description:"compare two documents"`
	Status         statusCommand         `command:"status" description:"show the fleet at a glance"`
	Dump           dumpCommand           `command:"dump" description:"show the state of routers"`
	Top            topCommand            `command:"top" description:"show routers that send directly at intervals: rates, refusals by code, upstreams"`
	Explain        explainCommand        `command:"explain" description:"say why a chat goes to its upstream"`
	Request        requestCommand        `command:"request" description:"tell a request's life from log files"`
	Lift           liftCommand           `command:"lift" description:"end the quarantine of a request on every router"`
	Key            keyCommand            `command:"key" description:"make callers' keys"`
	IdempotencyKey idempotencyKeyCommand `command:"idempotency-key" description:"get idempotency keys"`
	ShowVersion    versionCommand        `command:"version" description:"print the version"`
}

// Run parses and runs a command line and returns the process exit code.
func Run(args []string, out, errOut io.Writer) int {
	opts := options{VersionFlag: process.NewVersionFlag()}
	a := &app{out: out, errOut: errOut, options: &opts}
	opts.Validate.app, opts.Diff.app, opts.Status.app, opts.Dump.app, opts.Top.app = a, a, a, a, a
	opts.Explain.app, opts.Request.app, opts.Lift.app, opts.Key.New.app, opts.IdempotencyKey.Issue.app, opts.ShowVersion.app = a, a, a, a, a, a
	parser := flags.NewNamedParser("oriolectl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		fmt.Fprintln(errOut, err)
		return process.ExitFailed
	}
	parser.LongDescription = description
	_, err := parser.ParseArgs(args)
	return exitCode(err, out, errOut)
}

func exitCode(err error, out, errOut io.Writer) int {
	var flagErr *flags.Error
	switch {
	case err == nil:
		return process.ExitOK
	case errors.Is(err, errCheckFailed):
		return process.ExitCheckFailed
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(out, err)
		return process.ExitOK
	case errors.As(err, &flagErr):
		fmt.Fprintln(errOut, err)
		return process.ExitUsage
	default:
		fmt.Fprintln(errOut, "oriolectl:", err)
		return process.ExitFailed
	}
}

// writeOutput writes v as JSON if the option --output is json; otherwise it writes a table with the given function.
func (a *app) writeOutput(v any, table func(w io.Writer)) error {
	if a.options.Output == "json" {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		return pkgerrors.Wrap(enc.Encode(v), "write output")
	}
	const columnGap = 2
	w := tabwriter.NewWriter(a.out, 0, 8, columnGap, ' ', 0)
	table(w)
	return pkgerrors.Wrap(w.Flush(), "write output")
}

type versionCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	return c.app.writeOutput(struct {
		Version string `json:"version"`
	}{process.Version}, func(w io.Writer) { fmt.Fprintln(w, process.Version) })
}
