package schedlag

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Guards against delays of a process that nobody can tell from those of a loaded machine.
func TestDelayIsReportedWithItsCause(t *testing.T) {
	const second = time.Second
	for _, tt := range []struct {
		name  string
		delay time.Duration
		usage Usage
		err   error
		cause Cause
	}{
		{"in time", 0, Usage{CPU: second, Waited: 2 * second}, nil, ""},
		{"short delay", lateAfter - 1, Usage{CPU: second, Waited: 2 * second}, nil, ""},
		{"waited for longer than it ran", lateAfter, Usage{CPU: second, Waited: second + 1, Collector: second}, nil, CauseMachine},
		{"collected half of the time", lateAfter, Usage{CPU: second, Waited: second, Collector: second / 2}, nil, CauseCollector},
		{"own work", lateAfter, Usage{CPU: second, Waited: second, Collector: second/2 - 1}, nil, CauseProcess},
		{"usage not known", lateAfter, Usage{}, errors.New("no such file"), CauseUnknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock, scope, reads := clockwork.NewFakeClock(), tally.NewTestScope("", nil), make(chan struct{}, 2)
			var log bytes.Buffer
			calls := 0
			m := &Monitor{Clock: clock, Log: zerolog.New(&log), Scope: scope, Usage: func() (Usage, error) {
				calls++
				reads <- struct{}{}
				if calls == 1 {
					return Usage{}, nil
				}
				return tt.usage, tt.err
			}}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() { defer close(ended); m.Run(ctx) }()
			<-reads
			is.NoErr(clock.BlockUntilContext(ctx, 1))
			clock.Advance(tick + tt.delay)
			for spent := tick + tt.delay; spent < reportInterval; spent += tick {
				is.NoErr(clock.BlockUntilContext(ctx, 1))
				clock.Advance(tick)
			}
			<-reads
			is.NoErr(clock.BlockUntilContext(ctx, 1)) // the report is written
			cancel()
			<-ended
			is.Equal(strings.Contains(log.String(), "late-wakeup"), tt.cause != "")
			is.Equal(len(scope.Snapshot().Counters()) == 1, tt.cause != "")
			if tt.cause != "" {
				is.True(strings.Contains(log.String(), `"cause":"`+string(tt.cause)+`"`))
				is.Equal(scope.Snapshot().Counters()["late_wakeups+cause="+string(tt.cause)].Value(), int64(1))
			}
		})
	}
}

func TestUsageOfThisProcess(t *testing.T) {
	is := is.New(t)
	before, err := ReadUsage()
	is.NoErr(err)
	for start := time.Now(); time.Since(start) < 50*time.Millisecond; {
	}
	after, err := ReadUsage()
	is.NoErr(err)
	is.True(after.since(before).CPU > 0)
}
