package direct

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/events"
	"github.com/orioleusher/orioleusher/internal/hopheader"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/promptblame"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

// streamBufferBytes is the size of the buffer for a stream's data; an event has about a hundred bytes.
const streamBufferBytes = 4 << 10

// eventStreamType is the media type of streams.
const eventStreamType = "text/event-stream"

// errResponseTruncated ends a response that cannot be completed. The caller's connection is aborted, so that the
// caller does not treat the response as complete.
var errResponseTruncated = errors.New("response ended before it was complete")

// relayBuffered reads the complete response and relays it. An incomplete response is not relayed. A response that is too
// long to be held is relayed as it arrives; if it breaks off, so does the caller's response.
func (d *dispatchFilter) relayBuffered(ctx context.Context, req *Request, u *catalog.Upstream, resp *http.Response, inactivity *inactivityTimer, release func(bool)) attemptResult {
	failed := resp.StatusCode >= minFailureStatus
	body, whole, err := d.readResponse(req, resp)
	if err != nil {
		release(false)
		return d.connectionFailed(ctx, req, u, err)
	}
	if !whole && !failed && !req.response.headerSent {
		// Nothing else can be tried once a part has been relayed.
		if inactivity.stop() != nil {
			release(false)
			return d.connectionFailed(ctx, req, u, context.Cause(ctx))
		}
		return d.relayLong(ctx, req, u, resp, body, release)
	}
	release(whole)
	d.balancer.RecordOutcome(u, failed)
	if !failed && whole {
		d.recordPassed(req, promptblame.Answered)
	}
	req.runs++
	if failed && req.runs < req.Route.MaxAttempts || !whole {
		req.outcomeUnknown = true
		if whole {
			req.response.fallback = &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
		}
		return attemptResult{sent: true, err: outcome.Refuse(stepDispatch, resp.StatusCode, "upstream-failed", "the upstream failed").WithPeer(u.ID, nil)}
	}
	if req.response.headerSent {
		// The caller has received part of a stream, and this upstream's response does not continue it.
		return attemptResult{sent: true, err: errors.Wrapf(errResponseTruncated, "upstream %s responded with status %d", u.ID, resp.StatusCode)}
	}
	req.response.sendBuffered(&bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body})
	return attemptResult{responded: true}
}

// readResponse reads the body, as far as it may be held in memory, and reports whether that is all of it.
func (d *dispatchFilter) readResponse(req *Request, resp *http.Response) (body []byte, whole bool, err error) {
	size := resp.ContentLength
	if size < 0 {
		size = maxBufferedBytes
	}
	if size > maxBufferedBytes || !d.responses.TryReserve(size) {
		return nil, false, nil
	}
	req.reserved += size
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil || len(body) < maxBufferedBytes {
		return body, err == nil, err
	}
	// The body may have exactly the maximum length.
	var next [1]byte
	n, err := io.ReadFull(resp.Body, next[:])
	if errors.Is(err, io.EOF) {
		return body, true, nil
	}
	return append(body, next[:n]...), false, err
}

// relayLong relays a response as it arrives, after the part of its body that has been read.
func (d *dispatchFilter) relayLong(ctx context.Context, req *Request, u *catalog.Upstream, resp *http.Response, begun []byte, release func(bool)) attemptResult {
	if resp.ContentLength >= 0 {
		req.response.writer.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	req.response.sendHeader(resp.StatusCode, resp.Header)
	req.response.unresumable = true
	body := &recordingReader{Reader: io.MultiReader(bytes.NewReader(begun), resp.Body)}
	buf := make([]byte, streamBufferBytes)
	n, err := io.CopyBuffer(struct{ io.Writer }{req.response.writer}, body, buf)
	req.response.bytes += n
	switch {
	case body.err != nil:
		release(false)
		return d.connectionFailed(ctx, req, u, errors.Wrap(body.err, "read response"))
	case err != nil:
		release(false)
		req.response.callerGone = true
		return attemptResult{sent: true, err: errors.Wrap(err, "write response to caller")}
	}
	release(true)
	d.balancer.RecordOutcome(u, false)
	d.recordPassed(req, promptblame.Answered)
	req.runs++
	return attemptResult{responded: true}
}

// recordingReader records the error with which reading failed.
type recordingReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *recordingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// dataRecorder calls record whenever data is read.
type dataRecorder struct {
	io.ReadCloser
	record func()
}

// Read implements io.Reader.
func (r *dataRecorder) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if n > 0 {
		r.record()
	}
	return n, err
}

