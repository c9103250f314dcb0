// Package process holds the common parts of every main function: it parses the command line, returns exit codes and
// stops the process on signals.
package process

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Version is the version of the program. The build may set it with -ldflags.
var Version = "0.1.0-dev"

// Exit codes of all programs.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitStopped = 3
	// ExitCheckFailed reports that a checking command completed and found an error or a difference.
	ExitCheckFailed = 4
)

// NewIncarnation returns a random identifier for one run of a process.
func NewIncarnation() uint64 {
	var raw [8]byte
	// crypto/rand.Read never returns an error; it terminates the process if the system provides no randomness.
	_, _ = rand.Read(raw[:])
	return binary.LittleEndian.Uint64(raw[:])
}

// VersionFlag is embedded in the options of each program.
type VersionFlag struct {
	Version func() `long:"version" description:"print the version and exit"`
}

// NewVersionFlag returns the flag that prints the version.
func NewVersionFlag() VersionFlag {
	return VersionFlag{Version: func() {
		fmt.Println(Version)
		os.Exit(ExitOK)
	}}
}

// Parse sets options from the command line. If help was requested or parsing fails, it prints the help or the error and
// exits.
func Parse(options any, description string) {
	parser := flags.NewParser(options, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	_, err := parser.Parse()
	if err == nil {
		return
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Println(err)
		os.Exit(ExitOK)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(ExitUsage)
}

// Exit prints err, if any, and ends the process.
func Exit(err error) {
	if err == nil {
		os.Exit(ExitOK)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(ExitFailed)
}

// SignalContext returns a context that is cancelled at the first SIGTERM or SIGINT. A second signal ends the process at
// once.
func SignalContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(ExitStopped)
	}()
	return ctx
}

// IgnoreServerClosed returns nil for the error that a server returns after a planned stop, and any other error
// unchanged.
func IgnoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// RunCommand runs the command named on the command line and ends the process with its exit code.
func RunCommand(parser *flags.Parser) {
	_, err := parser.Parse()
	var flagErr *flags.Error
	if !errors.As(err, &flagErr) {
		Exit(err)
	}
	if flagErr.Type == flags.ErrHelp {
		fmt.Println(err)
		os.Exit(ExitOK)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(ExitUsage)
}
