package direct

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/hopheader"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// streamBufferBytes is the size of the buffer for a stream's data; an event has about a hundred bytes.
const streamBufferBytes = 4 << 10

// errResponseTruncated ends a response that cannot be completed. The caller's connection is aborted, so that the
// caller does not treat the response as complete.
var errResponseTruncated = errors.New("response ended before it was complete")

// relayBuffered reads the complete response and relays it. An incomplete response is not relayed.
func (d *dispatchFilter) relayBuffered(ctx context.Context, req *Request, u *catalog.Upstream, resp *http.Response, release func(bool)) attemptResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err == nil && len(body) > maxBufferedBytes {
		err = errors.Errorf("response is longer than %d bytes", maxBufferedBytes)
	}
	if err != nil {
		release(false)
		return d.connectionFailed(ctx, req, u, err)
	}
	release(true)
	failed := resp.StatusCode >= minFailureStatus
	d.balancer.RecordOutcome(u, failed)
	buffered := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
	req.runs++
	if failed && req.runs < req.Route.MaxAttempts {
		req.response.fallback, req.outcomeUnknown = buffered, true
		return attemptResult{sent: true, err: outcome.Refuse(stepDispatch, resp.StatusCode, "upstream-failed", "the upstream failed").WithPeer(u.ID, nil)}
	}
	if req.response.headerSent {
		// The caller has received part of a stream, and this upstream's response does not continue it.
		return attemptResult{sent: true, err: errors.Wrapf(errResponseTruncated, "upstream %s responded with status %d", u.ID, resp.StatusCode)}
	}
	req.response.sendBuffered(buffered)
	return attemptResult{responded: true}
}

// relayStream relays the stream as it arrives, in complete events. If it breaks off, the stream may be resumed at
// another upstream.
func (d *dispatchFilter) relayStream(ctx context.Context, req *Request, u *catalog.Upstream, resp *http.Response, inactivity *inactivityTimer, release func(bool)) attemptResult {
	req.response.stream.Resume()
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if output := req.response.stream.Feed(buf[:n]); len(output) > 0 {
			inactivity.reset()
			req.response.sendHeader(resp.StatusCode, resp.Header)
			if writeErr := req.response.writeAndFlush(output); writeErr != nil {
				release(false)
				req.response.callerGone = true
				return attemptResult{sent: true, err: errors.Wrap(writeErr, "write response to caller")}
			}
		}
		if errors.Is(err, io.EOF) && len(req.response.stream.Incomplete()) == 0 {
			release(true)
			d.balancer.RecordOutcome(u, false)
			req.response.sendHeader(resp.StatusCode, resp.Header)
			req.runs++
			return attemptResult{responded: true}
		}
		if err != nil {
			release(false)
			return d.connectionFailed(ctx, req, u, errors.Wrap(err, "read stream"))
		}
	}
}

// sendHeader sends the status and the headers, once.
func (c *callerResponse) sendHeader(status int, header http.Header) {
	if c.headerSent {
		return
	}
	c.headerSent, c.status, c.firstByteAfter = true, status, c.clock.Since(c.start)
	to := c.writer.Header()
	from := header.Clone()
	hopheader.Drop(from)
	from.Del("Content-Length")
	for name, values := range from {
		to[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := to[name]; !ok {
			to[name] = nil // a missing key would make net/http send its default
		}
	}
	c.writer.WriteHeader(status)
}

func (c *callerResponse) writeAndFlush(p []byte) error {
	if _, err := c.writer.Write(p); err != nil {
		return err
	}
	return http.NewResponseController(c.writer).Flush()
}

// sendBuffered sends a complete response.
func (c *callerResponse) sendBuffered(resp *bufferedResponse) {
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	c.sendHeader(resp.status, resp.header)
	// A write error means that the caller has disconnected, so there is no one to report it to.
	_, _ = c.writer.Write(resp.body)
}

// sendRefusal responds with a refusal by the router.
func (c *callerResponse) sendRefusal(r *outcome.Refusal) {
	body, err := json.Marshal(r)
	if err != nil {
		body = []byte(`{}`)
	}
	h := c.writer.Header()
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	c.headerSent = true
	c.writer.WriteHeader(r.Status)
	_, _ = c.writer.Write(body)
}
