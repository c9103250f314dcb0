package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load/arrivals"
	"github.com/orioleusher/orioleusher/internal/load/churn"
	"github.com/orioleusher/orioleusher/internal/load/report"
	"github.com/orioleusher/orioleusher/internal/load/scenario"
	"github.com/orioleusher/orioleusher/internal/load/watch"
	"github.com/orioleusher/orioleusher/internal/record"
	"github.com/orioleusher/orioleusher/internal/settings"
)

const (
	// progressInterval is the interval between two progress lines.
	progressInterval = 2 * time.Second
	// readyTimeout is the maximum time to wait for the fleet to become ready before the run starts.
	readyTimeout = 30 * time.Second
)

// RunOptions configures a run.
type RunOptions struct {
	Scenario *scenario.Scenario
	Callers  *Callers
	// Snapshot provides the rates of the teams, the engines and the admin addresses of the routers; without it the
	// measures that need them are missing. StandIns provides the admin addresses of the stand-ins, for faults and load
	// samples; it may be nil too.
	Snapshot *document.Snapshot
	StandIns *settings.StandIns
	// Hook receives the faults of processes, see package churn.
	Hook     io.Writer
	Label    string
	Progress io.Writer
}

// run is the state of a run in progress.
type run struct {
	options  RunOptions
	teamKeys map[string]string
	caller   *Caller
	balancer *watch.Balancer
	sampler  *watch.Sampler
	drains   *drainTracker
	start    time.Time

	mu          sync.Mutex
	finished    []report.CompletedRequest
	charges     []report.Charge
	callRecords []record.Line
	inFlight    int
}

// Run sends the requests of the scenario, executes its faults, and returns the result and the records of the run. The
// load is open-loop: each request is sent at its scheduled time, whether or not earlier ones were answered.
func Run(ctx context.Context, o RunOptions) (*report.Result, []record.Line, error) {
	r := newRun(o)
	if err := r.checkTeams(); err != nil {
		return nil, nil, err
	}
	readyCtx, cancelReady := context.WithTimeout(ctx, readyTimeout)
	defer cancelReady()
	if err := r.balancer.WaitReady(readyCtx); err != nil {
		return nil, nil, err
	}
	plan := arrivals.Plan(o.Scenario)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	r.start = time.Now()
	before := r.readControlBytes(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { r.balancer.Run(watchCtx) })
	watchers.Go(func() { r.sampler.Run(watchCtx) })
	watchers.Go(func() { r.reportProgress(watchCtx, len(plan)) })
	watchers.Go(func() { r.faultSchedule().Run(watchCtx, r.start, o.Scenario.Faults) })
	r.sendAll(ctx, plan)
	control := r.controlByteRates(ctx, before)
	stopWatch()
	watchers.Wait()
	if err := ctx.Err(); err != nil {
		return nil, nil, errors.Wrap(err, "run")
	}
	return r.buildResult(control), r.records(ctx), nil
}

func newRun(o RunOptions) *run {
	r := &run{options: o, teamKeys: map[string]string{}, caller: NewCaller(o.Scenario.RequestTimeout.Std())}
	for _, t := range o.Callers.Teams {
		r.teamKeys[t.Name] = t.Key
	}
	hosts := entryHosts(o.Callers, o.Snapshot)
	r.balancer = watch.NewBalancer(hosts, o.Scenario.Seed)
	r.drains = newDrainTracker(o.Snapshot)
	r.sampler = &watch.Sampler{Hosts: hosts, Pools: enginePools(o.Snapshot, o.StandIns), IsDraining: r.drains.isDraining, IsCrashed: r.drains.isCrashed}
	return r
}

func (r *run) checkTeams() error {
	for _, t := range r.options.Scenario.Teams {
		if r.teamKeys[t.Name] == "" {
			return errors.Errorf("team %q of the scenario has no key in the callers file", t.Name)
		}
	}
	return nil
}

func (r *run) faultSchedule() *churn.Schedule {
	s := &churn.Schedule{StandIns: r.options.StandIns, Hook: r.options.Hook, OnFault: r.onFault}
	if r.options.Snapshot != nil {
		s.Fleet = r.options.Snapshot.Fleet
	}
	return s
}

func (r *run) onFault(f scenario.Fault, at time.Time, err error) {
	if err == nil {
		r.drains.recordFault(f, at)
	}
	fmt.Fprintf(r.options.Progress, "event=fault at=%s act=%s target=%s state=%s signal=%s error=%v\n",
		f.At.Std(), f.Kind, f.Target, f.State, f.Signal, err)
}

// sendAll sends each request at its scheduled time and waits until all of them have ended.
func (r *run) sendAll(ctx context.Context, plan []arrivals.Request) {
	var wg sync.WaitGroup
	for i := range plan {
		req := &plan[i]
		if !sleepUntil(ctx, r.start.Add(req.Due)) {
			break
		}
		r.addInFlight(1)
		wg.Go(func() {
			r.recordRequest(req, r.sendRequest(ctx, req))
			r.addInFlight(-1)
		})
	}
	wg.Wait()
}

// sleepUntil waits until the given time. It returns false if the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

func (r *run) addInFlight(delta int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight += delta
}

// recordRequest records the result of a request after its last attempt.
func (r *run) recordRequest(req *arrivals.Request, attempts []attempt) {
	summary := r.summariseRequest(req, attempts)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = append(r.finished, summary)
	for i := range attempts {
		a := &attempts[i]
		r.callRecords = append(r.callRecords, r.callRecord(req, i+1, a))
		if a.countsAgainstRate() {
			r.charges = append(r.charges, report.Charge{Team: req.Team, At: a.sent.Sub(r.start), Refused: a.rateRefused()})
		}
	}
}

func (r *run) reportProgress(ctx context.Context, planned int) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.writeProgressLine(planned)
		}
	}
}

func (r *run) writeProgressLine(planned int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[report.EndStatus]int{}
	for i := range r.finished {
		counts[r.finished[i].Status]++
	}
	fmt.Fprintf(r.options.Progress, "event=progress label=%s at=%.0fs planned=%d finished=%d in_flight=%d ok=%d rate_refused=%d refused=%d cut=%d wrong=%d failed=%d\n",
		r.options.Label, time.Since(r.start).Seconds(), planned, len(r.finished), r.inFlight, counts[report.OK],
		counts[report.RateRefused], counts[report.Refused], counts[report.Truncated], counts[report.Wrong], counts[report.Failed])
}
