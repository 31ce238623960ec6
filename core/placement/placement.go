// Package placement decides which model engines serve a prompt, and whether one
// can in time. It answers a mix that shifts between long prompts and long
// answers: reading prompts is what is short, engines that only read do it faster,
// and a part that an engine still holds need not be read at all.
//
// The decisions are pure: they see what this process believes of the engines
// and the present time, and change nothing outside.
package placement

import "time"

// Prompt is what a decision needs to know of a request.
type Prompt struct {
	Tokens int // Of the whole prompt.
	Parts  []Part
}

// Request is a prompt to place.
type Request struct {
	Prompt    Prompt
	Level     int           // Priority, 0 first.
	Budget    time.Duration // Until the first token is late.
	Patience  time.Duration // Until the caller leaves.
	Events    float64       // Expected of the answer; 0 when unknown.
	Deadline  time.Duration // Until the whole answer must be there.
	Home      string        // Data centre of this process.
	Gap       time.Duration // Longest pause between events that the route allows; 0 for any.
	Far       time.Duration // What using another data centre may cost in time.
	Exclude   map[string]bool
	MustServe bool // Take the best engine even when it comes late.
	// Spread is up to how much engines' times may seem to differ, so that
	// processes which know little of each other don't all choose the same one.
	// Random returns numbers in [0, 1); nil spreads nothing.
	Spread time.Duration
	Random func() float64

	homes *homes // Of the prompt among all engines, when not all are looked at.
}

func (r Request) random() float64 {
	if r.Random == nil {
		return 0
	}
	return r.Random()
}

// Verdict says what becomes of a request.
type Verdict int

// The verdicts.
const (
	InTime  Verdict = iota // Send it; the first token comes in time.
	Late                   // Send it behind all that can be in time.
	Refused                // It can't be served while its caller waits.
	Nobody                 // There is no engine to send it to.
)

// Decision tells where a request goes and why.
type Decision struct {
	Verdict   Verdict
	Prefill   *Engine // Reads the prompt first; nil when Decode does.
	Decode    *Engine
	Source    *Engine // Holds parts of the prompt that the reading engine fetches; nil for none.
	Fetched   int     // Tokens of the prompt that Source holds.
	Level     int
	Predicted time.Duration // Until the first token.
	RetryIn   time.Duration // When to come back, if refused.
}

// Shape of the decisions.
const (
	// LateLevel is the priority of prompts that can't be in time.
	LateLevel = 8
	// confidence is the part of the budget that a prediction may use up.
	confidence = 0.8
	// patience is the part of a caller's waiting time that a late answer may use up.
	patience = 0.7
	// handover is the time to move a read prompt to another engine and begin there.
	handover = 20 * time.Millisecond
	// minFetch is the least number of tokens that are worth a transfer.
	minFetch = 150
	// farMove is what moving a read prompt to another data centre may cost in time.
	farMove = 30 * time.Millisecond
	// failureCost is what a certain failure of an engine would cost in time.
	failureCost = 3 * time.Second
	// minRetry and maxRetry bound when a refused caller is told to come back.
	minRetry = 300 * time.Millisecond
	maxRetry = 3 * time.Second
	// fullShare is the part of an engine's slots after which streams wait.
	fullShare = 0.95
	// slotTurn is about how often a slot of an engine falls free.
	slotTurn = 40 * time.Millisecond
)

// Decide places a request on one of the engines.
func Decide(now time.Time, request Request, engines []*Engine) Decision {
	best := choose(now, request, engines, request.Level)
	if best.Decode == nil {
		return Decision{Verdict: Nobody, RetryIn: minRetry}
	}
	if float64(best.Predicted) <= confidence*float64(request.Budget) || request.MustServe {
		best.Verdict = InTime
		return best
	}
	late := choose(now, request, engines, LateLevel)
	if float64(late.Predicted) <= patience*float64(request.Patience) {
		late.Verdict = Late
		return late
	}
	late.Verdict = Refused
	late.RetryIn = min(max(late.Predicted-request.Budget, minRetry), maxRetry)
	return late
}

// choose returns the engines with the least expected time for a level.
func choose(now time.Time, request Request, engines []*Engine, level int) Decision {
	best := Decision{Level: level}
	engines = candidates(now, request, engines)
	decode, decodeCost := bestDecode(now, request, engines)
	source, held := bestSource(now, request, engines)
	homes := homesFor(now, request, engines)
	bestCost := 0.0
	for _, engine := range engines {
		option, cost := optionOf(now, request, engine, level, fetchFor(engine, request.Prompt, source, held, homes))
		if engine.Stage == Prefill {
			option, cost = handOver(option, cost, decode, decodeCost)
		}
		if option.Decode == nil {
			continue
		}
		cost += spread(request)
		if engine == homes.near {
			cost -= homeShare * float64(homes.tokens) / engine.Rate()
		}
		if best.Decode == nil || cost < bestCost {
			best, bestCost = option, cost
		}
	}
	return best
}

