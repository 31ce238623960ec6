package node_test

import (
	"sync"
	"time"
)

// simulatedStep is the time by which a simulated clock advances at once.
const simulatedStep = 50 * time.Millisecond

// simulatedClock is the clock of the rate limits and of the exchange of a fleet under
// test. It stands still while callers wait for answers, so that no time passes in which
// requests are late on a busy machine, and never runs faster than the wall clock.
type simulatedClock struct {
	mu  sync.Mutex
	now time.Time
}

func newSimulatedClock() *simulatedClock { return &simulatedClock{now: time.Now()} }

func (c *simulatedClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *simulatedClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// steadyLoad is a number of requests a second to one process, evenly spaced in simulated
// time.
type steadyLoad struct {
	process   *entryProcess
	path      string
	perSecond float64
	owed      float64
}

// due returns the number of requests to send in the next step.
func (l *steadyLoad) due() int {
	l.owed += l.perSecond * simulatedStep.Seconds()
	n := int(l.owed)
	l.owed -= float64(n)
	return n
}

// load sends requests for a path to a process while the fleet runs.
func (f *limitedFleet) load(p *entryProcess, path string, perSecond float64) *steadyLoad {
	l := &steadyLoad{process: p, path: path, perSecond: perSecond}
	f.loads = append(f.loads, l)
	return l
}

// run lets simulated time pass. The callers of a step have their answers before the next
// one begins.
func (f *limitedFleet) run(duration time.Duration) {
	for range int(duration / simulatedStep) {
		pace := time.After(simulatedStep)
		var callers sync.WaitGroup
		for _, l := range f.loads {
			for range l.due() {
				callers.Go(func() { f.call(l.process, l.path) })
			}
		}
		callers.Wait()
		<-pace
		f.clock.advance(simulatedStep)
	}
}
