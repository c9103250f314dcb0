package callers

import (
	"net/http"
	"time"
)

// deadlineWriter gives the caller a limited time to take each piece of the answer. A deadline for the whole answer, as
// http.Server.WriteTimeout sets, would cut long streams.
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
	// A writer without deadlines, as in tests, writes without a limit of time.
	_ = d.control.SetWriteDeadline(time.Now().Add(d.limit))
	return d.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (d *deadlineWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }
