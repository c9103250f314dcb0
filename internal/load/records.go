package load

import (
	"context"
	"fmt"

	"github.com/orioleusher/orioleusher/internal/load/watch"
	"github.com/orioleusher/orioleusher/internal/record"
)

// records gathers the lines of callers, routers and stand-ins. A service that does not answer is reported on Progress.
func (r *run) records(ctx context.Context) []record.Line {
	lines := r.lines
	loads, versions := r.sampler.Samples()
	for i := range loads {
		lines = append(lines, record.Line{Kind: record.KindLoad, Load: &loads[i]})
	}
	for i := range versions {
		lines = append(lines, record.Line{Kind: record.KindVersion, Version: &versions[i]})
	}
	for _, c := range r.moves.closures() {
		lines = append(lines, record.Line{Kind: record.KindClosure, Closure: &c})
	}
	if r.o.Snapshot != nil {
		for _, t := range r.o.Snapshot.Teams {
			limit := &record.Limit{Team: t.Name, RatePerSecond: t.RatePerSecond, Burst: t.Burst}
			lines = append(lines, record.Line{Kind: record.KindLimit, Limit: limit})
		}
	}
	return append(lines, r.serviceRuns(ctx)...)
}

func (r *run) serviceRuns(ctx context.Context) []record.Line {
	var lines []record.Line
	if r.o.StandIns == nil {
		return nil
	}
	for _, v := range r.o.StandIns.Services {
		runs, err := watch.ServiceRuns(ctx, watch.Upstream{Name: v.Name, Admin: v.AdminAddress})
		if err != nil {
			fmt.Fprintf(r.o.Progress, "event=record-missing service=%s error=%v\n", v.Name, err)
		}
		for i := range runs {
			if runs[i].At.After(r.start) {
				lines = append(lines, record.Line{Kind: record.KindRun, Run: &runs[i]})
			}
		}
	}
	return lines
}
