package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-first-request"] = lateFirstRequest }

// lateFirstRequest stops a process with SIGTERM. Requesters open channels in the second and a half
// after it, while the platform still forwards new ones, and send their first request within
// header_timeout_ms. The rule LOST is broken if the process reads such a request, passes it on to
// an engine and closes the channel before the answer is complete.
func lateFirstRequest(p *play) bool {
	newEngine(p.store, p.record, "i-d1", "model", "perth-a", "decode", "v1")
	newEngine(p.store, p.record, "i-d2", "model", "perth-b", "decode", "v1")
	newEngine(p.store, p.record, "i-p1", "model", "perth-a", "prefill", "v1")
	p.store.put("op", "config", manifest(7, route{name: "brief", kind: "stream", service: "model", timeoutMS: 8000, goalMS: 300, attempts: 1}))
	gateways := newGateways(p.dir, 2, p.store.address, p.duty.address)
	awaitReady(gateways)
	time.Sleep(4 * time.Second) // Longer than contact_ms: all machines are in touch.

	target := gateways[0]
	terminated := time.Now()
	if p.trouble {
		p.record.add("SIGTERM", "process", target.name)
		target.signal(syscall.SIGTERM)
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for i := range 8 {
		wait.Go(func() {
			openAt := time.Duration(800+100*i) * time.Millisecond // 0.8 to 1.5 s after SIGTERM.
			sendAt := openAt + 2500*time.Millisecond              // Within header_timeout_ms (3,000).
			time.Sleep(time.Until(terminated.Add(openAt)))
			c, err := open(target.front)
			if err != nil {
				p.record.add("no channel", "client", i, "err", err)
				return
			}
			defer c.Close()
			p.record.add("channel opened", "client", i)
			time.Sleep(time.Until(terminated.Add(sendAt)))
			r := request{id: fmt.Sprintf("r%d-%d", i, terminated.UnixNano()), route: "brief", deadline: 8 * time.Second, body: "x", header: map[string]string{
				"X-Model": "m", "X-Token-Count": "628,29", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:128,%x:500", 0xabc0+i),
			}}
			p.record.add("sent", "client", i, "request", r.id, "after_term_ms", time.Since(terminated).Milliseconds())
			out := c.send(r)
			p.record.add("answered", "client", i, "request", r.id, "status", out.status, "complete", out.complete, "last_event", out.lastID, "engines", out.engines, "err", out.err, "after_term_ms", time.Since(terminated).Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			if out.status == 200 && !out.complete && time.Since(terminated) < 8*time.Second {
				cut++
			}
		})
	}
	wait.Wait()
	p.record.add("result", "answers_cut", cut)
	return cut > 0
}
