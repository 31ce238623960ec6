package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	bodyCallers = 60
	bodyRAM     = 284
)

func init() { cases["slow-engine"] = slowEngineCase }

func slowEngineCase() bool {
	d := newDeployment(bodyRAM)
	cleanup = d.stopAll
	for i := range 4 {
		d.startEngine(fmt.Sprintf("p%d", i), "plain", "", 60, func(e *engine, w http.ResponseWriter, r *http.Request) {
			buffer := make([]byte, 16<<10)
			for {
				_, err := r.Body.Read(buffer)
				if err != nil {
					break
				}
				if trouble {
					time.Sleep(20 * time.Millisecond)
				}
			}
			e.seal(w)
			w.Header().Set("Content-Length", "2")
			_, _ = w.Write([]byte("ok"))
		})
	}
	d.startEngine("m1", "model", "decode", 48, serveEvents(3, 10*time.Millisecond))
	d.publish(1, []route{
		{Name: "submit", Host: host, PathPrefix: "/submit/", Kind: "idempotent", Service: "plain", TimeoutMS: 8000, GoalMS: 300, MaxAttempts: 3},
	})
	d.startGateways(1)
	g := d.gateways[0]
	time.Sleep(2 * time.Second)
	var callers sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	results := map[string]int{}
	body := bytes.Repeat([]byte("b"), 4<<20)
	for range bodyCallers {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				got := send(g.callers, request{method: "POST", path: "/submit/x", id: nextID("body"), deadlineMS: 8000, body: body}, 12*time.Second)
				mu.Lock()
				results[fmt.Sprintf("%d %v", got.status, got.err != nil)]++
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	over := false
	for range 20 {
		time.Sleep(time.Second)
		now, most := g.memoryMB()
		mu.Lock()
		note("memory %d MB, at most %d MB; results %v", now, most, results)
		mu.Unlock()
		over = over || most > bodyRAM
	}
	close(stop)
	callers.Wait()
	return over
}
