package wholesystem

import (
	"math/rand/v2"
	"time"

	"flamingospar.org/standin/engine"
	"flamingospar.org/standin/plain"
	"flamingospar.org/standin/platform"
)

// fault brings about one failure and ends it. It may take its time.
type fault struct {
	name string
	run  func(w *world, rng *rand.Rand)
}

func span(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

func (w *world) anyEndpoint(rng *rand.Rand) *endpoint { return w.endpoints[rng.IntN(len(w.endpoints))] }

func (w *world) anyEntry(rng *rand.Rand) *entryProcess { return w.entries[rng.IntN(len(w.entries))] }

var faults = []fault{
	{"crash endpoint", func(w *world, rng *rand.Rand) { w.crashEndpoint(w.anyEndpoint(rng)) }},
	{"kill agent", killAgent},
	{"kill entry", killEntry},
	{"pause agent", func(w *world, rng *rand.Rand) { pause(w.anyEndpoint(rng).agentHost, rng) }},
	{"pause entry", func(w *world, rng *rand.Rand) { pause(w.anyEntry(rng).host, rng) }},
	{"partition", partition},
	{"silence entry and agent", silenceEntryAgent},
	{"silence one way", silenceOneWay},
	{"silence agent and endpoint", silenceAgentEndpoint},
	{"silence entry and platform", silencePlatform},
	{"store outage", func(w *world, rng *rand.Rand) { storeFault(w, rng, platform.Faults{Outage: true}) }},
	{"store loses answers", func(w *world, rng *rand.Rand) { storeFault(w, rng, platform.Faults{LoseResponses: true}) }},
	{"store slow", func(w *world, rng *rand.Rand) { storeFault(w, rng, platform.Faults{Delay: 800 * time.Millisecond}) }},
	{"drain agent", drainAgent},
	{"drain entry", drainEntry},
	{"mute engine", muteEngine},
	{"slow service", slowService},
}

type pausable interface {
	Pause()
	Resume()
}

func pause(host pausable, rng *rand.Rand) {
	host.Pause()
	time.Sleep(span(rng, 200*time.Millisecond, 8*time.Second))
	host.Resume()
}

// take guards a process against two restarts at a time.
func (w *world) take(busy *bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if *busy {
		return false
	}
	*busy = true
	return true
}

func (w *world) release(busy *bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*busy = false
}

func killAgent(w *world, rng *rand.Rand) {
	e := w.anyEndpoint(rng)
	if !w.take(&e.restarting) {
		return
	}
	defer w.release(&e.restarting)
	e.agentHost.Kill()
	e.stopAgent()
	<-e.agentDone
	time.Sleep(span(rng, 100*time.Millisecond, 4*time.Second))
	w.startAgent(e)
}

func drainAgent(w *world, rng *rand.Rand) { drainAgentOf(w, w.anyEndpoint(rng)) }

func drainAgentOf(w *world, e *endpoint) {
	if !w.take(&e.restarting) {
		return
	}
	defer w.release(&e.restarting)
	e.stopAgent()
	<-e.agentDone
	e.agentHost.Kill()
	w.startAgent(e)
}

func killEntry(w *world, rng *rand.Rand) {
	e := w.anyEntry(rng)
	if !w.take(&e.restarting) {
		return
	}
	defer w.release(&e.restarting)
	e.host.Kill()
	e.stop()
	<-e.done
	time.Sleep(span(rng, 100*time.Millisecond, 4*time.Second))
	w.startEntry(e)
}

// drainEntry is a planned stop: the balancer sees that the entry is not ready.
func drainEntry(w *world, rng *rand.Rand) {
	e := w.anyEntry(rng)
	if !w.take(&e.restarting) {
		return
	}
	defer w.release(&e.restarting)
	e.stop()
	time.Sleep(2 * time.Second)
	w.mu.Lock()
	e.leaving = true
	w.mu.Unlock()
	<-e.done
	e.host.Kill()
	w.startEntry(e)
}

func partition(w *world, rng *rand.Rand) {
	entry, agent := w.entryHost(rng), w.agentHost(rng)
	w.network.Partition(entry, agent, true)
	time.Sleep(span(rng, 500*time.Millisecond, 8*time.Second))
	w.network.Partition(entry, agent, false)
}

func silenceEntryAgent(w *world, rng *rand.Rand) {
	w.network.Blackhole(w.entryHost(rng), w.agentHost(rng))
}

func silenceOneWay(w *world, rng *rand.Rand) {
	from, to := w.entryHost(rng), w.agentHost(rng)
	if rng.IntN(2) == 0 {
		from, to = to, from
	}
	w.network.BlackholeOneWay(from, to)
}

func silenceAgentEndpoint(w *world, rng *rand.Rand) {
	e := w.anyEndpoint(rng)
	w.network.Blackhole("agent-"+e.id, "endpoint-"+e.id)
}

func silencePlatform(w *world, rng *rand.Rand) { w.network.Blackhole(w.entryHost(rng), "platform") }

func (w *world) entryHost(rng *rand.Rand) string { return hostName(w.anyEntry(rng)) }
func (w *world) agentHost(rng *rand.Rand) string { return "agent-" + w.anyEndpoint(rng).id }

func storeFault(w *world, rng *rand.Rand, faults platform.Faults) {
	w.platform.SetFaults(faults)
	time.Sleep(span(rng, time.Second, 8*time.Second))
	w.platform.SetFaults(platform.Faults{})
}

func muteEngine(w *world, rng *rand.Rand) {
	e := w.anyEndpoint(rng)
	w.mu.Lock()
	running := e.engine
	w.mu.Unlock()
	if running == nil {
		return
	}
	normal := engine.Faults{Poison: poison, Crash: func() { go w.crashEndpoint(e) }}
	mute := normal
	mute.StallStreams = true
	running.SetFaults(mute)
	time.Sleep(span(rng, 100*time.Millisecond, 2*time.Second))
	running.SetFaults(normal)
}

func slowService(w *world, rng *rand.Rand) {
	e := w.anyEndpoint(rng)
	w.mu.Lock()
	service := e.service
	w.mu.Unlock()
	if service == nil {
		return
	}
	service.SetFaults(plain.Faults{Delay: span(rng, time.Second, 25*time.Second)})
	time.Sleep(span(rng, time.Second, 5*time.Second))
	service.SetFaults(plain.Faults{Delay: w.serviceDelay})
}
