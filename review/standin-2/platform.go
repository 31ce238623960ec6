package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// usageReport is a usage report that the platform has accepted.
type usageReport struct {
	at     time.Time
	holder string
	fence  int64
	Window int64            `json:"window_seq"`
	Counts map[string]int64 `json:"counts"`
}

// duties is a stand-in of the platform's API. It refuses lower fence numbers.
type duties struct {
	address string

	mu      sync.Mutex
	highest int64
	reports []usageReport
}

func newDuties(ip string) *duties {
	d := &duties{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", d.serveUsage)
	mux.HandleFunc("POST /scale", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	d.address = serve(ip, mux)
	return d
}

func (d *duties) serveUsage(w http.ResponseWriter, r *http.Request) {
	report := usageReport{at: time.Now(), holder: r.Header.Get("X-Duty-Holder")}
	report.fence, _ = strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if report.fence < d.highest {
		w.WriteHeader(http.StatusConflict)
		return
	}
	d.highest = report.fence
	d.reports = append(d.reports, report)
	w.WriteHeader(http.StatusOK)
}

// problems returns what the rule ONE forbids of the accepted reports: two of one window with
// different counts, one fence number of two holders, and holders that take turns.
func (d *duties) problems() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var problems []string
	byWindow, byFence := map[int64]usageReport{}, map[int64]string{}
	for i, report := range d.reports {
		if known, ok := byWindow[report.Window]; ok && !maps.Equal(known.Counts, report.Counts) {
			problems = append(problems, fmt.Sprintf("window %d: %v by %s (%d) and %v by %s (%d)", report.Window, known.Counts, known.holder, known.fence, report.Counts, report.holder, report.fence))
		}
		byWindow[report.Window] = report
		if holder, ok := byFence[report.fence]; ok && holder != report.holder {
			problems = append(problems, fmt.Sprintf("fence %d of %s and %s", report.fence, holder, report.holder))
		}
		byFence[report.fence] = report.holder
		for j := range i {
			for k := j + 1; k < i; k++ {
				if d.reports[j].holder == report.holder && d.reports[k].holder != report.holder && report.at.Sub(d.reports[j].at) < 3*time.Second {
					problems = append(problems, fmt.Sprintf("turns of %s, %s, %s in %v", report.holder, d.reports[k].holder, report.holder, report.at.Sub(d.reports[j].at)))
				}
			}
		}
	}
	return problems
}
