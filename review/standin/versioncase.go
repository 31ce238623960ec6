package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["restart-with-new-software"] = restartWithNewSoftware }

// Figures of the releases.
const (
	pairs         = 4 // Of releases.
	streamsInPair = 48
	downTime      = 950 * time.Millisecond
	// nextAfter is the time from the registration of an engine to the end of the next one.
	nextAfter = 100 * time.Millisecond
	// maxJoined is the number of streams of two versions up to which the rule ORDER holds.
	maxJoined = 2
)

// releasePlay is a play of the case in which engines start again with new software.
type releasePlay struct {
	*play
	gateways []*gateway

	mu     sync.Mutex
	joined int
}

// restartWithNewSoftware plays releases in pairs: two of four decode engines of a service start
// again under their IDs with new software while no stream runs, and then the two others while
// streams run. The rule ORDER is broken if more than two streams hold events of two software
// versions.
func restartWithNewSoftware(p *play) bool {
	streamEvents, streamPause = 25, 200*time.Millisecond
	newEngine(p.store, p.record, "i-p1", "model", "perth-a", "prefill", "v1")
	newEngine(p.store, p.record, "i-p2", "model", "perth-b", "prefill", "v1")
	firstHalf := []*engine{newEngine(p.store, p.record, "i-a1", "model", "perth-a", "decode", "v1"), newEngine(p.store, p.record, "i-a2", "model", "perth-b", "decode", "v1")}
	lastHalf := []*engine{newEngine(p.store, p.record, "i-b1", "model", "perth-a", "decode", "v1"), newEngine(p.store, p.record, "i-b2", "model", "perth-b", "decode", "v1")}
	p.store.put("op", "config", manifest(7, route{name: "brief", kind: "stream", service: "model", timeoutMS: 8000, goalMS: 300, attempts: 2, resumable: true}))
	r := &releasePlay{play: p, gateways: newGateways(p.dir, 2, p.store.address, p.duty.address)}
	awaitReady(r.gateways)
	time.Sleep(4 * time.Second)

	for n := range pairs {
		software := fmt.Sprintf("v%d", n+2)
		r.restart(firstHalf, software)
		time.Sleep(1500 * time.Millisecond)
		var wait sync.WaitGroup
		for i := range streamsInPair {
			wait.Go(func() { r.stream(i) })
			time.Sleep(15 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		r.restart(lastHalf, software)
		wait.Wait()
	}
	p.record.add("result", "streams_of_two_versions", r.joined)
	return r.joined > maxJoined
}

// restart lets engines end and start again with new software, one after the other.
func (r *releasePlay) restart(engines []*engine, software string) {
	if !r.trouble {
		return
	}
	for _, e := range engines {
		r.record.add("an engine ends", "engine", e.id)
		e.crash()
		time.Sleep(downTime)
		e.restart(software)
		r.record.add("the engine has started again and registered", "engine", e.id, "software", software)
		time.Sleep(nextAfter)
	}
}

// stream sends one stream and notes whether its answer holds events of two versions.
func (r *releasePlay) stream(client int) {
	out := r.send(r.gateways[client%2], briefRequest(fmt.Sprintf("r%d-%d", client, time.Now().UnixNano()), client, timeLimit))
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(out.software) > 1 {
		r.joined++
	}
}
