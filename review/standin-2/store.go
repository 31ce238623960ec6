package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as PROTOCOL.md states them.
const (
	storeAnswerTime = 4 * time.Millisecond
	maxPageRows     = 500
	maxPageBytes    = 1 << 20
	maxTxEntries    = 100
	maxFeedWait     = 30 * time.Second
)

// row is a row of the store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's metadata store.
type store struct {
	address string
	mux     *http.ServeMux

	mu      sync.Mutex
	rows    map[rowID]row // Dropped rows included.
	version int64
	started time.Time
	changed chan struct{}
	era     int64
	mode    storeMode // For all callers.
	copies  []storeCopy
}

// storeMode is how the store treats calls.
type storeMode int

const (
	storeServes storeMode = iota
	storeSilent           // No response.
	storeBusy             // 503, nothing is done.
)

// storeCopy is a copy of the rows.
type storeCopy struct {
	at      time.Time
	rows    map[rowID]row
	version int64
}

// storeDoor is an address of the store for one machine.
type storeDoor struct {
	address string
	mu      sync.Mutex
	mode    storeMode
}

func (d *storeDoor) set(mode storeMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = mode
}

func (d *storeDoor) get() storeMode {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode
}

// door opens an address of the store.
func (s *store) door(ip string) *storeDoor {
	d := &storeDoor{}
	d.address = serve(ip, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mode := d.get()
		s.mu.Lock()
		if mode == storeServes {
			mode = s.mode
		}
		s.mu.Unlock()
		switch mode {
		case storeSilent:
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case storeBusy:
			w.Header().Set("Store-Era", strconv.FormatInt(s.currentEra(), 10))
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			s.mux.ServeHTTP(w, r)
		}
	}))
	return d
}

func (s *store) currentEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *store) setMode(mode storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// keepCopy keeps a copy of the rows for restore.
func (s *store) keepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = append(s.copies, storeCopy{time.Now(), maps.Clone(s.rows), s.version})
	if len(s.copies) > 10 {
		s.copies = s.copies[1:]
	}
}

// restore has the store come back from a copy that is about as old as age.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.copies {
		if time.Since(c.at) <= age+time.Second {
			s.rows, s.version = maps.Clone(c.rows), c.version
			s.era++
			s.copies = nil
			s.notify()
			return
		}
	}
}

// newStore starts a store.
func newStore(ip string) *store {
	s := &store{rows: make(map[rowID]row), started: time.Now(), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-parts", s.serveParts)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	s.mux = mux
	s.address = s.door(ip).address
	return s
}

// serve serves a handler on a free port of an address and returns the address.
func serve(ip string, handler http.Handler) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("no free port: %v", err)
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// put writes a row as the operator or an engine does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		fail("encode a row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	written := row{Table: table, Key: key, Value: data, Ver: s.version}
	s.rows[written.id()] = written
	s.notify()
}

// drop drops a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	dropped := row{Table: table, Key: key, Ver: s.version, Tombstone: true}
	s.rows[dropped.id()] = dropped
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition []row `json:"precondition"`
		Puts         []row `json:"puts"`
		Remove       []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || len(tx.Precondition)+len(tx.Puts)+len(tx.Remove) > maxTxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, written := range append(append([]row{}, tx.Puts...), tx.Remove...) {
		if written.Table == "op" || written.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	current := []row{}
	conflict := false
	for _, condition := range tx.Precondition {
		known := s.rows[condition.id()]
		version := known.Ver
		if known.Tombstone {
			version = 0
		}
		if version > 0 {
			current = append(current, known)
		}
		conflict = conflict || version != condition.Ver
	}
	if conflict {
		s.respond(w, http.StatusPreconditionFailed, current, false, s.version)
		return
	}
	s.version++
	for _, put := range tx.Puts {
		put.Ver = s.version
		s.rows[put.id()] = put
	}
	for _, removed := range tx.Remove {
		s.rows[removed.id()] = row{Table: removed.Table, Part: removed.Part, Key: removed.Key, Ver: s.version, Tombstone: true}
	}
	s.notify()
	s.respond(w, http.StatusOK, nil, false, s.version)
}

// respond writes an answer about rows. s.mu must be held.
func (s *store) respond(w http.ResponseWriter, status int, rows []row, more bool, version int64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": more, "ver": version, "now_ms": time.Since(s.started).Milliseconds() + 1})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, known := range s.rows {
		if known.Table == query.Get("table") && known.Part == query.Get("part") && !known.Tombstone && known.Key >= query.Get("from") && (query.Get("to") == "" || known.Key < query.Get("to")) {
			rows = append(rows, known)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	size, end := 0, 0
	for end < len(rows) && end < limit && (end == 0 || size+len(rows[end].Value) <= maxPageBytes) {
		size += len(rows[end].Value)
		end++
	}
	s.respond(w, http.StatusOK, rows[:end], end < len(rows), s.version)
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for _, known := range s.rows {
		if known.Table == query.Get("table") && !known.Tombstone && known.Part > query.Get("after") {
			seen[known.Part] = true
		}
	}
	parts := []string{}
	for part := range seen {
		parts = append(parts, part)
	}
	sort.Strings(parts)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": parts, "ver": s.version, "now_ms": time.Since(s.started).Milliseconds() + 1})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	deadline := time.After(min(time.Duration(waitMS)*time.Millisecond, maxFeedWait))
	time.Sleep(storeAnswerTime)
	for {
		s.mu.Lock()
		if after > s.version {
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
			w.WriteHeader(http.StatusGone)
			s.mu.Unlock()
			return
		}
		rows := []row{}
		for _, known := range s.rows {
			if known.Table == query.Get("table") && known.Ver > after {
				rows = append(rows, known)
			}
		}
		changed := s.changed
		if len(rows) > 0 || waitMS <= 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			s.respond(w, http.StatusOK, rows, false, s.version)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			waitMS = 0
		}
	}
}
