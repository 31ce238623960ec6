package node

import (
	"net/http"
	"time"

	"flamingospar.org/platform/site"
)

// serveMetrics writes the metrics, with the gauges as of now.
func (n *Node) serveMetrics(w http.ResponseWriter, r *http.Request) {
	n.gauge()
	n.meter.ServeText(w, r)
}

// gauge sets what this process believes now, and how old that is.
func (n *Node) gauge() {
	n.meter.Gauge(n.config.Version(), "configuration", "version")
	n.meter.Gauge(n.fleet.Version(), "fleet", "version")
	n.meter.Gauge(n.fleet.Age().Milliseconds(), "fleet", "age_ms")
	n.meter.Gauge(n.storeWatch.Steady().Milliseconds(), "store", "steady_ms")
	n.meter.Gauge(int64(n.circle.Size()), "processes", "listed")
	n.meter.Gauge(int64(n.ledger.Heard()), "processes", "heard")
	fence, held := n.lease.Fence()
	n.meter.Gauge(number(held), "lease", "held")
	n.meter.Gauge(int64(fence.Term.Row.Epoch), "lease", "epoch")
	n.meter.Gauge(number(n.stopping.Load()), "process", "stopping")
	n.meter.GaugeGroup("endpoint", n.ledger.Gauges())
}

func number(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// storeCalled counts a call to the store.
func (n *Node) storeCalled(call site.StoreCall) {
	n.meter.Count("store", call.Kind, call.Result)
	if !call.Held {
		n.meter.Observe(call.Took.Milliseconds(), "store", call.Kind, "ms")
	}
}

// read notes by how much reading a prompt took longer than was expected, or
// less.
func (n *Node) read(predicted, took time.Duration) {
	if off := took - predicted; off > 0 {
		n.meter.Observe(off.Milliseconds(), "prediction", "late_ms")
	} else {
		n.meter.Observe(-off.Milliseconds(), "prediction", "early_ms")
	}
}
