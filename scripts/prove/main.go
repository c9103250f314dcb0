// Command prove runs the tests of the guarantees of the fleet (its promises) and prints which promise passes under which
// fault.
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
	process.Parse(&o, "Runs go test with the arguments after -- and prints which promise passes under which fault. Without arguments it runs the packages in the index and those below internal/proofs.")
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
	known, err := prove.ReadKnownFailures(o.KnownRed)
	if err != nil {
		return err
	}
	results, err := prove.GoTest(context.Background(), module, testArguments(o, index), os.Stdout)
	if err != nil {
		return err
	}
	results.MarkKnownFailures(known)
	if err := index.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	return printSummary(results, known)
}

// testArguments returns the arguments of go test. By default it runs two packages and three tests of each at a time,
// because each test starts many processes.
func testArguments(o *options, index *prove.Index) []string {
	if len(o.Args.GoTest) > 0 {
		return o.Args.GoTest
	}
	args := []string{"-p=2", "-parallel=3", "-timeout=30m", "./internal/proofs/..."}
	for _, name := range index.Packages() {
		args = append(args, "./"+name)
	}
	return args
}

func printSummary(results prove.Results, known []prove.KnownFailure) error {
	for _, entry := range known {
		fmt.Printf("known red: %s\n", entry.Line)
	}
	for _, id := range results.WithVerdict(prove.NotRun) {
		fmt.Printf("not run: %s %s\n", id.Package, id.Name)
	}
	failures := results.WithVerdict(prove.Fail)
	for _, id := range failures {
		fmt.Printf("FAIL: %s %s\n", id.Package, id.Name)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", results.Count(prove.Pass), len(failures), results.Count(prove.NotRun))
	if len(failures) > 0 {
		return errors.Errorf("%d tests failed that are not listed in %s", len(failures), "KNOWN-RED.txt")
	}
	return nil
}

func writePage(index *prove.Index, path string) error {
	var page bytes.Buffer
	if err := index.WritePage(&page); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(path, page.Bytes(), pageMode), "write page of the index")
}
