package node

import (
	"net/http"
	"time"

	"flamingospar.org/platform/site"
)

// serveMetrics updates the gauges and writes all metrics.
func (n *Node) serveMetrics(w http.ResponseWriter, r *http.Request) {
	n.updateGauges()
	n.meter.ServeText(w, r)
}

// updateGauges sets the gauges for this process's state and its age.
func (n *Node) updateGauges() {
	n.meter.Gauge(n.config.Version(), "configuration", "version")
	n.meter.Gauge(n.fleet.Version(), "fleet", "version")
	n.meter.Gauge(n.fleet.Age().Milliseconds(), "fleet", "age_ms")
	n.meter.Gauge(int64(n.fleet.InvalidRows()), "fleet", "invalid_rows")
	n.meter.Gauge(n.storeWatch.AvailableFor().Milliseconds(), "store", "steady_ms")
	n.meter.Gauge(n.store.Era(), "store", "era")
	n.meter.Gauge(int64(n.cluster.Size()), "processes", "listed")
	n.meter.Gauge(int64(n.selector.ActivePeers()), "processes", "heard")
	fence, held := n.lease.Fence()
	n.meter.Gauge(boolToInt(held), "lease", "held")
	n.meter.Gauge(int64(fence.Term.Row.Epoch), "lease", "epoch")
	n.meter.Gauge(boolToInt(n.stopping.Load()), "process", "stopping")
	if n.shares != nil {
		over, seen := n.shares.Gauges()
		n.meter.Gauge(int64(over), "team_shares", "teams_over")
		n.meter.Gauge(int64(seen), "team_shares", "teams_seen")
	}
	for listener, memory := range n.heldMemory {
		bytes, connections := memory.Held()
		n.meter.Gauge(bytes, "held", string(listener), "bytes")
		n.meter.Gauge(int64(connections), "held", string(listener), "connections")
	}
	n.meter.GaugeGroup("endpoint", n.selector.Gauges())
	n.meter.GaugeGroup("limit", n.limiter.Gauges())
	n.meter.GaugeGroup("quota", map[string]map[string]int64{"teams": n.quotas.Gauges()})
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// recordStoreCall counts a call to the store and records its duration, unless it
// was a long poll.
func (n *Node) recordStoreCall(call site.StoreCall) {
	n.meter.Count("store", call.Kind, call.Result)
	if !call.LongPoll {
		n.meter.Observe(call.Duration.Milliseconds(), "store", call.Kind, "ms")
	}
}

// recordPrefillTime records by how much a prefill took longer or shorter than
// predicted.
func (n *Node) recordPrefillTime(predicted, took time.Duration) {
	if difference := took - predicted; difference > 0 {
		n.meter.Observe(difference.Milliseconds(), "prediction", "late_ms")
	} else {
		n.meter.Observe(-difference.Milliseconds(), "prediction", "early_ms")
	}
}
