package experiment

import (
	"iter"
	"math"
	"sort"
)

// Parameters of the subgradient search for the tightest bound.
const (
	bucketSeconds     = 1.0
	priceIterations   = 200
	initialStepFactor = 0.15 // First step, as a fraction of the price at which an average request has no gain.
	averageWeight     = 0.05 // Weight of the latest prices in the moving average.
	averageInterval   = 10   // Iterations between evaluations of the averaged prices.
	priceTolerance    = 0.05 // A request's work is spread over buckets whose price for it is this close to the lowest.
)

// clairvoyantBound returns an upper bound on the number of good responses of any
// policy.
//
// A good response needs at least its minimum engine time between its arrival and
// the latest time at which its last token may arrive. This is a fractional
// packing problem. For any prices of engine time in each bucket, its dual is an
// upper bound on the number of good responses: the price of all engine time,
// plus, for each request, the amount by which one response exceeds the lowest
// price of its work in its window. The search minimises the bound over the
// prices; every price vector that it tries gives a valid bound.
func clairvoyantBound(f simFleet, t Trace, requests []*request) float64 {
	total := 0.0
	for model := range f.models {
		total += tightestBound(capacityByBucket(f, t, model), feasibleJobs(requests, model))
	}
	return total
}

// job is a request in the packing problem.
type job struct {
	work                    float64
	firstBucket, lastBucket int // Buckets in which the work may be done, inclusive.
}

// requestsOf yields the requests of a model, and for each whether one before it had the same
// prefix, so that an ideal cache holds it.
func requestsOf(requests []*request, model int) iter.Seq2[*request, bool] {
	return func(yield func(*request, bool) bool) {
		seen := make(map[uint64]bool)
		for _, r := range requests {
			if r.model != model {
				continue
			}
			cached := seen[r.prefix] && r.prefix != 0
			seen[r.prefix] = true
			if !yield(r, cached) {
				return
			}
		}
	}
}

// feasibleJobs returns the requests of a model that an idle engine could serve in
// time. The first request with a prefix is the one that fills the cache.
func feasibleJobs(requests []*request, model int) []job {
	var jobs []job
	for r, cached := range requestsOf(requests, model) {
		if r.infeasible(cached) {
			continue
		}
		end := r.arrival + firstTokenDeadlineSeconds + maxTokenGapSeconds*float64(r.outputTokens)
		if r.batch {
			end = r.arrival + r.deadline
		}
		jobs = append(jobs, job{work: r.work(cached), firstBucket: int(r.arrival / bucketSeconds), lastBucket: int(end / bucketSeconds)})
	}
	return jobs
}

// infeasible reports whether the first token would miss its deadline even on an
// idle engine.
func (r *request) infeasible(cached bool) bool {
	if r.batch {
		return false
	}
	prompt := r.promptTokens
	if cached {
		prompt -= r.prefixTokens
	}
	minSeconds := float64(prompt)*promptSeconds + engineConfig.BaseStepTime.Seconds()
	return minSeconds+2*callerLatencySeconds+2*agentLatencySeconds > firstTokenDeadlineSeconds
}

// capacityByBucket returns the engine seconds of a model in each bucket.
func capacityByBucket(f simFleet, t Trace, model int) []float64 {
	buckets := int((t.Seconds+t.maxDeadline()+firstTokenDeadlineSeconds+maxTokenGapSeconds*maxOutputTokens)/bucketSeconds) + 1
	capacity := make([]float64, buckets)
	for i := range capacity {
		capacity[i] = float64(f.engineCount(model)) * bucketSeconds
	}
	for _, fault := range t.Faults {
		subtractLost(capacity, fault, enginesLost(f, t, fault, model))
	}
	return capacity
}

// enginesLost returns the capacity of a model that is lost during a fault, in engines.
func enginesLost(f simFleet, t Trace, fault Fault, model int) float64 {
	perEngine := 0.0
	switch fault.Kind {
	case faultWithdraw, faultCrash:
		perEngine = 1
	case faultSlow:
		perEngine = 1 - 1/fault.Factor
	}
	lost := 0.0
	for _, index := range affectedIndexes(fault, len(f.engines)) {
		if f.engines[index].Model == f.models[model] {
			lost += perEngine
		}
	}
	return lost
}

// subtractLost reduces the capacity of the buckets that lie entirely within a fault.
func subtractLost(capacity []float64, fault Fault, lost float64) {
	start, end := fault.At, fault.endTime(float64(len(capacity))*bucketSeconds)
	switch fault.Kind {
	case faultWithdraw:
		start, end = fault.At+withdrawalNoticeSeconds, float64(len(capacity))*bucketSeconds
	case faultCrash:
		end = fault.At + max(fault.Seconds, crashRestartSeconds)
	}
	for i := range capacity {
		if float64(i)*bucketSeconds >= start && float64(i+1)*bucketSeconds <= end {
			capacity[i] -= lost * bucketSeconds
		}
	}
}

