package load

import (
	"math"
	"time"

	"github.com/orioleusher/orioleusher/internal/load/report"
	"github.com/orioleusher/orioleusher/internal/load/scenario"
	"github.com/orioleusher/orioleusher/internal/record"
)

func (r *run) result(control map[string]float64) *report.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := &report.Input{
		Warmup: r.o.Scenario.Warmup.Std(), Duration: r.o.Scenario.Duration.Std(), Finished: r.finish, Charges: r.charges,
		Rates: r.rates(), Moves: r.moves.windows(r.start, r.o.Scenario.Duration.Std()), Surges: surges(r.o.Scenario),
		ControlBytesPerSecond: control,
	}
	loads, _ := r.sampler.Samples()
	for i := range loads {
		in.Loads = append(in.Loads, loadSample(&loads[i], r.start))
	}
	result := &report.Result{Label: r.o.Label, Started: r.start, Scenario: *r.o.Scenario}
	if r.o.Snapshot != nil {
		result.Fleet = r.o.Snapshot.Fleet
	}
	report.Summarise(in, result)
	return result
}

// loadSample leaves out the upstreams that take no new work.
func loadSample(l *record.Load, start time.Time) report.LoadSample {
	s := report.LoadSample{At: l.At.Sub(start), Pool: l.Pool, Factor: l.Factor}
	for _, u := range l.Upstreams {
		if !u.Out {
			s.InFlight = append(s.InFlight, u.InFlight)
		}
	}
	return s
}

// rates returns no bound for teams that the document does not name, so that no refusal of theirs counts as rightful.
func (r *run) rates() map[string]report.TeamRate {
	rates := map[string]report.TeamRate{}
	for _, t := range r.o.Scenario.Teams {
		rates[t.Name] = report.TeamRate{PerSecond: math.MaxFloat32, Burst: math.MaxFloat32}
		if r.o.Snapshot == nil {
			continue
		}
		if team := r.o.Snapshot.Team(t.Name); team != nil {
			rates[t.Name] = report.TeamRate{PerSecond: team.RatePerSecond, Burst: team.Burst}
		}
	}
	return rates
}

func surges(s *scenario.Scenario) []report.Window {
	var windows []report.Window
	for _, t := range s.Teams {
		for _, u := range t.Surges {
			windows = append(windows, report.Window{From: u.From.Std(), To: u.To.Std()})
		}
	}
	return windows
}
