package main

import (
	"os"

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
	snap, err := readDocument(c.Document)
	if err != nil {
		return err
	}
	return load.Demo(process.SignalContext(), callers, snap, os.Stdout)
}

func readDocument(path string) (*document.Snapshot, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	return document.Parse(raw)
}
