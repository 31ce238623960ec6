package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in of the platform's metadata store: rows, transactions and feeds.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	rows    map[rowID]row
	version int64
	era     int64
	changed chan struct{}
	lost    chan struct{} // Closed when the calls that are held now are lost.
	away    bool          // Calls get no answer.
	delay   time.Duration // Of each answer.
}

func newStore() *store {
	s := &store{started: time.Now(), rows: make(map[rowID]row), era: 1, changed: make(chan struct{}), lost: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	s.address = serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, delay := s.away, s.delay
		s.mu.Unlock()
		if away {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(delay)
		mux.ServeHTTP(w, r)
	}))
	return s
}

// serve starts an HTTP server on a free port of the loopback interface.
func serve(handler http.Handler) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("no free port: %v", err)
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String()
}

// put writes a row with an empty part, as the operator and engines do. It returns the time of
// the confirmation.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		cannotRun("%v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowID{table, "", key}] = row{Table: table, Key: key, Value: data, Version: s.version}
	s.notify()
	return time.Now()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowID{table, "", key}] = row{Table: table, Key: key, Version: s.version, Deleted: true}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition, Puts, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	failed := false
	for _, condition := range tx.Precondition {
		stored, ok := s.rows[rowID{condition.Table, condition.Part, condition.Key}]
		version := stored.Version
		if !ok || stored.Deleted {
			version = 0
		} else {
			current = append(current, stored)
		}
		failed = failed || version != condition.Version
	}
	if failed {
		s.respond(w, http.StatusPreconditionFailed, current, false, s.version)
		return
	}
	s.version++
	for _, put := range tx.Puts {
		put.Version = s.version
		s.rows[rowID{put.Table, put.Part, put.Key}] = put
	}
	for _, gone := range tx.Remove {
		s.rows[rowID{gone.Table, gone.Part, gone.Key}] = row{Table: gone.Table, Part: gone.Part, Key: gone.Key, Version: s.version, Deleted: true}
	}
	s.notify()
	s.respond(w, http.StatusOK, nil, false, s.version)
}

// respond must be called with mu held.
func (s *store) respond(w http.ResponseWriter, status int, rows []row, more bool, version int64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": more, "ver": version, "now_ms": time.Since(s.started).Milliseconds() + 1000})
}

const maxPageRows = 500

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.selectRows(func(r row) bool {
		return r.Table == q.Get("table") && r.Part == q.Get("part") && !r.Deleted && r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to"))
	})
	more := len(rows) > maxPageRows
	if more {
		rows = rows[:maxPageRows]
	}
	s.respond(w, http.StatusOK, rows, more, s.version)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(min(waitMS, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after > s.version {
			s.respond(w, http.StatusGone, nil, false, s.version)
			s.mu.Unlock()
			return
		}
		rows := s.selectRows(func(r row) bool { return r.Table == q.Get("table") && r.Version > after })
		sort.SliceStable(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
		changed, lost := s.changed, s.lost
		if len(rows) > 0 || waitMS <= 0 {
			s.respond(w, http.StatusOK, rows, false, s.version)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-lost:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		case <-deadline:
			waitMS = 0
		}
	}
}

func (s *store) selectRows(match func(row) bool) []row {
	var rows []row
	for _, r := range s.rows {
		if match(r) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}
