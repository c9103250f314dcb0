package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/detour"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

// maxPeersTried limits the hosts that are asked to take one attempt.
const maxPeersTried = 8

// errSilentDetour is the cause of a failure in which the upstream sent no data within the time limit through another host. It says
// nothing about this host's own path.
var errSilentDetour = errors.New("no data within the time limit")

// Reachability tells whether this host is cut off from the upstreams.
type Reachability interface {
	CutOff() bool
	// Confirm is like CutOff and finds out first if that is not certain.
	Confirm(ctx context.Context) bool
	RecordData()
	RecordConnected()
	// RecordDetour records that another host has served a request of this one.
	RecordDetour()
	RecordFailure(address string, newConn bool)
	// RecordSilence records that an upstream sent no response in time.
	RecordSilence(address string)
}

// sendByDetour sends the request to the upstream once, through another host.
func (d *dispatchFilter) sendByDetour(ctx context.Context, req *Request, u *catalog.Upstream) attemptResult {
	req.needsUnusedConn = req.triedAddress(u.Address)
	d.countSend(req, u.Key())
	res := d.tryPeers(ctx, req, u)
	if !res.sent {
		req.sends--
	}
	if res.unproven { // the upstream is asked again
		req.tried = req.tried[:len(req.tried)-1]
	}
	return res
}

// tryPeers asks other hosts in turn until one takes the attempt.
func (d *dispatchFilter) tryPeers(ctx context.Context, req *Request, u *catalog.Upstream) attemptResult {
	var asked []string
	var lastErr error
	for len(asked) < maxPeersTried && ctx.Err() == nil {
		peer := d.detours.Choose(asked)
		if peer == "" {
			break
		}
		asked = append(asked, peer)
		res, err := d.sendThrough(ctx, req, u, peer)
		if err == nil {
			return res
		}
		lastErr = err
		d.detours.RecordRefused(peer)
		d.log.Info().Str("event", "detour-refused").Str("request", req.ID).Str("upstream", u.ID).Str("peer", peer).Err(err).Send()
	}
	d.metrics.noDetour.Inc(1)
	res := notRunResult(false, "cut-off", "no upstream can be reached from here, nor through another host", u.Key(), lastErr)
	res.noPath = true
	return res
}

// sendThrough sends the request through the host at the address. The error says why that host did not take it.
func (d *dispatchFilter) sendThrough(ctx context.Context, req *Request, u *catalog.Upstream, peer string) (attemptResult, error) {
	conn, err := d.connectPeer(ctx, peer)
	if err != nil {
		return attemptResult{}, err
	}
	if denied := d.recheck(req, u); denied != nil {
		d.pool.PutUnused(conn)
		return *denied, nil
	}
	req.peer = peer
	defer d.detours.Begin(peer)()
	d.balancer.RecordRequestStart(u.Key())
	defer d.balancer.RecordRequestEnd(u.Key())
	d.metrics.detours.Inc(1)
	res := d.send(ctx, req, u, conn)
	return res, res.peerRefused
}

// connectPeer returns a connection to another host.
func (d *dispatchFilter) connectPeer(ctx context.Context, peer string) (*upconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, maxConnectTimeout)
	defer cancel()
	return d.pool.Get(ctx, peer)
}

// checkReport reads what the other host tells about the attempt. It returns the result if the response is not the upstream's.
func (d *dispatchFilter) checkReport(req *Request, u *catalog.Upstream, conn *upconn.Conn, resp *http.Response, release func(bool)) *attemptResult {
	report, err := detour.TakeReport(resp.Header)
	if err == nil && report.Outcome == detour.Relayed {
		d.detours.RecordServed(req.peer)
		d.reach.RecordDetour()
		req.process = servedSince(d.clock.Now().Add(-report.Served()))
		req.provenUntil, req.unprovenUntil = time.Time{}, nil
		return nil
	}
	release(conn.Discard(resp))
	res := d.notRelayed(req, u, report, err)
	return &res
}

