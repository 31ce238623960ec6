package meter

import "github.com/rcrowley/go-metrics"

// EachCounter calls f for every counter of the process, including those of package
// invariant.
func (r *Registry) EachCounter(f func(name string, value int64)) {
	for _, registry := range []metrics.Registry{r.inner, metrics.DefaultRegistry} {
		registry.Each(func(name string, value any) {
			if counter, ok := value.(metrics.Counter); ok {
				f(name, counter.Count())
			}
		})
	}
}
