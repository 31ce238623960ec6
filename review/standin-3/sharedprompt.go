package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the case of a prompt part that many requests share.
const (
	sharedInterval = 15 * time.Millisecond
	sharedCalm     = 5 * time.Second
	sharedTime     = 62 * time.Second
	sharedRead     = 150 * time.Millisecond // Time to the first event.
)

func init() { cases["shared-prompt"] = sharedPromptCase }

// sharedPromptCase has callers send sound prompts that begin with the same part, beside lookups
// at a plain service. Once, all model engines crash at the same moment.
func sharedPromptCase() bool {
	d := newDeployment(284)
	cleanup = d.stopAll
	record := &poisonRecord{}
	var engines []*crashingEngine
	for i := range 9 {
		engines = append(engines, d.startCrashing(fmt.Sprintf("m%d", i+1), record))
		engines[i].read = sharedRead
	}
	for i := range 3 {
		d.startEngine(fmt.Sprintf("p%d", i+1), "plain", "", 6, serveBody([]byte("status: filed"), 10*time.Millisecond))
	}
	d.publish(1, []route{
		{Name: "brief", Host: host, PathPrefix: "/brief/", Kind: "stream", Service: "model", TimeoutMS: 8000, GoalMS: 500, GapAimMS: 200, MaxAttempts: 2, Sticky: true},
		{Name: "lookup", Host: host, PathPrefix: "/lookup/", Kind: "idempotent", Service: "plain", TimeoutMS: 1500, GoalMS: 300, MaxAttempts: 2},
	})
	d.startGateways(4)
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	prompts, lookups := newTally(), newTally()
	var callers sync.WaitGroup
	run := func(t *tally, interval time.Duration, next func(n int) request) {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				callers.Go(func() {
					t.sent.Add(1)
					got := send(d.gateways[n%len(d.gateways)].callers, next(n), 9*time.Second)
					t.count(got)
				})
			}
		})
	}
	run(prompts, sharedInterval, func(n int) request {
		return request{method: "POST", path: "/brief/x", id: nextID("prompt"), deadlineMS: 8000, body: fmt.Appendf(nil, "prompt %d", n),
			headers: []string{"X-Model: m", "X-Token-Count: 6600,10", fmt.Sprintf("X-Prompt-Prefix: 5c1e:5400,a%x:1200", n)}}
	})
	run(lookups, sharedInterval, func(n int) request {
		return request{method: "GET", path: fmt.Sprintf("/lookup/%d", n), id: nextID("lookup"), deadlineMS: 1500}
	})
	time.Sleep(sharedCalm)
	note("before: %d of %d prompts served, %d of %d lookups", prompts.served.Load(), prompts.sent.Load(), lookups.served.Load(), lookups.sent.Load())
	if trouble {
		note("all model engines crash; they are back after %v", crashDowntime)
		for _, e := range engines {
			e.crash()
		}
	}
	for time.Since(began) < sharedTime {
		time.Sleep(5 * time.Second)
		note("%d of %d prompts served, %d of %d lookups", prompts.served.Load(), prompts.sent.Load(), lookups.served.Load(), lookups.sent.Load())
	}
	close(stop)
	callers.Wait()
	note("answers to prompts: %s", encode(prompts.statuses))
	note("answers to lookups: %s", encode(lookups.statuses))
	return starved("kind of request", prompts, lookups)
}
