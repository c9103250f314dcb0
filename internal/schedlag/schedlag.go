// Package schedlag tells when a process runs late, and whether that is due to other processes on the machine, to the garbage
// collector or to its own work.
package schedlag

import (
	"context"
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	// tick is the pause of the goroutine whose delay is measured.
	tick = 100 * time.Millisecond
	// reportInterval is how often the delay is reported, if it was lateAfter or more.
	reportInterval = time.Second
	lateAfter      = 200 * time.Millisecond
)

// Cause is what most likely made the process late.
type Cause string

// Causes of delays.
const (
	// CauseMachine means that the process's threads waited for a processor for longer than they ran.
	CauseMachine Cause = "machine"
	// CauseCollector means that half of the time that they ran was spent on garbage.
	CauseCollector Cause = "garbage-collector"
	CauseProcess   Cause = "process"
	// CauseUnknown means that the usage could not be read.
	CauseUnknown Cause = "unknown"
)

// Usage is what the process has used since it began.
type Usage struct {
	// CPU is the time that its threads ran, and Waited the time for which they were ready to run and did not.
	CPU, Waited time.Duration
	// Collector is the part of CPU that was spent on garbage.
	Collector time.Duration
}

func (u Usage) since(before Usage) Usage {
	return Usage{CPU: u.CPU - before.CPU, Waited: u.Waited - before.Waited, Collector: u.Collector - before.Collector}
}

func (u Usage) cause() Cause {
	switch {
	case u.CPU <= 0:
		return CauseUnknown
	case u.Waited > u.CPU:
		return CauseMachine
	case 2*u.Collector >= u.CPU:
		return CauseCollector
	default:
		return CauseProcess
	}
}

// Monitor reports delays of the process.
type Monitor struct {
	Clock clockwork.Clock
	Log   zerolog.Logger
	Scope tally.Scope
	// Usage returns the present usage; ReadUsage does.
	Usage func() (Usage, error)
}

// Run reports delays until the context is done.
func (m *Monitor) Run(ctx context.Context) {
	before := m.read()
	begin, latest := m.Clock.Now(), time.Duration(0)
	for {
		due := m.Clock.Now().Add(tick)
		select {
		case <-ctx.Done():
			return
		case <-m.Clock.After(tick):
		}
		now := m.Clock.Now()
		latest = max(latest, now.Sub(due))
		if now.Sub(begin) < reportInterval {
			continue
		}
		usage := m.read()
		if latest >= lateAfter {
			m.report(now.Sub(begin), latest, usage.since(before))
		}
		before, begin, latest = usage, now, 0
	}
}

func (m *Monitor) read() Usage {
	u, err := m.Usage()
	if err != nil {
		m.Log.Debug().Str("event", "usage-unread").Err(err).Send()
	}
	return u
}

func (m *Monitor) report(interval, late time.Duration, u Usage) {
	cause := u.cause()
	m.Scope.Tagged(map[string]string{"cause": string(cause)}).Counter("late_wakeups").Inc(1)
	m.Log.Warn().Str("event", "late-wakeup").Str("cause", string(cause)).Dur("late_ms", late).Dur("interval_ms", interval).
		Dur("ran_ms", u.CPU).Dur("waited_ms", u.Waited).Dur("collector_ms", u.Collector).Int("processors", runtime.GOMAXPROCS(0)).
		Int("goroutines", runtime.NumGoroutine()).Send()
}
