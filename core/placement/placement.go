// Package placement selects the model engines that serve a prompt and decides
// whether they can do so in time. It is built for a load that shifts between long
// prompts and long answers: prefill is the scarce resource, prefill-only engines
// are faster at it, and prompt parts in an engine's prefix cache need none.
//
// Decisions depend only on the state of the engines as estimated by this process
// and on the time that is passed in, and have no effects outside.
package placement

import (
	"slices"
	"time"
)

// Prompt describes the input of a request.
type Prompt struct {
	Tokens int // Length of the whole prompt.
	Parts  []Part
}

// Request is a prompt to place.
type Request struct {
	Prompt          Prompt
	Level           int             // Priority, 0 first.
	Budget          time.Duration   // Time in which the first token is due.
	MaxWait         time.Duration   // Time after which the caller stops waiting.
	ExpectedEvents  float64         // Expected number of events in the answer; 0 if unknown.
	Deadline        time.Duration   // Time in which the whole answer is due.
	LocalDataCentre string          // Data centre of this process.
	MaxEventGap     time.Duration   // Longest time between events that the route allows; 0 for no limit.
	RemoteCost      time.Duration   // Penalty for an engine in another data centre.
	Exclude         map[string]bool // By ID of the engine.
	Version         string          // Of the engines' software; empty for any.
	MustServe       bool            // Choose the best engine even if the answer will be late.
	// OverShare states that the team of the request has had more than its share of a
	// service that is short of capacity. See Decide.
	OverShare bool
	// UrgentFirst enables the rules that keep less urgent prompts from delaying more
	// urgent ones. See Decide and Engine.overdueMS.
	UrgentFirst bool
	// Jitter is the largest random amount added to the cost of an engine, so that
	// processes with little knowledge of each other don't all choose the same one.
	// Random returns numbers in [0, 1); nil disables the jitter.
	Jitter time.Duration
	Random func() float64

	affinity *affinity // Found among all engines, if only a sample is evaluated.
}

// Allows reports whether engines of a software version may serve the request.
func (r Request) Allows(version string) bool { return r.Version == "" || r.Version == version }

func (r Request) random() float64 {
	if r.Random == nil {
		return 0
	}
	return r.Random()
}

// Verdict is the outcome of a decision.
type Verdict int

// The verdicts.
const (
	InTime   Verdict = iota // Send it; the first token is expected in time.
	Late                    // Send it at LateLevel, after the requests that can be in time.
	Refused                 // It can't be served before the caller stops waiting.
	NoEngine                // No engine can take it.
)

// Decision states which engines serve a request.
type Decision struct {
	Verdict    Verdict
	Prefill    *Engine // Runs the prefill; nil if Decode does.
	Decode     *Engine
	Source     *Engine // Holds cached parts that the prefill engine fetches; nil for none.
	Fetched    int     // Prompt tokens that Source is known to hold.
	Level      int
	Predicted  time.Duration // Time until the first token.
	RetryAfter time.Duration // Time after which a refused caller may retry.
	// Work is the prefill work of the prompt at the engine that reads it, in units of the
	// prefill of one token without context.
	Work float64
	// CouldBeInTime reports whether the prompt would be in time if nothing were queued. A
	// prompt that can't be shows no shortage of capacity.
	CouldBeInTime bool

	idleTime time.Duration // Predicted if nothing were queued.
}

