package testfleet

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// LockBlock takes a machine-wide lock on the block's loopback addresses and holds it until the test ends, so that two
// checkouts can be tested at the same time. It blocks while another test run holds the lock.
func LockBlock(t *testing.T, block int) {
	t.Helper()
	path := filepath.Join(os.TempDir(), fmt.Sprintf("oriole-test-block-%d.lock", block))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	// Closing the file releases the lock.
	t.Cleanup(func() { file.Close() })
}
