package crashes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/blame"
	"flamingospar.org/platform/site"
)

// Bounds of requests with a part that crashes engines: from noticeTime after the crash
// with number knownCrashes, or the last one, maxLateSends of them may reach engines.
// From twice that time on, sound requests must be served as before.
const (
	noticeTime   = 3 * time.Second
	knownCrashes = 5
	maxLateSends = 3
)

// Times of the simulation.
const (
	simStep     = 20 * time.Millisecond
	simAnswer   = 60 * time.Millisecond // From a request's arrival at an engine until its answer begins.
	simStream   = 600 * time.Millisecond
	simDowntime = 3 * time.Second
	// simExchange is the time between two exchanges of a process with its partners.
	simExchange = 500 * time.Millisecond
	simPartners = 6
)

// simulation runs the trackers of many processes before engines that some parts crash.
type simulation struct {
	t         *testing.T
	ctx       context.Context
	random    *rand.Rand
	processes []*simProcess
	engines   []*simEngine
	deadly    map[string]bool
	strike    time.Duration          // From the first event of a deadly answer to the crash.
	stream    time.Duration          // From a request's arrival to the end of its answer.
	arrivals  map[string][]time.Time // Of requests with a deadly part, by part.
	crashes   map[string][]time.Time // By the part that caused them.
	refusals  []simRefusal           // Of sound requests.
	sound     []time.Time            // When sound requests arrived.
	returns   []simReturn            // Sound requests that come again, by time.
	retries   bool                   // Requests whose engine crashes go on at another one, once.
	mu        sync.Mutex             // Guards changes of engines from the checks of trackers.
	requests  int
}

type simRefusal struct {
	at    time.Time
	parts string
}

type simReturn struct {
	at      time.Time
	request Request
}

type simProcess struct {
	index     int
	tracker   *Tracker
	cancel    context.CancelFunc
	runs      []*simRun
	frozen    bool
	cutOff    bool
	restarted time.Time // Zero if it never was.
	exchanged time.Time
}

type simEngine struct {
	site.Endpoint
	downUntil time.Time
	zone      int
}

type simRun struct {
	request    Request
	engine     *simEngine
	started    int64 // Of the engine.
	sent       time.Time
	firstEvent time.Time
	proven     bool
	trial      bool
	retried    bool
	deadly     string
}

func newSimulation(t *testing.T, processes, engines int) *simulation {
	s := &simulation{
		t: t, stream: simStream, ctx: t.Context(), random: rand.New(rand.NewPCG(1, uint64(processes))), deadly: make(map[string]bool),
		arrivals: make(map[string][]time.Time), crashes: make(map[string][]time.Time),
	}
	for i := range engines {
		s.engines = append(s.engines, &simEngine{Endpoint: site.Endpoint{ID: fmt.Sprint("e-", i), Address: fmt.Sprint("e-", i), StartedMS: 1}, zone: i % 4})
	}
	for i := range processes {
		p := &simProcess{index: i}
		s.processes = append(s.processes, p)
		s.start(p)
	}
	return s
}

// start starts a process that knows nothing.
func (s *simulation) start(p *simProcess) {
	ctx, cancel := context.WithCancel(s.ctx)
	p.cancel = cancel
	p.runs = nil
	p.tracker = New(simFleet{s, p})
	p.tracker.refuses = func(_ context.Context, address string) bool { return s.refuses(address) && !p.cutOff }
	go p.tracker.Run(ctx)
}

func (s *simulation) restart(p *simProcess) {
	p.cancel()
	p.restarted = time.Now()
	s.start(p)
}

func (s *simulation) refuses(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		if e.Address == address {
			return time.Now().Before(e.downUntil)
		}
	}
	return false
}

// simFleet is what a process knows of the others and of engines.
type simFleet struct {
	sim  *simulation
	self *simProcess
}

func (f simFleet) Endpoint(id string) (site.Endpoint, bool) {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	for _, e := range f.sim.engines {
		if e.ID == id {
			return e.Endpoint, true
		}
	}
	return site.Endpoint{}, false
}

func (f simFleet) Position(string) int { return f.self.index }

// send sends a request through a process to an engine that is up.
func (s *simulation) send(p *simProcess, team, parts string) {
	if p.frozen {
		return
	}
	s.requests++
	request := Request{Team: team, Path: "/p", Body: fmt.Append(nil, s.requests), Parts: strings.Fields(parts)}
	deadly := ""
	for _, part := range request.Parts {
		if s.deadly[part] {
			deadly = part
		}
	}
	s.admit(p, request, deadly)
}

