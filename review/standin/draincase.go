package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["drained-after-prefill"] = drainedAfterPrefill }

const drainTime = 2 * time.Second // drain_ms of the settings.

// drainedAfterPrefill replaces a decode engine that states a limit while the prompt of a stream is
// read at a prefill engine. The rule DRAIN is broken if the stream reaches the old engine later
// than drain_ms after the store has confirmed that it drains.
func drainedAfterPrefill(p *play) bool {
	streamEvents, streamPause = 12, 250*time.Millisecond
	prefill := newEngine(p.store, p.record, "i-p1", "model", "perth-a", "prefill", "v1")
	old := newEngine(p.store, p.record, "i-d1", "model", "perth-a", "decode", "v1")
	old.setHeader("Server-Limit", "20.0")
	p.store.put("op", "config", manifest(7, route{name: "code", kind: "stream", service: "model", timeoutMS: 10000, goalMS: 600, attempts: 1}))
	gateways := newGateways(p.dir, 1, p.store.address, p.duty.address)
	awaitReady(gateways)
	time.Sleep(4 * time.Second)

	prefill.prefillTime = 600 * time.Millisecond
	for i := range 2 { // From the first answer on, the limit is known.
		out := p.sendCode(gateways[0], fmt.Sprintf("before%d", i), i)
		if !out.complete {
			cannotRun("a stream before the disruption was not served")
		}
	}
	prefill.prefillTime = 2300 * time.Millisecond // Prompts of other machines are ahead of it.
	var wait sync.WaitGroup
	var out outcome
	wait.Go(func() { out = p.sendCode(gateways[0], "during", 9) })
	time.Sleep(20 * time.Millisecond)
	newEngine(p.store, p.record, "i-d2", "model", "perth-a", "decode", "v1")
	var confirmed time.Time
	if p.trouble {
		old.setHeader("Server-Leaving", "1")
		confirmed = old.setState("draining")
		p.record.add("the store has confirmed that an engine drains", "engine", old.id)
		time.Sleep(time.Until(confirmed.Add(drainTime + 500*time.Millisecond)))
		p.record.add("the engine ends", "engine", old.id)
		old.crash()
		p.store.remove("servers", old.id)
	}
	wait.Wait()
	arrived := old.arrivedAfter(confirmed.Add(drainTime))
	p.record.add("result", "arrived_later_than_drain_ms", p.trouble && arrived > 0, "answer_complete", out.complete)
	return p.trouble && arrived > 0
}

// sendCode sends a stream with a long prompt of its own.
func (p *play) sendCode(g *gateway, id string, prompt int) outcome {
	p.record.add("sent", "request", id)
	out := sendOnce(g.front, request{id: id, route: "code", deadline: 10 * time.Second, body: "x", header: map[string]string{
		"X-Model": "m", "X-Token-Count": "30400,38", "X-Prompt-Prefix": fmt.Sprintf("%x:400,%x:30000", 0x5c10+prompt, 0xabc0+prompt),
	}})
	p.record.add("answered", "request", id, "status", out.status, "complete", out.complete, "engines", out.engines, "last_event", out.lastID, "err", out.err)
	return out
}

// arrivedAfter returns how many runs began after a time.
func (e *engine) arrivedAfter(at time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, began := range e.began {
		if began.After(at) {
			n++
		}
	}
	return n
}
