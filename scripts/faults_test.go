// Package scripts_test tests the shell scripts that start and stop fleets.
package scripts_test

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestFaultScriptLeavesNoProcess stops faults.sh in the middle of its loop, as bench.sh does. A child process that
// survived would keep the output open, and with it every lock that the bench was started under.
func TestFaultScriptLeavesNoProcess(t *testing.T) {
	const timeout = 5 * time.Second
	cmd := exec.Command("./faults.sh", "deploy/lobue", filepath.Join(t.TempDir(), "hook"))
	output, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(300*time.Millisecond, func() { _ = cmd.Process.Kill() })
	closed := make(chan error, 1)
	go func() {
		_, err := output.Read(make([]byte, 1))
		closed <- err
	}()
	select {
	case <-closed:
	case <-time.After(timeout):
		t.Error("a process still holds the output of faults.sh")
	}
	var ended *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &ended) {
		t.Errorf("faults.sh ended by itself: %v", err)
	}
}