// tightestBound minimises the dual bound by projected subgradient descent on the
// prices and also evaluates their moving average.
func tightestBound(capacity []float64, jobs []job) float64 {
	if len(jobs) == 0 {
		return 0
	}
	mean := 0.0
	for _, j := range jobs {
		mean += j.work / float64(len(jobs))
	}
	prices := make([]float64, len(capacity))
	average := make([]float64, len(capacity))
	best := float64(len(jobs))
	step := initialStepFactor / mean
	used := make([]float64, len(capacity))
	for iteration := range priceIterations {
		best = min(best, dualBound(prices, capacity, jobs, used))
		stepSize := step / math.Sqrt(float64(iteration+1))
		for i := range prices {
			excess := (used[i] - capacity[i]) / max(capacity[i], bucketSeconds)
			prices[i] = max(0, prices[i]+stepSize*min(excess, 1))
			average[i] += averageWeight * (prices[i] - average[i])
		}
		if iteration%averageInterval == 0 {
			best = min(best, dualBound(average, capacity, jobs, nil))
		}
	}
	return best
}

// dualBound returns the bound at the given prices. If used isn't nil, it is set to
// the work that the requests demand of each bucket at these prices.
func dualBound(prices, capacity []float64, jobs []job, used []float64) float64 {
	value := 0.0
	clear(used)
	for i := range prices {
		value += prices[i] * capacity[i]
	}
	cheapest := newRangeMin(prices)
	for _, j := range jobs {
		minPrice := cheapest.min(j.firstBucket, min(j.lastBucket, len(prices)-1))
		gain := 1 - j.work*minPrice
		if gain <= 0 {
			continue
		}
		value += gain
		if used != nil {
			spreadWork(used, prices, j, minPrice)
		}
	}
	return value
}

// spreadWork adds a request's work evenly to the buckets of its window whose price
// is close to the lowest.
func spreadWork(used, prices []float64, j job, minPrice float64) {
	limit := minPrice + priceTolerance/j.work
	last := min(j.lastBucket, len(prices)-1)
	n := 0
	for i := j.firstBucket; i <= last; i++ {
		if prices[i] <= limit {
			n++
		}
	}
	for i := j.firstBucket; i <= last; i++ {
		if prices[i] <= limit {
			used[i] += j.work / float64(n)
		}
	}
}

// rangeMin is a sparse table for range minimum queries.
type rangeMin struct {
	levels [][]float64
}

func newRangeMin(values []float64) rangeMin {
	table := rangeMin{levels: [][]float64{values}}
	for width := 1; 2*width <= len(values); width *= 2 {
		below := table.levels[len(table.levels)-1]
		level := make([]float64, len(values)-2*width+1)
		for i := range level {
			level[i] = min(below[i], below[i+width])
		}
		table.levels = append(table.levels, level)
	}
	return table
}

func (t rangeMin) min(first, last int) float64 {
	level := int(math.Log2(float64(last - first + 1)))
	return min(t.levels[level][first], t.levels[level][last-(1<<level)+1])
}

// entitlements compares, for each team, its max-min fair share of the engine time
// with the engine time of its good responses. Shares are computed by model and
// window of arrival.
type entitlements struct {
	entitled  []float64 // Engine seconds by team.
	delivered []float64 // Engine seconds by team, up to the share of each window.
}

// shareWindowSeconds is the length of the windows in which shares are computed.
const shareWindowSeconds = 10.0

func computeEntitlements(f simFleet, t Trace, requests []*request) entitlements {
	windows := int(t.Seconds/shareWindowSeconds) + 1
	teams := len(f.teams)
	e := entitlements{entitled: make([]float64, teams), delivered: make([]float64, teams)}
	for model := range f.models {
		demanded := newMatrix(windows, teams)
		good := newMatrix(windows, teams)
		for r, cached := range requestsOf(requests, model) {
			window := min(int(r.arrival/shareWindowSeconds), windows-1)
			if r.infeasible(cached) {
				continue
			}
			demanded[window][r.team] += r.work(cached)
			if r.good() {
				good[window][r.team] += r.work(cached)
			}
		}
		capacity := capacityByBucket(f, t, model)
		for window := range windows {
			shares := maxMinShares(demanded[window], f, windowCapacity(capacity, window))
			for team, share := range shares {
				e.entitled[team] += share
				e.delivered[team] += min(share, good[window][team])
			}
		}
	}
	return e
}

// windowCapacity returns the engine seconds of a window.
func windowCapacity(capacity []float64, window int) float64 {
	const buckets = int(shareWindowSeconds / bucketSeconds)
	sum := 0.0
	for i := window * buckets; i < min((window+1)*buckets, len(capacity)); i++ {
		sum += capacity[i]
	}
	return sum
}

func newMatrix(rows, columns int) [][]float64 {
	m := make([][]float64, rows)
	for i := range m {
		m[i] = make([]float64, columns)
	}
	return m
}

// maxMinShares divides capacity among the teams' demands by weighted max-min
// fairness.
func maxMinShares(demands []float64, f simFleet, capacity float64) []float64 {
	order := make([]int, len(demands))
	weights := 0.0
	for i := range order {
		order[i] = i
		weights += f.teams[i].Weight
	}
	sort.Slice(order, func(a, b int) bool {
		return demands[order[a]]/f.teams[order[a]].Weight < demands[order[b]]/f.teams[order[b]].Weight
	})
	shares := make([]float64, len(demands))
	for _, team := range order {
		weight := f.teams[team].Weight
		shares[team] = min(demands[team], capacity*weight/weights)
		capacity -= shares[team]
		weights -= weight
	}
	return shares
}

// worstShare returns the lowest ratio of delivered to entitled engine time of all
// teams.
func (e entitlements) worstShare() float64 {
	worst := 1.0
	for team, entitled := range e.entitled {
		if entitled > 0 {
			worst = min(worst, e.delivered[team]/entitled)
		}
	}
	return worst
}
