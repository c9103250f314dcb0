package direct

import (
	"context"
	"slices"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

// borrow returns an upstream that may receive the request within another host's share of the limits, or nil.
func (d *dispatchFilter) borrow(ctx context.Context, snap *catalog.Snapshot, req *Request, criteria balance.Criteria) *balance.Choice {
	if req.borrowed != nil {
		return nil
	}
	return d.desk.Borrow(ctx, snap, req.Service, criteria, req.ID)
}

// giveBack takes back an upstream to which nothing was sent. What was borrowed is kept for a later attempt.
func (d *dispatchFilter) giveBack(req *Request, choice *balance.Choice) {
	if choice.Borrowed {
		req.borrowed = choice
		return
	}
	d.selector.Refund(choice)
}

// takeBorrowed returns the upstream that was borrowed before if it may receive the request now, or nil.
func (d *dispatchFilter) takeBorrowed(snap *catalog.Snapshot, req *Request, criteria balance.Criteria) *balance.Choice {
	kept := req.borrowed
	if kept == nil {
		return nil
	}
	if !d.clock.Now().Before(kept.SendBefore) || !isUsable(snap, kept.Upstream) || !req.accepts(kept.Upstream) {
		req.borrowed = nil
		return nil
	}
	if slices.Contains(criteria.Rejected, kept.Key()) || !d.selector.Hold(kept) {
		return nil
	}
	req.borrowed = nil
	return kept
}
