package prove

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"strings"

	"github.com/pkg/errors"
)

// Verdict is how a test, or all tests of a cell, ended.
type Verdict string

// The verdicts, the worst first.
const (
	Fail      Verdict = "FAIL"
	KnownRed  Verdict = "known red"
	NotRun    Verdict = "not run"
	Pass      Verdict = "pass"
	NotProved Verdict = "not proved"
)

// TestID identifies a top-level test by the folder of its package and its name. An empty name stands for a package that
// failed without a failing test, for example because it does not compile.
type TestID struct {
	Package string
	Name    string
}

// Results holds the verdict of each top-level test that ran.
type Results map[TestID]Verdict

// event is a line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// GoTest runs go test with the arguments, copies the output of failing tests to out and returns the results. Module is
// the module path, which is cut off package names.
func GoTest(ctx context.Context, module string, args []string, out io.Writer) (Results, error) {
	cmd := exec.CommandContext(ctx, "go", append([]string{"test", "-json", "-count=1"}, args...)...)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open output of go test")
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start go test")
	}
	results, parseErr := parseEvents(stdout, module, out)
	waitErr := cmd.Wait()
	if parseErr != nil {
		return nil, parseErr
	}
	if waitErr != nil && !results.anyFailed() {
		return nil, errors.Wrap(waitErr, "go test failed and names no failing test")
	}
	return results, nil
}

func (r Results) anyFailed() bool {
	for _, v := range r {
		if v == Fail {
			return true
		}
	}
	return false
}

// parseEvents reads the events of go test -json.
func parseEvents(r io.Reader, module string, out io.Writer) (Results, error) {
	p := collector{results: Results{}, output: map[TestID][]string{}, out: out}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, errors.Wrapf(err, "event %q", lines.Text())
		}
		name, _, _ := strings.Cut(e.Test, "/")
		id := TestID{Package: strings.TrimPrefix(strings.TrimPrefix(e.Package, module), "/"), Name: name}
		p.take(id, e.Test == name, &e)
	}
	return p.results, errors.Wrap(lines.Err(), "read events")
}

type collector struct {
	results Results
	output  map[TestID][]string
	out     io.Writer
}

func (p *collector) take(id TestID, top bool, e *event) {
	switch e.Action {
	case "output":
		p.output[id] = append(p.output[id], e.Output)
	case "pass", "skip", "fail":
		if top {
			p.end(id, e.Action)
		}
	}
}

func (p *collector) end(id TestID, action string) {
	if action == "fail" {
		for _, line := range p.output[id] {
			// Output is for people; what cannot be written is lost.
			_, _ = io.WriteString(p.out, line)
		}
	}
	delete(p.output, id)
	switch {
	case id.Name == "" && (action != "fail" || p.packageExplained(id.Package)):
	case action == "fail":
		p.results[id] = Fail
	case action == "skip":
		p.results[id] = NotRun
	default:
		p.results[id] = Pass
	}
}

// packageExplained reports whether a test of the package failed.
func (p *collector) packageExplained(name string) bool {
	for id, v := range p.results {
		if id.Package == name && v == Fail {
			return true
		}
	}
	return false
}