// Parameters of the decisions.
const (
	// LateLevel is the priority level of prompts that can't be in time.
	LateLevel = 8
	// mostUrgentLevel is the level of the most urgent priority.
	mostUrgentLevel = 0
	// onTimeBudgetShare is the share of Budget within which a predicted time counts
	// as in time.
	onTimeBudgetShare = 0.8
	// overShareBudgetShare is the same for a team that is over its share: its prompts have
	// to be in time even if others of the same priority overtake them.
	overShareBudgetShare = 0.7
	// lateWaitShare is the share of MaxWait within which a late prompt is accepted.
	lateWaitShare = 0.7
	// handoverLatency is the time to transfer a prompt to another engine after
	// prefill and start decoding there.
	handoverLatency = 20 * time.Millisecond
	// minFetchTokens is the smallest number of cached tokens worth a transfer.
	minFetchTokens = 150
	// remoteHandoverCost is the penalty for decoding in another data centre than
	// the prefill.
	remoteHandoverCost = 30 * time.Millisecond
	// failureCost is the penalty for an engine that is certain to fail. It is scaled
	// by the failure rate.
	failureCost = 3 * time.Second
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// slotQueueShare is the share of an engine's slots in use above which new
	// streams are expected to wait.
	slotQueueShare = 0.95
	// slotFreeInterval is the approximate time between slots becoming free.
	slotFreeInterval = 40 * time.Millisecond
)

// Decide places a request on one of the engines. A request that can't be in time is
// placed at LateLevel or, if its caller would stop waiting first, refused.
//
// A request with OverShare gets the level between its priority and the next. If it isn't
// in time there with a larger margin, it goes to LateLevel, where it displaces no other.
//
// With UrgentFirst, a request of the most urgent priority is not refused for the less
// urgent prompts that a late one would wait for: it is placed before these. That holds for
// a team over its share, too, since shares are among requests of the same priority.
func Decide(now time.Time, request Request, engines []*Engine) Decision {
	best := cheapestOption(now, request, engines, request.firstLevel())
	if best.Decode == nil {
		return Decision{Verdict: NoEngine, RetryAfter: minRetryAfter, Work: uncachedWork(float64(request.Prompt.Tokens), 0), CouldBeInTime: true}
	}
	best.CouldBeInTime = best.idleTime <= share(onTimeBudgetShare, request.Budget)
	if best.Predicted <= share(request.budgetShare(), request.Budget) || request.MustServe {
		best.Verdict = InTime
		return best
	}
	late := decideLate(now, request, engines)
	late.CouldBeInTime = best.CouldBeInTime
	return late
}

// firstLevel returns the level at which a request is to be in time.
func (r Request) firstLevel() int {
	if r.OverShare {
		return min(r.Level+1, LateLevel)
	}
	return r.Level
}

// budgetShare returns the share of Budget within which a predicted time counts as in time.
func (r Request) budgetShare() float64 {
	if r.OverShare {
		return overShareBudgetShare
	}
	return onTimeBudgetShare
}

// decideLate places a request that is not in time at its own level.
func decideLate(now time.Time, request Request, engines []*Engine) Decision {
	late := cheapestOption(now, request, engines, LateLevel)
	if request.OverShare && late.Predicted <= share(onTimeBudgetShare, request.Budget) {
		late.Verdict = InTime
		return late
	}
	if late.Predicted <= share(lateWaitShare, request.MaxWait) {
		late.Verdict = Late
		return late
	}
	if request.UrgentFirst && request.Level == mostUrgentLevel {
		ahead := cheapestOption(now, request, engines, request.Level+1)
		if ahead.Predicted <= share(lateWaitShare, request.MaxWait) {
			ahead.Verdict = Late
			return ahead
		}
	}
	late.Verdict = Refused
	late.RetryAfter = min(max(late.Predicted-request.Budget, minRetryAfter), maxRetryAfter)
	return late
}

// share returns a part of a time.
func share(part float64, whole time.Duration) time.Duration {
	return time.Duration(part * float64(whole))
}

// cheapestOption returns the engines with the lowest cost for a priority level. They have
// one software version: what one version has read is of no use to another.
func cheapestOption(now time.Time, request Request, engines []*Engine, level int) Decision {
	best, bestCost := Decision{Level: level}, 0.0
	for _, group := range byVersion(candidates(now, request, engines)) {
		option, cost := cheapestOfVersion(now, request, group, level)
		if option.Decode != nil && (best.Decode == nil || cost < bestCost) {
			best, bestCost = option, cost
		}
	}
	return best
}