// admit has a process decide about a request, and run it unless it refuses. deadly names what
// crashes engines in it, if anything does.
func (s *simulation) admit(p *simProcess, request Request, deadly string) {
	if deadly == "" {
		s.sound = append(s.sound, time.Now())
	}
	decision := p.tracker.Decide(request)
	if decision.Refused {
		if deadly == "" {
			s.refusals = append(s.refusals, simRefusal{time.Now(), strings.Join(request.Parts, " ")})
		}
		return
	}
	s.run(p, &simRun{request: request, deadly: deadly, trial: decision.Trial})
}

// run sends a request to an engine that is up, if there is one.
func (s *simulation) run(p *simProcess, run *simRun) {
	up := slices.DeleteFunc(slices.Clone(s.engines), func(e *simEngine) bool { return time.Now().Before(e.downUntil) })
	if len(up) == 0 {
		return
	}
	run.engine = up[s.random.IntN(len(up))]
	run.started, run.sent = run.engine.StartedMS, time.Now()
	// A process counts again from noticeTime after its start on.
	if run.deadly != "" && (p.restarted.IsZero() || time.Since(p.restarted) > noticeTime) {
		s.arrivals[run.deadly] = append(s.arrivals[run.deadly], run.sent)
	}
	p.runs = append(p.runs, run)
}

// retry sends a request whose engine has crashed to another one, as a relay does. The caller of a
// sound one that breaks off there too comes again once engines are back.
func (s *simulation) retry(p *simProcess, broken *simRun) {
	if !s.retries {
		return
	}
	if broken.retried || broken.trial || p.tracker.Decide(broken.request).Refused {
		if broken.deadly == "" {
			s.returns = append(s.returns, simReturn{time.Now().Add(simDowntime + time.Second), broken.request})
		}
		return
	}
	s.run(p, &simRun{request: broken.request, deadly: broken.deadly, retried: true})
}

// sendReturns sends the requests whose callers come again now.
func (s *simulation) sendReturns() {
	for len(s.returns) > 0 && !time.Now().Before(s.returns[0].at) {
		s.admit(s.pick(load{}), s.returns[0].request, "")
		s.returns = s.returns[1:]
	}
}

// step advances all runs and exchanges.
func (s *simulation) step() {
	time.Sleep(simStep)
	synctest.Wait()
	now := time.Now()
	s.startAgain(now)
	for _, p := range s.processes {
		if p.frozen {
			continue
		}
		runs := p.runs
		p.runs = nil // Those that begin meanwhile.
		runs = slices.DeleteFunc(runs, func(run *simRun) bool { return s.advance(p, run, now) })
		p.runs = append(runs, p.runs...)
		if now.Sub(p.exchanged) >= simExchange {
			p.exchanged = now
			s.exchange(p)
		}
	}
}

// startAgain starts the engines whose downtime is over.
func (s *simulation) startAgain(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		if !e.downUntil.IsZero() && !now.Before(e.downUntil) {
			e.downUntil = time.Time{}
			e.StartedMS++
		}
	}
}

// advance advances one run and reports whether it has ended.
func (s *simulation) advance(p *simProcess, run *simRun, now time.Time) bool {
	if run.engine.StartedMS != run.started || !run.engine.downUntil.IsZero() {
		endpoint := run.engine.Endpoint
		endpoint.StartedMS = run.started
		p.tracker.RecordBrokenRun(BrokenRun{Request: run.request, Endpoint: endpoint, Sent: run.sent, FirstEvent: run.firstEvent, Proven: run.proven})
		s.retry(p, run)
		return true
	}
	if run.firstEvent.IsZero() && now.Sub(run.sent) >= simAnswer {
		run.firstEvent = now
		p.tracker.RecordBegun(run.request)
	}
	if run.deadly != "" && s.deadly[run.deadly] && now.Sub(run.sent) >= simAnswer+s.strike {
		s.crashes[run.deadly] = append(s.crashes[run.deadly], now)
		s.crash(run.engine)
		return s.advance(p, run, now)
	}
	ended := now.Sub(run.sent) >= s.stream
	if !run.proven && !run.firstEvent.IsZero() && (ended || now.Sub(run.firstEvent) >= blame.ProvenAfter) {
		run.proven = true
		p.tracker.RecordAnswer(run.request)
	}
	return ended
}

func (s *simulation) crash(e *simEngine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.downUntil = time.Now().Add(simDowntime)
}

