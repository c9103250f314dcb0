package surface

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// runRouter runs oriole-router, waits until it exits and returns its exit code and output.
func runRouter(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	return runProgram(t, "oriole-router", args...)
}

// runProgram runs a program, waits until it exits and returns its exit code and output.
func runProgram(t *testing.T, program string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	cmd := exec.Command(filepath.Join(testfleet.Binaries(t), program), args...)
	var out, errOut strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), out.String(), errOut.String()
}

func TestRouterCheckOptionValidatesSettings(t *testing.T) {
	is := is.New(t)
	code, out, _ := runRouter(t, "--check", "--settings", "../../../deploy/lobue/acireale-1.router.json")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "settings are valid"))
	file := filepath.Join(t.TempDir(), "bad.json")
	is.NoErr(os.WriteFile(file, []byte(`{"name": "", "timeouts": {"body": "soon"}, "colour": "red"}`), 0o600))
	code, _, errOut := runRouter(t, "--check", "--settings", file)
	is.Equal(code, 1)
	for _, want := range []string{`field name: value ""`, `field timeouts.body: value "soon": want a duration`, `field colour: value "red"`} {
		is.True(strings.Contains(errOut, "settings file "+file+": "+want))
	}
	code, _, errOut = runRouter(t, "--settings", filepath.Join(t.TempDir(), "none.json"))
	is.Equal(code, 1)
	is.True(strings.Contains(errOut, "read settings"))
	code, _, _ = runRouter(t)
	is.Equal(code, 2)
}

func TestProgramsHaveVersionAndHelpOptions(t *testing.T) {
	programs := []string{
		"oriole-router", "oriole-console", "oriolectl", "oriole-load", "standin-platform", "standin-engine", "standin-service",
	}
	for _, program := range programs {
		t.Run(program, func(t *testing.T) {
			is := is.New(t)
			code, out, errOut := runProgram(t, program, "--version")
			is.Equal(code, 0)
			is.Equal(out, process.Version+"\n")
			is.Equal(errOut, "")
			code, out, _ = runProgram(t, program, "--help")
			is.Equal(code, 0)
			is.True(strings.Contains(out, "Usage:"))
			code, _, errOut = runProgram(t, program, "--no-such-option")
			is.Equal(code, 2)
			is.True(strings.Contains(errOut, "no-such-option"))
		})
	}
}

// TestCheckOptionReadsReferencedFiles checks that the option --check also reads the files that the settings name.
func TestCheckOptionReadsReferencedFiles(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../../deploy/lobue/acireale-1.router.json")
	is.NoErr(err)
	text := strings.Replace(string(raw), `"plaintext": true`, `"cert_file": "none.pem", "key_file": "none.pem", "ca_file": "none.pem"`, 1)
	is.True(text != string(raw))
	file := filepath.Join(t.TempDir(), "router.json")
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	code, _, errOut := runRouter(t, "--check", "--settings", file)
	is.Equal(code, 1)
	is.True(strings.Contains(errOut, "none.pem"))

	raw, err = os.ReadFile("../../../deploy/lobue/console.json")
	is.NoErr(err)
	text = strings.Replace(string(raw), `"plaintext": true`, `"cert_file": "none.pem", "key_file": "none.pem"`, 1)
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	code, _, errOut = runProgram(t, "oriole-console", "--check", "--settings", file)
	is.Equal(code, 1)
	is.True(strings.Contains(errOut, "none.pem"))
	code, out, _ := runProgram(t, "oriole-console", "--check", "--settings", "../../../deploy/lobue/console.json")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "settings are valid"))
}
