// Package metrics creates the tally scope of a process and the HTTP handler that serves it in the Prometheus text
// format.
package metrics

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which the scope passes its counters to the reporter.
const reportInterval = time.Second

// Registry holds the root scope of a process.
type Registry struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns a registry whose metric names begin with prefix.
func New(prefix string) *Registry {
	reg := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: reg, Gatherer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		// The names of tally's own cardinality gauges are invalid in the text format.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the metrics once more and stops the reporter.
func (r *Registry) Close() error { return r.closer.Close() }
