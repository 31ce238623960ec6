package orders

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flamingospar.org/core/propertytest"
)

// TestMain fixes the seed and the number of schedules; the flags -rapid.seed
// and -rapid.checks override them.
func TestMain(m *testing.M) {
	propertytest.Set(propertytest.Defaults{Seed: 1, Checks: 2000, Steps: 120})
	os.Exit(m.Run())
}

// maxTransit bounds the time that an order is in transit, including one of a process
// that has died.
const maxTransit = 9 * time.Second

// message is an order in transit to the endpoint.
type message struct {
	order Order
	at    time.Time
}

// simulation is one endpoint and the process that controls it, under a schedule of
// faults and on a clock that only the schedule advances.
type simulation struct {
	t   *rapid.T
	now time.Time

	machine       *Machine
	rowEpoch      int64
	storeDown     bool
	paused        bool
	draining      bool
	active        int // Requests running on the endpoint.
	decisionCount int64
	newestTarget  Target

	state       State
	fences      bool
	fence       Order
	lastArrived Order // Last order that the endpoint received.
	doneAt      time.Time
	crashAt     time.Time
	engineCount int
	inTransit   []message
	lossy       bool
	faultsEnded bool // No further faults are injected.
	pollsFail   bool
	arrivals    int
}

func (s *simulation) tick(span time.Duration) {
	end := s.now.Add(span)
	for s.now.Before(end) {
		s.now = s.now.Add(50 * time.Millisecond)
		s.stepEndpoint()
		if !s.paused {
			s.stepAgent()
		}
	}
}

// stepEndpoint delivers the orders that are due and advances the change under way.
func (s *simulation) stepEndpoint() {
	kept := s.inTransit[:0]
	for _, pending := range s.inTransit {
		if s.now.Before(pending.at) {
			kept = append(kept, pending)
			continue
		}
		s.arrive(pending.order)
	}
	s.inTransit = kept
	if s.state.Busy && !s.crashAt.IsZero() && !s.now.Before(s.crashAt) {
		s.crash()
	}
	if s.state.Busy && !s.now.Before(s.doneAt) {
		s.state.Busy = false
		s.apply(s.lastArrived)
	}
}

func (s *simulation) crash() {
	s.engineCount++
	s.state.Instance = fmt.Sprintf("engine-%d", s.engineCount)
	s.state.Busy = false
	s.state.LastOrder = ""
	s.state.Model = ""
	s.active = 0
	s.crashAt = time.Time{}
}

func (s *simulation) apply(order Order) {
	switch order.Setting {
	case Model:
		s.state.Model = order.Value
	case Version:
		s.state.Version = order.Value
	case Role:
		s.state.Role = order.Value
	case Adapter:
		s.state.Adapters = append(s.state.Adapters, order.Value)
	}
}

func notNewer(a, b Order) bool {
	return a.Epoch < b.Epoch || a.Epoch == b.Epoch && a.Sequence <= b.Sequence
}

func (s *simulation) arrive(order Order) {
	if s.fences {
		if notNewer(order, s.fence) || s.state.Busy {
			return
		}
		s.fence = order
	}
	if s.state.Busy {
		s.t.Fatalf("order %s arrived while %s was under way", order.ID(), s.lastArrived.ID())
	}
	if s.arrivals > 0 && notNewer(order, s.lastArrived) {
		s.t.Fatalf("order %s arrived after %s", order.ID(), s.lastArrived.ID())
	}
	if order.Interrupts() && s.active > 0 && s.machine.epoch == order.Epoch {
		s.t.Fatalf("order %s interrupted %d requests", order.ID(), s.active)
	}
	s.arrivals++
	s.lastArrived = order
	s.state.Busy, s.state.LastOrder = true, order.ID()
	s.doneAt = s.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(s.t, "takes")) * 100 * time.Millisecond)
	if !s.faultsEnded && rapid.IntRange(1, 6).Draw(s.t, "crash") == 1 {
		s.crashAt = s.now.Add(s.doneAt.Sub(s.now) / 2)
	}
}

// stepAgent executes the machine's next step as the agent does.
func (s *simulation) stepAgent() {
	if s.draining && s.active == 0 {
		s.draining = false
		s.machine.Drained(s.now)
	}
	step, order := s.machine.Next(s.now)
	switch step {
	case RaiseEpoch:
		if !s.storeDown {
			s.rowEpoch++
			s.machine.SetEpoch(s.rowEpoch)
		}
	case Poll:
		asked := s.now
		if s.pollsFail || s.lossy && rapid.Bool().Draw(s.t, "look lost") {
			s.machine.PollFailed(asked)
			return
		}
		s.machine.PollSucceeded(s.state, asked)
	case Drain:
		s.machine.DrainStarted()
		s.draining = true
	case Resume:
		s.machine.Resumed()
		s.draining = false
	case Send:
		s.send(order)
	case Wait:
	}
}

