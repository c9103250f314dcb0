package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/checker"
	"github.com/orioleusher/orioleusher/internal/record"
)

// maxShownViolations limits the number of violations that are printed for each promise.
const maxShownViolations = 5

type checkCommand struct {
	Records string `long:"records" required:"yes" value-name:"FILE" description:"records of a run"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	file, err := os.Open(c.Records)
	if err != nil {
		return errors.Wrap(err, "open records")
	}
	defer func() { _ = file.Close() }()
	lines, err := record.Read(file)
	if err != nil {
		return err
	}
	return printReports(checker.Check(lines))
}

func printReports(reports []checker.Report) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "PROMISE\tRECORDS\tVERIFIED")
	violations := 0
	for i := range reports {
		r := &reports[i]
		fmt.Fprintf(table, "%s\t%d\t%s\n", r.Promise, r.Examined, formatResult(r))
		violations += len(r.Violations)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	for i := range reports {
		for _, v := range reports[i].Violations[:min(maxShownViolations, len(reports[i].Violations))] {
			fmt.Println(v)
		}
	}
	if violations > 0 {
		return errors.Errorf("%d violations", violations)
	}
	return nil
}

func formatResult(r *checker.Report) string {
	switch {
	case len(r.Violations) > 0:
		return fmt.Sprintf("FAIL, %d violations", len(r.Violations))
	case r.Examined == 0:
		return "not shown: no record"
	default:
		return "pass"
	}
}
