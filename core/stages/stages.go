// Package stages decides when model engines change between the prefill and the
// decode stage. It handles a load of long prompts and short answers on a fleet of
// mostly decode engines, where prompts queue at the few prefill engines while most
// slots of the others are free.
//
// A change takes an engine out of service for seconds, and the load shifts faster
// than that. So engines change only while few slots are in use, a few at a time,
// and only as many as leave enough decode engines for a shift to long answers.
//
// It also keeps the streams of each software version going while engines of several
// versions serve side by side: see PlanVersions.
package stages

import (
	"slices"
	"time"
)

// Engine is an engine of a service.
type Engine struct {
	ID         string
	DataCentre string
	Version    string // Of its software.
	Prefill    bool   // It runs prefill only, or will once it has changed its stage.
	Load       int    // Number of prompts and streams known to be at the engine.
	Down       bool   // It failed requests or can't be reached.
	Changing   bool   // It was ordered to change its stage a moment ago.
	NoOrders   bool   // It may not be sent an order now.
}

// View is a snapshot of the load on the engines of a service.
type View struct {
	PrefillEngines int           // Engines that run prefill only.
	DecodeEngines  int           // Engines that generate tokens.
	DecodeSlots    int           // Slots of all decode engines.
	Streams        float64       // Running at the decode engines.
	PrefillWait    time.Duration // Mean time until a prefill engine has processed its queue.
	Versions       []VersionView // Of the engines' software.
}

// idle reports whether no stream runs and no prompt waits.
func (v View) idle() bool { return v.Streams == 0 && v.PrefillWait == 0 }

// slotUse returns the share of decode slots in use if some decode engines were
// removed.
func (v View) slotUse(removed int) float64 {
	if v.DecodeEngines <= removed {
		return 1
	}
	slots := float64(v.DecodeSlots) * float64(v.DecodeEngines-removed) / float64(v.DecodeEngines)
	return v.Streams / max(slots, 1)
}

// Reason says why engines are ordered to change their stage.
type Reason string

// The reasons.
const (
	NoDecodeEngine Reason = "no_decode_engine" // The service has none left.
	Idle           Reason = "idle"             // The service prepares for load.
	Load           Reason = "load"             // Prompts wait, or slots are scarce.
	// VersionLostDecode: all decode engines of a software version have failed.
	VersionLostDecode Reason = "version_lost_decode"
	// VersionShortOfDecode: a software version has few decode engines and could spare some of the
	// others.
	VersionShortOfDecode Reason = "version_short_of_decode"
)

// Order is a change of stage for a number of engines, with the measurements behind
// it.
type Order struct {
	Reason      Reason
	ToPrefill   bool
	Count       int
	PrefillWait time.Duration // Mean over the window.
	SlotUse     float64       // Share of decode slots in use.
	Version     VersionView   // The version whose engines change; zero if any may.
}

// Parameters of the decisions.
const (
	// minPrefillWait is the wait at prefill engines above which more of them help.
	minPrefillWait = 50 * time.Millisecond
	// waitWindow and useWindow are the periods over which waits and slot use are
	// evaluated. A shift of the load takes up slots, so slot use has the longer one.
	waitWindow = 3 * time.Second
	useWindow  = 8 * time.Second
	// maxUseToPrefill is the share of slots in use up to which decode engines may
	// move to prefill. Long answers multiply the number of streams by up to eight
	// within seconds.
	maxUseToPrefill = 0.12
	// minUseToDecode is the share of slots in use from which prefill engines move to
	// decode, if it lasts for decodeUseWindow.
	minUseToDecode  = 0.75
	decodeUseWindow = 1 * time.Second
	// maxPrefillShare is the largest share of engines that may be prefill engines.
	// keptPrefillShare is the share that stays when some return to decode.
	maxPrefillShare  = 0.42
	keptPrefillShare = 0.35
	// idlePrefillShare is the share of prefill engines to reach while the service is
	// idle, and idleWindow the time for which it must have been idle.
	idlePrefillShare = 0.38
	idleWindow       = 2 * time.Second
	// maxIdleChanges bounds the number of engines that change before any load is
	// seen: each order has a cost, and the needs of the load are not known yet.
	maxIdleChanges = 8
	// stepShare is the share of the engines of a stage that change at once.
	stepShare = 0.12
	// recoveryShare is the share of prefill engines that move to decode when no
	// decode engine is left.
	recoveryShare = 0.3
)

