package load

import (
	"math"
	"time"

	"github.com/orioleusher/orioleusher/internal/load/report"
	"github.com/orioleusher/orioleusher/internal/load/scenario"
	"github.com/orioleusher/orioleusher/internal/record"
)

func (r *run) buildResult(control map[string]float64) *report.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := &report.Input{
		Warmup: r.options.Scenario.Warmup.Std(), Duration: r.options.Scenario.Duration.Std(),
		Requests: r.finished, Charges: r.charges,
		Rates: r.teamRates(), DataCentreDrains: r.drains.dataCentreWindows(r.start, r.options.Scenario.Duration.Std()),
		Surges: surgeWindows(r.options.Scenario), SurgingTeams: surgingTeams(r.options.Scenario),
		ControlBytesPerSecond: control,
	}
	loads, _ := r.sampler.Samples()
	for i := range loads {
		in.Loads = append(in.Loads, loadSample(&loads[i], r.start))
	}
	result := &report.Result{Label: r.options.Label, Started: r.start, Scenario: *r.options.Scenario}
	if r.options.Snapshot != nil {
		result.Fleet = r.options.Snapshot.Fleet
	}
	report.Summarise(in, result)
	return result
}

// loadSample converts a load record for the report. Upstreams that receive no new requests are omitted.
func loadSample(l *record.Load, start time.Time) report.LoadSample {
	s := report.LoadSample{At: l.At.Sub(start), Pool: l.Pool, Factor: l.Factor}
	for _, u := range l.Upstreams {
		if !u.Draining {
			s.InFlight = append(s.InFlight, u.InFlight)
		}
	}
	return s
}

// teamRates returns the rate limits of the teams in the scenario. Teams that are not in the document get no effective
// limit, so that each of their rate refusals counts as wrongful.
func (r *run) teamRates() map[string]report.TeamRate {
	rates := map[string]report.TeamRate{}
	for _, t := range r.options.Scenario.Teams {
		rates[t.Name] = report.TeamRate{PerSecond: math.MaxFloat32, Burst: math.MaxFloat32}
		if r.options.Snapshot == nil {
			continue
		}
		if team := r.options.Snapshot.Team(t.Name); team != nil {
			rates[t.Name] = report.TeamRate{PerSecond: team.RatePerSecond, Burst: team.Burst}
		}
	}
	return rates
}

func surgingTeams(s *scenario.Scenario) []string {
	var names []string
	for _, t := range s.Teams {
		if len(t.Surges) > 0 {
			names = append(names, t.Name)
		}
	}
	return names
}

func surgeWindows(s *scenario.Scenario) []report.Window {
	var windows []report.Window
	for _, t := range s.Teams {
		for _, u := range t.Surges {
			windows = append(windows, report.Window{From: u.From.Std(), To: u.To.Std()})
		}
	}
	return windows
}
