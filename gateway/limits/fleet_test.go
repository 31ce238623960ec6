package limits

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/meter"
	"flamingospar.org/core/rendezvous"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Bounds of the rate limit of an endpoint: from noticeTime after it first states a limit,
// the processes together send it at most tolerance times as much and allowance requests
// more within any window.
const (
	noticeTime = 3 * time.Second
	window     = 4 * time.Second
	tolerance  = 1.5
	allowance  = 5
	// minUse is the share of a limit that must be used while callers are refused and all
	// processes run.
	minUse = 0.8
)

const (
	simStep             = 10 * time.Millisecond
	simExchangeInterval = 100 * time.Millisecond
	// simPartners is the number of processes that each process calls in an interval.
	simPartners = 2
	// simListLag is the time until processes learn of a change of the list of VMs.
	simListLag = 4 * time.Second
)

var errSimUnreachable = errors.New("unreachable")

// simulation runs many processes before endpoints that state limits, in simulated time.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	start     time.Time
	listed    []string // VMs.
	processes map[string]*simProcess
	endpoints []*simEndpoint
	demand    func(vm string) float64 // Requests a second.
}

// simEndpoint is an endpoint that states a limit, or none if it is 0.
type simEndpoint struct {
	site.Endpoint
	limit    float64
	arrivals []simArrival
}

type simArrival struct {
	at time.Time
	vm string
}

// simProcess is a process with its view of the fleet.
type simProcess struct {
	sim        *simulation
	vm         string
	limiter    *Limiter
	list       []string // VMs that it knows.
	generation uint64
	watched    map[string]time.Time // Since when.
	lastHeard  map[string]time.Time
	resumedAt  time.Time
	frozen     bool
	dead       bool
	group      int // Processes of different groups don't reach each other.
	refused    []time.Time
}

func newSimulation(t *testing.T, processes, endpoints int, limit float64) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(1, uint64(processes))), now: time.Unix(1_000_000, 0), processes: make(map[string]*simProcess)}
	s.start = s.now
	for i := range endpoints {
		s.endpoints = append(s.endpoints, &simEndpoint{Endpoint: site.Endpoint{ID: fmt.Sprintf("e-%d", i), StartedMS: 1}, limit: limit})
	}
	for i := range processes {
		s.listed = append(s.listed, fmt.Sprintf("vm-%d", i))
	}
	for _, vm := range s.listed {
		s.add(vm)
	}
	s.demand = func(string) float64 { return 3 * limit * float64(endpoints) / float64(processes) }
	return s
}

// add starts a process, which knows the list of VMs.
func (s *simulation) add(vm string) *simProcess {
	p := &simProcess{sim: s, vm: vm, list: slices.Clone(s.listed), generation: 1, lastHeard: make(map[string]time.Time), resumedAt: s.now}
	p.limiter = New(vm, p, meter.NewRegistry(), func() time.Time { return s.now })
	p.limiter.maxWait = time.Minute // Answers take no simulated time.
	for _, e := range s.endpoints {
		p.limiter.EndpointChanged(e.Endpoint)
	}
	s.processes[vm] = p
	return p
}

// owner returns the process that ranks first for the first endpoint.
func (s *simulation) owner() *simProcess {
	return s.processes[rendezvous.Rank(s.endpoints[0].ID, s.listed)[0]]
}

// changeList lists VMs; the processes that run learn of it after simListLag.
func (s *simulation) changeList(vms []string) (apply func()) {
	s.listed = vms
	return func() {
		for _, p := range s.processes {
			p.list = slices.Clone(vms)
			p.generation++
		}
	}
}

func (p *simProcess) runs() bool { return !p.frozen && !p.dead }

func (p *simProcess) reaches(other *simProcess) bool {
	return other != nil && other.runs() && p.group == other.group
}

// thaw lets a frozen process run on.
func (p *simProcess) thaw() {
	p.frozen = false
	p.resumedAt = p.sim.now
}

