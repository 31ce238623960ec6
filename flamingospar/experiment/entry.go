package experiment

import (
	"flamingospar.org/core/admit"
	"flamingospar.org/core/fair"
	"flamingospar.org/core/route"
)

// Times of the network and of callers, in seconds.
const (
	callerSeconds      = 0.003  // Caller to entry, one way.
	hopSeconds         = 0.0005 // Entry to agent, one way.
	pollSeconds        = 1.0    // Between two polls of an engine's load.
	firstTokenSeconds  = 0.44
	tokenGapSeconds    = 0.073
	firstTokenAtEngine = firstTokenSeconds - callerSeconds - hopSeconds
	patienceSeconds    = 10.0 // A caller leaves without a first token.
	retryWithout       = 1.0  // Seconds, when a refusal names none.
	rememberedTeams    = 4096
)

// entry is an entry process.
type entry struct {
	sim        *sim
	index      int
	dataCentre string
	view       []route.Candidate // By engine index.
	turns      []int             // Of round robin, by model.
	elsewhere  *fair.RemoteService
	predictor  *fair.Predictor
	recent     *fair.RecentService
}

func newEntry(s *sim, index int) *entry {
	e := &entry{
		sim:        s,
		index:      index,
		dataCentre: s.site.dataCentres[index],
		elsewhere:  fair.NewRemoteService(rememberedTeams),
		recent:     fair.NewRecentService(),
		turns:      make([]int, len(s.site.models)),
		predictor:  fair.NewPredictor(s.trace.OutputTokens, rememberedTeams),
	}
	for _, engine := range s.engines {
		e.view = append(e.view, route.Candidate{
			Endpoint:   engine.id,
			DataCentre: engine.dataCentre,
			Kind:       "model",
			Model:      s.site.models[engine.model],
			Ready:      true,
			Role:       route.Role(engine.role),
			Hash:       route.HashOf(engine.id),
		})
		e.learn(engine, engine.load())
	}
	return e
}

// dispatch sends a request to an engine, or refuses it.
func (e *entry) dispatch(r *request) {
	if r.over {
		return
	}
	choice, index := e.choose(r)
	if index < 0 {
		e.refuse(r, retryWithout)
		return
	}
	if e.tooLate(r, choice) {
		e.refuse(r, choice.Wait)
		return
	}
	target := e.sim.engines[index]
	r.sends++
	r.engine = target
	r.predicted = max(1, e.predictor.Predict(target.team[r.team], 0)-float64(r.emitted))
	prompt := e.promptTokens(r, choice.PrefixCached)
	e.view[index].Outstanding++
	e.view[index].Backlog = e.view[index].Backlog.Add(e.sim.now, prompt)
	r.sentAt, r.expected = e.sim.now, choice.Wait
	since := 0.0
	if e.sim.policy.elsewhere {
		since = e.elsewhere.Unreported(target.id, target.team[r.team])
	}
	e.sim.after(hopSeconds, func() {
		if r.over {
			e.view[index].Outstanding--
			return
		}
		if since > 0 {
			target.gate.Charge(target.team[r.team], since)
		}
		target.accept(r)
	})
}

func (e *entry) promptTokens(r *request, home bool) float64 {
	if r.handed || r.batch {
		return 0
	}
	prompt := float64(r.prompt + r.emitted)
	if home {
		prompt -= float64(r.prefixTokens)
	}
	return prompt
}

func (e *entry) tooLate(r *request, choice route.Choice) bool {
	if !e.sim.policy.early || r.batch || r.emitted > 0 {
		return false
	}
	if e.sim.policy.sharedEarly && !e.recent.OverShare(e.sim.now, e.sim.site.teams[r.team].Name) {
		return false
	}
	return e.sim.now+choice.Wait > r.arrival+firstTokenAtEngine
}

// choose returns the decision and the engine's index, or -1.
func (e *entry) choose(r *request) (route.Choice, int) {
	if e.sim.policy.routing != expectedWait {
		return route.Choice{}, e.choosePlainly(r)
	}
	request := route.Request{
		Kind:         "model",
		Model:        e.sim.site.models[r.model],
		DataCentre:   e.dataCentre,
		Avoid:        r.tried,
		Now:          e.sim.now,
		PromptTokens: float64(r.prompt + r.emitted),
		PrefillDone:  r.handed,
		Seed:         e.sim.random.Uint64(),
	}
	if e.sim.policy.affinity {
		request.Prefix, request.PrefixTokens = r.prefix, float64(r.prefixTokens)
	}
	choice := route.Choose(request, e.view)
	if choice.Endpoint == "" {
		return choice, -1
	}
	if e.sim.policy.early && choice.PrefillOnly && !route.HasOutputSlot(request, route.Candidates(e.view)) {
		return choice, -1
	}
	return choice, e.sim.indexOf[choice.Endpoint]
}