// Planner plans changes for one service from recent views. It is not safe for
// concurrent use.
type Planner struct {
	samples     []sample
	idleChanges int // Engines ordered to change since the service was last busy.
}

type sample struct {
	at   time.Time
	view View
}

// Observe records a view and drops those older than the longest window.
func (p *Planner) Observe(now time.Time, view View) {
	p.samples = append(p.samples, sample{now, view})
	expired := 0
	for expired < len(p.samples) && now.Sub(p.samples[expired].at) > useWindow {
		expired++
	}
	p.samples = slices.Delete(p.samples, 0, expired)
	if !view.idle() {
		p.idleChanges = 0
	}
}

// DropSamples discards the recorded views. It is called when engines are ordered to
// change, since the views do not describe the fleet after the change.
func (p *Planner) DropSamples() { p.samples = nil }

// Plan returns the change that the recorded views call for, if any.
func (p *Planner) Plan() (Order, bool) {
	if len(p.samples) == 0 {
		return Order{}, false
	}
	latest := p.samples[len(p.samples)-1]
	view := latest.view
	if view.DecodeEngines == 0 && view.PrefillEngines > 0 {
		return Order{Reason: NoDecodeEngine, Count: share(recoveryShare, view.PrefillEngines)}, true
	}
	span := latest.at.Sub(p.samples[0].at)
	if span >= idleWindow && p.allIdle() {
		return p.planIdle(view)
	}
	if span < waitWindow {
		return Order{}, false
	}
	if order, ok := p.planToPrefill(latest); ok {
		return order, true
	}
	return p.planToDecode(latest)
}

// allIdle reports whether the service was allIdle in all recorded views.
func (p *Planner) allIdle() bool {
	return !slices.ContainsFunc(p.samples, func(s sample) bool { return !s.view.idle() })
}

// planIdle moves engines to prefill in advance, while a change takes no capacity
// from any request.
func (p *Planner) planIdle(view View) (Order, bool) {
	missing := int(idlePrefillShare*float64(view.PrefillEngines+view.DecodeEngines)) - view.PrefillEngines
	count := min(missing, maxIdleChanges-p.idleChanges)
	if count <= 0 || view.PrefillEngines == 0 {
		return Order{}, false
	}
	p.idleChanges += count
	return Order{Reason: Idle, ToPrefill: true, Count: count}, true
}

func (p *Planner) planToPrefill(latest sample) (Order, bool) {
	view := latest.view
	available := int(maxPrefillShare*float64(view.PrefillEngines+view.DecodeEngines)) - view.PrefillEngines
	count := min(share(stepShare, view.DecodeEngines), available, view.DecodeEngines-1)
	if count < 1 {
		return Order{}, false
	}
	order := Order{Reason: Load, ToPrefill: true, Count: count, PrefillWait: p.meanPrefillWait(latest.at), SlotUse: p.peakSlotUse(count)}
	return order, order.PrefillWait >= minPrefillWait && order.SlotUse <= maxUseToPrefill
}

func (p *Planner) planToDecode(latest sample) (Order, bool) {
	view := latest.view
	spare := view.PrefillEngines - int(keptPrefillShare*float64(view.PrefillEngines+view.DecodeEngines)+1)
	order := Order{Reason: Load, Count: min(share(stepShare, view.PrefillEngines), spare), SlotUse: p.minSlotUse(latest.at)}
	return order, order.Count >= 1 && order.SlotUse >= minUseToDecode
}

func (p *Planner) meanPrefillWait(now time.Time) time.Duration {
	sum, n := time.Duration(0), time.Duration(0)
	for _, s := range p.samples {
		if now.Sub(s.at) <= waitWindow {
			sum += s.view.PrefillWait
			n++
		}
	}
	return sum / max(n, 1)
}

func (p *Planner) peakSlotUse(removed int) float64 {
	peak := 0.0
	for _, s := range p.samples {
		peak = max(peak, s.view.slotUse(removed))
	}
	return peak
}

func (p *Planner) minSlotUse(now time.Time) float64 {
	lowest := 1.0
	for _, s := range p.samples {
		if now.Sub(s.at) <= decodeUseWindow {
			lowest = min(lowest, s.view.slotUse(0))
		}
	}
	return lowest
}

// share returns the given part of n, but at least 1.
func share(part float64, n int) int { return max(int(part*float64(n)), 1) }