func (p *simProcess) Rank(key string, n int) []string {
	return rendezvous.Rank(key, p.list)[:min(n, len(p.list))]
}

func (p *simProcess) Generation() uint64 { return p.generation }

func (p *simProcess) SilentFor(vm string) time.Duration {
	since, ok := p.watched[vm]
	if !ok {
		return 0
	}
	for _, at := range []time.Time{p.lastHeard[vm], p.resumedAt} {
		if at.After(since) {
			since = at
		}
	}
	return p.sim.now.Sub(since)
}

func (p *simProcess) Watch(vms map[string]bool) {
	watched := make(map[string]time.Time)
	for vm := range vms {
		watched[vm] = p.sim.now
		if since, ok := p.watched[vm]; ok {
			watched[vm] = since
		}
	}
	p.watched = watched
}

func (p *simProcess) AcquireSends(_ context.Context, vm string, request *wirev1.AcquireSendsRequest) (*wirev1.AcquireSendsReply, error) {
	other := p.sim.processes[vm]
	if !p.reaches(other) {
		return nil, errSimUnreachable
	}
	return other.limiter.Grant(request), nil
}

// exchange exchanges states with a few random processes and those that are watched.
func (p *simProcess) exchange() {
	for range simPartners {
		p.exchangeWith(p.list[p.sim.random.IntN(len(p.list))])
	}
	for vm := range p.watched {
		p.exchangeWith(vm)
	}
}

func (p *simProcess) exchangeWith(vm string) {
	other := p.sim.processes[vm]
	if other == p || !p.reaches(other) {
		return
	}
	other.limiter.Merge(p.vm, p.limiter.Report(vm))
	p.limiter.Merge(vm, other.limiter.Report(p.vm))
	p.lastHeard[vm], other.lastHeard[p.vm] = p.sim.now, p.sim.now
	if !slices.Contains(other.list, p.vm) { // A caller that is not listed is a new process.
		other.list = append(slices.Clone(other.list), p.vm)
		other.generation++
	}
}

// request sends a request of a caller to one of the endpoints, or refuses it.
func (p *simProcess) request() {
	blocked := p.limiter.Blocked()
	var ask *simEndpoint
	for _, i := range p.sim.random.Perm(len(p.sim.endpoints)) {
		e := p.sim.endpoints[i]
		if !blocked[e.ID] {
			p.send(e)
			return
		}
		if ask == nil && p.limiter.MayAsk(e.ID) {
			ask = e
		}
	}
	if ask != nil && p.limiter.Acquire(context.Background(), ask.ID) {
		p.send(ask)
		return
	}
	p.refused = append(p.refused, p.sim.now)
}

func (p *simProcess) send(e *simEndpoint) {
	if !p.limiter.Take(e.ID) {
		p.sim.t.Errorf("%s may not send to an endpoint that was not blocked", p.vm)
		return
	}
	e.arrivals = append(e.arrivals, simArrival{at: p.sim.now, vm: p.vm})
	response := site.EndpointResponse{RateLimit: site.RateLimit{Stated: e.limit > 0, PerSecond: e.limit}}
	p.limiter.Observe(e.Endpoint, p.sim.now, response)
}

// run advances the time.
func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(simStep) {
		exchange := s.now.Sub(s.start)%simExchangeInterval == 0
		for _, vm := range s.order() {
			p := s.processes[vm]
			if !p.runs() {
				continue
			}
			if exchange {
				p.limiter.update()
				p.exchange()
			}
			for expected := s.demand(vm) * simStep.Seconds(); s.random.Float64() < expected; expected-- {
				p.request()
			}
		}
	}
}

