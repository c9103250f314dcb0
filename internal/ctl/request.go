package ctl

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/logread"
)

type requestCommand struct {
	app  *app
	Args struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"yes"`
		Files   []string `positional-arg-name:"LOG" required:"1" description:"log files of routers, in any order; - is standard input"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *requestCommand) Execute([]string) error {
	var logs []io.Reader
	for _, name := range c.Args.Files {
		if name == "-" {
			logs = append(logs, os.Stdin)
			continue
		}
		raw, err := os.ReadFile(name)
		if err != nil {
			return errors.Wrap(err, "read log")
		}
		logs = append(logs, bytes.NewReader(raw))
	}
	lines, err := logread.Read(logs...)
	if err != nil {
		return err
	}
	history := logread.FindRequest(lines, c.Args.Request)
	if err := c.app.writeOutput(history, func(w io.Writer) { writeHistory(w, history) }); err != nil {
		return err
	}
	if len(history.RequestLines) == 0 {
		return errCheckFailed
	}
	return nil
}

// writeHistory writes the log lines of the request and the related events in order of time. It marks the request's own
// lines with an asterisk.
func writeHistory(w io.Writer, history logread.RequestHistory) {
	if len(history.RequestLines) == 0 {
		fmt.Fprintf(w, "no log line for request %s; only a sample of the requests that succeed in time on the first attempt is logged\n", history.Request)
		return
	}
	type markedLine struct {
		mark string
		logread.Line
	}
	var all []markedLine
	for _, line := range history.RequestLines {
		all = append(all, markedLine{"*", line})
	}
	for _, line := range history.ContextLines {
		all = append(all, markedLine{"", line})
	}
	slices.SortStableFunc(all, func(a, b markedLine) int { return a.Time.Compare(b.Time) })
	for _, line := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", line.mark, line.Time.Format("15:04:05.000"), line.Host, line.Event, formatFields(line.Line))
	}
}

// formatFields returns the line's other fields as name=value pairs, sorted by name.
func formatFields(line logread.Line) string {
	var names []string
	for name := range line.Fields {
		switch name {
		case logread.FieldTime, logread.FieldHost, logread.FieldEvent, "level":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	pairs := make([]string, len(names))
	for i, name := range names {
		pairs[i] = name + "=" + line.Fields[name]
	}
	return strings.Join(pairs, " ")
}
