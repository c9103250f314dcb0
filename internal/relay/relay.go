// Package relay streams an upstream's response to the client and flushes after each read.
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

// bufferBytes is the size of the copy buffer. A streamed token is far smaller.
const bufferBytes = 16 << 10

// routerHeaderPrefix is the prefix of the headers that only routers may set.
const routerHeaderPrefix = "Oriole-"

// Copy writes the exchange's response to w and closes it. If it returns an error, the response is incomplete and the
// handler must abort the connection, so that the client can tell that the response is incomplete.
func Copy(w http.ResponseWriter, x *exchange.Exchange) error {
	response := x.Response
	defer response.Body.Close()
	header := w.Header()
	for name, values := range response.Header {
		// An upstream must not be able to set the headers with which routers inform callers and each other.
		if !strings.HasPrefix(name, routerHeaderPrefix) {
			header[name] = values
		}
	}
	hopheader.Drop(header)
	header.Set(outcome.HeaderOutcome, string(outcome.Run))
	header.Set(outcome.HeaderUpstream, response.Upstream)
	header.Set(outcome.HeaderTrace, x.TraceID)
	if response.Earlier != "" {
		header.Set(outcome.HeaderEarlier, string(response.Earlier))
	}
	w.WriteHeader(response.Status)
	return copyFlush(w, response.Body)
}

func copyFlush(w http.ResponseWriter, body io.Reader) error {
	flush := http.NewResponseController(w).Flush
	buf := make([]byte, bufferBytes)
	for {
		n, readErr := body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return errors.Wrap(err, "write response")
			}
			if err := flush(); err != nil {
				return errors.Wrap(err, "flush response")
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return errors.Wrap(readErr, "read response")
		}
	}
}
