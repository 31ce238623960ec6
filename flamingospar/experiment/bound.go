package experiment

import (
	"math"
	"sort"
)

// Settings of the search for the tightest bound.
const (
	bucketSeconds = 1.0
	priceRounds   = 200
	firstStep     = 0.15 // Of the price at which a mean request gains nothing.
	averageKeep   = 0.05 // Weight of the newest prices in the average.
	averageEvery  = 10   // Rounds between two tries of the average.
	nearCheapest  = 0.05 // Buckets this near the cheapest share a request's work.
)

// clairvoyant returns a number of good answers that no policy can pass.
//
// A good answer needs at least its least engine time within a window that
// begins at its arrival and ends with the last time its last token may come.
// For any price of engine time in each second, the dual of that fractional
// packing problem bounds the number of good answers from above: the price of
// all engine time, and for each request what one answer exceeds the cheapest
// price of its work in its window. The search lowers the bound over prices;
// each price it tries gives a true bound.
func clairvoyant(s site, t Trace, requests []*request) float64 {
	total := 0.0
	for model := range s.models {
		total += boundOf(capacityOf(s, t, model), demandsOf(requests, model))
	}
	return total
}

// job is a request as the bound sees it.
type job struct {
	work        float64
	first, last int // Buckets of its window.
}

func demandsOf(requests []*request, model int) []job {
	var jobs []job
	seen := make(map[uint64]bool)
	for _, r := range requests {
		if r.model != model {
			continue
		}
		cached := seen[r.prefix] && r.prefix != 0
		seen[r.prefix] = true
		if r.hopeless(cached) {
			continue
		}
		end := r.arrival + firstTokenSeconds + tokenGapSeconds*float64(r.output)
		if r.batch {
			end = r.arrival + r.deadline
		}
		jobs = append(jobs, job{work: r.work(cached), first: int(r.arrival / bucketSeconds), last: int(end / bucketSeconds)})
	}
	return jobs
}

// hopeless reports whether even an idle engine would give the first token late.
func (r *request) hopeless(cached bool) bool {
	if r.batch {
		return false
	}
	prompt := r.prompt
	if cached {
		prompt -= r.prefixTokens
	}
	least := float64(prompt)*promptSeconds + engineConfig.StepBase.Seconds()
	return least+2*callerSeconds+2*hopSeconds > firstTokenSeconds
}

// capacityOf returns the engine seconds of a model in each bucket.
func capacityOf(s site, t Trace, model int) []float64 {
	n := int((t.Seconds+t.longestDeadline()+firstTokenSeconds+tokenGapSeconds*longestOutput)/bucketSeconds) + 1
	capacity := make([]float64, n)
	for i := range capacity {
		capacity[i] = float64(s.enginesOf(model)) * bucketSeconds
	}
	for _, fault := range t.Faults {
		lessLost(capacity, fault, lostOf(s, t, fault, model))
	}
	return capacity
}

// lostOf returns how many engines' worth of a model a fault takes away.
func lostOf(s site, t Trace, fault Fault, model int) float64 {
	each := 0.0
	switch fault.Kind {
	case faultWithdraw, faultCrash:
		each = 1
	case faultSlow:
		each = 1 - 1/fault.Factor
	}
	lost := 0.0
	for _, index := range hitBy(fault, len(s.engines)) {
		if s.engines[index].Model == s.models[model] {
			lost += each
		}
	}
	return lost
}

// lessLost takes engines off the buckets that lie wholly within a fault.
func lessLost(capacity []float64, fault Fault, lost float64) {
	begin, end := fault.At, fault.ends(float64(len(capacity))*bucketSeconds)
	switch fault.Kind {
	case faultWithdraw:
		begin, end = fault.At+withdrawalNotice, float64(len(capacity))*bucketSeconds
	case faultCrash:
		end = fault.At + max(fault.Seconds, crashRestartAfter)
	}
	for i := range capacity {
		if float64(i)*bucketSeconds >= begin && float64(i+1)*bucketSeconds <= end {
			capacity[i] -= lost * bucketSeconds
		}
	}
}