// order returns the VMs in a fixed order, so that a run can be repeated.
func (s *simulation) order() []string {
	vms := make([]string, 0, len(s.processes))
	for vm := range s.processes {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

// since returns the arrivals at an endpoint since a moment, without those that were sent
// by excused VMs.
func (e *simEndpoint) since(from time.Time, excused ...string) []time.Time {
	var times []time.Time
	for _, arrival := range e.arrivals {
		if !arrival.at.Before(from) && !slices.Contains(excused, arrival.vm) {
			times = append(times, arrival.at)
		}
	}
	return times
}

// requireKept requires that no endpoint got more than its limit allows since a moment.
func (s *simulation) requireKept(from time.Time, limit float64, excused ...string) {
	s.t.Helper()
	for _, e := range s.endpoints {
		most := sitetest.MostWithin(window, e.since(from, excused...))
		s.t.Logf("%s: %d requests in the worst %s at a limit of %g a second", e.ID, most, window, limit)
		require.LessOrEqual(s.t, float64(most), tolerance*limit*window.Seconds()+allowance)
	}
}

// requireUsed requires that the limits were used since a moment if callers were refused.
func (s *simulation) requireUsed(from time.Time, limit, share float64) {
	s.t.Helper()
	refused := 0
	for _, p := range s.processes {
		for _, at := range p.refused {
			if !at.Before(from) {
				refused++
			}
		}
	}
	used := 0
	for _, e := range s.endpoints {
		used += len(e.since(from))
	}
	elapsed := s.now.Sub(from).Seconds()
	s.t.Logf("%d requests sent and %d refused in %.0f s, %.2f of the limits", used, refused, elapsed, float64(used)/(limit*elapsed*float64(len(s.endpoints))))
	if refused > 0 {
		require.GreaterOrEqual(s.t, float64(used), share*limit*elapsed*float64(len(s.endpoints))-1, "callers were refused while endpoints would have taken them")
	}
}

// Processes each keep to a limit that holds for all together, or divide it evenly and
// leave the share of those without callers unused.
func TestLimitIsKeptAndUsedByFleetsOfAnySize(t *testing.T) {
	const endpoints = 3
	sizes := map[int][]float64{1: {0.5, 3.9, 40}, 4: {0.5, 3.9, 40}, 27: {3.9}, 68: {0.5, 40}, 391: {3.9}}
	for processes, limits := range sizes {
		for _, limit := range limits {
			for _, few := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d processes, %g a second, few with callers: %t", processes, limit, few), func(t *testing.T) {
					s := newSimulation(t, processes, endpoints, limit)
					if few {
						s.demand = func(vm string) float64 {
							if vm != "vm-0" {
								return 0
							}
							return 3 * limit * endpoints
						}
					}
					s.run(noticeTime)
					from := s.now
					s.run(12 * time.Second)
					s.requireKept(from, limit)
					s.requireUsed(from, limit, minUse)
				})
			}
		}
	}
}

var faultSizes = []int{2, 4, 30}

// The process that shares out a limit freezes, ends, or is cut off from the others and
// goes on to serve callers. The others must not add a second limit to its own, must use
// its share when it is gone, and must give it back when it returns.
func TestLimitIsKeptWhenItsOwnerFails(t *testing.T) {
	const limit = 6
	faults := map[string]struct{ start, end func(*simProcess) }{
		"freeze": {func(p *simProcess) { p.frozen = true }, (*simProcess).thaw},
		"cut":    {func(p *simProcess) { p.group = 1 }, func(p *simProcess) { p.group = 0 }},
		"end":    {func(p *simProcess) { p.dead = true }, nil},
		"restart": {func(p *simProcess) { p.dead = true }, func(p *simProcess) {
			p.sim.add(p.vm)
		}},
	}
	for name, fault := range faults {
		for _, processes := range faultSizes {
			t.Run(fmt.Sprintf("%s of %d", name, processes), func(t *testing.T) {
				s := newSimulation(t, processes, 1, limit)
				s.run(noticeTime)
				from := s.now
				s.run(window)
				owner := s.owner()
				fault.start(owner)
				s.run(8 * time.Second)
				takenOver := s.now
				s.run(4 * time.Second)
				s.requireUsed(takenOver, limit, 0.4)
				if fault.end != nil {
					fault.end(owner)
				}
				s.run(15 * time.Second)
				recovered := s.now
				s.run(8 * time.Second)
				s.requireKept(from, limit, owner.vm)
				s.requireKept(recovered, limit)
				s.requireUsed(recovered, limit, minUse)
			})
		}
	}
}

