package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of the case of prompts of many short parts.
const (
	partCallers    = 12
	partsPerPrompt = 400
	partsTime      = 75 * time.Second
	partsRAM       = 284
)

func init() { cases["part-names"] = partNamesCase }

var partNumber atomic.Int64

// promptPrefix returns the parts of a prompt that no other prompt has. With the trouble each has one
// token, and otherwise 20.
func promptPrefix() string {
	var out strings.Builder
	for i := range partsPerPrompt {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, "%x:%d", partNumber.Add(1), partTokens())
	}
	return out.String()
}

// partTokens returns the tokens of each part of a prompt.
func partTokens() int {
	if trouble {
		return 1
	}
	return 20
}

// partNamesCase has callers send prompts within the limits of the manifest, one after the other,
// of many parts.
func partNamesCase() bool {
	d := newDeployment(partsRAM)
	cleanup = d.stopAll
	for i := range 10 {
		d.startEngine(fmt.Sprintf("m%d", i), "model", "decode", 48, serveEvents(2, 0))
	}
	d.publish(1, []route{
		{Name: "brief", Host: host, PathPrefix: "/brief/", Kind: "stream", Service: "model", TimeoutMS: 8000, GoalMS: 500, GapAimMS: 200, MaxAttempts: 2, Sticky: true},
	})
	d.startGateways(4)
	time.Sleep(2 * time.Second)
	memory := d.watchMemory()
	stop := make(chan struct{})
	var served, failed atomic.Int64
	var callers sync.WaitGroup
	for caller := range partCallers {
		callers.Go(func() {
			for n := caller; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				g := d.gateways[n%len(d.gateways)]
				got := send(g.callers, request{method: "POST", path: "/brief/x", id: nextID("prompt"), deadlineMS: 8000, body: []byte("prompt"),
					headers: []string{"X-Model: m", fmt.Sprintf("X-Token-Count: %d,2", partsPerPrompt*partTokens()), "X-Prompt-Prefix: " + promptPrefix()}}, 8*time.Second)
				if got.status == 200 && got.err == nil {
					served.Add(1)
					continue
				}
				failed.Add(1)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for time.Since(began) < partsTime && !memory.fault() {
		time.Sleep(2 * time.Second)
		for _, g := range d.gateways {
			now, _ := g.memoryMB()
			note("%s: memory %d MB; %d prompts served, %d failed, %d parts", g.name, now, served.Load(), failed.Load(), partNumber.Load())
		}
	}
	close(stop)
	callers.Wait()
	return memory.end()
}
