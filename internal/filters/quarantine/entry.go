// Package quarantine holds back requests that cost upstreams their life. Entry stops held requests before they are
// dispatched; Owner runs suspects one at a time and records who was on board when an upstream died.
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

// Name is the filters' step.
const Name = "quarantine"

// Refusal codes of this step.
const (
	// CodeQuarantined refuses a request that is held back.
	CodeQuarantined = "quarantined"
	// CodeUpstreamDied says that the upstream died while the request ran.
	CodeUpstreamDied = "upstream-died"
)

// EntryFilter is the quarantine step of the host that accepted the request.
type EntryFilter struct {
	table  *quarantine.Table
	prober Prober
	tell   func(context.Context)
	held   tally.Counter
}

// NewEntryFilter returns the filter. Tell passes the table on to peers at once.
func NewEntryFilter(table *quarantine.Table, prober Prober, tell func(context.Context), scope tally.Scope) *EntryFilter {
	return &EntryFilter{table: table, prober: prober, tell: tell, held: scope.Counter("quarantine_held")}
}

// Name implements exchange.Filter.
func (f *EntryFilter) Name() string { return Name }

// Handle implements exchange.Filter. After the death of an upstream it runs a repeatable request again, until the
// request is held back.
func (f *EntryFilter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	x.Fingerprint = quarantine.Fingerprint(x.TeamName(), x.Path, x.Body)
	if err := refuseHeld(f.table, x, f.held); err != nil {
		return err
	}
	for {
		err := next(ctx, x)
		if err == nil {
			return nil
		}
		r := exchange.AsRefusal(err)
		if r.Code != CodeUpstreamDied {
			return err
		}
		if f.strike(ctx, x, r.Peer) || !x.Route.Repeatable {
			return err
		}
	}
}

// tellTimeout bounds the wait for peers to hear of a request that is now held back.
const tellTimeout = 300 * time.Millisecond

// strike records the death of the upstream under the exchange and reports whether the request is now held back. Peers
// hear of it before the caller does, since the caller may send the request again to one of them at once.
func (f *EntryFilter) strike(ctx context.Context, x *exchange.Exchange, upstream string) bool {
	x.CrashSuspect = true
	x.FailedUpstreams = append(x.FailedUpstreams, upstream)
	f.table.RecordCrash(x.Fingerprint, upstream)
	verdict, _ := f.table.Check(x.Fingerprint)
	if verdict == quarantine.Held || !x.Route.Repeatable {
		ctx, cancel := context.WithTimeout(ctx, tellTimeout)
		defer cancel()
		f.tell(ctx)
	}
	return verdict == quarantine.Held
}

// Broke is called when an answer of the upstream broke off or never came. It records a death of the upstream and
// reports whether the request is now held back.
func (f *EntryFilter) Broke(ctx context.Context, x *exchange.Exchange, upstream, boot string) bool {
	up, ok := x.Snapshot.Upstream(upstream)
	if ok && f.prober.Died(ctx, up.Address, boot) {
		return f.strike(ctx, x, upstream)
	}
	x.FailedUpstreams = append(x.FailedUpstreams, upstream)
	return false
}

// refuseHeld returns a refusal if the exchange is held back.
func refuseHeld(table *quarantine.Table, x *exchange.Exchange, held tally.Counter) error {
	verdict, wait := table.Check(x.Fingerprint)
	if verdict != quarantine.Held {
		return nil
	}
	held.Inc(1)
	return outcome.Refuse(Name, http.StatusServiceUnavailable, CodeQuarantined,
		"upstreams died while this request ran; it is held back").WithRetryAfter(wait)
}
