package callers

import (
	"net/http"
	"time"
)

// deadlineWriter sets a deadline for each write of the response. A deadline for the whole response, as set by
// http.Server.WriteTimeout, would cut off long streams.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	limit   time.Duration
}

func newDeadlineWriter(w http.ResponseWriter, limit time.Duration) *deadlineWriter {
	return &deadlineWriter{ResponseWriter: w, control: http.NewResponseController(w), limit: limit}
}

// Write implements io.Writer.
func (d *deadlineWriter) Write(p []byte) (int, error) {
	// Some writers, such as those in tests, do not support deadlines; they write without one.
	_ = d.control.SetWriteDeadline(time.Now().Add(d.limit))
	return d.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (d *deadlineWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }
