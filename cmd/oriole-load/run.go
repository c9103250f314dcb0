package main

import (
	"bufio"
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/load/report"
	"github.com/orioleusher/orioleusher/internal/load/scenario"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/record"
	"github.com/orioleusher/orioleusher/internal/settings"
)

type runCommand struct {
	Scenario string  `long:"scenario" required:"yes" value-name:"FILE" description:"requests and faults"`
	Callers  string  `long:"callers" required:"yes" value-name:"FILE" description:"entry addresses and keys"`
	Document string  `long:"document" value-name:"FILE" description:"the fleet's document: rates, engines, probe addresses"`
	StandIns string  `long:"standins" value-name:"FILE" description:"settings of the stand-ins: admin addresses for faults and load"`
	Hook     string  `long:"hook" value-name:"FILE" description:"file that takes a line \"SIGNAL PROCESS\" for each fault of a process"`
	Out      string  `long:"out" required:"yes" value-name:"FILE" description:"result in JSON"`
	Records  string  `long:"records" value-name:"FILE" description:"records of the run in JSON lines, for check"`
	Label    string  `long:"label" default:"bounded" description:"name of the run in comparisons"`
	Scale    float64 `long:"scale" description:"multiplies every arrival rate, in place of the scenario's scale"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	o, err := c.options()
	if err != nil {
		return err
	}
	if c.Hook != "" {
		hook, err := os.OpenFile(c.Hook, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return errors.Wrap(err, "open hook file")
		}
		defer func() { _ = hook.Close() }()
		o.Hook = hook
	}
	result, lines, err := load.Run(process.SignalContext(), o)
	if err != nil {
		return err
	}
	if err := c.write(result, lines); err != nil {
		return err
	}
	return result.WriteTable(os.Stdout)
}

func (c *runCommand) options() (load.RunOptions, error) {
	o := load.RunOptions{Label: c.Label, Progress: os.Stderr}
	var err error
	if o.Scenario, err = scenario.Read(c.Scenario); err != nil {
		return o, err
	}
	if c.Scale > 0 {
		o.Scenario.Scale = c.Scale
	}
	if o.Callers, err = load.ReadCallers(c.Callers); err != nil {
		return o, err
	}
	if c.Document != "" {
		if o.Snapshot, err = readDocument(c.Document); err != nil {
			return o, err
		}
	}
	if c.StandIns != "" {
		o.StandIns = &settings.StandIns{}
		return o, settings.Load(c.StandIns, o.StandIns)
	}
	return o, nil
}

func (c *runCommand) write(result *report.Result, lines []record.Line) error {
	err := writeFile(c.Out, func(w io.Writer) error {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return errors.Wrap(enc.Encode(result), "encode result")
	})
	if err != nil || c.Records == "" {
		return err
	}
	return writeFile(c.Records, func(w io.Writer) error { return record.Write(w, lines) })
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	buffered := bufio.NewWriter(file)
	err = write(buffered)
	if err == nil {
		err = buffered.Flush()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrapf(err, "write %s", path)
}