func (s *simulation) send(order Order) {
	s.machine.BeginSend(order)
	result := Accepted
	if !s.faultsEnded {
		result = rapid.SampledFrom([]Result{Accepted, InDoubt}).Draw(s.t, "result")
	}
	if s.lossy && rapid.Bool().Draw(s.t, "refused") {
		result = Refused
	}
	busy := s.state.Busy
	switch result {
	case Accepted:
		s.arrive(order)
		if s.fences && busy {
			result = Refused
		}
	case InDoubt:
		if rapid.Bool().Draw(s.t, "on its way") {
			delay := rapid.Int64Range(0, int64(maxTransit)).Draw(s.t, "delay")
			s.inTransit = append(s.inTransit, message{order: order, at: s.now.Add(time.Duration(delay))})
		}
	case Refused:
	}
	s.machine.EndSend(result, s.now)
	if !s.faultsEnded && rapid.IntRange(1, 8).Draw(s.t, "killed while sending") == 1 {
		s.restart()
		s.endFaults()
		s.active = 0
	}
}

func (s *simulation) setTarget() {
	s.decisionCount++
	target := Target{
		Epoch:    rapid.Int64Range(1, 3).Draw(s.t, "epoch"),
		Sequence: s.decisionCount,
		Role:     rapid.SampledFrom([]string{"prefill", "decode", "mixed"}).Draw(s.t, "role"),
		Model:    rapid.SampledFrom([]string{"assessment", "lodgement"}).Draw(s.t, "model"),
		Version:  rapid.SampledFrom([]string{"1", "2"}).Draw(s.t, "version"),
		Adapters: []string{rapid.SampledFrom([]string{"a", "b"}).Draw(s.t, "adapter")},
	}
	if s.machine.SetTarget(target) != target.Supersedes(s.newestTarget) {
		s.t.Fatalf("a decision was accepted or rejected against its number")
	}
	if target.Supersedes(s.newestTarget) {
		s.newestTarget = target
	}
}

// restart replaces the process by a new one, which is given the newest target.
func (s *simulation) restart() {
	s.machine, s.paused, s.draining = NewMachine(), false, false
	s.machine.SetTarget(s.newestTarget)
}

func (s *simulation) endFaults() {
	s.paused, s.lossy, s.pollsFail, s.storeDown = false, false, false, false
}

// requireConvergence ends all faults and asserts that the endpoint reaches its target.
func (s *simulation) requireConvergence() {
	s.endFaults()
	s.faultsEnded = true
	s.active = 0
	s.setTarget()
	target := s.machine.Target()
	for range 40 {
		s.tick(10 * time.Second)
		if _, differs := target.firstDifference(s.state); !differs && s.machine.Settled() && !s.machine.admissionStopped {
			return
		}
	}
	s.t.Fatalf("the endpoint is %+v, wanted %+v", s.state, target)
}

// TestOneOrderInFlight guards against two orders executing at once, orders
// arriving out of sequence and orders that interrupt running requests. It draws
// schedules of process kills and pauses, endpoint crashes during a change, lost
// answers and delayed orders, for endpoints that check fencing numbers and for
// endpoints that ignore them.
func TestOneOrderInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, now: time.Unix(1_000_000, 0), machine: NewMachine(), fences: rapid.Bool().Draw(t, "fences")}
		w.lossy = rapid.Bool().Draw(t, "lossy")
		w.state = State{Instance: "engine-0", Role: "mixed", Model: "assessment", Version: "1"}
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				w.t = t
				w.tick(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * 50 * time.Millisecond)
			},
			"settle": func(t *rapid.T) { w.t = t; w.tick(QuietPeriod) },
			"aim":    func(t *rapid.T) { w.t = t; w.setTarget() },
			"kill":   func(*rapid.T) { w.restart() },
			"heal":   func(*rapid.T) { w.endFaults() },
			"done":   func(t *rapid.T) { w.t = t; w.active = 0; w.tick(3 * time.Second) },
			"pause":  func(*rapid.T) { w.paused = !w.paused },
			"lossy":  func(*rapid.T) { w.lossy = !w.lossy },
			"blind":  func(*rapid.T) { w.pollsFail = !w.pollsFail },
			"store":  func(*rapid.T) { w.storeDown = !w.storeDown },
			"crash":  func(t *rapid.T) { w.crash() },
			"begin": func(*rapid.T) {
				if !w.machine.admissionStopped && !w.state.Busy {
					w.active++
				}
			},
			"end": func(*rapid.T) { w.active = max(0, w.active-1) },
		})
		w.t = t
		w.requireConvergence()
	})
}
