package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

func init() { cases["taken-up-after-restart"] = takenUpAfterRestart }

const (
	// timeLimit is that of the requesters.
	timeLimit = 8 * time.Second
	// maxGap is the gap after which requesters abandon a stream: the longest of two seconds, four
	// times the objective (300 ms) and eight times the longest pause on time (300 ms).
	maxGap = 2400 * time.Millisecond
	// minTakenUp is the number of streams from which on the rule LOST counts.
	minTakenUp = 12
)

// takeUps counts the streams that requesters take up, and the new ones of the same time.
type takeUps struct {
	mu                   sync.Mutex
	taken, wentOn        int
	newStreams, newBegun int
}

// takenUpAfterRestart restarts one of three engines of a service under its ID with new software.
// Requesters take the streams up that it broke off. The rule LOST is broken if, of 12 or more, the
// share that goes on is under half of the share of new streams that begin.
func takenUpAfterRestart(p *play) bool {
	streamEvents, streamPause = 14, 280*time.Millisecond
	newEngine(p.store, p.record, "i-p1", "model", "perth-a", "prefill", "v1")
	restarted := newEngine(p.store, p.record, "i-d1", "model", "perth-a", "decode", "v1")
	newEngine(p.store, p.record, "i-d2", "model", "perth-b", "decode", "v1")
	newEngine(p.store, p.record, "i-d3", "model", "perth-a", "decode", "v1")
	p.store.put("op", "config", manifest(7, route{name: "brief", kind: "stream", service: "model", timeoutMS: 8000, goalMS: 300, attempts: 1, resumable: true}))
	gateways := newGateways(p.dir, 2, p.store.address, p.duty.address)
	awaitReady(gateways)
	time.Sleep(4 * time.Second)

	t := &takeUps{}
	var wait sync.WaitGroup
	for i := range 72 {
		wait.Go(func() { p.follow(t, gateways, i) })
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		p.record.add("an engine goes dark", "engine", restarted.id, "software", "v1")
		restarted.goDark()
		time.Sleep(time.Second)
		restarted.restart("v2")
		p.record.add("the engine has started again and registered", "engine", restarted.id, "software", "v2")
	}
	time.Sleep(time.Second)
	for i := range 20 {
		wait.Go(func() {
			out := sendOnce(gateways[i%2].front, briefRequest(fmt.Sprintf("new%d-%d", i, time.Now().UnixNano()), 500+i, timeLimit))
			t.mu.Lock()
			defer t.mu.Unlock()
			t.newStreams++
			if out.lastID != "" {
				t.newBegun++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	p.record.add("result", "taken_up", t.taken, "went_on", t.wentOn, "new_streams", t.newStreams, "begun", t.newBegun)
	if t.taken < minTakenUp {
		return false
	}
	return float64(t.wentOn)/float64(t.taken) < 0.5*float64(t.newBegun)/float64(t.newStreams)
}

func briefRequest(id string, prompt int, limit time.Duration) request {
	return request{id: id, route: "brief", deadline: limit, gap: maxGap, body: "x", header: map[string]string{
		"X-Model": "m", "X-Token-Count": "628,29", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:128,%x:500", 0xabc0+prompt),
	}}
}

// follow is a requester of one stream. If it breaks off, the requester takes it up, as often as its
// time limit and Retry-After allow, until it goes on.
func (p *play) follow(t *takeUps, gateways []*gateway, client int) {
	deadline := time.Now().Add(timeLimit)
	began := fmt.Sprintf("r%d-%d", client, time.Now().UnixNano())
	out := p.send(gateways[client%2], briefRequest(began, client, timeLimit))
	if out.complete || out.lastID == "" {
		return
	}
	lastID, wentOn := out.lastID, false
	for try := 1; !wentOn && time.Until(deadline) > 200*time.Millisecond; try++ {
		r := briefRequest(fmt.Sprintf("r%d-%d", client, time.Now().UnixNano()), client, time.Until(deadline))
		r.header["Last-Event-Id"], r.header["Resumes"] = lastID, began
		out = p.send(gateways[(client+try)%2], r)
		wentOn = out.lastID != ""
		after, _ := strconv.ParseFloat(out.header.Get("Retry-After"), 64)
		time.Sleep(min(time.Duration(after*float64(time.Second)), time.Until(deadline)/3))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taken++
	if wentOn {
		t.wentOn++
	}
}

// send sends a request on a new channel and records what comes.
func (p *play) send(g *gateway, r request) outcome {
	p.record.add("sent", "request", r.id, "resumes", r.header["Resumes"], "to", g.name)
	out := sendOnce(g.front, r)
	p.record.add("answered", "request", r.id, "status", out.status, "complete", out.complete, "last_event", out.lastID, "engines", out.engines, "software", out.software, "retry_after", out.header.Get("Retry-After"), "err", out.err)
	return out
}
