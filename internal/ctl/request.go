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
	life := logread.FindRequest(lines, c.Args.Request)
	if err := c.app.show(life, func(w io.Writer) { writeLife(w, life) }); err != nil {
		return err
	}
	if len(life.RequestLines) == 0 {
		return errFinding
	}
	return nil
}

// writeLife writes the lines of the request and the facts around it by time; a star marks the request's own.
func writeLife(w io.Writer, life logread.RequestHistory) {
	if len(life.RequestLines) == 0 {
		fmt.Fprintf(w, "no line of request %s; requests served in time at the first send are logged by a sample\n", life.Request)
		return
	}
	type marked struct {
		mark string
		logread.Line
	}
	var all []marked
	for _, line := range life.RequestLines {
		all = append(all, marked{"*", line})
	}
	for _, line := range life.ContextLines {
		all = append(all, marked{"", line})
	}
	slices.SortStableFunc(all, func(a, b marked) int { return a.Time.Compare(b.Time) })
	for _, line := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", line.mark, line.Time.Format("15:04:05.000"), line.Host, line.Event, detail(line.Line))
	}
}

// detail returns the line's other fields, by name; those of the trail stand one send a column of text.
func detail(line logread.Line) string {
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
