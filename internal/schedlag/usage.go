package schedlag

import (
	"bytes"
	"os"
	"path/filepath"
	"runtime/metrics"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// collectorMetric is the processor time that the garbage collector has used, in seconds.
const collectorMetric = "/cpu/classes/gc/total:cpu-seconds"

// ReadUsage returns the usage of this process's present threads.
func ReadUsage() (Usage, error) {
	var u Usage
	threads, err := filepath.Glob("/proc/self/task/*/schedstat")
	if err != nil {
		return u, errors.Wrap(err, "list threads")
	}
	for _, file := range threads {
		raw, err := os.ReadFile(file)
		if errors.Is(err, os.ErrNotExist) {
			continue // the thread has ended
		}
		if err != nil {
			return Usage{}, errors.Wrap(err, "read times of thread")
		}
		fields := bytes.Fields(raw)
		if len(fields) < 2 {
			return Usage{}, errors.Errorf("times of thread in %s are not readable: %q", file, raw)
		}
		ran, err := strconv.ParseInt(string(fields[0]), 10, 64)
		if err != nil {
			return Usage{}, errors.Wrapf(err, "read time that thread ran in %s", file)
		}
		waited, err := strconv.ParseInt(string(fields[1]), 10, 64)
		if err != nil {
			return Usage{}, errors.Wrapf(err, "read time that thread waited in %s", file)
		}
		u.CPU += time.Duration(ran)
		u.Waited += time.Duration(waited)
	}
	sample := []metrics.Sample{{Name: collectorMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() == metrics.KindFloat64 {
		u.Collector = time.Duration(sample[0].Value.Float64() * float64(time.Second))
	}
	return u, nil
}
