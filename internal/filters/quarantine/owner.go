package quarantine

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/quarantine"
)

// Prober determines whether an upstream crashed.
type Prober interface {
	// BootID returns the last known boot ID of the upstream, or "".
	BootID(upstream string) string
	// DownOrRestarted reports whether the upstream at the address refuses or closes connections, or has a boot ID other
	// than the given one.
	DownOrRestarted(ctx context.Context, address, bootID string) bool
	// Alive reports whether the upstream at the address responds to a probe.
	Alive(ctx context.Context, address string) bool
}

// OwnerFilter is the quarantine step of the host that owns an upstream.
type OwnerFilter struct {
	table    *quarantine.Table
	limiter  *quarantine.SuspectLimiter
	prober   Prober
	refused  tally.Counter
	crashes  tally.Counter
	suspects tally.Counter
}

// NewOwnerFilter returns the filter.
func NewOwnerFilter(table *quarantine.Table, limiter *quarantine.SuspectLimiter, prober Prober, scope tally.Scope) *OwnerFilter {
	return &OwnerFilter{
		table: table, limiter: limiter, prober: prober, refused: scope.Counter("quarantine_owner_held"),
		crashes: scope.Counter("quarantine_strikes"), suspects: scope.Counter("quarantine_suspects"),
	}
}

// Name implements exchange.Filter.
func (f *OwnerFilter) Name() string { return Name }

// Handle implements exchange.Filter. The exchange's only candidate is the upstream that runs it.
func (f *OwnerFilter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	release, err := f.admit(ctx, x)
	if err != nil {
		return err
	}
	bootID := f.prober.BootID(x.Candidates[0])
	if err := next(ctx, x); err != nil {
		defer release()
		return f.classifyError(x, bootID, exchange.AsRefusal(err))
	}
	bootID = f.prober.BootID(x.Candidates[0])
	x.Response.Body = &monitoredBody{ReadCloser: x.Response.Body, release: release, onBroken: func() { f.recordIfCrashed(x, bootID) }}
	return nil
}

// classifyError sets the refusal code that reports a crash to the entry host, if the upstream crashed while it ran the
// request.
func (f *OwnerFilter) classifyError(x *exchange.Exchange, bootID string, r *outcome.Refusal) error {
	if r.Outcome != outcome.Unknown || !connectionLost(r.Cause) || !f.recordIfCrashed(x, bootID) {
		return r
	}
	crashed := *r
	crashed.Code = CodeUpstreamCrashed
	crashed.Message = "the upstream died while the request ran"
	return &crashed
}

// admit refuses quarantined requests and admits suspect requests one at a time, and only to an upstream that responds
// to a probe. Otherwise an upstream that was already down would be recorded as a second crash for the request.
func (f *OwnerFilter) admit(ctx context.Context, x *exchange.Exchange) (func(), error) {
	if err := refuseQuarantined(f.table, x, f.refused); err != nil {
		return nil, err
	}
	if verdict, _ := f.table.Check(x.Fingerprint); verdict == quarantine.Clear && !x.CrashSuspect {
		return func() {}, nil
	}
	f.suspects.Inc(1)
	release, err := f.limiter.Acquire(ctx, x.Candidates[0])
	if err != nil {
		return nil, outcome.Unavailable(Name, "suspects-wait", "the request waited too long behind another suspect").
			WithPeer(x.Candidates[0], err)
	}
	if err := f.recheck(ctx, x); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

// recheck repeats the checks after a suspect has waited for others, since another copy of the request may have crashed
// a second upstream in the meantime.
func (f *OwnerFilter) recheck(ctx context.Context, x *exchange.Exchange) error {
	if err := refuseQuarantined(f.table, x, f.refused); err != nil {
		return err
	}
	up, ok := x.Snapshot.Upstream(x.Candidates[0])
	if !ok || !f.prober.Alive(ctx, up.Address) {
		return outcome.Unavailable(Name, "upstream-down", "the upstream does not answer").WithPeer(x.Candidates[0], nil)
	}
	return nil
}

// connectionLost reports whether err may mean that the upstream closed the connection.
func connectionLost(err error) bool {
	return err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// recordIfCrashed records a crash for the request if the upstream crashed while it ran the request. It reports whether
// it did.
func (f *OwnerFilter) recordIfCrashed(x *exchange.Exchange, bootID string) bool {
	up, ok := x.Snapshot.Upstream(x.Candidates[0])
	if !ok || !f.prober.DownOrRestarted(context.Background(), up.Address, bootID) {
		return false
	}
	f.crashes.Inc(1)
	f.table.RecordCrash(x.Fingerprint, up.Name)
	return true
}

// monitoredBody calls release when the response is closed and calls onBroken if the response breaks off.
type monitoredBody struct {
	io.ReadCloser
	release  func()
	onBroken func()
	ended    bool
}

// Read implements io.Reader.
func (b *monitoredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.ended {
		b.ended = true
		if !errors.Is(err, io.EOF) && connectionLost(err) {
			b.onBroken()
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *monitoredBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}
