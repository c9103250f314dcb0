package direct

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/origin"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

// Listing tells how recent this host's knowledge of published upstreams is.
type Listing interface {
	DataAge() time.Duration
	// Refresh reads what has been published up to the given time or later.
	Refresh(ctx context.Context, since time.Time) error
}

// incarnationCheck finds out whether the process behind a connection has the software version that is published for its upstream.
// An upstream may start again under its ID and address with another software version, and answers do not tell the version.
type incarnationCheck struct {
	store   *catalog.Store
	listing Listing
	// registration is the time within which an upstream that listens has published itself.
	registration time.Duration
	clock        clockwork.Clock
	log          zerolog.Logger
}

// verdict says whether a connection leads to the version of an upstream.
type verdict int

const (
	unproven verdict = iota
	proven
	// replaced means that an incarnation with another version is published under the ID, which may be that behind the connection.
	replaced
)

// servingProcess is a process that serves at the address of an upstream.
type servingProcess interface {
	// ServedSince returns a time since which the process has served.
	ServedSince() time.Time
}

// known returns the verdict by what this host knows of published upstreams: a process that has served for longer than an
// upstream takes to publish itself is the one that is published.
func (c *incarnationCheck) known(u *catalog.Upstream, process servingProcess) verdict {
	return c.verdict(u, process, c.clock.Now().Add(-c.listing.DataAge()))
}

// refreshed is like known and first reads what is published if that decides.
func (c *incarnationCheck) refreshed(ctx context.Context, u *catalog.Upstream, process servingProcess) verdict {
	v := c.known(u, process)
	due := process.ServedSince().Add(c.registration)
	if v != unproven || c.clock.Now().Before(due) {
		return v
	}
	if err := c.listing.Refresh(ctx, due); err != nil {
		c.log.Warn().Str("event", "versions-not-refreshed").Str("service", u.Service).Str("peer", u.ID).Err(err).Send()
		return unproven
	}
	return c.verdict(u, process, due)
}

// verdict returns the verdict by what had been published at the given time.
func (c *incarnationCheck) verdict(u *catalog.Upstream, process servingProcess, asOf time.Time) verdict {
	if c.isReplaced(u) {
		return replaced
	}
	if asOf.Before(process.ServedSince().Add(c.registration)) {
		return unproven
	}
	return proven
}

func (c *incarnationCheck) isReplaced(u *catalog.Upstream) bool {
	version, ok := c.store.Current().UpstreamVersion(u.Service, u.ID)
	return ok && version != u.Version
}

// provisionalOrigin is the origin of a stream that is not proven yet: the upstream whose process was to receive the request.
type provisionalOrigin struct {
	upstream *catalog.Upstream
	process  servingProcess
}

// originPollInterval is how often a provisional origin is checked.
const originPollInterval = 100 * time.Millisecond

// shareProvisional shares the origin of a stream, and shares it again as soon as it is proven.
func (d *dispatchFilter) shareProvisional(r origin.Record, p provisionalOrigin) {
	open := r
	open.Upstream, open.Due = p.upstream.ID, p.process.ServedSince().Add(d.incarnations.registration)
	d.shareOrigin(open)
	d.clock.AfterFunc(originPollInterval, func() { d.shareOnceProven(r, p) })
}

// shareOnceProven shares the origin of a stream as soon as it is proven.
func (d *dispatchFilter) shareOnceProven(r origin.Record, p provisionalOrigin) {
	switch d.incarnations.known(p.upstream, p.process) {
	case proven:
		d.shareOrigin(r)
	case unproven:
		if d.clock.Now().Before(r.Expires) {
			d.clock.AfterFunc(originPollInterval, func() { d.shareOnceProven(r, p) })
		}
	case replaced:
		d.log.Info().Str("event", "stream-origin-unproven").Uint64("stream", uint64(r.Stream)).Str("upstream", p.upstream.ID).
			Str("software", r.Version).Send()
	}
}

// proveOrigin finds out whether the request's stream began at the software version to which it is bound, if that is open.
func (d *dispatchFilter) proveOrigin(ctx context.Context, req *Request) verdict {
	p := req.provisional
	if p == nil {
		return proven
	}
	v := d.incarnations.refreshed(ctx, p.upstream, p.process)
	if v == proven {
		req.provisional = nil
	}
	return v
}

// mayContinue reports whether the connection may carry the request: one that continues a stream needs proof that the
// connection leads to an upstream of its version. Without it the connection is kept, as it may be proven soon.
func (d *dispatchFilter) mayContinue(ctx context.Context, req *Request, u *catalog.Upstream, conn *upconn.Conn) bool {
	if req.origin == nil || d.incarnations.refreshed(ctx, u, conn) == proven {
		req.provenUntil, req.unprovenUntil = time.Time{}, nil
		return true
	}
	d.deferUnproven(req, u)
	d.pool.PutUnused(conn)
	return false
}

// deferUnproven keeps the request, which continues a stream, from the upstream until its incarnation is checked again.
func (d *dispatchFilter) deferUnproven(req *Request, u *catalog.Upstream) {
	now := d.clock.Now()
	if req.provenUntil.IsZero() {
		req.provenUntil = now.Add(req.Deadline.Sub(now) / boundWaitDivisor)
	}
	if req.unprovenUntil == nil {
		req.unprovenUntil = map[catalog.UpstreamKey]time.Time{}
	}
	req.unprovenUntil[u.Key()] = now.Add(originPollInterval)
}

// excluded returns the upstreams that cannot receive the request now: those that did not execute it, and those whose
// incarnation is not proven.
func (req *Request) excluded(now time.Time) []catalog.UpstreamKey {
	list := req.rejectedBy
	for key, until := range req.unprovenUntil {
		if now.Before(until) || now.After(req.provenUntil) {
			list = append(list[:len(list):len(list)], key)
		}
	}
	return list
}
