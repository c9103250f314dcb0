// Package scripts_test holds the tests of the shell scripts that start and stop fleets.
package scripts_test

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestNothingIsLeftOfTheFaultScript ends faults.sh as bench.sh does. A process that it left behind would hold the
// output open, and with it every lock that the bench was run under.
func TestNothingIsLeftOfTheFaultScript(t *testing.T) {
	const patience = 5 * time.Second
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
	case <-time.After(patience):
		t.Error("a process still holds the output of faults.sh")
	}
	var ended *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &ended) {
		t.Errorf("faults.sh ended by itself: %v", err)
	}
}
