// Command standin plays the cases of the review: it starts entry processes beside stand-ins of
// the platform, engines and requesters, disturbs them, and checks one rule.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

var cases = map[string]func(*play) bool{}

// play is one run of a case.
type play struct {
	dir     string // Temporary.
	record  *record
	trouble bool
	store   *store
	duty    *duty
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitCannotRun)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("%v", err)
	}
	tempDir = dir
	rec, err := newRecord(os.Args[2])
	if err != nil {
		cannotRun("%v", err)
	}
	watchdog := time.AfterFunc(115*time.Second, func() { cannotRun("it took too long") })
	p := &play{dir: dir, record: rec, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), duty: newDuty(rec)}
	broken := cases[os.Args[1]](p)
	watchdog.Stop()
	cleanUp()
	if broken {
		rec.add("the rule was broken")
		os.Exit(exitBroken)
	}
	rec.add("the rule held")
	os.Exit(exitHeld)
}

var tempDir string

// cleanUp ends all processes that were started and removes the temporary folder.
func cleanUp() {
	for _, g := range started {
		g.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(tempDir, "*.log"))
		for _, path := range logs {
			data, _ := os.ReadFile(path)
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(path)), data, 0o600)
		}
	}
	_ = os.RemoveAll(tempDir)
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	cleanUp()
	os.Exit(exitCannotRun)
}

// record writes what was sent, answered and run.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{start: time.Now(), file: file}, err
}

func (r *record) add(what string, fields ...any) {
	var b strings.Builder
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s%s\n", time.Since(r.start).Seconds(), what, b.String())
}

// duty is a stand-in of the platform's API for singleton duties.
type duty struct {
	address string
	mu      sync.Mutex
	reports map[int64]string // Counts by window.
	twice   []string         // Windows with two reports of different counts.
	fence   int64
}

func newDuty(rec *record) *duty {
	d := &duty{reports: map[int64]string{}}
	d.address = serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var report struct {
			Window int64            `json:"window_seq"`
			Counts map[string]int64 `json:"counts"`
		}
		var fence int64
		_, _ = fmt.Sscan(r.Header.Get("X-Fence-Token"), &fence)
		if r.URL.Path != "/usage" || json.NewDecoder(r.Body).Decode(&report) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if fence < d.fence {
			rec.add("usage refused", "window", report.Window, "holder", r.Header.Get("X-Duty-Holder"), "fence", fence)
			w.WriteHeader(http.StatusConflict)
			return
		}
		d.fence = fence
		counts := describe(report.Counts)
		rec.add("usage", "window", report.Window, "holder", r.Header.Get("X-Duty-Holder"), "fence", fence, "counts", counts)
		if before, ok := d.reports[report.Window]; ok && before != counts {
			d.twice = append(d.twice, fmt.Sprintf("window %d: %s, then %s", report.Window, before, counts))
		}
		d.reports[report.Window] = counts
	}))
	return d
}

func describe(counts map[string]int64) string {
	var parts []string
	for team, n := range counts {
		parts = append(parts, fmt.Sprintf("%s:%d", team, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ",")
}

// route is a route of the manifest; its path prefix is /NAME/.
type route struct {
	name, kind, service string
	timeoutMS, goalMS   int
	attempts            int
	resumable           bool
}

// manifest returns a manifest with the limits of the users' example.
func manifest(version int, routes ...route) map[string]any {
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": "ficu95.example", "path_prefix": "/" + r.name + "/", "kind": r.kind, "timeout_ms": r.timeoutMS, "goal_ms": r.goalMS, "priority": 1,
			"service": r.service, "max_attempts": r.attempts, "public": false, "sticky": r.kind == "stream", "resumable": r.resumable, "gap_aim_ms": 300,
		})
	}
	return map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{
			{"name": "model", "health_path": "/healthz", "max_conns": 360, "proto": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_tokens": 444000, "kv_token_bytes": 35136, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": 14, "most": 12, "kv_hold_s": 5.0, "swap_s": 3.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": "desk", "health_path": "/healthz", "max_conns": 100, "proto": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{apiKey}}},
	}
}
