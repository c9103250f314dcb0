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

// stopTimeout bounds the wait for a process to end.
const stopTimeout = 60 * time.Second

// Process is one process of a test fleet.
type Process struct {
	Name  string
	Admin string
	// Log is the file that holds the process's output.
	Log  string
	t    *testing.T
	path string
	args []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

var (
	buildOnce sync.Once
	buildDir  string
	errBuild  error
)

// Binaries builds every program once for the test binary and returns their folder. ORIOLE_BIN names a folder of
// programs that are built already.
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

func (f *Fleet) start(name, admin, program string, args ...string) *Process {
	f.t.Helper()
	p := StartProcess(f.t, f.dir, name, filepath.Join(f.bin, program), args...)
	p.Admin = admin
	return p
}

// StartProcess starts a program that logs to a file in the folder and is killed when the test ends.
func StartProcess(t *testing.T, dir, name, program string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, Log: filepath.Join(dir, name+".log"), t: t, path: program, args: args}
	p.Restart()
	t.Cleanup(p.end)
	return p
}

// Restart starts the process, which must have ended before.
func (p *Process) Restart() {
	p.t.Helper()
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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

// PID returns the number of the running process.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process; an ended process is ignored.
func (p *Process) Signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// Freeze stops the process as SIGSTOP does; Thaw lets it go on.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Exited()
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Stop ends the process gracefully and returns its exit code.
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

// end kills the process when the test is over; if the test failed, the end of its log is printed.
func (p *Process) end() {
	p.Kill()
	if !p.t.Failed() {
		return
	}
	const tailBytes = 4096
	raw, err := os.ReadFile(p.Log)
	if err == nil {
		p.t.Logf("end of the log of %s:\n%s", p.Name, raw[max(0, len(raw)-tailBytes):])
	}
}
