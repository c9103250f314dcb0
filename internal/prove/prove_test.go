package prove

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const root = "../.."

// TestIndexedTestsExist checks that each test of the index is declared in the test files of its package.
func TestIndexedTestsExist(t *testing.T) {
	is := is.New(t)
	index, err := ReadIndex(filepath.Join(root, "docs", "proofs.json"))
	is.NoErr(err)
	declared := map[string]map[string]bool{}
	for _, c := range index.Cells {
		for _, test := range c.Tests {
			if declared[test.Package] == nil {
				declared[test.Package] = testsOf(t, filepath.Join(root, test.Package))
			}
			if !declared[test.Package][test.Name] {
				t.Errorf("promise %s under fault %s: test %s %s does not exist", c.Promise, c.Fault, test.Package, test.Name)
			}
		}
	}
}

func testsOf(t *testing.T, dir string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range parsed.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && strings.HasPrefix(f.Name.Name, "Test") {
				names[f.Name.Name] = true
			}
		}
	}
	return names
}

func TestPageMatchesIndex(t *testing.T) {
	is := is.New(t)
	index, err := ReadIndex(filepath.Join(root, "docs", "proofs.json"))
	is.NoErr(err)
	var want bytes.Buffer
	is.NoErr(index.WritePage(&want))
	page, err := os.ReadFile(filepath.Join(root, "docs", "PROOFS.md"))
	is.NoErr(err)
	if string(page) != want.String() {
		t.Error("docs/PROOFS.md differs from docs/proofs.json; run make proofs-page")
	}
}

func TestKnownFailuresFileIsValid(t *testing.T) {
	is := is.New(t)
	_, err := ReadKnownFailures(filepath.Join(root, "KNOWN-RED.txt"))
	is.NoErr(err)
}

const events = `{"Action":"run","Package":"m/a","Test":"TestGood"}
{"Action":"pass","Package":"m/a","Test":"TestGood"}
{"Action":"output","Package":"m/a","Test":"TestBad/case","Output":"seen\n"}
{"Action":"fail","Package":"m/a","Test":"TestBad/case"}
{"Action":"fail","Package":"m/a","Test":"TestBad"}
{"Action":"skip","Package":"m/a","Test":"TestLong"}
{"Action":"fail","Package":"m/a"}
{"Action":"output","Package":"m/b","Output":"does not compile\n"}
{"Action":"fail","Package":"m/b"}
{"Action":"pass","Package":"m/c"}
`

func TestParseGoTestEvents(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	results, err := parseEvents(strings.NewReader(events), "m", &out)
	is.NoErr(err)
	is.Equal(results, Results{{"a", "TestGood"}: Pass, {"a", "TestBad"}: Fail, {"a", "TestLong"}: NotRun, {"b", ""}: Fail})
	is.True(strings.Contains(out.String(), "seen"))
	is.True(strings.Contains(out.String(), "does not compile"))
	is.Equal(len(results.WithVerdict(Fail)), 2)
	results.MarkKnownFailures([]KnownFailure{{ID: TestID{"a", "TestBad"}}, {ID: TestID{"a", "TestGood"}}})
	is.Equal(results[TestID{"a", "TestBad"}], KnownFail)
	is.Equal(results[TestID{"a", "TestGood"}], Pass)
	is.Equal(results.WithVerdict(Fail), []TestID{{"b", ""}})
}

func TestCellVerdictIsWorstVerdict(t *testing.T) {
	results := Results{{"a", "TestGood"}: Pass, {"a", "TestBad"}: Fail, {"a", "TestRed"}: KnownFail, {"a", "TestLong"}: NotRun}
	cases := []struct {
		tests []string
		want  Verdict
	}{
		{nil, NotProved},
		{[]string{"TestGood"}, Pass},
		{[]string{"TestGood", "TestLong"}, NotRun},
		{[]string{"TestGood", "TestMissing"}, NotRun},
		{[]string{"TestRed", "TestLong"}, KnownFail},
		{[]string{"TestGood", "TestBad", "TestRed"}, Fail},
	}
	for _, c := range cases {
		is := is.New(t)
		cell := &Cell{}
		for _, name := range c.tests {
			cell.Tests = append(cell.Tests, Test{Package: "a", Name: name})
		}
		is.Equal(results.CellVerdict(cell), c.want)
	}
}

func TestInvalidIndexIsRejected(t *testing.T) {
	definitions := []Definition{{ID: "x"}}
	cases := map[string][]Cell{
		"unknown promise":          {{Promise: "y", Fault: "x", NotProved: "r"}},
		"unknown fault":            {{Promise: "x", Fault: "y", NotProved: "r"}},
		"neither tests nor reason": {{Promise: "x", Fault: "x"}},
		"both test and reason":     {{Promise: "x", Fault: "x", NotProved: "r", Tests: []Test{{}}}},
		"duplicate cell":           {{Promise: "x", Fault: "x", NotProved: "r"}, {Promise: "x", Fault: "x", NotProved: "r"}},
		"no cells":                 nil,
	}
	for name, cells := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			index := &Index{Promises: definitions, Faults: definitions, Cells: cells}
			is.Equal(index.check() != nil, cells != nil)
			is.NoErr(index.WriteTable(io.Discard, Results{}))
		})
	}
}

// link matches the target of a relative Markdown link, without its anchor.
var link = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

func TestRelativeLinksInPagesResolve(t *testing.T) {
	var pages []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, found...)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range link.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s: link target %s does not exist", page, m[1])
			}
		}
	}
}