// exchange lets a process exchange marks with others, like with its successors on a ring.
func (s *simulation) exchange(p *simProcess) {
	n := len(s.processes)
	for i := range min(simPartners, n/2) {
		other := s.processes[(p.index+1<<i)%n]
		if p.cutOff || other.cutOff || other.frozen || other == p {
			continue
		}
		other.tracker.Merge(p.tracker.MarksForPeer(fmt.Sprint(other.index)))
		p.tracker.Merge(other.tracker.MarksForPeer(fmt.Sprint(p.index)))
	}
}

// load is a stream of requests of one team.
type load struct {
	team      string
	parts     func(i int) string
	perSecond float64
	processes []int // That the requests come to; all if nil.
}

// play plays loads for a time.
func (s *simulation) play(duration time.Duration, loads ...load) {
	end := time.Now().Add(duration)
	begin := time.Now()
	sent := make([]int, len(loads))
	for time.Now().Before(end) {
		for i, l := range loads {
			for float64(sent[i]) < l.perSecond*time.Since(begin).Seconds() {
				s.send(s.pick(l), l.team, l.parts(s.requests))
				sent[i]++
			}
		}
		s.step()
	}
}

func (s *simulation) pick(l load) *simProcess {
	if l.processes == nil {
		return s.processes[s.random.IntN(len(s.processes))]
	}
	return s.processes[l.processes[s.random.IntN(len(l.processes))]]
}

// requireBounded requires that few requests with each deadly part reached engines once
// the part was known.
func (s *simulation) requireBounded() {
	s.t.Helper()
	for part, crashes := range s.crashes {
		known := crashes[min(len(crashes), knownCrashes)-1].Add(noticeTime)
		late := slices.DeleteFunc(slices.Clone(s.arrivals[part]), func(at time.Time) bool { return !at.After(known) })
		s.t.Logf("%s: %d crashes, %d of %d requests late", part, len(crashes), len(late), len(s.arrivals[part]))
		require.LessOrEqual(s.t, len(late), maxLateSends, "%s reached engines after it was known to crash them", part)
	}
}

// requireNobodyElseRefused requires that no sound request was refused since a moment.
func (s *simulation) requireNobodyElseRefused(since time.Time) {
	s.t.Helper()
	for _, r := range s.refusals {
		require.False(s.t, r.at.After(since), "a sound request with the parts %q was refused after %s", r.parts, r.at.Sub(since))
	}
}

// soundLoad is sent by the team whose requests crash engines. It has the first part and
// another one in common with them.
func soundLoad(perSecond float64) load {
	return load{team: "a", perSecond: perSecond, parts: func(i int) string {
		return fmt.Sprintf("first %s", []string{"beside", "doc" + fmt.Sprint(i%50)}[i%2])
	}}
}

func deadlyLoad(part string, perSecond float64) load {
	return load{team: "a", perSecond: perSecond, parts: func(int) string { return "first beside " + part }}
}

// Requests that have one part in common crash engines at fleets of any size, and it takes
// them too long to learn of it from each other; or sound requests are refused with them.
func TestFleetRefusesAPartThatCrashesEngines(t *testing.T) {
	for _, processes := range []int{1, 2, 4, 30, 68, 391} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) { refusesPart(t, processes, 0) })
	}
}

// Engines that crash some time after the first event of an answer were never found to: the
// event cleared the part.
func TestFleetRefusesAPartThatCrashesEnginesAfterTheFirstEvent(t *testing.T) {
	for _, strike := range []time.Duration{simStep, 120 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(strike.String(), func(t *testing.T) { refusesPart(t, 4, strike) })
	}
}

// refusesPart has a part crash engines a time after the first event of each answer.
func refusesPart(t *testing.T, processes int, strike time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, processes, 40)
		s.deadly["dead"], s.strike = true, strike
		s.play(time.Second, soundLoad(100))
		begin := time.Now()
		s.play(20*time.Second, soundLoad(100), deadlyLoad("dead", 2))
		s.requireBounded()
		s.requireNobodyElseRefused(begin.Add(2 * noticeTime))
	})
}

// Several parts crash engines at the same time, each on its own and together with
// others, among crashes that have other causes.
func TestFleetTellsSeveralPartsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 30, 60)
		for _, part := range []string{"dead1", "dead2", "dead3"} {
			s.deadly[part] = true
		}
		begin := time.Now()
		both := load{team: "a", perSecond: 0.5, parts: func(int) string { return "first dead1 dead2" }}
		for i := range 10 {
			s.crash(s.engines[i])
			s.play(3*time.Second, soundLoad(60), deadlyLoad("dead1", 1.5), deadlyLoad("dead2", 1), deadlyLoad("dead3", 2), both)
		}
		s.requireBounded()
		s.requireNobodyElseRefused(begin.Add(10 * time.Second))
	})
}

