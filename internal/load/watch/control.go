package watch

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// controlMetric is part of the name of each counter of control traffic in a router's metrics.
const controlMetric = "control_bytes"

// ControlBytes returns the control bytes that a router counted since its start. The flag is false if it has no such
// counter or does not answer.
func ControlBytes(ctx context.Context, admin string) (float64, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return 0, false
	}
	resp, err := (&http.Client{Timeout: stateTimeout}).Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	total, err := sumMetric(resp.Body, controlMetric)
	return total, err == nil
}

// sumMetric adds up the samples, in the Prometheus text format, whose name contains part. It is an error if there is
// none.
func sumMetric(r io.Reader, part string) (float64, error) {
	total, found := 0.0, false
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		end := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || end < 0 {
			continue
		}
		name, _, _ := strings.Cut(line[:end], "{")
		if !strings.Contains(name, part) {
			continue
		}
		value, err := strconv.ParseFloat(line[end+1:], 64)
		if err != nil {
			return 0, errors.Wrapf(err, "metric %s", name)
		}
		total += value
		found = true
	}
	if !found {
		return 0, errors.Errorf("no metric named %s", part)
	}
	return total, errors.Wrap(lines.Err(), "read metrics")
}