// notRelayed returns the result of an attempt that brought no response of the upstream.
func (d *dispatchFilter) notRelayed(req *Request, u *catalog.Upstream, report detour.Report, err error) attemptResult {
	key := u.Key()
	switch {
	case err != nil:
		d.detours.RecordRefused(req.peer)
		return d.outcomeUnknown(req, "no-answer", "the other host did not answer", key, err)
	case report.Outcome == detour.PeerRefused:
		return attemptResult{notRun: true, peerRefused: errors.Errorf("host %s takes no detour: %s", req.peer, report.Reason)}
	case report.Outcome == detour.NotSent && report.Reason == detour.ReasonUnproven:
		d.deferUnproven(req, u)
		return attemptResult{unproven: true}
	case report.Outcome == detour.NotSent:
		cause := errors.Errorf("detour through %s: %s", req.peer, report.Reason)
		if report.Reason == detour.ReasonConnectFailed {
			d.balancer.RecordConnectFailure(u, cause)
		}
		return notRunResult(false, string(report.Reason), "the upstream could not be reached through another host", key, cause)
	default:
		cause := errors.Errorf("detour through %s: %s", req.peer, report.Reason)
		d.balancer.RecordBrokenResponse(u, cause)
		d.crashes.recordBrokenResponse(u, newSuspect(req, d.clock.Now()))
		return d.outcomeUnknown(req, "no-answer", "the upstream did not answer", key, cause)
	}
}

// peerFailed returns the result of a send through another host that ended without a report. That says nothing about the upstream: a
// host that lives reports what became of the attempt.
func (d *dispatchFilter) peerFailed(req *Request, u *catalog.Upstream, conn *upconn.Conn, err error) attemptResult {
	if conn.Reused { // the host may only have closed a kept connection
		d.detours.RecordDoubt(req.peer)
	} else {
		d.detours.RecordRefused(req.peer)
	}
	return d.outcomeUnknown(req, "no-answer", "the other host did not answer", u.Key(), err)
}

// servedSince is a process that has served since the time, and maybe for longer.
type servedSince time.Time

// ServedSince implements servingProcess.
func (s servedSince) ServedSince() time.Time { return time.Time(s) }

// refusesByDetour reports whether the upstream refuses connections of another host.
func (d *dispatchFilter) refusesByDetour(ctx context.Context, u *catalog.Upstream) (bool, error) {
	var asked []string
	err := errors.New("no other host can be asked")
	for len(asked) < maxPeersTried {
		peer := d.detours.Choose(asked)
		if peer == "" {
			break
		}
		asked = append(asked, peer)
		var report detour.Report
		if report, err = d.probeThrough(ctx, u, peer); err == nil && report.Outcome != detour.PeerRefused {
			return report.Outcome == detour.Refuses, nil
		}
		d.detours.RecordRefused(peer)
	}
	return false, errors.Wrapf(err, "probe %s through another host", u.ID)
}

// probeThrough asks the host at the address whether the upstream refuses connections.
func (d *dispatchFilter) probeThrough(ctx context.Context, u *catalog.Upstream, peer string) (detour.Report, error) {
	conn, err := d.connectPeer(ctx, peer)
	if err != nil {
		return detour.Report{}, err
	}
	defer context.AfterFunc(ctx, conn.Close)()
	order := detour.NewOrder(u, maxConnectTimeout)
	order.Probe = true
	header := http.Header{}
	if err := detour.SetOrder(header, order); err != nil {
		return detour.Report{}, err
	}
	out, err := http.NewRequest(http.MethodGet, "http://"+peer+"/", http.NoBody)
	if err != nil {
		return detour.Report{}, errors.Wrapf(err, "probe through %s", peer)
	}
	out.Header = header
	resp, err := conn.RoundTrip(out, nil, func(_ int, h http.Header) bool { return detour.HasReport(h) })
	if err != nil {
		conn.Close()
		return detour.Report{}, err
	}
	defer resp.Body.Close()
	report, err := detour.TakeReport(resp.Header)
	if conn.Discard(resp) {
		d.pool.Put(conn, upconn.MaxIdlePerUpstream)
	} else {
		conn.Close()
	}
	return report, err
}
