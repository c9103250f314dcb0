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
	// progressInterval is the time between two progress lines.
	progressInterval = 2 * time.Second
	// readyTimeout bounds the wait for the fleet before the run.
	readyTimeout = 30 * time.Second
)

// RunOptions says what a run drives and with what.
type RunOptions struct {
	Scenario *scenario.Scenario
	Callers  *Callers
	// Snapshot gives rates, engines and probe addresses; without it those measures are missing. StandIns gives the admin
	// addresses of engines and faults; it may be nil too.
	Snapshot *document.Snapshot
	StandIns *settings.StandIns
	// Hook takes the faults of processes, see package churn.
	Hook     io.Writer
	Label    string
	Progress io.Writer
}

// run is one run under way.
type run struct {
	o        RunOptions
	keys     map[string]string
	caller   *Caller
	balancer *watch.Balancer
	sampler  *watch.Sampler
	moves    *moves
	start    time.Time

	mu       sync.Mutex
	finish   []report.Finished
	charges  []report.Charge
	lines    []record.Line
	inFlight int
}

// Run makes the scenario's requests, each at its time whether or not earlier ones were answered, carries out its faults
// and returns what was measured and the records of the run.
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
	before := r.controlBytes(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { r.balancer.Run(watchCtx) })
	watchers.Go(func() { r.sampler.Run(watchCtx) })
	watchers.Go(func() { r.progress(watchCtx, len(plan)) })
	watchers.Go(func() { r.faults().Run(watchCtx, r.start, o.Scenario.Faults) })
	r.drive(ctx, plan)
	control := r.controlPerSecond(ctx, before)
	stopWatch()
	watchers.Wait()
	if err := ctx.Err(); err != nil {
		return nil, nil, errors.Wrap(err, "run")
	}
	return r.result(control), r.records(ctx), nil
}

func newRun(o RunOptions) *run {
	r := &run{o: o, keys: map[string]string{}, caller: NewCaller(o.Scenario.RequestTimeout.Std())}
	for _, t := range o.Callers.Teams {
		r.keys[t.Name] = t.Key
	}
	hosts := entryHosts(o.Callers, o.Snapshot)
	r.balancer = watch.NewBalancer(hosts, o.Scenario.Seed)
	r.moves = newMoves(o.Snapshot)
	r.sampler = &watch.Sampler{Hosts: hosts, Pools: enginePools(o.Snapshot, o.StandIns), Out: r.moves.isOut, Down: r.moves.isDown}
	return r
}

func (r *run) checkTeams() error {
	for _, t := range r.o.Scenario.Teams {
		if r.keys[t.Name] == "" {
			return errors.Errorf("team %q of the scenario has no key in the callers file", t.Name)
		}
	}
	return nil
}

func (r *run) faults() *churn.Schedule {
	s := &churn.Schedule{StandIns: r.o.StandIns, Hook: r.o.Hook, Done: r.faultDone}
	if r.o.Snapshot != nil {
		s.Fleet = r.o.Snapshot.Fleet
	}
	return s
}

func (r *run) faultDone(f scenario.Fault, at time.Time, err error) {
	if err == nil {
		r.moves.apply(f, at)
	}
	fmt.Fprintf(r.o.Progress, "event=fault at=%s act=%s target=%s state=%s signal=%s error=%v\n",
		f.At.Std(), f.Act, f.Target, f.State, f.Signal, err)
}

// drive starts each request at its time and waits for all of them.
func (r *run) drive(ctx context.Context, plan []arrivals.Request) {
	var wg sync.WaitGroup
	for i := range plan {
		req := &plan[i]
		if !sleepUntil(ctx, r.start.Add(req.Due)) {
			break
		}
		r.count(1)
		wg.Go(func() {
			r.done(req, r.send(ctx, req))
			r.count(-1)
		})
	}
	wg.Wait()
}

// sleepUntil reports false if the context ended first.
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

func (r *run) count(delta int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight += delta
}

// done takes in a request after its last attempt.
func (r *run) done(req *arrivals.Request, tries []attempt) {
	f := r.finished(req, tries)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finish = append(r.finish, f)
	for i := range tries {
		a := &tries[i]
		r.lines = append(r.lines, r.recordOf(req, i+1, a))
		if a.charged() {
			r.charges = append(r.charges, report.Charge{Team: req.Team, At: a.sent.Sub(r.start), Refused: a.rateRefused()})
		}
	}
}

func (r *run) progress(ctx context.Context, planned int) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.progressLine(planned)
		}
	}
}

func (r *run) progressLine(planned int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	endings := map[report.Ending]int{}
	for i := range r.finish {
		endings[r.finish[i].Ending]++
	}
	fmt.Fprintf(r.o.Progress, "event=progress label=%s at=%.0fs planned=%d finished=%d in_flight=%d ok=%d rate_refused=%d refused=%d cut=%d wrong=%d failed=%d\n",
		r.o.Label, time.Since(r.start).Seconds(), planned, len(r.finish), r.inFlight, endings[report.OK],
		endings[report.RateRefused], endings[report.Refused], endings[report.Cut], endings[report.Wrong], endings[report.Failed])
}
