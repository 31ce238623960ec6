package experiment

import (
	"flamingospar.org/core/admit"
	"flamingospar.org/core/fair"
	"flamingospar.org/core/route"
)

// Network latencies, deadlines and timeouts.
const (
	callerLatencySeconds            = 0.003  // One way, caller to entry.
	agentLatencySeconds             = 0.0005 // One way, entry to agent.
	pollIntervalSeconds             = 1.0    // Interval of polling the engines' loads.
	firstTokenDeadlineSeconds       = 0.44
	maxTokenGapSeconds              = 0.073
	engineFirstTokenDeadlineSeconds = firstTokenDeadlineSeconds - callerLatencySeconds - agentLatencySeconds
	callerTimeoutSeconds            = 10.0 // A caller disconnects if it has no first token by then.
	minRetryDelaySeconds            = 0.1
	defaultRetryAfterSeconds        = 1.0 // Used if no engine can be chosen.
	maxTrackedTeams                 = 4096
)

// entry simulates an entry process.
type entry struct {
	sim           *sim
	index         int
	dataCentre    string
	view          []route.Candidate // Last known state of the engines, by index.
	cursors       []int             // Round-robin positions by model.
	remoteService *fair.RemoteService
	predictor     *fair.Predictor
	recentService *fair.RecentService
}

func newEntry(s *sim, index int) *entry {
	e := &entry{
		sim:           s,
		index:         index,
		dataCentre:    s.fleet.dataCentres[index],
		remoteService: fair.NewRemoteService(maxTrackedTeams),
		recentService: fair.NewRecentService(),
		cursors:       make([]int, len(s.fleet.models)),
		predictor:     fair.NewPredictor(s.trace.MeanOutputTokens, maxTrackedTeams),
	}
	for _, engine := range s.engines {
		e.view = append(e.view, route.Candidate{
			Endpoint:   engine.id,
			DataCentre: engine.dataCentre,
			Kind:       "model",
			Model:      s.fleet.models[engine.model],
			Ready:      true,
			Role:       route.Role(engine.role),
			Hash:       route.HashOf(engine.id),
		})
		e.updateView(engine, engine.load())
	}
	return e
}

// dispatch sends a request to an engine or refuses it.
func (e *entry) dispatch(r *request) {
	if r.ended {
		return
	}
	choice, index := e.choose(r)
	if index < 0 {
		e.refuse(r, defaultRetryAfterSeconds)
		return
	}
	if e.wouldBeLate(r, choice) {
		e.refuse(r, choice.Wait)
		return
	}
	target := e.sim.engines[index]
	r.runCount++
	r.engine = target
	r.predictedOutputTokens = max(1, e.predictor.Predict(target.teamNames[r.team], 0)-float64(r.emittedTokens))
	prompt := e.promptTokens(r, choice.PrefixCached)
	e.view[index].Outstanding++
	e.view[index].Backlog = e.view[index].Backlog.Add(e.sim.now, prompt)
	r.sentAt, r.expectedWaitSeconds = e.sim.now, choice.Wait
	unreported := 0.0
	if e.sim.policy.remoteService {
		unreported = e.remoteService.Unreported(target.id, target.teamNames[r.team])
	}
	e.sim.after(agentLatencySeconds, func() {
		if r.ended {
			e.view[index].Outstanding--
			return
		}
		if unreported > 0 {
			target.gate.Charge(target.teamNames[r.team], unreported)
		}
		target.accept(r)
	})
}

// promptTokens returns the prompt tokens that a request adds to the backlog of the
// chosen engine. A batch request counts as none.
func (e *entry) promptTokens(r *request, prefixCached bool) float64 {
	if r.kvExported || r.batch {
		return 0
	}
	prompt := float64(r.promptTokens + r.emittedTokens)
	if prefixCached {
		prompt -= float64(r.prefixTokens)
	}
	return prompt
}

// wouldBeLate reports whether the policy refuses the request early because its
// first token would miss its deadline.
func (e *entry) wouldBeLate(r *request, choice route.Choice) bool {
	if !e.sim.policy.earlyRefusal || r.batch || r.emittedTokens > 0 {
		return false
	}
	if e.sim.policy.earlyOverShareOnly && !e.recentService.OverShare(e.sim.now, e.sim.fleet.teams[r.team].Name) {
		return false
	}
	return e.sim.now+choice.Wait > r.arrival+engineFirstTokenDeadlineSeconds
}

