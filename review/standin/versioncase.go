package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["restart-with-new-software"] = restartWithNewSoftware }

// restartWithNewSoftware restarts two engines of a service under their IDs, one second apart, with
// new software. The rule ORDER is broken if more than two streams hold events of two software
// versions.
func restartWithNewSoftware(p *play) bool {
	streamEvents, streamPause = 25, 200*time.Millisecond
	newEngine(p.store, p.record, "i-p1", "model", "perth-a", "prefill", "v1")
	newEngine(p.store, p.record, "i-p2", "model", "perth-b", "prefill", "v2")
	newEngine(p.store, p.record, "i-new1", "model", "perth-a", "decode", "v2")
	newEngine(p.store, p.record, "i-new2", "model", "perth-b", "decode", "v2")
	first := newEngine(p.store, p.record, "i-old1", "model", "perth-a", "decode", "v1")
	second := newEngine(p.store, p.record, "i-old2", "model", "perth-b", "decode", "v1")
	p.store.put("op", "config", manifest(7, route{name: "brief", kind: "stream", service: "model", timeoutMS: 8000, goalMS: 300, attempts: 2, resumable: true}))
	gateways := newGateways(p.dir, 2, p.store.address, p.duty.address)
	awaitReady(gateways)
	time.Sleep(4 * time.Second)

	var wait sync.WaitGroup
	var mu sync.Mutex
	joined := 0
	for i := range 48 {
		wait.Go(func() {
			r := request{id: fmt.Sprintf("r%d-%d", i, time.Now().UnixNano()), route: "brief", deadline: 8 * time.Second, body: "x", header: map[string]string{
				"X-Model": "m", "X-Token-Count": "628,29", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:128,%x:500", 0xabc0+i),
			}}
			p.record.add("sent", "request", r.id)
			out := sendOnce(gateways[i%2].front, r)
			p.record.add("answered", "request", r.id, "status", out.status, "complete", out.complete, "last_event", out.lastID, "engines", out.engines, "software", out.software, "err", out.err)
			mu.Lock()
			defer mu.Unlock()
			if len(out.software) > 1 {
				joined++
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		p.record.add("an engine ends", "engine", first.id, "software", "v1")
		first.crash()
		time.Sleep(950 * time.Millisecond)
		first.restart("v2")
		p.record.add("an engine has started again and registered", "engine", first.id, "software", "v2")
		time.Sleep(200 * time.Millisecond)
		p.record.add("an engine ends", "engine", second.id, "software", "v1")
		second.crash()
		time.Sleep(950 * time.Millisecond)
		second.restart("v2")
		p.record.add("an engine has started again and registered", "engine", second.id, "software", "v2")
	}
	wait.Wait()
	p.record.add("result", "streams_of_two_versions", joined)
	return joined > 2
}
