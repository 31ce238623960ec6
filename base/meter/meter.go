// Package meter records and serves the counters, gauges and histograms of a
// process. Metric names are dot-separated; the Prometheus format replaces dots and
// dashes with underscores and adds the prefix "flamingospar_".
package meter

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Parameters of the exponentially decaying samples of histograms.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Registry holds the metrics of one process.
type Registry struct {
	inner metrics.Registry
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{inner: metrics.NewRegistry()}
}

// Count adds one to a counter. The parts of its name are joined with dots, as in
// all methods of Registry.
func (r *Registry) Count(parts ...string) {
	r.Add(1, parts...)
}

// Add adds n to a counter.
func (r *Registry) Add(n int64, parts ...string) {
	metrics.GetOrRegisterCounter(strings.Join(parts, "."), r.inner).Inc(n)
}

// Declare creates a counter with the value 0, so that it is exported before its
// first increment.
func (r *Registry) Declare(parts ...string) { r.Add(0, parts...) }

// Counter returns the value of a counter, or 0 if it doesn't exist.
func (r *Registry) Counter(parts ...string) int64 {
	counter, ok := r.inner.Get(strings.Join(parts, ".")).(metrics.Counter)
	if !ok {
		return 0
	}
	return counter.Count()
}

// Gauge sets a gauge.
func (r *Registry) Gauge(value int64, parts ...string) {
	metrics.GetOrRegisterGauge(strings.Join(parts, "."), r.inner).Update(value)
}

// GaugeGroup sets the gauges of all members of a group, given as values by member
// and metric, and removes the group's gauges that are no longer among them.
func (r *Registry) GaugeGroup(group string, members map[string]map[string]int64) {
	current := make(map[string]bool)
	for member, values := range members {
		for metric, value := range values {
			name := strings.Join([]string{group, member, metric}, ".")
			current[name] = true
			metrics.GetOrRegisterGauge(name, r.inner).Update(value)
		}
	}
	r.inner.Each(func(name string, value any) {
		_, gauge := value.(metrics.Gauge)
		if gauge && strings.HasPrefix(name, group+".") && !current[name] {
			r.inner.Unregister(name)
		}
	})
}

// Observe records a value in a histogram.
func (r *Registry) Observe(value int64, parts ...string) {
	name := strings.Join(parts, ".")
	newSample := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}
	r.inner.GetOrRegister(name, newSample).(metrics.Histogram).Update(value)
}

// ServeJSON writes all metrics of the registry as one JSON object.
func (r *Registry) ServeJSON(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(r.inner, w)
}

// ServeText writes all metrics in the Prometheus text format, including those of
// package invariant.
func (r *Registry) ServeText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	r.writeText(w, r.inner)
	r.writeText(w, metrics.DefaultRegistry)
}

func (r *Registry) writeText(w io.Writer, registry metrics.Registry) {
	textByName := make(map[string]string)
	registry.Each(func(name string, value any) {
		promName := "flamingospar_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		textByName[promName] = formatMetric(promName, value)
	})
	names := make([]string, 0, len(textByName))
	for name := range textByName {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprint(w, textByName[name])
	}
}

func formatMetric(name string, value any) string {
	switch metric := value.(type) {
	case metrics.Counter:
		return fmt.Sprintf("# TYPE %s counter\n%s %d\n", name, name, metric.Count())
	case metrics.Gauge:
		return fmt.Sprintf("# TYPE %s gauge\n%s %d\n", name, name, metric.Value())
	case metrics.Histogram:
		return formatSummary(name, metric.Snapshot())
	default:
		return ""
	}
}

func formatSummary(name string, histogram metrics.Histogram) string {
	var out strings.Builder
	fmt.Fprintf(&out, "# TYPE %s summary\n", name)
	for _, quantile := range []float64{0.5, 0.95, 0.99} {
		fmt.Fprintf(&out, "%s{quantile=\"%g\"} %g\n", name, quantile, histogram.Percentile(quantile))
	}
	fmt.Fprintf(&out, "%s_sum %d\n%s_count %d\n", name, histogram.Sum(), name, histogram.Count())
	return out.String()
}
