package testfleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stopTimeout limits the wait for a graceful stop.
const stopTimeout = 60 * time.Second

// Process is one process of a test fleet.
type Process struct {
	Name         string
	AdminAddress string
	// LogPath is the path of the file that holds the process's output.
	LogPath string
	t       *testing.T
	path    string
	args    []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

var (
	buildOnce sync.Once
	buildDir  string
	errBuild  error
)

// Binaries builds every program once per test binary and returns the directory that contains them. If the environment
// variable ORIOLE_BIN is set, it names a directory of prebuilt programs and nothing is built.
func Binaries(t *testing.T) string {
	t.Helper()
	if dir := os.Getenv("ORIOLE_BIN"); dir != "" {
		return dir
	}
	buildOnce.Do(func() {
		buildDir, errBuild = os.MkdirTemp("", "oriole-bin")
		if errBuild != nil {
			return
		}
		cmd := exec.Command("go", "build", "-o", buildDir, "github.com/orioleusher/orioleusher/cmd/...")
		cmd.Stderr = os.Stderr
		errBuild = cmd.Run()
	})
	if errBuild != nil {
		t.Fatalf("build programs: %v", errBuild)
	}
	return buildDir
}

func (f *Fleet) startProcess(name, admin, program string, args ...string) *Process {
	f.t.Helper()
	p := StartProcess(f.t, f.dir, name, filepath.Join(f.bin, program), args...)
	p.AdminAddress = admin
	return p
}

// StartProcess starts a program that logs to a file in dir. The process is killed when the test ends.
func StartProcess(t *testing.T, dir, name, program string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, LogPath: filepath.Join(dir, name+".log"), t: t, path: program, args: args}
	p.Restart()
	t.Cleanup(p.cleanUp)
	return p
}

// Restart starts the process again. The previous process must have exited.
func (p *Process) Restart() {
	p.t.Helper()
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
}

// PID returns the ID of the current process.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process. It does nothing if the process has exited.
func (p *Process) Signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// Freeze suspends the process with SIGSTOP until Thaw.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw resumes a process suspended by Freeze.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Exited()
}

// Exited returns a channel that is closed when the current process has exited.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Stop sends SIGTERM to the process, waits until it has exited and returns its exit code. It kills the process after
// stopTimeout.
func (p *Process) Stop() int {
	p.t.Helper()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Exited():
	case <-time.After(stopTimeout):
		p.t.Errorf("%s did not stop within %s", p.Name, stopTimeout)
		p.Kill()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// cleanUp kills the process and, if the test failed, prints the tail of its log.
func (p *Process) cleanUp() {
	p.Kill()
	if !p.t.Failed() {
		return
	}
	const tailBytes = 4096
	raw, err := os.ReadFile(p.LogPath)
	if err == nil {
		p.t.Logf("tail of the log of %s:\n%s", p.Name, raw[max(0, len(raw)-tailBytes):])
	}
}