// Half of the processes can't hear the other half, and both reach the endpoint. The side
// without the owner must not share out the limit a second time.
func TestLimitIsKeptWhenTheFleetIsSplit(t *testing.T) {
	const limit = 6
	for _, processes := range faultSizes {
		t.Run(fmt.Sprintf("%d processes", processes), func(t *testing.T) {
			s := newSimulation(t, processes, 1, limit)
			s.run(noticeTime)
			from := s.now
			s.run(window)
			for i, vm := range s.order() {
				s.processes[vm].group = i % 2
			}
			s.run(12 * time.Second)
			for _, p := range s.processes {
				p.group = 0
			}
			s.run(2 * window)
			s.requireKept(from, limit)
			s.requireUsed(from, limit, minUse)
		})
	}
}

// A new process ranks first for an endpoint before the others have read that it is
// listed, and one that was stopped is still listed for them.
func TestLimitIsKeptWhileListsOfProcessesDiffer(t *testing.T) {
	const limit = 6
	for _, processes := range faultSizes {
		t.Run(fmt.Sprintf("%d processes", processes), func(t *testing.T) {
			s := newSimulation(t, processes, 1, limit)
			s.run(noticeTime)
			from := s.now
			s.run(window)
			known := s.listed
			apply := s.changeList(append(slices.Clone(known), newOwner(s)))
			started := s.add(s.listed[len(s.listed)-1])
			s.run(simListLag)
			apply()
			s.run(2 * window)
			started.dead = true
			apply = s.changeList(known)
			delete(s.processes, started.vm)
			s.run(simListLag)
			apply()
			s.run(2 * window)
			s.requireKept(from, limit)
			s.requireUsed(from, limit, 0.6)
		})
	}
}

// newOwner returns the name of a VM that would rank first for the first endpoint.
func newOwner(s *simulation) string {
	for i := 0; ; i++ {
		vm := fmt.Sprintf("new-%d", i)
		if rendezvous.Rank(s.endpoints[0].ID, append(slices.Clone(s.listed), vm))[0] == vm {
			return vm
		}
	}
}

// All processes must follow a limit that is lowered, raised or ended, those that send the
// endpoint nothing too.
func TestLimitThatChangesIsFollowedByAll(t *testing.T) {
	for _, processes := range []int{1, 4, 68} {
		t.Run(fmt.Sprintf("%d processes", processes), func(t *testing.T) {
			s := newSimulation(t, processes, 2, 10)
			for _, limit := range []float64{10, 3, 20, 0, 5, 0.1} {
				for _, e := range s.endpoints {
					e.limit = limit
				}
				s.run(noticeTime)
				from := s.now
				s.run(2 * window)
				if limit > 0 {
					s.requireKept(from, limit)
					s.requireUsed(from, limit, minUse)
					continue
				}
				for _, p := range s.processes {
					require.Empty(t, p.limiter.Blocked(), "the limit has ended")
				}
			}
		})
	}
}

// A process that was cut off while a limit ended must not bring it back to the others,
// and must learn of its end.
func TestLimitThatEndedIsNotBroughtBack(t *testing.T) {
	s := newSimulation(t, 4, 1, 4)
	s.run(noticeTime)
	idle := s.processes["vm-3"]
	s.demand = func(vm string) float64 {
		if vm == idle.vm {
			return 0
		}
		return 5
	}
	idle.group = 1
	s.run(time.Second)
	s.endpoints[0].limit = 0
	s.run(endedRetention + 5*time.Second)
	require.True(t, idle.limiter.Limited("e-0"))
	idle.group = 0
	for range 50 {
		s.run(simExchangeInterval)
		require.False(t, s.processes["vm-0"].limiter.Limited("e-0"))
	}
	require.False(t, idle.limiter.Limited("e-0"))
}
