package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/process"
)

const lobue = "../../deploy/lobue/document.json"

// runCtl runs a command line and returns its exit code and outputs.
func runCtl(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(args, &o, &e)
	return code, o.String(), e.String()
}

// edited writes the deployed document with one text replaced and returns the file.
func edited(t *testing.T, from, to string) string {
	t.Helper()
	raw, err := os.ReadFile(lobue)
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
	invalid := edited(t, `"state": "in"`, `"state": "up"`)
	changed := edited(t, `"burst": 120`, `"burst": 121`)
	allOut := edited(t, `"schema": 1`, `"schema": 1`)
	takeOut(t, allOut)
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
		{"lift without a fingerprint", []string{"lift", "-d", lobue}, process.ExitUsage, "", "FINGERPRINT"},
		{"lift of no number", []string{"lift", "-d", lobue, "all"}, process.ExitUsage, "", "want a decimal number"},
		{"lift on routers that are down", []string{"lift", "-d", lobue, "7"}, process.ExitCheckFailed, "connection refused", ""},
		{"version", []string{"version"}, process.ExitOK, process.Version + "\n", ""},
		{"version as JSON", []string{"version", "-o", "json"}, process.ExitOK, `"version": "` + process.Version, ""},
		{"valid", []string{"validate", lobue}, process.ExitOK, ": valid, version 1, hash ", ""},
		{"invalid", []string{"validate", invalid}, process.ExitCheckFailed, `data_centres[0].state  "up"   "in" or "out"`, ""},
		{"invalid as JSON", []string{"validate", invalid, "-o", "json"}, process.ExitCheckFailed, `"valid": false`, ""},
		{"no file", []string{"validate", "none.json"}, process.ExitFailed, "", "oriolectl: read document: open none.json"},
		{"validate nothing", []string{"validate"}, process.ExitUsage, "", "the required argument `FILE`"},
		{"same", []string{"diff", lobue, lobue}, process.ExitOK, "", ""},
		{"different", []string{"diff", lobue, changed}, process.ExitCheckFailed, "~ teams[counter].burst: 120 -> 121\n", ""},
		{"different as JSON", []string{"diff", "-o", "json", lobue, changed}, process.ExitCheckFailed, `"before": "120"`, ""},
		{"diff with an invalid one", []string{"diff", lobue, invalid}, process.ExitFailed, "", `value "up"`},
		{"explain", []string{"explain", "-d", lobue, "--route", "chat", "--chat", "c"}, process.ExitOK, "rendezvous order of the chat", ""},
		{"explain with all out", []string{"explain", "-d", allOut, "--route", "chat", "--chat", "c"}, process.ExitCheckFailed, "upstream is out", ""},
		{"explain an unknown route", []string{"explain", "-d", lobue, "--route", "x", "--chat", "c"}, process.ExitFailed, "", `route "x" is not in document version 1`},
		{"no document named", []string{"status"}, process.ExitFailed, "", "want either --document FILE or --platform URL"},
		{"dump an unknown router", []string{"dump", "-d", lobue, "x"}, process.ExitFailed, "", `router "x" is not in document version 1`},
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
			is.Equal(c.errOut == "", errOut == "") // nothing on the other stream
		})
	}
}

func takeOut(t *testing.T, path string) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, bytes.ReplaceAll(raw, []byte(`"state": "in"`), []byte(`"state": "out"`)), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestANewKeyIsShownWithItsEntry(t *testing.T) {
	is := is.New(t)
	code, out, _ := runCtl("key", "new", "--id", "spring", "--valid-for", "720h", "-o", "json")
	is.Equal(code, process.ExitOK)
	var made newKey
	is.NoErr(json.Unmarshal([]byte(out), &made))
	is.Equal(made.Entry.ID, "spring")
	is.Equal(made.Entry.SHA256, document.HashKey(made.Key))
	is.True(made.Entry.NotAfter != nil)
}

func TestStatusNamesUnreachableRouters(t *testing.T) {
	is := is.New(t)
	// Nothing listens on port 1 of these addresses.
	file := edited(t, `"schema": 1`, `"schema": 1`)
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

func TestIdempotencyKeysComeFromTheAnswer428(t *testing.T) {
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
	status = http.StatusOK // a route that may be repeated has run
	code, _, errOut = runCtl("idempotency-key", "issue", "--address", address, "--path", "/v1/orders")
	is.Equal(code, process.ExitFailed)
	is.True(strings.Contains(errOut, "status 200, want 428"))
}

// Two documents were made from version 1. The first is published; the second would lose its changes.
func TestValidateSeesThatADocumentDoesNotFollowTheOneInForce(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(lobue)
	is.NoErr(err)
	inForce, err := document.Parse(raw)
	is.NoErr(err)
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/v1/config/lobue")
		_, _ = w.Write(inForce.Raw)
	}))
	defer platform.Close()
	first, second := successor(t, inForce, 121), successor(t, inForce, 122)
	for _, file := range []string{first, second} {
		code, _, _ := runCtl("validate", file, "--platform", platform.URL)
		is.Equal(code, process.ExitOK)
	}
	inForce, err = readDocument(first)
	is.NoErr(err)
	code, out, _ := runCtl("validate", second, "--platform", platform.URL)
	is.Equal(code, process.ExitCheckFailed)
	is.True(strings.Contains(out, "a version above 2, which is in force"))
	is.True(strings.Contains(out, "make the changes anew from there"))
	platform.Close()
	code, _, errOut := runCtl("validate", second, "--platform", platform.URL)
	is.Equal(code, process.ExitFailed)
	is.True(strings.Contains(errOut, "read document from the platform"))
}

// successor writes the next version, with another burst, and returns the file.
func successor(t *testing.T, base *document.Snapshot, burst float64) string {
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
