package stages

import (
	"cmp"
	"slices"
)

// Orderable returns the engines that may be sent an order now.
func Orderable(engines []Engine) []Engine {
	orderable := make([]Engine, 0, len(engines))
	for _, engine := range engines {
		if !engine.NoOrders {
			orderable = append(orderable, engine)
		}
	}
	return orderable
}

// Choose returns the engines that carry out an order. It prefers data centres with
// the largest surplus of engines in the stage to leave, and within them the least
// loaded engines. It leaves each software version its reserve of decode engines.
func Choose(order Order, engines []Engine) []Engine {
	versions := CountVersions(engines)
	surplus := make(map[string]int)
	var candidates []Engine
	for _, engine := range Orderable(engines) {
		switch {
		case order.Version.Version != "" && engine.Version != order.Version.Version:
		case engine.Prefill == order.ToPrefill:
			surplus[engine.DataCentre]--
		default:
			surplus[engine.DataCentre]++
			candidates = append(candidates, engine)
		}
	}
	var chosen []Engine
	for len(chosen) < order.Count {
		if order.ToPrefill {
			candidates = slices.DeleteFunc(candidates, func(e Engine) bool { return !mayLeaveDecode(versions, e.Version) })
		}
		if len(candidates) == 0 {
			break
		}
		best := slices.MinFunc(candidates, func(a, b Engine) int {
			return cmp.Or(cmp.Compare(surplus[b.DataCentre], surplus[a.DataCentre]), cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
		})
		chosen = append(chosen, best)
		surplus[best.DataCentre] -= 2 // One engine less in the old stage, one more in the new one.
		candidates = slices.DeleteFunc(candidates, func(e Engine) bool { return e.ID == best.ID })
		leaveStage(versions, best)
	}
	return chosen
}

// leaveStage counts an engine that was chosen in its next stage.
func leaveStage(versions []VersionView, engine Engine) {
	i := slices.IndexFunc(versions, func(v VersionView) bool { return v.Version == engine.Version })
	if engine.Prefill {
		versions[i].PrefillEngines--
		versions[i].DecodeEngines++
		return
	}
	versions[i].PrefillEngines++
	versions[i].DecodeEngines--
}