// choose returns the routing decision and the engine's index, or -1 if there is no
// engine.
func (e *entry) choose(r *request) (route.Choice, int) {
	if e.sim.policy.routing != expectedWait {
		return route.Choice{}, e.chooseBaseline(r)
	}
	request := route.Request{
		Kind:         "model",
		Model:        e.sim.fleet.models[r.model],
		DataCentre:   e.dataCentre,
		Avoid:        r.tried,
		Now:          e.sim.now,
		PromptTokens: float64(r.promptTokens + r.emittedTokens),
		PrefillDone:  r.kvExported,
		Seed:         e.sim.random.Uint64(),
	}
	if e.sim.policy.prefixAffinity {
		request.Prefix, request.PrefixTokens = r.prefix, float64(r.prefixTokens)
	}
	choice := route.Choose(request, e.view)
	if choice.Endpoint == "" {
		return choice, -1
	}
	if e.sim.policy.earlyRefusal && choice.PrefillOnly && !route.HasOutputSlot(request, route.Candidates(e.view)) {
		return choice, -1
	}
	return choice, e.sim.indexOf[choice.Endpoint]
}

// chooseBaseline chooses by round robin or by fewest outstanding requests, with
// ties broken by round robin.
func (e *entry) chooseBaseline(r *request) int {
	var eligible []int
	for index, c := range e.view {
		if e.isEligible(r, c) {
			eligible = append(eligible, index)
		}
	}
	if len(eligible) == 0 {
		return -1
	}
	e.cursors[r.model]++
	best := -1
	for i := range eligible {
		index := eligible[(i+e.cursors[r.model])%len(eligible)]
		if best < 0 || (e.sim.policy.routing == leastOutstanding && e.view[index].Outstanding < e.view[best].Outstanding) {
			best = index
		}
	}
	return best
}

func (e *entry) isEligible(r *request, c route.Candidate) bool {
	if !c.Ready || c.Model != e.sim.fleet.models[r.model] || r.tried[c.Endpoint] {
		return false
	}
	if r.kvExported {
		return c.Role != route.Prefill
	}
	return c.Role != route.Output
}

// refused handles a refusal by an engine: it tries another engine or refuses the
// request.
func (e *entry) refused(from *engine, r *request, decision admit.Decision, load admit.Load) {
	e.view[from.index].Outstanding--
	e.updateView(from, load)
	if r.ended {
		return
	}
	if r.tried == nil {
		r.tried = make(map[string]bool)
	}
	r.tried[from.id] = true
	outOfService := decision.Reason == admit.NoEndpointInTime
	mayRetry := e.sim.now < r.arrival+engineFirstTokenDeadlineSeconds || r.batch || r.emittedTokens > 0
	if outOfService {
		e.view[from.index].Ready = false
	}
	if outOfService || (mayRetry && r.attempts+1 < e.sim.policy.maxAttempts) {
		r.attempts++
		e.sim.result.retries++
		e.dispatch(r)
		return
	}
	e.refuse(r, decision.RetryAfter.Seconds())
}

// refuse ends a request, unless it is to be dispatched again after Retry-After:
// batch requests are while their deadline allows it, and interrupted responses
// always are.
func (e *entry) refuse(r *request, retryAfter float64) {
	r.tried, r.attempts = nil, 0
	if r.emittedTokens > 0 || (r.batch && e.sim.now+retryAfter < r.arrival+r.deadline) {
		e.sim.result.retries++
		e.sim.after(max(retryAfter, minRetryDelaySeconds)+2*callerLatencySeconds, func() { e.dispatch(r) })
		return
	}
	e.sim.result.refused++
	r.ended = true
}

func (e *entry) firstToken(from *engine, _ *request, load admit.Load) { e.updateView(from, load) }

func (e *entry) finished(from *engine, r *request, load admit.Load) {
	e.view[from.index].Outstanding--
	e.updateView(from, load)
	team := from.teamNames[r.team]
	e.predictor.Learn(team, r.outputTokens)
	e.remoteService.Record(from.id, team, r.work(false))
	e.recentService.Record(e.sim.now, team, e.sim.fleet.teams[r.team].Weight, r.work(false))
}

func (e *entry) handedOver(from *engine, r *request, load admit.Load) {
	e.view[from.index].Outstanding--
	e.updateView(from, load)
	r.kvExported = true
	r.tried = nil
	e.dispatch(r)
}

// crashed dispatches a request again after its engine crashed. This is safe since
// model runs are idempotent.
func (e *entry) crashed(from *engine, r *request) {
	e.view[from.index].Outstanding--
	e.view[from.index].Ready = false
	r.kvExported = false
	e.sim.result.retries++
	e.dispatch(r)
}

// updateView applies an engine's load report.
func (e *entry) updateView(from *engine, load admit.Load) {
	if from.reportFault == faultNoReports {
		return
	}
	c := &e.view[from.index]
	c.Running = load.Running
	c.Queued = load.Waiting
	c.MaxRunning = load.MaxRunning
	c.Ready = from.inService() && !from.draining
	c.Role = route.Role(from.role)
	c.Backlog = c.Backlog.Update(e.sim.now, load.Backlog, load.PromptRate)
}

// poll reads the loads of all engines and schedules the next poll.
func (e *entry) poll() {
	for _, engine := range e.sim.engines {
		e.updateView(engine, engine.load())
	}
	e.sim.after(pollIntervalSeconds, e.poll)
}
