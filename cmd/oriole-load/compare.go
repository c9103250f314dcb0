package main

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/load/plots"
	"github.com/orioleusher/orioleusher/internal/load/report"
)

type compareCommand struct {
	Args struct {
		Results []string `positional-arg-name:"RESULT" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	results, err := readResults(c.Args.Results)
	if err != nil {
		return err
	}
	return report.Compare(os.Stdout, results)
}

type plotCommand struct {
	Out  string `long:"out" required:"yes" value-name:"FILE" description:"file to write; its ending .png or .svg decides the format"`
	Args struct {
		Results []string `positional-arg-name:"RESULT" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *plotCommand) Execute([]string) error {
	results, err := readResults(c.Args.Results)
	if err != nil {
		return err
	}
	return plots.Write(c.Out, results)
}

func readResults(paths []string) ([]*report.Result, error) {
	var results []*report.Result
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read result")
		}
		var r report.Result
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, errors.Wrapf(err, "decode result %s", path)
		}
		results = append(results, &r)
	}
	return results, nil
}
