package upstreams

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/transport"
)

// The pace of load reports, which also serve as probes.
const (
	pollInterval = time.Second
	// pollTimeout bounds one read of a report.
	pollTimeout = time.Second
	// quickPoll is the least time between two reads when something is amiss.
	quickPoll = 250 * time.Millisecond
	// reportLag is the largest age of what a report says.
	reportLag = 1500 * time.Millisecond
	// maxReportBytes bounds a report.
	maxReportBytes = 4 << 10
)

// LoadReport is what an upstream says of itself, with a lag.
type LoadReport struct {
	// BootID identifies the run of an engine; 0 for services.
	BootID   uint64 `json:"boot_id"`
	InFlight int    `json:"in_flight"`
	Cold     bool   `json:"cold"`
	// Unsupported means that the upstream answers but gives no report.
	Unsupported bool `json:"-"`
}

// LoadReader reads an upstream's load report.
type LoadReader interface {
	Read(ctx context.Context, address string) (LoadReport, error)
}

// HTTPLoadReader reads load reports over HTTP.
type HTTPLoadReader struct {
	Transport http.RoundTripper
}

// Read implements Reporter.
func (h HTTPLoadReader) Read(ctx context.Context, address string) (LoadReport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+transport.PathLoad, nil)
	if err != nil {
		return LoadReport{}, errors.Wrap(err, "build load request")
	}
	resp, err := h.Transport.RoundTrip(req)
	if err != nil {
		return LoadReport{}, errors.Wrapf(err, "read load of %s", address)
	}
	defer resp.Body.Close()
	var report LoadReport
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return LoadReport{}, errors.Wrapf(err, "read load of %s", address)
	}
	if resp.StatusCode != http.StatusOK || json.Unmarshal(raw, &report) != nil {
		return LoadReport{Unsupported: true}, nil
	}
	return report, nil
}

// poll reads one upstream's report and takes it over.
func (s *Set) poll(ctx context.Context, st *state, address string) {
	s.metrics.polls.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := s.LoadReader.Read(ctx, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	st.polling = false
	if err != nil {
		s.failed(st, err)
		st.pollAt = now.Add(pollInterval)
		return
	}
	st.health.RecordProbeSuccess(now)
	if !report.Unsupported {
		s.reported(st, report, now)
	}
	s.drain(st, now)
}

// reported takes over a load report. The caller holds mu.
func (s *Set) reported(st *state, report LoadReport, now time.Time) {
	if report.BootID != 0 {
		st.ramp.RecordBootID(strconv.FormatUint(report.BootID, 16), now)
	}
	st.ramp.RecordColdReport(report.Cold, reportLag, now)
	if !report.Cold && st.ramp.SuspectedFor(now) > reportLag {
		// The report was taken after the suspicion began: the upstream is slower than before, but not cold.
		st.ramp.ClearSuspicion()
		st.pace.ResetBaseline()
	}
	st.setReport(report.InFlight, now)
}