// Copies are sent in the same moment: more of them crash engines than are needed to
// recognise them, before any process has heard of the first.
func TestFleetRefusesCopiesAfterABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 30, 60)
		s.deadly["dead"] = true
		s.play(time.Second, soundLoad(60))
		for range 4 {
			for i := range 12 {
				s.send(s.processes[i], "a", "first beside dead")
			}
			s.play(noticeTime+simStep, soundLoad(60))
		}
		require.NotEmpty(t, s.crashes["dead"])
		s.requireBounded()
	})
}

// Processes restart, freeze or are cut off while requests crash engines. Those that come
// back learn what the others know.
func TestFleetRefusesAPartThroughRestartsAndCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 12, 40)
		s.deadly["dead"] = true
		loads := []load{soundLoad(60), deadlyLoad("dead", 2)}
		begin := time.Now()
		s.processes[0].frozen = true
		s.play(2*time.Second, loads...)
		s.processes[1].frozen = true
		s.play(4*time.Second, loads...)
		s.processes[0].frozen, s.processes[1].frozen = false, false
		s.play(noticeTime, loads...)
		for i := range 12 {
			s.restart(s.processes[i])
			s.play(time.Second, loads...)
		}
		s.requireBounded()
		s.requireNobodyElseRefused(begin.Add(2 * noticeTime))

		// A process that is cut off crashes engines alone, but counts for itself.
		s.processes[2].cutOff = true
		s.play(6*time.Second, loads...)
		s.processes[2].cutOff = false
		s.play(2*time.Second, loads...)
		s.requireBounded()
	})
}

// All engines of a zone crash at once, or one after the other as they are replaced, while
// requests with parts that have never been answered wait there. Nobody is refused for it
// once engines answer again.
func TestFleetBlamesNobodyForOtherCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 12, 24)
		rare := load{team: "a", perSecond: 20, parts: func(i int) string { return fmt.Sprintf("first rare%d", i/40) }}
		s.play(2*time.Second, soundLoad(60), rare)
		for zone := range 4 {
			for _, e := range s.engines {
				if e.zone == zone {
					s.crash(e)
				}
			}
			s.play(6*time.Second, soundLoad(60), rare)
		}
		for _, e := range s.engines {
			s.crash(e)
			s.play(500*time.Millisecond, soundLoad(60), rare)
		}
		s.requireNobodyElseRefused(time.Time{})
	})
}

// Engines that were mended later still had the part refused. And while they are not, all
// processes tried it as soon as a refusal ended.
func TestFleetServesAPartAgainOnceEnginesAreMended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 30, 40)
		s.deadly["dead"] = true
		loads := []load{soundLoad(10), deadlyLoad("dead", 2)}
		s.play(20*time.Second, loads...)
		sent := len(s.arrivals["dead"])
		s.play(5*time.Minute, soundLoad(10), deadlyLoad("dead", 60)) // All processes have some when the refusal ends.
		require.LessOrEqual(t, len(s.arrivals["dead"])-sent, 2, "trials of the first five minutes")
		s.deadly["dead"] = false
		s.play(15*time.Minute, loads...)
		answered := len(s.crashes["dead"])
		s.deadly["dead"] = true // Only counts who is refused.
		for _, p := range s.processes {
			require.False(t, p.tracker.Decide(Request{Team: "a", Path: "/p", Parts: []string{"first", "beside", "dead"}}).Refused)
		}
		require.Len(t, s.crashes["dead"], answered)
	})
}

// A team's requests crash engines with a part that other teams use too. Theirs are served.
func TestFleetKeepsOneTeamFromShuttingOutOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 12, 40)
		for i := range 10_000 {
			s.deadly[fmt.Sprint("dead", i)] = true
		}
		attack := load{team: "a", perSecond: 3, parts: func(i int) string { return fmt.Sprint("victim dead", i) }}
		begin := time.Now()
		s.play(20*time.Second, attack)
		require.True(t, s.processes[0].tracker.Decide(Request{Team: "a", Path: "/p", Parts: []string{"victim"}}).Refused, "to the team itself")
		victims := load{team: "b", perSecond: 5, parts: func(int) string { return "victim" }}
		s.play(5*time.Second, attack, victims)
		s.requireNobodyElseRefused(begin)
	})
}