func homesFor(now time.Time, request Request, engines []*Engine) homes {
	if request.homes != nil {
		return request.homes.usable(now)
	}
	return homesOf(request, engines)
}

func spread(request Request) float64 { return asMillis(request.Spread) * request.random() }

// fetchFor returns the option of an engine to fetch what another holds, if that
// is worth a transfer. Where none is known to hold the shared parts, their home
// may.
func fetchFor(engine *Engine, prompt Prompt, source *Engine, held int, homes homes) Decision {
	own := engine.cache.Held(prompt.Parts)
	if source != nil && source != engine && held-own >= minFetch {
		return Decision{Source: source, Fetched: held}
	}
	if homes.any != nil && homes.any != engine && homes.tokens-max(own, held) >= minFetch {
		return Decision{Source: homes.any}
	}
	return Decision{}
}

// optionOf returns what it would be to have a prompt read by an engine.
func optionOf(now time.Time, request Request, engine *Engine, level int, option Decision) (Decision, float64) {
	reading := engine.predict(now, request.Prompt, level, option.Fetched)
	cost := reading + placeCost(now, request, engine)
	// Reading what another engine holds takes capacity from other prompts too.
	reread := engine.work(request.Prompt, option.Fetched) / engine.Rate()
	cost += reread / 2
	option.Level = level
	option.Predicted = asDuration(reading)
	if engine.Stage == Prefill {
		option.Prefill = engine
		return option, cost
	}
	option.Decode = engine
	wait := slotWait(engine)
	option.Predicted += asDuration(wait)
	return option, cost + wait + overrun(request, engine) + delayOfStreams(request, engine, reread)
}

// handOver adds the engine that goes on with a prompt read by another.
func handOver(option Decision, cost float64, decode *Engine, decodeCost float64) (Decision, float64) {
	if decode == nil {
		return option, cost
	}
	option.Decode = decode
	option.Predicted += handover + asDuration(slotWait(decode))
	if decode.DataCentre != option.Prefill.DataCentre {
		cost += asMillis(farMove)
	}
	return option, cost + asMillis(handover) + decodeCost
}

// bestSource returns the engine that holds most of a prompt, and how many tokens.
func bestSource(now time.Time, request Request, engines []*Engine) (*Engine, int) {
	var best *Engine
	most := 0
	for _, engine := range engines {
		if engine.Health.Resting(now) {
			continue
		}
		held := engine.cache.Held(request.Prompt.Parts)
		if held > most || (held == most && best != nil && engine.DataCentre == request.Home && best.DataCentre != request.Home) {
			best, most = engine, held
		}
	}
	return best, most
}

// Continue chooses the engine that goes on with a prompt which was read at
// another. It is asked when the prompt has been read: what was known when the
// request came may no longer hold. It returns nil when there is none.
func Continue(now time.Time, request Request, engines []*Engine) *Engine {
	best, _ := bestDecode(now, request, candidates(now, request, engines))
	return best
}

// bestDecode returns the engine that goes on with a prompt read elsewhere.
func bestDecode(now time.Time, request Request, engines []*Engine) (*Engine, float64) {
	var best *Engine
	bestCost := 0.0
	for _, engine := range engines {
		if engine.Stage != Decode {
			continue
		}
		cost := placeCost(now, request, engine) + slotWait(engine) + overrun(request, engine) + float64(engine.Running()) + float64(engine.Waiting()) + engine.overdue(now) + spread(request)/4
		if best == nil || cost < bestCost {
			best, bestCost = engine, cost
		}
	}
	return best, bestCost
}

// candidates returns the engines that may be used: those that are not left
// alone for now, or all that stay if there are no such engines that produce
// tokens.
func candidates(now time.Time, request Request, engines []*Engine) []*Engine {
	staying := make([]*Engine, 0, len(engines))
	rested := make([]*Engine, 0, len(engines))
	produces := false
	for _, engine := range engines {
		if engine.Draining || request.Exclude[engine.ID] {
			continue
		}
		staying = append(staying, engine)
		if engine.Health.Resting(now) || now.Before(engine.RestUntil) {
			continue
		}
		rested = append(rested, engine)
		produces = produces || engine.Stage == Decode
	}
	if produces {
		return rested
	}
	return staying
}

// slotWait returns the milliseconds that a stream waits for a slot of an engine.
func slotWait(engine *Engine) float64 {
	used := engine.Running() + engine.Waiting()
	over := float64(used+1) - fullShare*float64(max(engine.Slots, 1))
	return max(over, 0) * asMillis(slotTurn)
}

// placeCost is what an engine's place and failures cost, in milliseconds.
func placeCost(now time.Time, request Request, engine *Engine) float64 {
	cost := engine.Health.Rate(now) * asMillis(failureCost)
	if engine.DataCentre != request.Home {
		cost += asMillis(request.Far)
	}
	return cost
}

func asMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func asDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
