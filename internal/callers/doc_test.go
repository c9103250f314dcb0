package callers

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// apiDoc is the documentation of the API for callers.
const apiDoc = "../../docs/API.md"

// codePattern matches an error code.
var codePattern = regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)

// codeArgument maps the name of a function to the index of its argument that is an error code.
var codeArgument = map[string]int{"Refuse": 2, "Unavailable": 1, "refuseWithKey": 2}

// excludedDirs are directories whose errors never reach a caller.
var excludedDirs = []string{"standin", "load", "ctl", "console", "settings"}

// sourceCodes maps every error code in the sources below internal to a file that contains it.
func sourceCodes(t *testing.T) map[string]string {
	t.Helper()
	codes := map[string]string{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if slices.ContainsFunc(excludedDirs, func(dir string) bool { return strings.HasPrefix(path, "../"+dir) }) {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err == nil {
			ast.Inspect(file, func(n ast.Node) bool { collect(n, path, codes); return true })
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return codes
}

func collect(n ast.Node, path string, codes map[string]string) {
	switch n := n.(type) {
	case *ast.CallExpr:
		if i, ok := codeArgument[calledName(n)]; ok && i < len(n.Args) {
			add(n.Args[i], path, codes)
		}
	case *ast.KeyValueExpr:
		if key, ok := n.Key.(*ast.Ident); ok && key.Name == "Code" {
			add(n.Value, path, codes)
		}
	case *ast.ValueSpec:
		for i, name := range n.Names {
			if strings.HasPrefix(strings.ToLower(name.Name), "code") && i < len(n.Values) {
				add(n.Values[i], path, codes)
			}
		}
	}
}

func calledName(call *ast.CallExpr) string {
	switch f := call.Fun.(type) {
	case *ast.Ident:
		return f.Name
	case *ast.SelectorExpr:
		return f.Sel.Name
	default:
		return ""
	}
}

func add(e ast.Expr, path string, codes map[string]string) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return
	}
	if code, err := strconv.Unquote(lit.Value); err == nil && codePattern.MatchString(code) {
		codes[code] = path
	}
}

// documentedCodes returns the codes in the first column of the documentation's table of error codes.
func documentedCodes(t *testing.T) map[string]bool {
	t.Helper()
	raw, err := os.ReadFile(apiDoc)
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(raw), "## Error codes")
	if !found {
		t.Fatalf("%s has no section on error codes", apiDoc)
	}
	codes := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\|").FindAllStringSubmatch(table, -1) {
		codes[row[1]] = true
	}
	return codes
}

func TestDocumentedErrorCodesMatchSources(t *testing.T) {
	sources, documented := sourceCodes(t), documentedCodes(t)
	if len(sources) < 20 {
		t.Fatalf("only %d codes found in the sources; the search is broken", len(sources))
	}
	for code, path := range sources {
		if !documented[code] {
			t.Errorf("code %q of %s is not in the table of docs/API.md", code, path)
		}
	}
	for code := range documented {
		if _, ok := sources[code]; !ok {
			t.Errorf("code %q of docs/API.md is not in the sources", code)
		}
	}
}

func TestEveryHeaderIsDocumented(t *testing.T) {
	raw, err := os.ReadFile(apiDoc)
	if err != nil {
		t.Fatal(err)
	}
	headers := []string{
		"Oriole-Outcome", "Oriole-Earlier", "Oriole-Upstream", "Oriole-Trace", "Idempotency-Key", "Retry-After",
		HeaderTimeout, "X-Chat-Id", "Authorization", "X-Api-Key", "X-Request-Id",
	}
	for _, name := range headers {
		if !strings.Contains(string(raw), "`"+name+"`") {
			t.Errorf("header %s is not in docs/API.md", name)
		}
	}
}
