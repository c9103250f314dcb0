package logging

import (
	"fmt"
	"io"
	"sync/atomic"
)

// queueLines and queueBytes are the capacity of the queue: a few seconds of a busy process. Lines may be long, since errors and
// headers that peers caused are logged.
const (
	queueLines = 4096
	queueBytes = 8 << 20
)

// Queue writes lines in the background, so that no request waits for a slow log destination. Lines are dropped and
// counted while the queue is full; the count is logged with the next line that is written.
type Queue struct {
	out   io.Writer
	lines chan []byte
	// bytes is the length of the lines in the queue, and of those about to be added.
	bytes   atomic.Int64
	dropped atomic.Uint64
	done    chan struct{}
}

// NewQueue returns a queue that writes to out until it is closed.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer. It never blocks and never fails.
func (q *Queue) Write(p []byte) (int, error) {
	if !q.add(p) {
		q.dropped.Add(1)
	}
	return len(p), nil
}

// add queues a copy of the line and reports whether there was room for it.
func (q *Queue) add(p []byte) bool {
	if q.bytes.Add(int64(len(p))) <= queueBytes {
		select {
		case q.lines <- append([]byte(nil), p...):
			return true
		default:
		}
	}
	q.bytes.Add(-int64(len(p)))
	return false
}

// Close writes the queued lines and stops the queue. Write must not be called afterwards.
func (q *Queue) Close() {
	close(q.lines)
	<-q.done
}

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		q.bytes.Add(-int64(len(line)))
		if n := q.dropped.Swap(0); n > 0 {
			line = append(fmt.Appendf(nil, "level=warn event=log-dropped count=%d\n", n), line...)
		}
		line = q.fillBatch(line)
		// A failure to write the log cannot itself be logged.
		_, _ = q.out.Write(line)
	}
}

// fillBatch appends queued lines to the batch, up to queueBatchBytes.
func (q *Queue) fillBatch(batch []byte) []byte {
	for len(batch) < queueBatchBytes {
		select {
		case line, ok := <-q.lines:
			if !ok {
				return batch
			}
			q.bytes.Add(-int64(len(line)))
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// queueBatchBytes is the approximate size of one write.
const queueBatchBytes = 16 << 10