// choosePlainly is the choice of the baselines. Ties go to the next in turn.
func (e *entry) choosePlainly(r *request) int {
	var fitting []int
	for index, c := range e.view {
		if e.fits(r, c) {
			fitting = append(fitting, index)
		}
	}
	if len(fitting) == 0 {
		return -1
	}
	e.turns[r.model]++
	best := -1
	for i := range fitting {
		index := fitting[(i+e.turns[r.model])%len(fitting)]
		if best < 0 || (e.sim.policy.routing == leastOutstanding && e.view[index].Outstanding < e.view[best].Outstanding) {
			best = index
		}
	}
	return best
}

func (e *entry) fits(r *request, c route.Candidate) bool {
	if !c.Ready || c.Model != e.sim.site.models[r.model] || r.tried[c.Endpoint] {
		return false
	}
	if r.handed {
		return c.Role != route.Prefill
	}
	return c.Role != route.Output
}

// refused takes an engine's refusal: it tries another engine or tells the caller.
func (e *entry) refused(from *engine, r *request, decision admit.Decision, load admit.Load) {
	e.view[from.index].Outstanding--
	e.learn(from, load)
	if r.over {
		return
	}
	if r.tried == nil {
		r.tried = make(map[string]bool)
	}
	r.tried[from.id] = true
	outOfService := decision.Reason == admit.NoEndpointInTime
	inTime := e.sim.now < r.arrival+firstTokenAtEngine || r.batch || r.emitted > 0
	if outOfService {
		e.view[from.index].Ready = false
	}
	if outOfService || (inTime && r.attempts+1 < e.sim.policy.attempts) {
		r.attempts++
		e.sim.result.retries++
		e.dispatch(r)
		return
	}
	e.refuse(r, decision.RetryAfter.Seconds())
}

// refuse gives the caller its final answer. Callers of the batch class come
// back after Retry-After while their deadline allows it.
func (e *entry) refuse(r *request, retryAfter float64) {
	r.tried, r.attempts = nil, 0
	if r.emitted > 0 || (r.batch && e.sim.now+retryAfter < r.arrival+r.deadline) {
		e.sim.result.retries++
		e.sim.after(max(retryAfter, 0.1)+2*callerSeconds, func() { e.dispatch(r) })
		return
	}
	e.sim.result.refused++
	r.over = true
}

func (e *entry) firstToken(from *engine, _ *request, load admit.Load) { e.learn(from, load) }

func (e *entry) finished(from *engine, r *request, load admit.Load) {
	e.view[from.index].Outstanding--
	e.learn(from, load)
	team := from.team[r.team]
	e.predictor.Learn(team, r.output)
	e.elsewhere.Record(from.id, team, r.work(false))
	e.recent.Record(e.sim.now, team, e.sim.site.teams[r.team].Weight, r.work(false))
}

func (e *entry) handedOver(from *engine, r *request, load admit.Load) {
	e.view[from.index].Outstanding--
	e.learn(from, load)
	r.handed = true
	r.tried = nil
	e.dispatch(r)
}

// crashed sends a run again whose engine has crashed; model runs may be repeated.
func (e *entry) crashed(from *engine, r *request) {
	e.view[from.index].Outstanding--
	e.view[from.index].Ready = false
	r.handed = false
	e.sim.result.retries++
	e.dispatch(r)
}

// learn takes an engine's load.
func (e *entry) learn(from *engine, load admit.Load) {
	if from.reports == faultMissing {
		return
	}
	c := &e.view[from.index]
	c.Running = load.Running
	c.Queued = load.Waiting
	c.MaxRunning = load.MaxRunning
	c.Ready = from.inService() && !from.leaving
	c.Role = route.Role(from.role)
	c.Backlog = c.Backlog.Update(e.sim.now, load.Backlog, load.PromptRate)
}

// poll asks all engines for their load, again and again.
func (e *entry) poll() {
	for _, engine := range e.sim.engines {
		e.learn(engine, engine.load())
	}
	e.sim.after(pollSeconds, e.poll)
}
