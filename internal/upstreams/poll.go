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

// Timing of load reports, which also serve as health probes.
const (
	pollInterval = time.Second
	// pollTimeout bounds one read of a report.
	pollTimeout = time.Second
	// minPollInterval is the shortest time between two reads after a failure or a suspected cold start.
	minPollInterval = 250 * time.Millisecond
	// maxReportAge is the largest age of the data in a report.
	maxReportAge = 1500 * time.Millisecond
	// maxReportBytes bounds the size of a report.
	maxReportBytes = 4 << 10
)

// LoadReport is an upstream's own report of its load. Its data is up to maxReportAge old.
type LoadReport struct {
	// BootID identifies the run of an engine's process; 0 for services.
	BootID   uint64 `json:"boot_id"`
	InFlight int    `json:"in_flight"`
	Cold     bool   `json:"cold"`
	// Unsupported means that the upstream responds but provides no load report.
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

// Read implements LoadReader.
func (h HTTPLoadReader) Read(ctx context.Context, address string) (LoadReport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+transport.PathLoad, nil)
	if err != nil {
		return LoadReport{}, errors.Wrap(err, "build load report request")
	}
	resp, err := h.Transport.RoundTrip(req)
	if err != nil {
		return LoadReport{}, errors.Wrapf(err, "read load report of %s", address)
	}
	defer resp.Body.Close()
	var report LoadReport
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return LoadReport{}, errors.Wrapf(err, "read load report of %s", address)
	}
	if resp.StatusCode != http.StatusOK || json.Unmarshal(raw, &report) != nil {
		return LoadReport{Unsupported: true}, nil
	}
	return report, nil
}

// poll reads one upstream's load report and applies it.
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
		s.recordFailure(st, err)
		st.nextPollAt = now.Add(pollInterval)
		return
	}
	st.health.RecordProbeSuccess(now)
	if !report.Unsupported {
		s.applyReport(st, report, now)
	}
	s.grantQueued(st, now)
}

// applyReport updates the state from a load report. The caller holds mu.
func (s *Set) applyReport(st *state, report LoadReport, now time.Time) {
	if report.BootID != 0 {
		st.ramp.RecordBootID(strconv.FormatUint(report.BootID, 16), now)
	}
	st.ramp.RecordColdReport(report.Cold, maxReportAge, now)
	if !report.Cold && st.ramp.SuspectedFor(now) > maxReportAge {
		// The report was taken after the suspicion began, so the upstream is slower than before but not cold.
		st.ramp.ClearSuspicion()
		st.slowdown.ResetBaseline()
	}
	st.updateExternalLoad(report.InFlight, now)
}
