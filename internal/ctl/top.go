package ctl

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/gateway"
)

type topCommand struct {
	app      *app
	Admin    []string      `short:"a" long:"admin" required:"yes" value-name:"IP:PORT" description:"admin address of a router that sends directly; may be repeated"`
	Interval time.Duration `long:"interval" default:"2s" description:"time between two looks, over which rates are taken"`
	Count    int           `long:"count" default:"0" description:"number of looks; 0 goes on until interrupted"`
}

// look is what one look at a router found.
type look struct {
	Router string `json:"router"`
	Error  string `json:"error,omitempty"`
	// State is the router's state dump.
	State gateway.State `json:"state"`
	// ServedPerSecond, RetriesPerSecond and RefusedPerSecond, by code, are rates since the look before.
	ServedPerSecond  float64            `json:"served_per_s"`
	RetriesPerSecond float64            `json:"retries_per_s"`
	RefusedPerSecond map[string]float64 `json:"refused_per_s,omitempty"`
	counters         counters
}

// counters are a router's counters at one time.
type counters struct {
	at              time.Time
	served, retries float64
	refused         map[string]float64
}

// Names of the metrics that are shown, as the routers' admin address serves them.
const (
	metricServed  = "oriole_router_answers_relayed"
	metricRetries = "oriole_router_retries"
	metricRefused = "oriole_router_requests_refused"
)

// Execute implements flags.Commander.
func (c *topCommand) Execute([]string) error {
	if c.Interval <= 0 || c.Count < 0 {
		return errors.New("want an interval above 0 and a count that is not negative")
	}
	client := c.app.client()
	before := map[string]counters{}
	for n := 1; ; n++ {
		looks := make([]look, len(c.Admin))
		for i, address := range c.Admin {
			looks[i] = client.look(address, before[address])
			before[address] = looks[i].counters
		}
		if err := c.app.writeOutput(looks, func(w io.Writer) { writeLooks(w, looks) }); err != nil {
			return err
		}
		if n == c.Count {
			return failedLooks(looks)
		}
		time.Sleep(c.Interval)
	}
}

// failedLooks returns an error if a router could not be read.
func failedLooks(looks []look) error {
	if slices.ContainsFunc(looks, func(l look) bool { return l.Error != "" }) {
		return errCheckFailed
	}
	return nil
}

// look reads state and metrics of the router at the admin address. Rates need the counters of an earlier look.
func (c *client) look(address string, before counters) look {
	l := look{Router: address}
	raw, err := c.get("http://" + address + admin.PathState)
	if err == nil {
		err = errors.Wrap(json.Unmarshal(raw, &l.State), "read state dump")
	}
	if err == nil {
		raw, err = c.get("http://" + address + admin.PathMetrics)
	}
	if err == nil {
		l.counters, err = parseCounters(raw, l.State.Time)
	}
	if err != nil {
		l.Error = errors.Cause(err).Error()
		return l
	}
	slices.SortFunc(l.State.Upstreams, func(a, b balance.UpstreamState) int { return strings.Compare(a.ID, b.ID) })
	l.setRates(before)
	return l
}

func parseCounters(text []byte, at time.Time) (counters, error) {
	var parser expfmt.TextParser
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return counters{}, errors.Wrap(err, "read metrics")
	}
	c := counters{at: at, refused: map[string]float64{}}
	for _, m := range families[metricServed].GetMetric() {
		c.served += m.GetCounter().GetValue()
	}
	for _, m := range families[metricRetries].GetMetric() {
		c.retries += m.GetCounter().GetValue()
	}
	for _, m := range families[metricRefused].GetMetric() {
		for _, label := range m.GetLabel() {
			if label.GetName() == "code" {
				// Metrics hold the codes of the API with underscores, since tally replaces hyphens.
				c.refused[strings.ReplaceAll(label.GetValue(), "_", "-")] += m.GetCounter().GetValue()
			}
		}
	}
	return c, nil
}

// setRates sets the rates since the counters before. Counters that have fallen are those of a new process.
func (l *look) setRates(before counters) {
	now := l.counters
	seconds := now.at.Sub(before.at).Seconds()
	if before.at.IsZero() || seconds <= 0 || now.served < before.served {
		return
	}
	l.ServedPerSecond = (now.served - before.served) / seconds
	l.RetriesPerSecond = (now.retries - before.retries) / seconds
	l.RefusedPerSecond = map[string]float64{}
	for code, n := range now.refused {
		if n > before.refused[code] {
			l.RefusedPerSecond[code] = (n - before.refused[code]) / seconds
		}
	}
}

func writeLooks(w io.Writer, looks []look) {
	for _, l := range looks {
		fmt.Fprintln(w)
		if l.Error != "" {
			fmt.Fprintf(w, "== %s: unreachable: %s\n", l.Router, l.Error)
			continue
		}
		l.write(w)
	}
}

func (l *look) write(w io.Writer) {
	s := &l.State
	fmt.Fprintf(w, "== %s (%s), %s\n", s.Name, l.Router, s.Time.Format(time.RFC3339))
	if s.NotReady != "" {
		fmt.Fprintf(w, "not ready: %s\n", s.NotReady)
	}
	fmt.Fprintf(w, "configuration %d, store era %d, revision %d, %d other hosts\n", s.ConfigVersion, s.StoreEra, s.CompleteRevision, len(s.Hosts))
	fmt.Fprintf(w, "%d requests in flight, served %.1f/s, retries %.1f/s, refused %s\n", s.InFlight, l.ServedPerSecond, l.RetriesPerSecond, formatRates(l.RefusedPerSecond))
	fmt.Fprintln(w, "UPSTREAM\tADDRESS\tIN FLIGHT\tLOAD\tSILENT\tFAILURES\tSAYS")
	for _, u := range s.Upstreams {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%s\t%.0f%%\t%s\n", u.ID, u.Address, u.InFlight, u.Load, u.Silence.Round(time.Millisecond), u.FailureShare*100, formatNotices(u))
	}
}

// formatRates lists the rates, highest first.
func formatRates(rates map[string]float64) string {
	if len(rates) == 0 {
		return "none"
	}
	codes := slices.SortedFunc(maps.Keys(rates), func(a, b string) int {
		return cmp.Or(cmp.Compare(rates[b], rates[a]), strings.Compare(a, b))
	})
	parts := make([]string, len(codes))
	for i, code := range codes {
		parts[i] = fmt.Sprintf("%s %.1f/s", code, rates[code])
	}
	return strings.Join(parts, ", ")
}

// formatNotices says what the upstream says of itself, with source and age.
func formatNotices(u balance.UpstreamState) string {
	var parts []string
	add := func(what string, source balance.Source, age time.Duration) {
		parts = append(parts, fmt.Sprintf("%s (%s, %s ago)", what, source, age.Round(time.Second)))
	}
	if u.Leaving {
		add("leaving", u.LeavingSource, u.LeavingAge)
	}
	if u.RequestLimit != nil {
		add(fmt.Sprintf("limit %g/s", *u.RequestLimit), u.RequestLimitSource, u.RequestLimitAge)
	}
	if u.Brittle != nil {
		add(fmt.Sprintf("brittle, %d rejections/s", *u.Brittle), u.BrittleSource, u.BrittleAge)
	}
	if u.Paused > 0 {
		add("pause for "+u.Paused.Round(time.Millisecond).String(), balance.SourceResponse, u.PausedAge)
	}
	if u.Suspect {
		parts = append(parts, "suspect")
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}
