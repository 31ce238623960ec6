package experiment

import "math"

// Result is what one run of one policy gave.
type Result struct {
	Policy        string
	gaps          histogram
	first         histogram
	offered       int
	good          int
	goodWork      float64 // Engine seconds.
	refused       int
	abandoned     int
	retries       int
	roleChanges   int
	endpointHours float64
	worstShare    float64
	bound         float64
	leastHours    float64
	goodBySecond  []int
	offeredBy     []int // By second of arrival.
}

func newResult(policy string) *Result {
	return &Result{Policy: policy, gaps: newHistogram(), first: newHistogram()}
}

// good reports whether the answer came whole and in time: the first token
// within its bound, 95 in 100 gaps and the mean gap within theirs.
func (r *request) good() bool {
	if !r.done {
		return false
	}
	if r.batch {
		return r.lastAt-r.arrival <= r.deadline
	}
	if r.firstTokenAfter() > firstTokenSeconds {
		return false
	}
	gaps := r.output - 1
	if gaps == 0 {
		return true
	}
	const longShare = 0.05
	mean := (r.lastAt - r.firstAt) / float64(gaps)
	return mean <= tokenGapSeconds && float64(r.longGaps) <= longShare*float64(gaps)
}

func (r *request) firstTokenAfter() float64 {
	return r.firstAt + hopSeconds + callerSeconds - r.arrival
}

func (r *Result) collect(m *sim) {
	seconds := int(m.trace.Seconds)
	r.goodBySecond = make([]int, seconds)
	r.offeredBy = make([]int, seconds)
	for _, request := range m.requests {
		r.offered++
		second := min(int(request.arrival), seconds-1)
		r.offeredBy[second]++
		if request.emitted > 0 && !request.batch {
			r.first.add(request.firstTokenAfter())
		}
		if request.good() {
			r.good++
			r.goodWork += request.work(false)
			r.goodBySecond[second]++
		}
	}
	r.worstShare = entitle(m.site, m.trace, m.requests).worst()
}

// boundResult is the clairvoyant bound as a row: its goodput and the least
// endpoint hours. The other columns have no meaning for it.
func boundResult(t Trace, requests []*request, bound, least float64) *Result {
	r := newResult(boundName)
	r.offered = len(requests)
	r.good = int(bound)
	r.bound = bound
	r.worstShare = 1
	r.endpointHours, r.leastHours = least, least
	r.goodBySecond = make([]int, int(t.Seconds))
	r.offeredBy = r.goodBySecond
	return r
}

// histogram counts spans in bins of a millisecond.
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
	wanted := int(math.Ceil(q * float64(h.total)))
	seen := 0
	for bin, n := range h.bins {
		seen += n
		if n > 0 && seen >= wanted {
			return float64(bin + 1)
		}
	}
	return 0
}
