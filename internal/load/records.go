package load

import (
	"context"
	"fmt"

	"github.com/orioleusher/orioleusher/internal/load/watch"
	"github.com/orioleusher/orioleusher/internal/record"
)

// records returns the records of callers, routers and stand-ins. A service that cannot be read is reported on Progress.
func (r *run) records(ctx context.Context) []record.Line {
	lines := r.callRecords
	loads, versions := r.sampler.Samples()
	for i := range loads {
		lines = append(lines, record.Line{Kind: record.KindLoad, Load: &loads[i]})
	}
	for i := range versions {
		lines = append(lines, record.Line{Kind: record.KindVersion, Version: &versions[i]})
	}
	for _, d := range r.drains.list() {
		lines = append(lines, record.Line{Kind: record.KindDrain, Drain: &d})
	}
	if r.options.Snapshot != nil {
		for _, t := range r.options.Snapshot.Teams {
			limit := &record.Limit{Team: t.Name, RatePerSecond: t.RatePerSecond, Burst: t.Burst}
			lines = append(lines, record.Line{Kind: record.KindLimit, Limit: limit})
		}
	}
	return append(lines, r.serviceRuns(ctx)...)
}

func (r *run) serviceRuns(ctx context.Context) []record.Line {
	var lines []record.Line
	if r.options.StandIns == nil {
		return nil
	}
	for _, v := range r.options.StandIns.Services {
		runs, err := watch.ServiceRuns(ctx, watch.Upstream{Name: v.Name, AdminAddress: v.AdminAddress})
		if err != nil {
			fmt.Fprintf(r.options.Progress, "event=record-missing service=%s error=%v\n", v.Name, err)
		}
		for i := range runs {
			if runs[i].At.After(r.start) {
				lines = append(lines, record.Line{Kind: record.KindRun, Run: &runs[i]})
			}
		}
	}
	return lines
}
