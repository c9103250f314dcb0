package testfleet

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// LockBlock waits until no other test run on this machine uses the block's addresses and holds them until the test
// ends, so that two checkouts can be tested at the same time.
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
	// Closing the file gives the lock back.
	t.Cleanup(func() { file.Close() })
}
