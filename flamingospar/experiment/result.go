package experiment

import "math"

// Result holds the measurements of one run of a policy.
type Result struct {
	Policy           string
	tokenGaps        histogram
	firstToken       histogram
	offered          int
	good             int
	goodWork         float64 // Engine seconds.
	refused          int
	abandoned        int
	retries          int
	roleChanges      int
	endpointHours    float64
	worstShare       float64
	bound            float64
	minEndpointHours float64
	goodBySecond     []int
	offeredBySecond  []int // By second of arrival.
}

func newResult(policy string) *Result {
	return &Result{Policy: policy, tokenGaps: newHistogram(), firstToken: newHistogram()}
}

// good reports whether the response was complete and in time. A batch response must
// meet its deadline. Of any other, the first token must meet its deadline, and the
// mean gap and 95% of the gaps between tokens must not exceed maxTokenGapSeconds.
func (r *request) good() bool {
	if !r.done {
		return false
	}
	if r.batch {
		return r.lastTokenAt-r.arrival <= r.deadline
	}
	if r.firstTokenLatency() > firstTokenDeadlineSeconds {
		return false
	}
	gapCount := r.outputTokens - 1
	if gapCount == 0 {
		return true
	}
	const maxLongGapShare = 0.05
	meanGap := (r.lastTokenAt - r.firstTokenAt) / float64(gapCount)
	return meanGap <= maxTokenGapSeconds && float64(r.longGaps) <= maxLongGapShare*float64(gapCount)
}

// firstTokenLatency returns the caller's time to first token in seconds.
func (r *request) firstTokenLatency() float64 {
	return r.firstTokenAt + agentLatencySeconds + callerLatencySeconds - r.arrival
}

// collect computes the result from the requests of a finished run.
func (r *Result) collect(m *sim) {
	seconds := int(m.trace.Seconds)
	r.goodBySecond = make([]int, seconds)
	r.offeredBySecond = make([]int, seconds)
	for _, request := range m.requests {
		r.offered++
		second := min(int(request.arrival), seconds-1)
		r.offeredBySecond[second]++
		if request.emittedTokens > 0 && !request.batch {
			r.firstToken.add(request.firstTokenLatency())
		}
		if request.good() {
			r.good++
			r.goodWork += request.work(false)
			r.goodBySecond[second]++
		}
	}
	r.worstShare = computeEntitlements(m.fleet, m.trace, m.requests).worstShare()
}

// boundResult returns the row of the clairvoyant bound: its goodput and the minimum
// endpoint hours. The other columns are meaningless.
func boundResult(t Trace, requests []*request, bound, minHours float64) *Result {
	r := newResult(boundRowName)
	r.offered = len(requests)
	r.good = int(bound)
	r.bound = bound
	r.worstShare = 1
	r.endpointHours, r.minEndpointHours = minHours, minHours
	r.goodBySecond = make([]int, int(t.Seconds))
	r.offeredBySecond = r.goodBySecond
	return r
}

// histogram counts durations in bins of one millisecond.
type histogram struct {
	bins  []int
	total int
}

const histogramBins = 12_000

func newHistogram() histogram { return histogram{bins: make([]int, histogramBins)} }

func (h *histogram) add(seconds float64) {
	bin := min(max(int(seconds*1000), 0), histogramBins-1)
	h.bins[bin]++
	h.total++
}

// quantile returns a quantile in milliseconds.
func (h *histogram) quantile(q float64) float64 {
	rank := int(math.Ceil(q * float64(h.total)))
	cumulative := 0
	for bin, n := range h.bins {
		cumulative += n
		if n > 0 && cumulative >= rank {
			return float64(bin + 1)
		}
	}
	return 0
}
