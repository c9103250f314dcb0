package logging

import (
	"fmt"
	"io"
	"sync/atomic"
)

// queueLines is how many lines may wait to be written: a few seconds of a busy process.
const queueLines = 4096

// Queue writes lines in the background, so that no request waits for whoever reads the log. Lines that find the queue
// full are dropped and counted; the count is logged with the next line that is written.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewQueue returns a queue that writes to out until Close.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer. It never blocks and never fails.
func (q *Queue) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what waits and stops. Nothing may be written afterwards.
func (q *Queue) Close() {
	close(q.lines)
	<-q.done
}

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		if n := q.dropped.Swap(0); n > 0 {
			line = append(fmt.Appendf(nil, "level=warn event=log-dropped count=%d\n", n), line...)
		}
		line = q.more(line)
		// A log that cannot be written cannot be reported either.
		_, _ = q.out.Write(line)
	}
}

// more adds the lines that wait already, up to one batch.
func (q *Queue) more(batch []byte) []byte {
	for len(batch) < queueBatch {
		select {
		case line, ok := <-q.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// queueBatch is about how many bytes go out in one write.
const queueBatch = 16 << 10
