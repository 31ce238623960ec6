package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// beat is how often an engine writes its row.
const beat = 1200 * time.Millisecond

// engine is a stand-in of an engine. It registers itself, may crash and start again under its ID.
type engine struct {
	id, service, zone string
	store             *store
	record            *record
	address           string
	serveRun          func(e *engine, w http.ResponseWriter, r *http.Request, run runInfo)
	// prefillTime is how long a prefill takes.
	prefillTime time.Duration

	mu        sync.Mutex
	header    map[string]string // Added to each answer.
	version   string
	stage     string
	state     string
	born      int64
	seq       int
	orders    int
	busyUntil time.Time
	server    *http.Server
	listener  net.Listener
	dark      chan struct{} // Closed when the incarnation goes dark.
	cancel    context.CancelFunc
	ctx       context.Context
	handles   map[string]bool
	runs      map[string]int // By request ID.
	began     []time.Time    // Of each run.
	fence     int64
}

// runInfo identifies one run at an engine.
type runInfo struct {
	id      string
	version string
	n       int // How often this engine has begun the request.
	dark    <-chan struct{}
}

func newEngine(s *store, rec *record, id, service, zone, stage, version string) *engine {
	e := &engine{id: id, service: service, zone: zone, store: s, record: rec, stage: stage, version: version, state: "ready", header: map[string]string{}, runs: map[string]int{}, serveRun: serveStream}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("no free port: %v", err)
	}
	e.address = listener.Addr().String()
	e.start(listener)
	return e
}

// start starts an incarnation and registers it.
func (e *engine) start(listener net.Listener) {
	e.mu.Lock()
	e.born, e.seq, e.orders, e.fence = time.Now().UnixMilli(), 0, 0, 0
	e.handles = map[string]bool{}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	ctx := e.ctx
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle)}
	e.listener, e.dark = listener, make(chan struct{})
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	e.register()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(beat):
				e.register()
			}
		}
	}()
}

// register writes the row of the engine and returns the time of the confirmation.
func (e *engine) register() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		return time.Now()
	}
	e.seq++
	value := map[string]any{"service": e.service, "addr": e.address, "zone": e.zone, "version": e.version, "slots": 48, "state": e.state, "cold_left_ms": 0, "seq": e.seq, "born": e.born}
	if e.stage != "" {
		value["stage"] = e.stage
		value["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return e.store.put("servers", e.id, value)
}

// crash ends the incarnation without a word. Its connections are closed.
func (e *engine) crash() {
	e.mu.Lock()
	server, cancel := e.server, e.cancel
	e.mu.Unlock()
	cancel()
	_ = server.Close()
}

// goDark ends the incarnation as a loss of power does: its connections stay open and silent.
func (e *engine) goDark() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.dark)
	e.cancel()
	_ = e.listener.Close()
}

// restart starts the engine again under its ID and address, with a software version.
func (e *engine) restart(version string) {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		cannotRun("an engine could not start again: %v", err)
	}
	e.mu.Lock()
	e.version = version
	e.mu.Unlock()
	e.start(listener)
}

func (e *engine) setState(state string) time.Time {
	e.mu.Lock()
	e.state = state
	e.mu.Unlock()
	return e.register()
}

// setHeader adds a header to each answer from now on, or no longer if the value is empty.
func (e *engine) setHeader(name, value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if value == "" {
		delete(e.header, name)
		return
	}
	e.header[name] = value
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	for name, value := range e.header {
		w.Header().Set(name, value)
	}
	version, stage, busy := e.version, e.stage, time.Now().Before(e.busyUntil)
	e.mu.Unlock()
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/report":
		e.serveReport(w)
		return
	case r.URL.Path == "/order":
		e.serveOrder(w, r)
		return
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if id == "" || busy {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get("X-Stage") == "prefill" {
		if stage != "prefill" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.record.add("arrived", "request", id, "engine", e.id, "what", "prefill")
		time.Sleep(e.prefillTime)
		e.mu.Lock()
		handle := e.id + "-" + id
		e.handles[handle] = true
		e.mu.Unlock()
		w.Header().Set("X-Engine-Seal", e.id+".handle")
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "tokens": 10, "version": 1})
		return
	}
	if stage == "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.runs[id]++
	e.began = append(e.began, time.Now())
	run := runInfo{id: id, version: version, n: e.runs[id], dark: e.dark}
	e.mu.Unlock()
	e.record.add("run", "request", id, "engine", e.id, "software", version, "after", r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Engine-Seal", e.id+"."+id)
	e.serveRun(e, w, r, run)
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": e.stage, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": time.Now().Before(e.busyUntil), "seq": e.orders, "born": e.born,
		"waiting": 0, "running": 0, "kv_used": 0, "kv_total": 444000, "kv_handles": 0,
	})
}

// swapTime is how long an engine takes to change its stage.
const swapTime = 3 * time.Second

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op, Stage, Holder string
		Fence             int64
		Precondition      *int
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Op != "stage" || order.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case order.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case time.Now().Before(e.busyUntil), order.Precondition != nil && *order.Precondition != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence = order.Fence
	e.record.add("order", "engine", e.id, "stage", order.Stage, "holder", order.Holder, "fence", order.Fence)
	if order.Stage == e.stage {
		return
	}
	e.orders++
	e.busyUntil = time.Now().Add(swapTime)
	ctx := e.ctx
	time.AfterFunc(swapTime, func() {
		if ctx.Err() == nil {
			e.mu.Lock()
			e.stage = order.Stage
			e.mu.Unlock()
			e.register()
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

// Size of a stream. The pause is inside that of the sheet (300 ms).
var (
	streamEvents = 14
	streamPause  = 280 * time.Millisecond
)

// serveStream streams the events after the one that the request names. Each names the engine and
// its software version.
func serveStream(e *engine, w http.ResponseWriter, r *http.Request, run runInfo) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flush := http.NewResponseController(w).Flush
	time.Sleep(30 * time.Millisecond)
	for i := from + 1; i <= streamEvents; i++ {
		if i > from+1 {
			select {
			case <-run.dark:
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				e.record.add("run ended early", "request", run.id, "engine", e.id, "events", i-1)
				panic(http.ErrAbortHandler)
			case <-time.After(streamPause):
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s by %s software %s\n\n", i, i, run.id, e.id, run.version)
		_ = flush()
	}
	e.record.add("run complete", "request", run.id, "engine", e.id)
}

// servePlain answers after a short time.
func servePlain(e *engine, w http.ResponseWriter, _ *http.Request, run runInfo) {
	time.Sleep(40 * time.Millisecond)
	fmt.Fprintf(w, "answer to %s by %s", run.id, e.id)
}
