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

// Prober finds out whether an upstream died.
type Prober interface {
	// Boot returns the last known run of the upstream, or "".
	Boot(upstream string) string
	// Died reports whether the upstream at the address is gone, or runs another boot than the given one.
	Died(ctx context.Context, address, boot string) bool
	// Alive reports whether the upstream at the address answers a probe.
	Alive(ctx context.Context, address string) bool
}

// OwnerFilter is the quarantine step of an upstream's owner.
type OwnerFilter struct {
	table    *quarantine.Table
	lanes    *quarantine.SuspectLimiter
	prober   Prober
	held     tally.Counter
	strikes  tally.Counter
	suspects tally.Counter
}

// NewOwnerFilter returns the filter.
func NewOwnerFilter(table *quarantine.Table, lanes *quarantine.SuspectLimiter, prober Prober, scope tally.Scope) *OwnerFilter {
	return &OwnerFilter{
		table: table, lanes: lanes, prober: prober, held: scope.Counter("quarantine_owner_held"),
		strikes: scope.Counter("quarantine_strikes"), suspects: scope.Counter("quarantine_suspects"),
	}
}

// Name implements exchange.Filter.
func (f *OwnerFilter) Name() string { return Name }

// Handle implements exchange.Filter. The exchange has one candidate, the upstream.
func (f *OwnerFilter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	leave, err := f.enter(ctx, x)
	if err != nil {
		return err
	}
	boot := f.prober.Boot(x.Candidates[0])
	if err := next(ctx, x); err != nil {
		defer leave()
		return f.afterError(x, boot, exchange.AsRefusal(err))
	}
	boot = f.prober.Boot(x.Candidates[0])
	x.Response.Body = &watchedBody{ReadCloser: x.Response.Body, leave: leave, broke: func() { f.strikeIfDied(x, boot) }}
	return nil
}

// afterError tells the entry host, by the refusal's code, when the upstream died under the request.
func (f *OwnerFilter) afterError(x *exchange.Exchange, boot string, r *outcome.Refusal) error {
	if r.Outcome != outcome.Unknown || !connectionLost(r.Cause) || !f.strikeIfDied(x, boot) {
		return r
	}
	died := *r
	died.Code = CodeUpstreamDied
	died.Message = "the upstream died while the request ran"
	return &died
}

// enter refuses held requests and lets suspects in one at a time, to an upstream that is alive: a second strike must
// not come from an upstream that was dead before the request reached it.
func (f *OwnerFilter) enter(ctx context.Context, x *exchange.Exchange) (func(), error) {
	if err := refuseHeld(f.table, x, f.held); err != nil {
		return nil, err
	}
	if verdict, _ := f.table.Check(x.Fingerprint); verdict == quarantine.Clear && !x.CrashSuspect {
		return func() {}, nil
	}
	f.suspects.Inc(1)
	leave, err := f.lanes.Acquire(ctx, x.Candidates[0])
	if err != nil {
		return nil, outcome.Unavailable(Name, "suspects-wait", "the request waited too long behind another suspect").
			WithPeer(x.Candidates[0], err)
	}
	if err := f.recheck(ctx, x); err != nil {
		leave()
		return nil, err
	}
	return leave, nil
}

// recheck looks again after a suspect's wait: another copy of the request may have cost a second upstream meanwhile.
func (f *OwnerFilter) recheck(ctx context.Context, x *exchange.Exchange) error {
	if err := refuseHeld(f.table, x, f.held); err != nil {
		return err
	}
	up, ok := x.Snapshot.Upstream(x.Candidates[0])
	if !ok || !f.prober.Alive(ctx, up.Address) {
		return outcome.Unavailable(Name, "upstream-down", "the upstream does not answer").WithPeer(x.Candidates[0], nil)
	}
	return nil
}

// connectionLost reports whether err may say that the other end closed the connection.
func connectionLost(err error) bool {
	return err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// strikeIfDied records a strike when the upstream died under the exchange.
func (f *OwnerFilter) strikeIfDied(x *exchange.Exchange, boot string) bool {
	up, ok := x.Snapshot.Upstream(x.Candidates[0])
	if !ok || !f.prober.Died(context.Background(), up.Address, boot) {
		return false
	}
	f.strikes.Inc(1)
	f.table.RecordCrash(x.Fingerprint, up.Name)
	return true
}

// watchedBody leaves the lane when the answer is closed and reports an answer that breaks off.
type watchedBody struct {
	io.ReadCloser
	leave func()
	broke func()
	done  bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.done {
		b.done = true
		if !errors.Is(err, io.EOF) && connectionLost(err) {
			b.broke()
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.leave()
	return b.ReadCloser.Close()
}
