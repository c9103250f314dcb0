package main

import (
	"bytes"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/gateway"
	"github.com/orioleusher/orioleusher/internal/logging"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/platform"
)

// lockedBuffer is a buffer that can be read while a log is written to it.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

// settingsEnv makes the test process run the router with the settings file that it names.
const settingsEnv = "ORIOLE_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if file := os.Getenv(settingsEnv); file != "" {
		process.Exit(runDirect(options{Settings: file}))
	}
	os.Exit(m.Run())
}

// Guards against a router that ends because its settings change while it starts.
func TestSIGHUPDuringStartDoesNotEndRouter(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "router.json")
	is.NoErr(syscall.Mkfifo(file, 0o600))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), settingsEnv+"="+file)
	is.NoErr(cmd.Start())
	in, err := os.OpenFile(file, os.O_WRONLY, 0) // returns when the router reads its settings
	is.NoErr(err)
	for range 10 {
		_ = cmd.Process.Signal(syscall.SIGHUP) // fails if the process has ended
	}
	_, _ = in.WriteString("not settings")
	is.NoErr(in.Close())
	_ = cmd.Wait() // the exit code tells
	is.Equal(cmd.ProcessState.ExitCode(), process.ExitFailed)
}

func TestSIGHUPReloadsSettings(t *testing.T) {
	raw, err := os.ReadFile("../../internal/settings/testdata/direct.json")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "router.json")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(string(raw))
	var s settings.Direct
	if err := settings.Load(file, &s); err != nil {
		t.Fatal(err)
	}
	out := &lockedBuffer{}
	log := logging.New(out, "info", "test")
	clock := clockwork.NewRealClock()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	g := gateway.New(&s, gateway.Adapter{Decode: platform.Decode, Equivalent: platform.Equivalent,
		Lasting: platform.Lasting, Supersedes: platform.Supersedes, Codec: platform.Codec{}},
		gateway.NewPool(&s, clock), clock, log)
	go watchSettings(file, hangups, g, log)
	wait := func(text string) {
		for !strings.Contains(out.String(), text) {
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
	}
	wait("event=reloaded")
	write("{")
	wait("event=reload-failed")
	write(strings.Replace(string(raw), "10.2.0.29:8229", "10.9.9.9:8229", 1))
	wait("10.9.9.9:8229")
}
