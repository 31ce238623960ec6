package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// beat is the interval at which engines write their entry.
const beat = 1200 * time.Millisecond

// missedBeats is the number of intervals of silence after which an entry is removed.
const missedBeats = 3

// arrival is a request that an engine received.
type arrival struct {
	at      time.Time
	engine  string
	id      string
	from    string // IP of the machine that sent it.
	path    string
	lastID  string
	notRun  bool
	refused int
	tenant  string
	kind    string
}

// engine is a stand-in of a server of a service: a model engine if it has a stage.
type engine struct {
	id, service, zone, version, stage string
	slots                             int
	address                           string
	store                             *store
	born                              int64
	state                             string
	seq                               int // Of the entry.
	lastBeat                          time.Time
	changing                          bool
	orders                            int // Accepted since the start.
	fence                             int64
	handler                           func(e *engine, w http.ResponseWriter, r *http.Request) // Answers requests.
	server                            *http.Server
	stopBeats                         context.CancelFunc

	mu       sync.Mutex
	arrivals []arrival
	running  map[string]int // Runs by request ID.
}

// newEngine starts an engine at a loopback address of its own.
func newEngine(s *store, ip, id, service, zone, version, stage string, slots int, handler func(*engine, http.ResponseWriter, *http.Request)) *engine {
	e := &engine{id: id, service: service, zone: zone, version: version, stage: stage, slots: slots, store: s, state: "ready", handler: handler, running: map[string]int{}}
	e.address = freeAddress(ip)
	e.begin()
	return e
}

// wrapListener, if set, stands between an engine and its connections.
var wrapListener func(e *engine, inner net.Listener) net.Listener

// begin starts a new incarnation.
func (e *engine) begin() {
	e.mu.Lock()
	e.born = time.Now().UnixMilli()
	e.mu.Unlock()
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		fail("engine %s: %v", e.id, err)
	}
	if wrapListener != nil {
		listener = wrapListener(e, listener)
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func(server *http.Server) { _ = server.Serve(listener) }(e.server)
	ctx, cancel := context.WithCancel(context.Background())
	e.stopBeats = cancel
	e.mu.Lock()
	e.seq, e.orders, e.fence, e.changing = 0, 0, 0, false
	e.mu.Unlock()
	e.writeEntry()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(beat):
				e.mu.Lock()
				e.seq++
				e.mu.Unlock()
				e.writeEntry()
			}
		}
	}()
}

// crash ends the incarnation: its connections are reset and nothing is said.
func (e *engine) crash() {
	e.stopBeats()
	_ = e.server.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	born := e.born
	time.AfterFunc(time.Until(e.lastBeat.Add(missedBeats*beat)), func() { e.lapse(born) })
}

// lapse drops the entry of an incarnation that has been silent, unless another has begun.
func (e *engine) lapse(born int64) {
	e.mu.Lock()
	silent := e.born == born
	e.mu.Unlock()
	if silent {
		e.store.drop("servers", e.id)
	}
}

func (e *engine) writeEntry() {
	e.mu.Lock()
	e.lastBeat = time.Now()
	entry := map[string]any{
		"service": e.service, "addr": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": e.state, "cold_left_ms": 0, "seq": e.seq, "born": e.born,
	}
	if e.stage != "" {
		entry["stage"] = e.stage
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	e.mu.Unlock()
	e.store.put("servers", e.id, entry)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		e.serveReport(w)
	case r.Method == http.MethodGet && r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
	case r.Method == http.MethodPost && r.URL.Path == "/order":
		e.serveOrder(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-"):
		w.WriteHeader(http.StatusOK)
	default:
		e.handler(e, w, r)
	}
}

// swap is the time that a change of the stage takes.
const swap = 3 * time.Second

// serveOrder carries out an order to change the stage.
func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op           string `json:"op"`
		Stage        string `json:"stage"`
		Holder       string `json:"holder"`
		Fence        int64  `json:"fence"`
		Precondition *int   `json:"precondition"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Op != "stage" || order.Holder == "" || order.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case order.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case e.changing || order.Precondition != nil && *order.Precondition != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence = order.Fence
	if order.Stage == e.stage {
		w.WriteHeader(http.StatusOK)
		return
	}
	e.changing = true
	e.orders++
	time.AfterFunc(swap, func() {
		e.mu.Lock()
		e.changing, e.stage = false, order.Stage
		e.seq++
		e.mu.Unlock()
		e.writeEntry()
	})
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": e.stage, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": e.changing, "seq": e.orders, "waiting": 0, "running": 0,
		"kv_used": 0, "kv_total": 524759, "kv_handles": 0, "born": e.born,
	})
}

// record records a request that has arrived.
func (e *engine) record(r *http.Request) arrival {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	a := arrival{at: time.Now(), engine: e.id, id: r.Header.Get("X-Request-Id"), from: host, path: r.URL.Path, lastID: r.Header.Get("Last-Event-Id"), tenant: r.Header.Get("X-Tenant")}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, a)
	return a
}

// seal is the signature of an engine's answer.
func (e *engine) seal(r *http.Request) string {
	return fmt.Sprintf("%s.%d.%s", e.id, e.born, r.Header.Get("X-Request-Id"))
}

// answerPlain runs a request of a plain service for a time and answers it.
func answerPlain(work time.Duration) func(*engine, http.ResponseWriter, *http.Request) {
	return func(e *engine, w http.ResponseWriter, r *http.Request) {
		e.record(r)
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(work)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Engine-Seal", e.seal(r))
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, strings.Repeat("x", 800))
	}
}

// answerStream answers a request with a stream of events.
func answerStream(events int, first, pause time.Duration) func(*engine, http.ResponseWriter, *http.Request) {
	return func(e *engine, w http.ResponseWriter, r *http.Request) {
		e.record(r)
		_, _ = io.Copy(io.Discard, r.Body)
		e.stream(w, r, events, first, pause)
	}
}

// stream sends the events after the last one that the request names.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, events int, first, pause time.Duration) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Engine-Seal", e.seal(r))
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= events; i++ {
		wait := pause
		if i == last+1 {
			wait = first
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(wait):
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		w.(http.Flusher).Flush()
	}
}
