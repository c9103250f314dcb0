package transport

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/hopheader"
)

// rawIdempotencyKey is the header's name in a form that net/http does not recognise. If a request has the header in its
// canonical form, net/http treats it as idempotent and resends it on its own after a lost connection.
const rawIdempotencyKey = "idempotency-key"

// request builds the request to the upstream. The returned connection is set once the request has been given one, after which
// bytes of it may have been sent.
func (c *Client) request(ctx context.Context, x *exchange.Exchange, address string, body *trackedBody) (*http.Request, *usedConn, error) {
	var used usedConn
	trace := &httptrace.ClientTrace{GotConn: used.record}
	target := url.URL{Scheme: "http", Host: address, Path: x.Path, RawQuery: x.RawQuery}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), x.Method, target.String(), nil)
	if err != nil {
		return nil, nil, errors.Wrap(err, "build request")
	}
	if len(x.Body) > 0 {
		req.Body = body
		req.ContentLength = int64(len(x.Body))
	}
	req.Header = UpstreamHeader(x)
	return req, &used, nil
}

// UpstreamHeader returns the headers that are sent to the upstream.
func UpstreamHeader(x *exchange.Exchange) http.Header {
	h := x.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	hopheader.Drop(h)
	for _, name := range []string{"Content-Length", "Host"} {
		h.Del(name)
	}
	h.Del("Idempotency-Key")
	h.Set(HeaderRequestID, x.TraceID)
	if x.IdempotencyKey != "" {
		h[rawIdempotencyKey] = []string{x.IdempotencyKey}
	}
	return h
}
