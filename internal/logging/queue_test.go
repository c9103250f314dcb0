package logging

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedWriter is a log destination that blocks until it is released.
type blockedWriter struct {
	released chan struct{}
	entered  chan struct{}
	once     sync.Once
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.entered) })
	<-s.released
	return s.Buffer.Write(p)
}

func TestQueueDoesNotBlockOnBlockedWriter(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{released: make(chan struct{}), entered: make(chan struct{})}
	q := NewQueue(out)
	fmt.Fprintln(q, "first")
	<-out.entered
	const extra = 10
	for range queueLines + extra {
		fmt.Fprintln(q, "event=x")
	}
	close(out.released)
	q.Close()
	text := out.String()
	is.Equal(strings.Count(text, "event=x\n"), queueLines)
	is.True(strings.Contains(text, fmt.Sprintf("event=log-dropped count=%d\n", extra)))
}

func BenchmarkLine(b *testing.B) {
	log := New(discard{}, "info", "front-1")
	for b.Loop() {
		log.Info().Str("event", "served").Str("request", "9c41d07be2a35f68").Str("route", "r-1").Int("status", 200).
			Str("trail", "i-1@a,load:3,tier:0,at:0ms,took:24ms,answered").Float64("took_ms", 24.2).Send()
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Guards against long lines, with what a faulty upstream sent, that fill the memory while the log destination is slow.
func TestQueueIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{released: make(chan struct{}), entered: make(chan struct{})}
	q := NewQueue(out)
	fmt.Fprintln(q, "first")
	<-out.entered
	long := strings.Repeat("x", 256<<10) + "\n"
	const lines = 256
	for range lines {
		fmt.Fprint(q, long)
	}
	close(out.released)
	q.Close()
	const bound = 16 << 20
	written := strings.Count(out.String(), long)
	is.True(written > 0 && written*len(long) <= bound)
	is.True(strings.Contains(out.String(), fmt.Sprintf("event=log-dropped count=%d\n", lines-written)))
	// Lines that were written free their bytes.
	q = NewQueue(out)
	for range lines {
		fmt.Fprint(q, long)
		for len(q.lines) > 0 {
			runtime.Gosched()
		}
	}
	q.Close()
	is.Equal(q.dropped.Load(), uint64(0))
	is.Equal(strings.Count(out.String(), long), written+lines)
}
