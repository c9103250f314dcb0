// Command prove runs the tests that show the fleet's promises and prints which promise is shown under which fault.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/prove"
)

const (
	module   = "github.com/orioleusher/orioleusher"
	pageMode = 0o644
)

type options struct {
	Index    string `long:"index" default:"docs/proofs.json" description:"index of proofs"`
	Page     string `long:"page" description:"write the page of proofs here and run nothing"`
	KnownRed string `long:"known-red" default:"KNOWN-RED.txt" description:"failures that are known"`
	Args     struct {
		GoTest []string `positional-arg-name:"GO-TEST-ARGUMENT"`
	} `positional-args:"yes"`
}

func main() {
	var o options
	process.Parse(&o, "Runs go test with the arguments after -- and prints which promise is shown under which fault. Without arguments it runs all packages that the index names, and those below internal/proofs.")
	process.Exit(run(&o))
}

func run(o *options) error {
	index, err := prove.ReadIndex(o.Index)
	if err != nil {
		return err
	}
	if o.Page != "" {
		return writePage(index, o.Page)
	}
	known, err := prove.ReadKnownRed(o.KnownRed)
	if err != nil {
		return err
	}
	results, err := prove.GoTest(context.Background(), module, arguments(o, index), os.Stdout)
	if err != nil {
		return err
	}
	results.MarkKnown(known)
	if err := index.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	return verdict(results, known)
}

// arguments runs two packages and three tests of each at a time, because each test starts many processes.
func arguments(o *options, index *prove.Index) []string {
	if len(o.Args.GoTest) > 0 {
		return o.Args.GoTest
	}
	args := []string{"-p=2", "-parallel=3", "-timeout=30m", "./internal/proofs/..."}
	for _, name := range index.Packages() {
		args = append(args, "./"+name)
	}
	return args
}

func verdict(results prove.Results, known []prove.Red) error {
	for _, red := range known {
		fmt.Printf("known red: %s\n", red.Line)
	}
	for id, v := range results {
		if v == prove.NotRun {
			fmt.Printf("not run: %s %s\n", id.Package, id.Name)
		}
	}
	failures := results.Failures()
	for _, id := range failures {
		fmt.Printf("FAIL: %s %s\n", id.Package, id.Name)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", results.Count(prove.Pass), len(failures), results.Count(prove.NotRun))
	if len(failures) > 0 {
		return errors.Errorf("%d tests failed that %s does not list", len(failures), "KNOWN-RED.txt")
	}
	return nil
}

func writePage(index *prove.Index, path string) error {
	var page bytes.Buffer
	if err := index.WritePage(&page); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(path, page.Bytes(), pageMode), "write page of proofs")
}
