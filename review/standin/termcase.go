package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-requests-at-stop"] = lateRequestsAtStop }

// Bounds of the rule LOST around a SIGTERM.
const (
	grace = 8 * time.Second
	// excusedUntil is when a request was sent at the latest for which long work is an excuse.
	excusedUntil = 3 * time.Second
)

// termPlay is a play of the case in which a process is stopped.
type termPlay struct {
	*play
	target     *gateway
	terminated time.Time

	mu  sync.Mutex
	cut int
}

// lateRequestsAtStop stops a process with SIGTERM while requesters use it. Some use kept channels:
// they send their next request when a stream that began before SIGTERM has ended. Others open a
// channel while the platform still forwards new ones and send their first request within
// header_timeout_ms. The rule LOST is broken if the process passes such a request on to an engine
// and closes the channel before the answer is complete.
func lateRequestsAtStop(p *play) bool {
	streamEvents, streamPause = 15, 280*time.Millisecond
	newEngine(p.store, p.record, "i-d1", "model", "perth-a", "decode", "v1")
	newEngine(p.store, p.record, "i-d2", "model", "perth-b", "decode", "v1")
	newEngine(p.store, p.record, "i-p1", "model", "perth-a", "prefill", "v1")
	p.store.put("op", "config", manifest(7, route{name: "brief", kind: "stream", service: "model", timeoutMS: 8000, goalMS: 300, attempts: 1}))
	gateways := newGateways(p.dir, 2, p.store.address, p.duty.address)
	awaitReady(gateways)
	time.Sleep(4 * time.Second) // Longer than contact_ms: all machines are in touch.

	t := &termPlay{play: p, target: gateways[0], terminated: time.Now().Add(4 * time.Second)}
	var wait sync.WaitGroup
	for i := range 16 { // Spread over the length of a stream.
		wait.Go(func() { t.keepChannel(i, t.terminated.Add(-time.Duration(240*(16-i))*time.Millisecond)) })
	}
	for i := range 4 {
		wait.Go(func() { t.firstRequest(i, t.terminated.Add(time.Duration(1000+150*i)*time.Millisecond)) })
	}
	time.Sleep(time.Until(t.terminated))
	if p.trouble {
		p.record.add("SIGTERM", "process", t.target.name)
		t.target.signal(syscall.SIGTERM)
	}
	wait.Wait()
	p.record.add("result", "answers_cut", t.cut)
	return t.cut > 0
}

// keepChannel sends streams one after the other on one channel until the process closes it or says
// that it will.
func (t *termPlay) keepChannel(client int, begin time.Time) {
	time.Sleep(time.Until(begin))
	c, err := open(t.target.front)
	if err != nil {
		cannotRun("no channel: %v", err)
	}
	defer c.Close()
	for n := 0; time.Since(t.terminated) < grace; n++ {
		out, ok := t.send(c, fmt.Sprintf("kept%d-%d", client, n), client)
		if !ok || out.header.Get("Connection") == "close" {
			return
		}
	}
}

// firstRequest opens a channel and sends its first request 2.4 s later.
func (t *termPlay) firstRequest(client int, openAt time.Time) {
	time.Sleep(time.Until(openAt))
	c, err := open(t.target.front)
	if err != nil {
		t.record.add("no channel", "client", client, "err", err)
		return
	}
	defer c.Close()
	t.record.add("channel opened", "client", client)
	time.Sleep(2400 * time.Millisecond)
	t.send(c, fmt.Sprintf("first%d", client), 100+client)
}

// send sends a request. ok is false if the channel can't be used again.
func (t *termPlay) send(c *channel, name string, client int) (out outcome, ok bool) {
	r := request{id: fmt.Sprintf("%s-%d", name, t.terminated.UnixMilli()), route: "brief", deadline: 8 * time.Second, body: "x", header: map[string]string{
		"X-Model": "m", "X-Token-Count": "628,29", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:128,%x:500", 0xabc0+client),
	}}
	sentAt := time.Since(t.terminated)
	t.record.add("sent", "request", r.id, "after_term_ms", sentAt.Milliseconds())
	out = c.send(r)
	endedAt := time.Since(t.terminated)
	t.record.add("answered", "request", r.id, "status", out.status, "complete", out.complete, "last_event", out.lastID, "engines", out.engines, "err", out.err, "after_term_ms", endedAt.Milliseconds())
	if out.status == 200 && !out.complete && sentAt > excusedUntil && endedAt < grace {
		t.mu.Lock()
		t.cut++
		t.mu.Unlock()
	}
	return out, out.complete
}
