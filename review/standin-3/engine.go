package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// beatInterval is the time between two writes of an endpoint's entry.
const beatInterval = 1200 * time.Millisecond

// engine is a stand-in of an endpoint that lists itself in the store.
type engine struct {
	id, service, stage, address string
	slots                       int
	born                        int64
	requests                    atomic.Int64 // That it was sent, reports left out.

	mu  sync.Mutex
	seq int
}

// startEngine starts an endpoint whose requests are served by handler. It answers reports
// and requests that are meant for another endpoint itself.
func (d *deployment) startEngine(id, service, stage string, slots int, handler func(e *engine, w http.ResponseWriter, r *http.Request)) *engine {
	listener := listen()
	e := &engine{id: id, service: service, stage: stage, slots: slots, address: listener.Addr().String(), born: time.Now().UnixMilli()}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/report" {
			e.report(w)
			return
		}
		e.requests.Add(1)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		handler(e, w, r)
	})}
	go server.Serve(listener) // It ends with this process.
	d.beat(e)
	go func() {
		for range time.Tick(beatInterval) {
			d.beat(e)
		}
	}()
	return e
}

// startRawEngine is startEngine for an endpoint that speaks on its connections itself.
func (d *deployment) startRawEngine(id, service, stage string, slots int, serve func(e *engine, conn net.Conn)) *engine {
	listener := listen()
	e := &engine{id: id, service: service, stage: stage, slots: slots, address: listener.Addr().String(), born: time.Now().UnixMilli()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(e, conn)
		}
	}()
	d.beat(e)
	go func() {
		for range time.Tick(beatInterval) {
			d.beat(e)
		}
	}()
	return e
}

func (d *deployment) beat(e *engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	row := map[string]any{
		"service": e.service, "addr": e.address, "zone": "zone-a", "version": "v1", "slots": e.slots, "state": "ready",
		"cold_left_ms": 0, "seq": e.seq, "born": e.born,
	}
	if e.stage != "" {
		row["stage"] = e.stage
		row["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	d.store.put("servers", e.id, row)
}

func (e *engine) report(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":0,"kv_used":0,"kv_total":400000,"kv_handles":0,"born":%d}`, e.stage, e.born)
}

// seal marks an answer as the engine's.
func (e *engine) seal(w http.ResponseWriter) { w.Header().Set("X-Engine-Seal", "seal-"+e.id) }

// streamHead begins a stream of events.
func (e *engine) streamHead(w http.ResponseWriter) {
	e.seal(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
}

// serveEvents returns a handler that sends a number of events, a pause apart.
func serveEvents(events int, pause time.Duration) func(e *engine, w http.ResponseWriter, r *http.Request) {
	return func(e *engine, w http.ResponseWriter, r *http.Request) {
		e.streamHead(w)
		control := http.NewResponseController(w)
		for i := 1; i <= events; i++ {
			if i > 1 || pause > 0 {
				time.Sleep(pause)
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i); err != nil {
				return
			}
			_ = control.Flush()
		}
	}
}

// serveBody returns a handler that answers with a body after a time.
func serveBody(body []byte, work time.Duration) func(e *engine, w http.ResponseWriter, r *http.Request) {
	return func(e *engine, w http.ResponseWriter, r *http.Request) {
		time.Sleep(work)
		e.seal(w)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body)
	}
}
