package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/gateway"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/process"
)

const sampleDocument = "../../deploy/lobue/document.json"

// runCtl runs a command line and returns its exit code, standard output and standard error.
func runCtl(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = Run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// writeEditedDocument writes a copy of the deployed document with one occurrence of from replaced, and returns its path.
func writeEditedDocument(t *testing.T, from, to string) string {
	t.Helper()
	raw, err := os.ReadFile(sampleDocument)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "document.json")
	if err := os.WriteFile(path, []byte(strings.Replace(string(raw), from, to, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestExitCodesAndOutputs(t *testing.T) {
	invalid := writeEditedDocument(t, `"state": "in"`, `"state": "up"`)
	changed := writeEditedDocument(t, `"burst": 120`, `"burst": 121`)
	allOut := writeEditedDocument(t, `"schema": 1`, `"schema": 1`)
	disableAll(t, allOut)
	cases := []struct {
		name   string
		args   []string
		code   int
		out    string
		errOut string
	}{
		{"help", []string{"--help"}, process.ExitOK, "Exit codes: 0 done", ""},
		{"no command", nil, process.ExitUsage, "", "Please specify one command"},
		{"unknown command", []string{"paint"}, process.ExitUsage, "", "Unknown command"},
		{"unknown output", []string{"version", "-o", "xml"}, process.ExitUsage, "", "Invalid value"},
		{"lift without a fingerprint", []string{"lift", "-d", sampleDocument}, process.ExitUsage, "", "FINGERPRINT"},
		{"lift with an invalid fingerprint", []string{"lift", "-d", sampleDocument, "all"}, process.ExitUsage, "", "want a decimal number"},
		{"lift with unreachable routers", []string{"lift", "-d", sampleDocument, "7"}, process.ExitCheckFailed, "connection refused", ""},
		{"version", []string{"version"}, process.ExitOK, process.Version + "\n", ""},
		{"version as JSON", []string{"version", "-o", "json"}, process.ExitOK, `"version": "` + process.Version, ""},
		{"valid document", []string{"validate", sampleDocument}, process.ExitOK, ": valid, version 1, hash ", ""},
		{"invalid document", []string{"validate", invalid}, process.ExitCheckFailed, `data_centres[0].state  "up"   "in" or "out"`, ""},
		{"invalid document as JSON", []string{"validate", invalid, "-o", "json"}, process.ExitCheckFailed, `"valid": false`, ""},
		{"missing file", []string{"validate", "none.json"}, process.ExitFailed, "", "oriolectl: read document: open none.json"},
		{"validate without a file", []string{"validate"}, process.ExitUsage, "", "the required argument `FILE`"},
		{"identical documents", []string{"diff", sampleDocument, sampleDocument}, process.ExitOK, "", ""},
		{"different documents", []string{"diff", sampleDocument, changed}, process.ExitCheckFailed, "~ teams[counter].burst: 120 -> 121\n", ""},
		{"different documents as JSON", []string{"diff", "-o", "json", sampleDocument, changed}, process.ExitCheckFailed, `"before": "120"`, ""},
		{"diff with an invalid document", []string{"diff", sampleDocument, invalid}, process.ExitFailed, "", `value "up"`},
		{"explain", []string{"explain", "-d", sampleDocument, "--route", "chat", "--chat", "c"}, process.ExitOK, "rendezvous order of the chat", ""},
		{"explain with all upstreams out", []string{"explain", "-d", allOut, "--route", "chat", "--chat", "c"}, process.ExitCheckFailed, "upstream is out", ""},
		{"explain an unknown route", []string{"explain", "-d", sampleDocument, "--route", "x", "--chat", "c"}, process.ExitFailed, "", `route "x" is not in document version 1`},
		{"no document given", []string{"status"}, process.ExitFailed, "", "want either --document FILE or --platform URL"},
		{"dump an unknown router", []string{"dump", "-d", sampleDocument, "x"}, process.ExitFailed, "", `router "x" is not in document version 1`},
		{"dump routers of a document and others", []string{"dump", "-d", sampleDocument, "-a", "127.0.0.1:1"}, process.ExitFailed, "", "want either --admin or routers of a document"},
		{"dump an unreachable router", []string{"dump", "-a", "127.0.0.1:1"}, process.ExitCheckFailed, "unreachable: ", ""},
		{"key without id", []string{"key", "new"}, process.ExitUsage, "", "required flag `--id'"},
		{"key with a bad id", []string{"key", "new", "--id", "a b"}, process.ExitFailed, "", `--id "a b": want 1 to 64 letters`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, out, errOut := runCtl(c.args...)
			is.Equal(code, c.code)
			if !strings.Contains(out, c.out) || !strings.Contains(errOut, c.errOut) {
				t.Errorf("output %q, errors %q", out, errOut)
			}
			is.Equal(c.errOut == "", errOut == "") // standard error is empty unless an error is expected
		})
	}
}

// disableAll sets the state of everything in the document file to out.
func disableAll(t *testing.T, path string) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, bytes.ReplaceAll(raw, []byte(`"state": "in"`), []byte(`"state": "out"`)), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestKeyNewPrintsKeyAndDocumentEntry(t *testing.T) {
	is := is.New(t)
	code, out, _ := runCtl("key", "new", "--id", "spring", "--valid-for", "720h", "-o", "json")
	is.Equal(code, process.ExitOK)
	var created createdKey
	is.NoErr(json.Unmarshal([]byte(out), &created))
	is.Equal(created.Entry.ID, "spring")
	is.Equal(created.Entry.SHA256, document.HashKey(created.Key))
	is.True(created.Entry.NotAfter != nil)
}

// Guards against a dump that hides what upstreams say of themselves, with who told the router and when.
func TestDumpOfDirectRouterShowsWhatUpstreamsSay(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := balance.NewTable("dc", clock, zerolog.Nop())
	limit := 2.5
	u := &catalog.Upstream{ID: "engine-1", Address: "10.0.0.1:80"}
	table.RecordRequestLimit(u, &limit)
	table.MarkLeaving(u)
	clock.Advance(time.Second)
	server := httptest.NewServer(admin.Handler(admin.Options{
		Ready: func() string { return "" }, State: func() any { return gateway.State{Upstreams: table.State()} },
	}))
	defer server.Close()
	code, out, _ := runCtl("dump", "--admin", strings.TrimPrefix(server.URL, "http://"))
	is.Equal(code, process.ExitOK)
	_, upstreams, found := strings.Cut(out, "-- upstreams: 1\n")
	is.True(found)
	lines := strings.Split(upstreams, "\n")
	columns, cells := regexp.MustCompile("  +").Split(lines[0], -1), strings.Fields(lines[1])
	for column, want := range map[string]string{
		"REQUEST LIMIT": "2.5", "REQUEST LIMIT SOURCE": "response", "REQUEST LIMIT AGE NS": "1000000000", "LEAVING": "true",
		"LEAVING SOURCE": "response", "LEAVING AGE NS": "1000000000",
	} {
		i := slices.Index(columns, column)
		is.True(i >= 0)
		is.Equal(cells[i], want)
	}
}

func TestStatusReportsUnreachableRouters(t *testing.T) {
	is := is.New(t)
	// No process listens on port 1 of these addresses.
	file := writeEditedDocument(t, `"schema": 1`, `"schema": 1`)
	raw, err := os.ReadFile(file)
	is.NoErr(err)
	is.NoErr(os.WriteFile(file, bytes.ReplaceAll(raw, []byte(":9080"), []byte(":1")), 0o600))
	code, out, _ := runCtl("status", "-d", file, "-o", "json")
	is.Equal(code, process.ExitCheckFailed)
	var status fleetStatus
	is.NoErr(json.Unmarshal([]byte(out), &status))
	is.Equal(len(status.Routers), 7)
	is.Equal(status.Problems, 7)
	is.True(strings.Contains(status.Routers[0].Problems[0], "unreachable"))
}

func TestIdempotencyKeyIssueReadsKeyFromStatus428(t *testing.T) {
	is := is.New(t)
	t.Setenv(keyVariable, "")
	code, _, errOut := runCtl("idempotency-key", "issue", "--address", "127.0.0.1:1", "--path", "/v1/orders")
	is.Equal(code, process.ExitFailed)
	is.True(strings.Contains(errOut, "ORIOLE_KEY"))

	t.Setenv(keyVariable, "secret")
	status := http.StatusPreconditionRequired
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("Authorization"), "Bearer secret")
		w.Header().Set(outcome.HeaderIdempotencyKey, "issued")
		w.WriteHeader(status)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	code, out, _ := runCtl("idempotency-key", "issue", "--address", address, "--path", "/v1/orders")
	is.Equal(code, process.ExitOK)
	is.Equal(out, "issued\n")
	status = http.StatusOK // a repeatable route needs no key, so the router executed the request
	code, _, errOut = runCtl("idempotency-key", "issue", "--address", address, "--path", "/v1/orders")
	is.Equal(code, process.ExitFailed)
	is.True(strings.Contains(errOut, "status 200, want 428"))
}

// Two documents are edited from version 1 and the first is published. Publishing the second would overwrite the changes of
// the first, so validate must reject it.
func TestValidateRejectsDocumentWithOutdatedParent(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(sampleDocument)
	is.NoErr(err)
	inForce, err := document.Parse(raw)
	is.NoErr(err)
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/v1/config/lobue")
		_, _ = w.Write(inForce.Raw)
	}))
	defer platform.Close()
	first, second := writeSuccessor(t, inForce, 121), writeSuccessor(t, inForce, 122)
	for _, file := range []string{first, second} {
		code, _, _ := runCtl("validate", file, "--platform", platform.URL)
		is.Equal(code, process.ExitOK)
	}
	inForce, err = readDocument(first)
	is.NoErr(err)
	code, out, _ := runCtl("validate", second, "--platform", platform.URL)
	is.Equal(code, process.ExitCheckFailed)
	is.True(strings.Contains(out, "a version above 2, which is in force"))
	is.True(strings.Contains(out, "reapply the changes to that version"))
	platform.Close()
	code, _, errOut := runCtl("validate", second, "--platform", platform.URL)
	is.Equal(code, process.ExitFailed)
	is.True(strings.Contains(errOut, "read document from the platform"))
}

// writeSuccessor writes the next version of base, with the given burst of the first team, and returns its path.
func writeSuccessor(t *testing.T, base *document.Snapshot, burst float64) string {
	t.Helper()
	next, err := document.Parse(base.Raw)
	if err != nil {
		t.Fatal(err)
	}
	next.Version, next.Parent = base.Version+1, document.Parent{Version: base.Version, Hash: base.Hash}
	next.Teams[0].Burst = burst
	raw, err := next.Encode()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "document.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
