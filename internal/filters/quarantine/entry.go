// Package quarantine stops requests that crash upstreams. EntryFilter refuses quarantined requests before they are
// dispatched. OwnerFilter runs suspect requests one at a time and records each request that was in flight when an
// upstream crashed.
package quarantine

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/quarantine"
)

// Name is the step that the refusals of both filters carry.
const Name = "quarantine"

// Refusal codes of this step.
const (
	// CodeQuarantined refuses a request that is quarantined.
	CodeQuarantined = "quarantined"
	// CodeUpstreamCrashed reports that the upstream crashed while the request ran.
	CodeUpstreamCrashed = "upstream-died"
)

// EntryFilter is the quarantine step of the host that accepted the request.
type EntryFilter struct {
	table       *quarantine.Table
	prober      Prober
	pushToPeers func(context.Context)
	refused     tally.Counter
}

// NewEntryFilter returns the filter. The function pushToPeers sends the quarantine table to peers immediately.
func NewEntryFilter(table *quarantine.Table, prober Prober, pushToPeers func(context.Context), scope tally.Scope) *EntryFilter {
	return &EntryFilter{table: table, prober: prober, pushToPeers: pushToPeers, refused: scope.Counter("quarantine_held")}
}

// Name implements exchange.Filter.
func (f *EntryFilter) Name() string { return Name }

// Handle implements exchange.Filter. After a crash of an upstream it runs a repeatable request again, until the request
// is quarantined.
func (f *EntryFilter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	x.Fingerprint = quarantine.Fingerprint(x.TeamName(), x.Path, x.Body)
	if err := refuseQuarantined(f.table, x, f.refused); err != nil {
		return err
	}
	for {
		err := next(ctx, x)
		if err == nil {
			return nil
		}
		r := exchange.AsRefusal(err)
		if r.Code != CodeUpstreamCrashed {
			return err
		}
		if f.recordCrash(ctx, x, r.Peer) || !x.Route.Repeatable {
			return err
		}
	}
}

// pushTimeout bounds the time to inform peers of a request that is now quarantined.
const pushTimeout = 300 * time.Millisecond

// recordCrash records that the upstream crashed while it ran the request and reports whether the request is now
// quarantined. Peers are informed before the caller gets its refusal, since the caller may immediately send the request
// again to one of them.
func (f *EntryFilter) recordCrash(ctx context.Context, x *exchange.Exchange, upstream string) bool {
	x.CrashSuspect = true
	x.FailedUpstreams = append(x.FailedUpstreams, upstream)
	f.table.RecordCrash(x.Fingerprint, upstream)
	verdict, _ := f.table.Check(x.Fingerprint)
	if verdict == quarantine.Quarantined || !x.Route.Repeatable {
		ctx, cancel := context.WithTimeout(ctx, pushTimeout)
		defer cancel()
		f.pushToPeers(ctx)
	}
	return verdict == quarantine.Quarantined
}

// ReportBrokenResponse is called when a response of the upstream broke off or never arrived. If the upstream crashed,
// it records the crash for the request. It reports whether the request is now quarantined.
func (f *EntryFilter) ReportBrokenResponse(ctx context.Context, x *exchange.Exchange, upstream, bootID string) bool {
	up, ok := x.Snapshot.Upstream(upstream)
	if ok && f.prober.DownOrRestarted(ctx, up.Address, bootID) {
		return f.recordCrash(ctx, x, upstream)
	}
	x.FailedUpstreams = append(x.FailedUpstreams, upstream)
	return false
}

// refuseQuarantined returns a refusal if the request is quarantined.
func refuseQuarantined(table *quarantine.Table, x *exchange.Exchange, refused tally.Counter) error {
	verdict, wait := table.Check(x.Fingerprint)
	if verdict != quarantine.Quarantined {
		return nil
	}
	refused.Inc(1)
	return outcome.Refuse(Name, http.StatusServiceUnavailable, CodeQuarantined,
		"upstreams died while this request ran; it is held back").WithRetryAfter(wait)
}
