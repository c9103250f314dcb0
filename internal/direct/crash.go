package direct

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/promptblame"
	"github.com/orioleusher/orioleusher/internal/quarantine"
)

const (
	// crashProbeDelay is the time between a broken response and the probe that checks whether the upstream crashed: a
	// terminating process closes its connections before its listener.
	crashProbeDelay = 30 * time.Millisecond
	// crashProbeTimeout limits the connection attempt of the probe.
	crashProbeTimeout = 300 * time.Millisecond
)

// QuarantineLimits are the quarantine limits for requests that are sent directly: a request is quarantined if it was
// running on upstreams during three crashes within a minute, with no success in between. Three crashes are required
// because a broken response followed by a refused connection is weaker evidence of a crash than what the host that owns
// an upstream observes.
var QuarantineLimits = quarantine.Limits{CrashThreshold: 3, Lifetime: time.Minute}

// crashDetector checks whether upstreams whose responses broke off have crashed, and records the requests that were
// running on them.
type crashDetector struct {
	quarantine *quarantine.Table
	prompts    *promptblame.Table
	// refuses reports whether the upstream refuses connections.
	refuses func(ctx context.Context, u *catalog.Upstream) bool
	clock   clockwork.Clock
	log     zerolog.Logger

	mu sync.Mutex
	// suspects holds the requests whose responses broke off, by upstream with a pending probe.
	suspects map[catalog.UpstreamKey][]suspect
}

// suspect is a request whose response broke off.
type suspect struct {
	fingerprint uint64
	// segments are the prompt segments that may have caused the crash, at the stage of the answer.
	segments    []uint64
	stage       promptblame.Stage
	brokenOffAt time.Time
}

// newSuspect returns the request, whose response breaks off now.
func newSuspect(req *Request, now time.Time) suspect {
	return suspect{fingerprint: req.fingerprint, segments: req.segmentHashes(), stage: req.passed, brokenOffAt: now}
}

// recordBrokenResponse records that the upstream's response to the request broke off. The first call schedules a probe of the
// upstream; calls until the probe ends share it.
func (d *crashDetector) recordBrokenResponse(u *catalog.Upstream, s suspect) {
	key := u.Key()
	d.mu.Lock()
	defer d.mu.Unlock()
	probePending := len(d.suspects[key]) > 0
	d.suspects[key] = append(d.suspects[key], s)
	if !probePending {
		d.clock.AfterFunc(crashProbeDelay, func() { d.probe(u) })
	}
}

// probe records a crash for each request that was running on the upstream if the upstream refuses connections.
func (d *crashDetector) probe(u *catalog.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	refuses, key := d.refuses(ctx, u), u.Key()
	d.mu.Lock()
	suspects := d.suspects[key]
	delete(d.suspects, key)
	d.mu.Unlock()
	if !refuses {
		return
	}
	d.log.Warn().Str("event", "upstream-died").Str("upstream", key.ID).Str("peer", key.Address).Int("requests", len(suspects)).Send()
	for _, s := range suspects {
		d.quarantine.RecordCrash(s.fingerprint, key.ID)
		if len(s.segments) > 0 {
			d.prompts.RecordCrash(promptblame.Attempt{
				Segments: s.segments, Request: s.fingerprint, Upstream: loadbalancer.HashKey(key.ID), CrashedAt: s.brokenOffAt,
			}, s.stage)
		}
	}
}

// refusesConnections reports whether the upstream refuses connections, and not only those of this host.
func (d *dispatchFilter) refusesConnections(ctx context.Context, u *catalog.Upstream) bool {
	if !d.reach.CutOff() {
		conn, err := d.pool.Dial(ctx, "tcp", u.Address)
		if err == nil {
			_ = conn.Close()
		}
		if !isRefusal(err) || !d.reach.Confirm(ctx) {
			return isRefusal(err)
		}
	}
	refuses, err := d.refusesByDetour(ctx, u)
	d.log.Info().Str("event", "crash-probed-by-detour").Str("upstream", u.ID).Str("peer", u.Address).Bool("refuses", refuses).Err(err).Send()
	return refuses
}

// quarantineFilter refuses requests that are quarantined because upstreams crashed while running them.
type quarantineFilter struct {
	quarantine *quarantine.Table
}

// Name implements Filter.
func (*quarantineFilter) Name() string { return stepQuarantine }

// Handle implements Filter.
func (f *quarantineFilter) Handle(ctx context.Context, req *Request, next Next) error {
	req.fingerprint = quarantine.Fingerprint(req.team(), req.HTTP.RequestURI, req.Body)
	if err := f.check(req); err != nil {
		return err
	}
	err := next(ctx, req)
	if verdict, _ := f.quarantine.Check(req.fingerprint); verdict != quarantine.Clear && err == nil && req.response.status < minFailureStatus {
		// The success shows that this request does not crash upstreams.
		f.quarantine.Lift(req.fingerprint)
	}
	return err
}

func (f *quarantineFilter) check(req *Request) error {
	verdict, left := f.quarantine.Check(req.fingerprint)
	if verdict != quarantine.Quarantined {
		return nil
	}
	return outcome.Unavailable(stepQuarantine, "quarantined", "upstreams died while this request ran").WithRetryAfter(left)
}

// checkPrompt refuses a request whose prompt has segments that crash upstreams, also one that continues a stream: an upstream
// may crash after its first events. What the request's own answer has passed does not count.
func checkPrompt(table *promptblame.Table, req *Request) error {
	left := table.Check(req.segmentHashes(), req.passed)
	if left <= 0 {
		return nil
	}
	return outcome.Unavailable(stepQuarantine, "prompt-quarantined", "upstreams died when they began to answer this prompt").WithRetryAfter(left)
}

// recordPassed records that an upstream's answer to the request's prompt has come to the stage.
func (d *dispatchFilter) recordPassed(req *Request, stage promptblame.Stage) {
	if stage <= req.passed {
		return
	}
	if segments := req.segmentHashes(); len(segments) > 0 {
		d.prompts.RecordPassed(segments, req.passed, stage)
	}
	req.passed = stage
}
