package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the metadata store as the users' pages spell it.
type storeRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in of the platform's metadata store: rows with versions from one
// counter, atomic transactions on conditions, ranges and a feed of changes. It keeps all
// of its history.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[rowID]storeRow
	log     []storeRow
	changed chan struct{} // Closed at the next change.
}

func newStore() *store {
	s := &store{started: time.Now(), rows: make(map[rowID]storeRow), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	listener := listen()
	s.address = listener.Addr().String()
	go http.Serve(listener, mux) // It ends with this process.
	return s
}

// Ports that are listened on. They are below those that the system gives to outgoing channels, so
// that a stand-in which is down for a time finds its port free.
const (
	minPort = 12_000
	maxPort = 32_000
)

// listen opens a free port on the loopback interface.
func listen() net.Listener {
	for range 100 {
		if listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort))); err == nil {
			return listener
		}
	}
	cantRun("no free port")
	return nil
}

// put writes a row as the operator or an endpoint does.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		cantRun("encoding a row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(storeRow{Table: table, Key: key, Value: encoded, Ver: s.ver})
	s.announce()
}

// remove drops a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(storeRow{Table: table, Key: key, Ver: s.ver, Tombstone: true})
	s.announce()
}

func (s *store) write(row storeRow) {
	id := rowID{row.Table, row.Part, row.Key}
	if row.Tombstone {
		delete(s.rows, id)
	} else {
		s.rows[id] = row
	}
	s.log = append(s.log, row)
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow, more bool, ver int64) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": more, "ver": ver, "now_ms": time.Since(s.started).Milliseconds() + 1000})
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition []storeRow `json:"precondition"`
		Puts         []storeRow `json:"puts"`
		Remove       []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	var current []storeRow
	for _, c := range tx.Precondition {
		known := s.rows[rowID{c.Table, c.Part, c.Key}]
		failed = failed || known.Ver != c.Ver
		if known.Ver != 0 {
			current = append(current, known)
		}
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current, false, s.ver)
		return
	}
	s.ver++
	for _, row := range tx.Puts {
		row.Ver = s.ver
		s.write(row)
	}
	for _, row := range tx.Remove {
		if _, ok := s.rows[rowID{row.Table, row.Part, row.Key}]; ok {
			s.write(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Ver: s.ver, Tombstone: true})
		}
	}
	s.announce()
	s.answer(w, http.StatusOK, nil, false, s.ver)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	const maxRows = 500
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for id, row := range s.rows {
		if id.table == query.Get("table") && id.part == query.Get("part") && id.key >= query.Get("from") && (query.Get("to") == "" || id.key < query.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > maxRows
	s.answer(w, http.StatusOK, rows[:min(len(rows), maxRows)], more, s.ver)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, ver, changed := s.changesAfter(query.Get("table"), after), s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || waitMS == 0 {
			s.answer(w, http.StatusOK, rows, false, ver)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changesAfter(table string, after int64) []storeRow {
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Ver > after })
	newest := make(map[rowID]int)
	var rows []storeRow
	for _, row := range s.log[first:] {
		if row.Table != table {
			continue
		}
		id := rowID{row.Table, row.Part, row.Key}
		if at, ok := newest[id]; ok {
			rows[at].Ver = 0 // A later change replaces it.
		}
		newest[id] = len(rows)
		rows = append(rows, row)
	}
	kept := rows[:0]
	for _, row := range rows {
		if row.Ver != 0 {
			kept = append(kept, row)
		}
	}
	return kept
}
