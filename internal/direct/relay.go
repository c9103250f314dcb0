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

// streamBuffer is the size of the buffer for a stream's bytes; an event has about a hundred.
const streamBuffer = 4 << 10

// errBrokenOff ends an answer that cannot be completed: the caller's connection is cut, so that it does not look whole.
var errBrokenOff = errors.New("answer broke off")

// relayWhole reads the whole answer and sends it on. An answer that is not whole is not sent.
func (d *dispatch) relayWhole(ctx context.Context, x *Request, u *catalog.Upstream, resp *http.Response, release func(bool)) result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeBytes+1))
	if err == nil && len(body) > maxWholeBytes {
		err = errors.Errorf("answer is longer than %d bytes", maxWholeBytes)
	}
	if err != nil {
		release(false)
		return d.broken(ctx, x, u, err)
	}
	release(true)
	failed := resp.StatusCode >= failedStatus
	d.table.RecordOutcome(u, failed)
	w := &whole{status: resp.StatusCode, header: resp.Header, body: body}
	x.runs++
	if failed && x.runs < x.Route.MaxAttempts {
		x.out.kept, x.unknown = w, true
		return result{sent: true, err: outcome.Refuse(stepDispatch, resp.StatusCode, "upstream-failed", "the upstream failed").WithPeer(u.ID, nil)}
	}
	if x.out.begun {
		// A stream was to go on here, and this upstream answered with something else.
		return result{sent: true, err: errors.Wrapf(errBrokenOff, "upstream %s answered %d", u.ID, resp.StatusCode)}
	}
	x.out.sendWhole(w)
	return result{done: true}
}

// relayStream sends the stream on as it comes, in whole events. If it breaks off, the result says so and the stream
// may go on at another upstream.
func (d *dispatch) relayStream(ctx context.Context, x *Request, u *catalog.Upstream, resp *http.Response, w *watch, release func(bool)) result {
	x.out.stream.Resume()
	buf := make([]byte, streamBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if out := x.out.stream.Feed(buf[:n]); len(out) > 0 {
			w.heard()
			x.out.begin(resp.StatusCode, resp.Header)
			if writeErr := x.out.write(out); writeErr != nil {
				release(false)
				x.out.lost = true
				return result{sent: true, err: errors.Wrap(writeErr, "send to caller")}
			}
		}
		if errors.Is(err, io.EOF) && len(x.out.stream.Incomplete()) == 0 {
			release(true)
			d.table.RecordOutcome(u, false)
			x.out.begin(resp.StatusCode, resp.Header)
			x.runs++
			return result{done: true}
		}
		if err != nil {
			release(false)
			return d.broken(ctx, x, u, errors.Wrap(err, "read stream"))
		}
	}
}

// begin sends the status and the headers, once.
func (a *answer) begin(status int, header http.Header) {
	if a.begun {
		return
	}
	a.begun, a.status, a.first = true, status, a.clock.Since(a.start)
	to := a.w.Header()
	from := header.Clone()
	hopheader.Drop(from)
	from.Del("Content-Length")
	for name, values := range from {
		to[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := to[name]; !ok {
			to[name] = nil // net/http adds its own to an answer that has none
		}
	}
	a.w.WriteHeader(status)
}

func (a *answer) write(p []byte) error {
	if _, err := a.w.Write(p); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// sendWhole sends a complete answer.
func (a *answer) sendWhole(w *whole) {
	a.w.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	a.begin(w.status, w.header)
	// A caller that has gone cannot be told.
	_, _ = a.w.Write(w.body)
}

// refuse answers with a refusal of our own.
func (a *answer) refuse(r *outcome.Refusal) {
	body, err := json.Marshal(r)
	if err != nil {
		body = []byte(`{}`)
	}
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	a.begun = true
	a.w.WriteHeader(r.Status)
	_, _ = a.w.Write(body)
}