// byVersion groups engines by their software version, in the order of its first engine.
func byVersion(engines []*Engine) [][]*Engine {
	if !slices.ContainsFunc(engines, func(e *Engine) bool { return e.Version != engines[0].Version }) {
		return [][]*Engine{engines}
	}
	var groups [][]*Engine
	index := make(map[string]int)
	for _, engine := range engines {
		i, ok := index[engine.Version]
		if !ok {
			i = len(groups)
			index[engine.Version] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], engine)
	}
	return groups
}

// cheapestOfVersion returns the engines with the lowest cost among those of one software
// version, and the cost.
func cheapestOfVersion(now time.Time, request Request, engines []*Engine, level int) (Decision, float64) {
	best := Decision{Level: level}
	decode, decodeCost := bestDecode(now, request, engines)
	source, cached := bestSource(now, request, engines)
	affinity := affinityFor(now, request, engines)
	bestCost := 0.0
	for _, engine := range engines {
		option, cost := evaluate(now, request, engine, level, fetchOption(engine, request.Prompt, source, cached, affinity))
		if engine.Stage == Prefill {
			option, cost = addDecode(option, cost, decode, decodeCost)
		}
		if option.Decode == nil {
			continue
		}
		cost += jitter(request)
		if engine == affinity.local {
			cost -= affinityDiscount * float64(affinity.tokens) / engine.Rate()
		}
		if best.Decode == nil || cost < bestCost {
			best, bestCost = option, cost
		}
	}
	return best, bestCost
}

func affinityFor(now time.Time, request Request, engines []*Engine) affinity {
	if request.affinity != nil && len(engines) > 0 {
		return request.affinity.usable(now).ofVersion(engines[0].Version)
	}
	return affinityOf(request, engines)
}

func jitter(request Request) float64 { return asMillis(request.Jitter) * request.random() }

// fetchOption sets the source from which an engine fetches cached parts, if that is
// worth a transfer. If no engine is known to hold the shared prefix, its affinity
// engine may.
func fetchOption(engine *Engine, prompt Prompt, source *Engine, cached int, affinity affinity) Decision {
	own := engine.cache.CachedTokens(prompt.Parts)
	if source != nil && source != engine && cached-own >= minFetchTokens {
		return Decision{Source: source, Fetched: cached}
	}
	if affinity.any != nil && affinity.any != engine && affinity.tokens-max(own, cached) >= minFetchTokens {
		return Decision{Source: affinity.any}
	}
	return Decision{}
}

// evaluate completes an option with the engine as the one that runs the prefill, and
// returns its cost in milliseconds.
func evaluate(now time.Time, request Request, engine *Engine, level int, option Decision) (Decision, float64) {
	prefill := engine.predictPrefillMS(now, request, level, option.Fetched)
	cost := prefill + engineCost(now, request, engine)
	option.Work = engine.prefillWork(request.Prompt, option.Fetched)
	compute := option.Work / engine.Rate()
	// Recomputing parts that another engine has cached takes capacity from other
	// prompts.
	cost += compute/2 + engine.spreadCost(request.LocalDataCentre, compute)
	option.Level = level
	option.Predicted = asDuration(prefill)
	option.idleTime = asDuration(baseLatencyMS + compute)
	if engine.Stage == Prefill {
		option.Prefill = engine
		return option, cost
	}
	option.Decode = engine
	wait := slotWaitMS(engine)
	option.Predicted += asDuration(wait)
	return option, cost + wait + deadlineOverrunMS(request, engine) + streamDelayCost(request, engine, compute)
}

// addDecode adds the engine that decodes after the prefill of an option.
func addDecode(option Decision, cost float64, decode *Engine, decodeCost float64) (Decision, float64) {
	if decode == nil {
		return option, cost
	}
	option.Decode = decode
	option.Predicted += handoverLatency + asDuration(slotWaitMS(decode))
	if decode.DataCentre != option.Prefill.DataCentre {
		cost += asMillis(remoteHandoverCost)
	}
	return option, cost + asMillis(handoverLatency) + decodeCost
}

func asMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func asDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
