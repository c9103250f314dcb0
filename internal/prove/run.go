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

// Verdict is the result of a test, or the combined result of the tests of a cell.
type Verdict string

// Verdicts, the worst first. NotProved marks cells without tests.
const (
	Fail      Verdict = "FAIL"
	KnownFail Verdict = "known red"
	NotRun    Verdict = "not run"
	Pass      Verdict = "pass"
	NotProved Verdict = "not proved"
)

// TestID identifies a top-level test by its package directory and its name. An empty name stands for a package that
// failed without a failing test, for example because it does not compile.
type TestID struct {
	Package string
	Name    string
}

// Results holds the verdict of each top-level test that was run.
type Results map[TestID]Verdict

// event is one line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// GoTest runs go test with the arguments, copies the output of failing tests to out and returns the results. Module is
// the module path, which is removed from package names.
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
		return nil, errors.Wrap(waitErr, "go test failed but reported no failing test")
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

// parseEvents reads the output of go test -json.
func parseEvents(r io.Reader, module string, out io.Writer) (Results, error) {
	p := collector{results: Results{}, output: map[TestID][]string{}, out: out}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, errors.Wrapf(err, "decode event %q", lines.Text())
		}
		name, _, _ := strings.Cut(e.Test, "/")
		id := TestID{Package: strings.TrimPrefix(strings.TrimPrefix(e.Package, module), "/"), Name: name}
		p.add(id, e.Test == name, &e)
	}
	return p.results, errors.Wrap(lines.Err(), "read output of go test")
}

type collector struct {
	results Results
	output  map[TestID][]string
	out     io.Writer
}

func (p *collector) add(id TestID, top bool, e *event) {
	switch e.Action {
	case "output":
		p.output[id] = append(p.output[id], e.Output)
	case "pass", "skip", "fail":
		if top {
			p.finish(id, e.Action)
		}
	}
}

func (p *collector) finish(id TestID, action string) {
	if action == "fail" {
		for _, line := range p.output[id] {
			// The output is informational, so write errors are ignored.
			_, _ = io.WriteString(p.out, line)
		}
	}
	delete(p.output, id)
	switch {
	case id.Name == "" && (action != "fail" || p.hasFailedTest(id.Package)):
	case action == "fail":
		p.results[id] = Fail
	case action == "skip":
		p.results[id] = NotRun
	default:
		p.results[id] = Pass
	}
}

// hasFailedTest reports whether a test of the package failed.
func (p *collector) hasFailedTest(name string) bool {
	for id, v := range p.results {
		if id.Package == name && v == Fail {
			return true
		}
	}
	return false
}