// relayStream relays the stream as it arrives, in complete events. If it breaks off, the stream may be resumed at
// another upstream.
func (d *dispatchFilter) relayStream(ctx context.Context, req *Request, u *catalog.Upstream, resp *http.Response, inactivity *inactivityTimer, release func(bool)) attemptResult {
	if got := mediaType(resp.Header); req.response.headerSent && got != req.response.mediaType && got != eventStreamType {
		release(false)
		return d.notContinued(req, u, errors.Errorf("content type %.100q after %.100q", got, req.response.mediaType))
	}
	stream := &req.response.stream
	stream.Resume()
	buf := make([]byte, streamBufferBytes)
	var firstEventAt time.Time
	bound := false
	for {
		n, err := resp.Body.Read(buf)
		eventsBefore := stream.DataEvents
		output := stream.Feed(buf[:n])
		if stream.DataEvents > eventsBefore {
			inactivity.reset()
			now := d.clock.Now()
			if firstEventAt.IsZero() {
				firstEventAt = now
			}
			d.recordPassed(req, promptblame.StageAt(now.Sub(firstEventAt)))
		}
		if len(output) > 0 && !bound {
			bound = true
			d.bindStream(req, u)
			inactivity.bind(req.version())
		}
		if writeErr := req.response.sendEvents(resp, output); writeErr != nil {
			release(false)
			req.response.callerGone = true
			return attemptResult{sent: true, err: errors.Wrap(writeErr, "write response to caller")}
		}
		if stream.TooLarge() {
			err = errors.Wrapf(upconn.ErrResponseTooLarge, "event is longer than %d bytes", events.MaxEventBytes)
		}
		switch {
		case stream.Foreign():
			release(false)
			return d.notContinued(req, u, errors.New("text without an event ID"))
		case errors.Is(err, io.EOF) && len(stream.Incomplete()) == 0:
			release(true)
			d.balancer.RecordOutcome(u, false)
			d.recordPassed(req, promptblame.Answered)
			req.response.sendHeader(resp.StatusCode, resp.Header)
			req.runs++
			return attemptResult{responded: true}
		case err != nil:
			release(false)
			return d.connectionFailed(ctx, req, u, errors.Wrap(err, "read stream"))
		}
	}
}

// sendEvents sends complete events of the response, if there are any, after its header.
func (c *callerResponse) sendEvents(resp *http.Response, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	c.sendHeader(resp.StatusCode, resp.Header)
	return c.writeAndFlush(events)
}

// notContinued returns the result of a send whose successful response is not the rest of the stream that has begun.
func (d *dispatchFilter) notContinued(req *Request, u *catalog.Upstream, cause error) attemptResult {
	d.balancer.RecordBrokenResponse(u, cause)
	return d.outcomeUnknown(req, "not-continued", "the upstream's answer does not continue the stream", u.Key(), cause)
}

// mediaType returns the media type of a response without parameters.
func mediaType(header http.Header) string {
	name, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// sendHeader sends the status and the headers, once.
func (c *callerResponse) sendHeader(status int, header http.Header) {
	if c.headerSent {
		return
	}
	c.headerSent, c.status, c.firstByteAfter, c.mediaType = true, status, c.clock.Since(c.start), mediaType(header)
	copyResponseHeader(c.writer.Header(), header, c.isEndToEnd)
	c.writeHeader(status)
}

// copyResponseHeader adds the headers of a response that concern all recipients, except the length of the body.
func copyResponseHeader(to, header http.Header, isEndToEnd func(name string) bool) {
	from := header.Clone()
	hopheader.DropExcept(from, isEndToEnd)
	from.Del("Content-Length")
	for name, values := range from {
		to[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := to[name]; !ok {
			to[name] = nil // a missing key would make net/http send its default
		}
	}
}

// writeHeader writes the status and the headers. In a planned stop the connection ends with the response.
func (c *callerResponse) writeHeader(status int) {
	if c.stopping != nil && c.stopping() {
		c.writer.Header().Set("Connection", "close")
	}
	c.writer.WriteHeader(status)
}

func (c *callerResponse) writeAndFlush(p []byte) error {
	n, err := c.writer.Write(p)
	c.bytes += int64(n)
	c.writtenAt = c.clock.Now()
	if err != nil {
		return err
	}
	return http.NewResponseController(c.writer).Flush()
}

// allowWrite makes sure that a complete response can be written: the write deadline of the request has passed if this process
// stood still until then.
func (c *callerResponse) allowWrite() {
	if deadline := c.clock.Now().Add(writeGrace); deadline.After(c.writeDeadline) {
		_ = http.NewResponseController(c.writer).SetWriteDeadline(deadline)
	}
}

// sendBuffered sends a complete response.
func (c *callerResponse) sendBuffered(resp *bufferedResponse) {
	c.allowWrite()
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	c.sendHeader(resp.status, resp.header)
	// A write error means that the caller has disconnected, so there is no one to report it to.
	_, _ = c.writer.Write(resp.body)
}

// sendRefusal responds with a refusal by the router.
func (c *callerResponse) sendRefusal(r *outcome.Refusal) {
	header, body := encodeRefusal(r)
	maps.Copy(c.writer.Header(), header)
	c.headerSent = true
	c.allowWrite()
	c.writeHeader(r.Status)
	_, _ = c.writer.Write(body)
}

// encodeRefusal returns the headers and the body of the response to a refused request.
func encodeRefusal(r *outcome.Refusal) (http.Header, []byte) {
	body, err := json.Marshal(r)
	if err != nil {
		body = []byte(`{}`)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	return header, body
}
