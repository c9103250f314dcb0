// Package relay streams an upstream's answer to whoever asked for it, flushing as bytes arrive.
package relay

import (
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/hopheader"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// bufferBytes is the size of the copy buffer; a streamed token is far smaller.
const bufferBytes = 16 << 10

// ownPrefix begins the names of all headers that only routers may set.
const ownPrefix = "Oriole-"

// Copy writes the exchange's answer to w and closes it. After an error the answer is incomplete, and the handler must
// abort the connection so that the receiver does not take it for whole.
func Copy(w http.ResponseWriter, x *exchange.Exchange) error {
	answer := x.Response
	defer answer.Body.Close()
	header := w.Header()
	for name, values := range answer.Header {
		// An upstream must not be able to imitate what routers tell callers and each other.
		if !strings.HasPrefix(name, ownPrefix) {
			header[name] = values
		}
	}
	hopheader.Drop(header)
	header.Set(outcome.HeaderOutcome, string(outcome.Run))
	header.Set(outcome.HeaderUpstream, answer.Upstream)
	header.Set(outcome.HeaderTrace, x.TraceID)
	if answer.Earlier != "" {
		header.Set(outcome.HeaderEarlier, string(answer.Earlier))
	}
	w.WriteHeader(answer.Status)
	return copyFlush(w, answer.Body)
}

func copyFlush(w http.ResponseWriter, body io.Reader) error {
	flush := http.NewResponseController(w).Flush
	buf := make([]byte, bufferBytes)
	for {
		n, readErr := body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return errors.Wrap(err, "write answer")
			}
			if err := flush(); err != nil {
				return errors.Wrap(err, "flush answer")
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return errors.Wrap(readErr, "read answer")
		}
	}
}
