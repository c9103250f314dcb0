package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// unknownCell is shown for measures that are not available.
const unknownCell = "n/a"

// WriteTable writes the result as text tables.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(t, "%s on %s, scenario %s, seed %d, %s after %s of warm-up\n", r.Label, r.Fleet, r.Scenario.Name,
		r.Scenario.Seed, r.Scenario.Duration.Std(), r.Scenario.Warmup.Std())
	fmt.Fprintln(t, "TEAM\tREQUESTS\tOK\tOVER RATE\tWRONGFUL\tREFUSED\tCUT\tWRONG\tFAILED\tSUCCESS\tFIRST p50\tp95\tp99 ms\tWHOLE p50\tp99 ms")
	for i := range r.Teams {
		writeTeam(t, &r.Teams[i])
	}
	writeTeam(t, &r.Total)
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	if len(r.Total.Codes) > 0 {
		fmt.Fprintln(w, "refusal codes:", r.Total.Codes)
	}
	return Compare(w, []*Result{r})
}

func writeTeam(w io.Writer, t *TeamResult) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", t.Team, t.Requests, t.OK, t.RateRefused,
		t.WrongfulRefusals, t.Refused, t.Truncated, t.Wrong, t.Failed, t.Success, t.FirstByte.P50, t.FirstByte.P95, t.FirstByte.P99,
		t.FullResponse.P50, t.FullResponse.P99)
}

// Compare writes a table of the four measures with a column for each result.
func Compare(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	row := func(name string, cell func(*Result) string) {
		fmt.Fprint(t, name)
		for _, r := range results {
			fmt.Fprintf(t, "\t%s", cell(r))
		}
		fmt.Fprintln(t)
	}
	row("MEASURE", func(r *Result) string { return r.Fleet + "/" + r.Label })
	compareReuse(row)
	compareDataCentreDrain(row)
	compareFairness(row)
	compareRefusals(row)
	return errors.Wrap(t.Flush(), "write comparison")
}

type rowWriter func(name string, cell func(*Result) string)

func compareReuse(row rowWriter) {
	row("1 cache reuse through churn", func(r *Result) string { return fmt.Sprintf("%.3f", r.Reuse.Share) })
	row("  share of the oracle", func(r *Result) string { return fmt.Sprintf("%.3f", r.Reuse.ShareOfOracle) })
	row("  highest load over mean, p50 / p99 / max", func(r *Result) string {
		if r.Load.Samples == 0 {
			return unknownCell
		}
		return fmt.Sprintf("%.2f / %.2f / %.2f", r.Load.P50, r.Load.P99, r.Load.Max)
	})
	row("  samples over the bound", func(r *Result) string {
		if r.Load.Samples == 0 {
			return unknownCell
		}
		return fmt.Sprintf("%.2f%%", 100*r.Load.OverBound)
	})
	row("  control bytes/s a router, mean / max", func(r *Result) string {
		if !r.Control.Available {
			return unknownCell
		}
		return fmt.Sprintf("%.0f / %.0f", r.Control.MeanBytesPerSecond, r.Control.MaxBytesPerSecond)
	})
}

func compareDataCentreDrain(row rowWriter) {
	duringDrain := func(cell func(*WindowResult) string) func(*Result) string {
		return func(r *Result) string {
			if r.DataCentreDrain == nil {
				return unknownCell
			}
			return cell(r.DataCentreDrain)
		}
	}
	row("2 lost while a data centre moves", duringDrain(func(m *WindowResult) string { return fmt.Sprintf("%d of %d", m.Lost, m.Requests) }))
	row("  first byte p95 meanwhile, ms", duringDrain(func(m *WindowResult) string { return fmt.Sprintf("%.1f", m.FirstByte.P95) }))
	row("  lost in the whole run", func(r *Result) string { return fmt.Sprintf("%d of %d", r.Total.Lost(), r.Total.Requests) })
}

func compareFairness(row rowWriter) {
	row("3 worst team's success over the median's", func(r *Result) string {
		return fmt.Sprintf("%.4f (%s)", r.Fairness.SuccessRatio, r.Fairness.WorstTeam)
	})
	row("  slowest team's first byte p95 / median, ms", func(r *Result) string {
		return fmt.Sprintf("%.1f / %.1f (%s)", r.Fairness.SlowestP95, r.Fairness.MedianP95, r.Fairness.SlowestTeam)
	})
	row("  first byte p50 / p95 / p99, ms", func(r *Result) string {
		return fmt.Sprintf("%.1f / %.1f / %.1f", r.Total.FirstByte.P50, r.Total.FirstByte.P95, r.Total.FirstByte.P99)
	})
}

func compareRefusals(row rowWriter) {
	row("4 refused although within the rate", func(r *Result) string {
		return fmt.Sprintf("%d of %d (%.2f%%)", r.Total.WrongfulRefusals, r.Total.Charged,
			100*float64(r.Total.WrongfulRefusals)/float64(max(1, r.Total.Charged)))
	})
}