func boundOf(capacity []float64, jobs []job) float64 {
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
	step := firstStep / mean
	used := make([]float64, len(capacity))
	for round := range priceRounds {
		best = min(best, dual(prices, capacity, jobs, used))
		size := step / math.Sqrt(float64(round+1))
		for i := range prices {
			excess := (used[i] - capacity[i]) / max(capacity[i], bucketSeconds)
			prices[i] = max(0, prices[i]+size*min(excess, 1))
			average[i] += averageKeep * (prices[i] - average[i])
		}
		if round%averageEvery == 0 {
			best = min(best, dual(average, capacity, jobs, nil))
		}
	}
	return best
}

// dual returns the bound at prices and, when used is given, notes the work that
// requests would buy in each bucket.
func dual(prices, capacity []float64, jobs []job, used []float64) float64 {
	value := 0.0
	clear(used)
	for i := range prices {
		value += prices[i] * capacity[i]
	}
	cheapest := newRangeMin(prices)
	for _, j := range jobs {
		low := cheapest.min(j.first, min(j.last, len(prices)-1))
		gain := 1 - j.work*low
		if gain <= 0 {
			continue
		}
		value += gain
		if used != nil {
			spendIn(used, prices, j, low)
		}
	}
	return value
}

// spendIn spreads a request's work evenly over the nearly cheapest buckets of
// its window.
func spendIn(used, prices []float64, j job, low float64) {
	limit := low + nearCheapest/j.work
	last := min(j.last, len(prices)-1)
	n := 0
	for i := j.first; i <= last; i++ {
		if prices[i] <= limit {
			n++
		}
	}
	for i := j.first; i <= last; i++ {
		if prices[i] <= limit {
			used[i] += j.work / float64(n)
		}
	}
}

// rangeMin answers minima over ranges (a sparse table).
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

// entitlements returns each team's max-min share of the engine time, by window
// of arrival, model by model.
type entitlements struct {
	entitled  []float64 // By team.
	delivered []float64
}

// windowSeconds is the length of the windows over which shares are compared.
const windowSeconds = 10.0

func entitle(s site, t Trace, requests []*request) entitlements {
	windows := int(t.Seconds/windowSeconds) + 1
	teams := len(s.teams)
	e := entitlements{entitled: make([]float64, teams), delivered: make([]float64, teams)}
	for model := range s.models {
		wanted := table(windows, teams)
		good := table(windows, teams)
		seen := make(map[uint64]bool)
		for _, r := range requests {
			if r.model != model {
				continue
			}
			cached := seen[r.prefix] && r.prefix != 0
			seen[r.prefix] = true
			window := min(int(r.arrival/windowSeconds), windows-1)
			if r.hopeless(cached) {
				continue
			}
			wanted[window][r.team] += r.work(cached)
			if r.good() {
				good[window][r.team] += r.work(cached)
			}
		}
		capacity := capacityOf(s, t, model)
		for window := range windows {
			shares := maxMin(wanted[window], s, capacityIn(capacity, window))
			for team, share := range shares {
				e.entitled[team] += share
				e.delivered[team] += min(share, good[window][team])
			}
		}
	}
	return e
}

// capacityIn adds up the engine seconds of a window.
func capacityIn(capacity []float64, window int) float64 {
	const buckets = int(windowSeconds / bucketSeconds)
	sum := 0.0
	for i := window * buckets; i < min((window+1)*buckets, len(capacity)); i++ {
		sum += capacity[i]
	}
	return sum
}

func table(rows, columns int) [][]float64 {
	t := make([][]float64, rows)
	for i := range t {
		t[i] = make([]float64, columns)
	}
	return t
}

// maxMin divides capacity over demands by weighted max-min fairness.
func maxMin(demands []float64, s site, capacity float64) []float64 {
	order := make([]int, len(demands))
	weights := 0.0
	for i := range order {
		order[i] = i
		weights += s.teams[i].Weight
	}
	sort.Slice(order, func(a, b int) bool {
		return demands[order[a]]/s.teams[order[a]].Weight < demands[order[b]]/s.teams[order[b]].Weight
	})
	shares := make([]float64, len(demands))
	for _, team := range order {
		weight := s.teams[team].Weight
		shares[team] = min(demands[team], capacity*weight/weights)
		capacity -= shares[team]
		weights -= weight
	}
	return shares
}

// worst returns the lowest part of its entitlement that a team got.
func (e entitlements) worst() float64 {
	worst := 1.0
	for team, entitled := range e.entitled {
		if entitled > 0 {
			worst = min(worst, e.delivered[team]/entitled)
		}
	}
	return worst
}
