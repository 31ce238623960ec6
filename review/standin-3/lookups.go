package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case of lookups that were under way when endpoints crashed.
const (
	lookupInterval = 8 * time.Millisecond // Of the tenant that names states in the query.
	otherInterval  = 3 * lookupInterval   // Of the other tenant.
	lookupWork     = 60 * time.Millisecond
	lookupCalm     = 3 * time.Second
	lookupDowntime = 2 * time.Second
	lookupTime     = 92 * time.Second
)

func init() { cases["same-lookups"] = sameLookupsCase }

// plainCrasher is a plain endpoint that can crash: its channels are reset, connections are
// refused, and it is back after some seconds under the ID that it had.
type plainCrasher struct {
	*engine
	d *deployment

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
}

func (d *deployment) startPlainCrasher(id string) *plainCrasher {
	listener := listen()
	c := &plainCrasher{engine: &engine{id: id, service: "plain", slots: 6, address: listener.Addr().String()}, d: d}
	c.up(listener)
	go func() {
		for range time.Tick(beatInterval) {
			c.mu.Lock()
			up := c.listener != nil
			c.mu.Unlock()
			if up {
				d.beat(c.engine)
			}
		}
	}()
	return c
}

func (c *plainCrasher) up(listener net.Listener) {
	conns := make(map[net.Conn]bool)
	var slots = make(chan struct{}, 6)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			if r.Header.Get("X-Expect-Instance") != c.id {
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			slots <- struct{}{}
			defer func() { <-slots }()
			time.Sleep(lookupWork)
			c.seal(w)
			_, _ = w.Write([]byte("status: filed"))
		}),
		ConnState: func(conn net.Conn, state http.ConnState) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if state == http.StateClosed {
				delete(conns, conn)
				return
			}
			conns[conn] = true
		},
	}
	c.mu.Lock()
	c.listener, c.server, c.conns = listener, server, conns
	c.mu.Unlock()
	c.engine.mu.Lock()
	c.born, c.seq = time.Now().UnixMilli(), 0
	c.engine.mu.Unlock()
	c.d.beat(c.engine)
	go server.Serve(listener) // It ends with the crash.
}

func (c *plainCrasher) crash() {
	c.mu.Lock()
	listener, server := c.listener, c.server
	c.listener = nil
	for conn := range c.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	c.mu.Unlock()
	_ = listener.Close()
	_ = server.Close()
	time.AfterFunc(lookupDowntime, func() {
		listener, err := net.Listen("tcp", c.address)
		if err != nil {
			cantRun("the address of an endpoint is not free: %v", err)
		}
		c.up(listener)
	})
}

// tally counts the requests of one tenant.
type tally struct {
	sent, served           atomic.Int64
	sentAfter, servedAfter atomic.Int64 // Sent later than recover_s after the endpoints were back.
	mu                     sync.Mutex
	statuses               map[string]int
}

// sameLookupsCase has two tenants look up states, each time another one: the first names it in
// the query, the other one in the path. Once, all endpoints of the service crash at the same
// moment.
func sameLookupsCase() bool {
	const recover = 12 * time.Second
	d := newDeployment(284)
	cleanup = d.stopAll
	var endpoints []*plainCrasher
	for i := range 2 {
		endpoints = append(endpoints, d.startPlainCrasher(fmt.Sprintf("p%d", i+1)))
	}
	d.startEngine("m1", "model", "decode", 48, serveEvents(3, 10*time.Millisecond))
	d.publish(1, []route{
		{Name: "lookup", Host: host, PathPrefix: "/lookup/", Kind: "idempotent", Service: "plain", TimeoutMS: 1500, GoalMS: 300, MaxAttempts: 2},
	})
	d.startGateways(4)
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var afterFrom atomic.Int64 // Unix nanoseconds; 0 before the crash.
	same, different := newTally(), newTally()
	var callers sync.WaitGroup
	run := func(t *tally, interval time.Duration, apiKey string, path func(n int) string) {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				callers.Go(func() {
					from := afterFrom.Load()
					after := from != 0 && time.Now().UnixNano() >= from
					t.sent.Add(1)
					got := send(d.gateways[n%len(d.gateways)].callers, request{method: "GET", path: path(n), id: nextID(apiKey), deadlineMS: 1500, apiKey: apiKey}, 2*time.Second)
					served := t.count(got)
					if after {
						t.sentAfter.Add(1)
						if served {
							t.servedAfter.Add(1)
						}
					}
				})
			}
		})
	}
	run(same, lookupInterval, key, func(n int) string { return fmt.Sprintf("/lookup/serial?number=%d", n) })
	run(different, otherInterval, "other-key", func(n int) string { return fmt.Sprintf("/lookup/serial/%d", n) })
	time.Sleep(lookupCalm)
	note("before: %d of %d lookups by query served, %d of %d by path", same.served.Load(), same.sent.Load(), different.served.Load(), different.sent.Load())
	if trouble {
		note("all endpoints of the service crash; they are back after %v", lookupDowntime)
		for _, e := range endpoints {
			e.crash()
		}
	}
	afterFrom.Store(time.Now().Add(lookupDowntime + recover).UnixNano())
	for time.Since(began) < lookupTime {
		time.Sleep(5 * time.Second)
		note("%d of %d lookups by query served, %d of %d by path", same.served.Load(), same.sent.Load(), different.served.Load(), different.sent.Load())
	}
	close(stop)
	callers.Wait()
	note("answers, by query: %s", encode(same.statuses))
	note("answers, by path: %s", encode(different.statuses))
	note("later than recover_s after the endpoints were back: %d of %d lookups by query served, %d of %d by path", same.servedAfter.Load(), same.sentAfter.Load(), different.servedAfter.Load(), different.sentAfter.Load())
	return starved("tenant", same, different)
}

// starved reports whether the requests of the first tally are served less than a quarter as often
// as all.
func starved(what string, first, other *tally) bool {
	own := float64(first.served.Load()) / float64(first.sent.Load())
	all := float64(first.served.Load()+other.served.Load()) / float64(first.sent.Load()+other.sent.Load())
	note("served: %.3f of the requests of this %s, %.3f of all", own, what, all)
	return own < all/4
}

func newTally() *tally { return &tally{statuses: make(map[string]int)} }

// count counts an answer.
func (t *tally) count(got answer) (served bool) {
	served = got.status == 200 && got.sealed && got.err == nil
	if served {
		t.served.Add(1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	text := fmt.Sprintf("%d", got.status)
	if got.status != 200 {
		text = fmt.Sprintf("%d %s", got.status, got.body[:min(len(got.body), 24)])
	}
	t.statuses[text]++
	return served
}
