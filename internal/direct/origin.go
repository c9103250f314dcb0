package direct

import (
	"context"
	"slices"
	"time"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/origin"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// OriginResolver finds out which software version began a stream.
type OriginResolver interface {
	// Resolve returns the origin and whether a record of it exists.
	Resolve(ctx context.Context, q origin.Query) (o origin.Origin, recorded bool, err error)
}

// originFilter binds a request that continues a stream to the software version that began it.
type originFilter struct {
	store    *catalog.Store
	resolver OriginResolver
}

// Name implements Filter.
func (*originFilter) Name() string { return stepOrigin }

// Handle implements Filter.
func (f *originFilter) Handle(ctx context.Context, req *Request, next Next) error {
	if req.Route.Kind != catalog.Stream || !req.continuesStream() {
		return next(ctx, req)
	}
	o, _, err := f.resolver.Resolve(ctx, origin.Query{
		Stream: req.streamID(), Service: req.Service, Window: f.store.Current().StreamTimeouts[req.Service],
	})
	if err != nil {
		return outcome.Unavailable(stepOrigin, "stream-origin-unknown", "it is not known which software version began the stream").WithPeer("", err)
	}
	req.origin = &o
	return next(ctx, req)
}

// bindStream binds the request to the software version of the upstream from which the first bytes of a stream are about to
// be relayed.
func (d *dispatchFilter) bindStream(req *Request, u *catalog.Upstream) {
	if req.origin == nil {
		req.origin = &origin.Origin{Service: u.Service, Version: u.Version}
		if d.incarnations.known(u, req.process) != proven {
			req.provisional = &provisionalOrigin{upstream: u, process: req.process}
		}
	}
	if !req.Route.Repeatable() || req.firstID() == "" {
		return
	}
	lifetime := max(req.Route.Timeout, req.CallerTimeout)
	r := origin.Record{Stream: req.streamID(), Origin: *req.origin, Expires: req.Start.Add(lifetime)}
	if req.provisional != nil {
		d.shareProvisional(r, *req.provisional)
		return
	}
	d.shareOrigin(r)
}

// checkOrigin refuses a request whose stream cannot be continued, since no upstream has the software version that began it.
// If this host has not seen that version, its upstreams may still be published.
func (d *dispatchFilter) checkOrigin(snap *catalog.Snapshot, req *Request) error {
	if req.origin == nil || req.origin.Service == req.Service && snap.Serves(req.Service, req.origin.Version) {
		return nil
	}
	if seen := d.store.VersionsSince(req.origin.Service, time.Time{}); !slices.Contains(seen, req.origin.Version) {
		return outcome.Unavailable(stepDispatch, "stream-version-unseen", "the software version that began the stream is not known here yet").
			WithRetryAfter(defaultRetryAfter)
	}
	return outcome.Unavailable(stepDispatch, "stream-version-gone", "no upstream of the software version that began the stream is left")
}
