package engines

import (
	"container/list"
	"maps"
	"time"

	"flamingospar.org/core/balance"
	"flamingospar.org/core/estimate"
	"flamingospar.org/core/placement"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Quantity is what an estimate is of.
type Quantity = wirev1.EndpointEstimate_Quantity

// Limits on what is reported and accepted.
const (
	// estimateReportInterval is the shortest time between two reports to one peer.
	estimateReportInterval = 500 * time.Millisecond
	// maxReportedEstimates is the most estimates in one report. The others follow in the
	// next one.
	maxReportedEstimates = 64
	// maxPeerWeight bounds the weight of one peer, in samples, so that it can't outweigh
	// all others.
	maxPeerWeight = 100.0
	// estimateScanInterval is the shortest time between two searches for new samples.
	estimateScanInterval = 50 * time.Millisecond
	// maxUnlisted bounds the estimates whose reports are kept until their endpoint is
	// listed: the first messages to a process arrive before its list of endpoints.
	maxUnlisted = 4096
	// unlistedMaxAge is the age of a sample beyond which its report makes room for others.
	unlistedMaxAge = 10 * time.Second
)

// newEstimate returns a new estimate by quantity. A quantity without an entry can't be
// registered.
var newEstimate = map[Quantity]func() *estimate.Estimate{
	wirev1.EndpointEstimate_QUANTITY_PREFILL_TIME:         placement.NewEngineEstimate,
	wirev1.EndpointEstimate_QUANTITY_SERVICE_PREFILL_TIME: placement.NewServiceEstimate,
	wirev1.EndpointEstimate_QUANTITY_ANSWER_TIME:          func() *estimate.Estimate { return estimate.New(balance.AnswerTimeHalfLife) },
	wirev1.EndpointEstimate_QUANTITY_SERVICE_ANSWER_TIME:  func() *estimate.Estimate { return estimate.New(balance.ServiceAnswerTimeHalfLife) },
}

// EstimateKey names an estimate: of one start of an endpoint, or of a service.
type EstimateKey struct {
	Quantity  Quantity
	Service   string // Only for quantities of a service.
	Endpoint  string // Only for quantities of an endpoint.
	StartedMS int64  // Of the endpoint.
}

// EstimateReport is what one process has measured itself, for its peers.
type EstimateReport struct {
	EstimateKey

	LogMean float64
	Weight  float64
	Age     time.Duration // Of the latest sample.
}

// estimates holds the estimates of all quantities of endpoints and services, reports this
// process's samples to peers and merges what they report.
//
// A user of a quantity adds it to newEstimate, calls register for each listed
// endpoint or service, adds samples to the estimate that it gets (estimate.Estimate.Add)
// and reads its value. It calls renew when samples become void, and Selector.drop calls
// dropEndpoint. Reports and merges need no further code: new samples are found by the time
// of the latest one, and reports on keys that are not registered are kept for a short time.
//
// It is not safe for concurrent use; Selector.mu guards it.
type estimates struct {
	entries   map[EstimateKey]*list.Element // Of *estimateEntry, in order.
	order     *list.List                    // The least recently changed first.
	sequence  uint64                        // Of the latest change.
	scannedAt time.Time
	peers     map[string]*estimatePeer
	unlisted  map[EstimateKey]peerMeasurements
}

// peerMeasurements are the measurements of one quantity by peer.
type peerMeasurements map[string]estimate.Measurement

// newerThan reports whether one of the measurements has a sample after a time.
func (p peerMeasurements) newerThan(at time.Time) bool {
	for _, measured := range p {
		if measured.At.After(at) {
			return true
		}
	}
	return false
}

// estimateEntry is one registered estimate.
type estimateEntry struct {
	key       EstimateKey
	estimate  *estimate.Estimate
	since     time.Time // Older samples of peers are void.
	changedAt time.Time // Of the latest own sample that has a sequence number.
	sequence  uint64    // Of the latest own sample; 0 if there is none.
}

// estimatePeer is what was reported to a peer.
type estimatePeer struct {
	instance   string
	reportedAt time.Time
	sequence   uint64 // The latest change that was reported.
}

func newEstimates() *estimates {
	return &estimates{entries: make(map[EstimateKey]*list.Element), order: list.New(), peers: make(map[string]*estimatePeer), unlisted: make(map[EstimateKey]peerMeasurements)}
}

// register returns the estimate of a key, a new one if need be.
func (r *estimates) register(key EstimateKey) *estimate.Estimate {
	if element, ok := r.entries[key]; ok {
		return element.Value.(*estimateEntry).estimate
	}
	added := r.renew(time.Time{}, key)
	for vm, measured := range r.unlisted[key] {
		added.SetPeer(vm, measured)
	}
	delete(r.unlisted, key)
	return added
}

// renew returns a new estimate of a key, and ignores samples of peers before now.
func (r *estimates) renew(now time.Time, key EstimateKey) *estimate.Estimate {
	r.drop(key)
	entry := &estimateEntry{key: key, estimate: newEstimate[key.Quantity](), since: now}
	r.entries[key] = r.order.PushFront(entry)
	return entry.estimate
}

func (r *estimates) drop(key EstimateKey) {
	if element, ok := r.entries[key]; ok {
		r.order.Remove(element)
		delete(r.entries, key)
	}
}

// dropEndpoint drops all estimates of an endpoint.
func (r *estimates) dropEndpoint(id string) {
	for key := range r.entries {
		if key.Endpoint == id {
			r.drop(key)
		}
	}
}

// report returns this process's estimates with new samples since the last report to a
// peer, those with the oldest changes first. It returns nothing if that was a short time
// ago.
func (r *estimates) report(now time.Time, vm string) []EstimateReport {
	if vm == "" || len(r.entries) == 0 {
		return nil // The process is not known yet, or nothing is measured.
	}
	peer := r.peer(vm)
	if now.Sub(peer.reportedAt) < estimateReportInterval {
		return nil
	}
	peer.reportedAt = now
	r.scan(now)
	var reports []EstimateReport
	for element := r.firstAfter(peer.sequence); element != nil && len(reports) < maxReportedEstimates; element = element.Next() {
		entry := element.Value.(*estimateEntry)
		own := entry.estimate.Own()
		reports = append(reports, EstimateReport{EstimateKey: entry.key, LogMean: own.LogMean, Weight: own.Weight, Age: max(now.Sub(own.At), 0)})
		peer.sequence = entry.sequence
	}
	return reports
}

// scan gives the estimates with new own samples their sequence numbers.
func (r *estimates) scan(now time.Time) {
	if now.Sub(r.scannedAt) < estimateScanInterval {
		return
	}
	r.scannedAt = now
	for _, element := range r.entries {
		entry := element.Value.(*estimateEntry)
		if at := entry.estimate.Own().At; at.After(entry.changedAt) {
			r.sequence++
			entry.changedAt, entry.sequence = at, r.sequence
			r.order.MoveToBack(element)
		}
	}
}

// firstAfter returns the least recently changed of the estimates whose change has a
// higher sequence number, or nil.
func (r *estimates) firstAfter(sequence uint64) *list.Element {
	var first *list.Element
	for element := r.order.Back(); element != nil && element.Value.(*estimateEntry).sequence > sequence; element = element.Prev() {
		first = element
	}
	return first
}

// merge replaces what a peer has measured. instance is the start of the peer: one that has
// started again is sent everything.
func (r *estimates) merge(now time.Time, vm, instance string, reports []EstimateReport) {
	if peer := r.peer(vm); peer.instance != instance {
		*peer = estimatePeer{instance: instance}
	}
	for _, report := range reports {
		measured := estimate.Measurement{LogMean: report.LogMean, Weight: min(report.Weight, maxPeerWeight), At: now.Add(-report.Age)}
		element, ok := r.entries[report.EstimateKey]
		if !ok {
			r.keepUnlisted(now, report.EstimateKey, vm, measured)
			continue
		}
		entry := element.Value.(*estimateEntry)
		if !measured.At.Before(entry.since) {
			entry.estimate.SetPeer(vm, measured)
		}
	}
}

// keepUnlisted keeps a report until its endpoint is listed, unless there are too many.
func (r *estimates) keepUnlisted(now time.Time, key EstimateKey, vm string, measured estimate.Measurement) {
	if kept, ok := r.unlisted[key]; ok {
		kept[vm] = measured
		return
	}
	if len(r.unlisted) >= maxUnlisted {
		expired := now.Add(-unlistedMaxAge)
		maps.DeleteFunc(r.unlisted, func(_ EstimateKey, kept peerMeasurements) bool { return !kept.newerThan(expired) })
	}
	if len(r.unlisted) < maxUnlisted {
		r.unlisted[key] = peerMeasurements{vm: measured}
	}
}

func (r *estimates) peer(vm string) *estimatePeer {
	if r.peers[vm] == nil {
		r.peers[vm] = &estimatePeer{}
	}
	return r.peers[vm]
}

// dropPeer forgets a peer and its samples.
func (r *estimates) dropPeer(vm string) {
	delete(r.peers, vm)
	for _, kept := range r.unlisted {
		delete(kept, vm)
	}
	for _, element := range r.entries {
		element.Value.(*estimateEntry).estimate.DropPeer(vm)
	}
}
