package soak_test

import (
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// TestMain ends the processes of a run that is cut off by a signal.
func TestMain(m *testing.M) {
	cutOff := make(chan os.Signal, 1)
	signal.Notify(cutOff, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		s := <-cutOff
		started.killAll()
		fmt.Fprintln(os.Stderr, "The run was cut off by", s)
		os.Exit(1)
	}()
	os.Exit(m.Run())
}

// children are the processes that a run started and that have not ended.
type children struct {
	mu      sync.Mutex
	running map[int]*os.Process
}

var started = children{running: make(map[int]*os.Process)}

func (c *children) add(p *os.Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[p.Pid] = p
}

func (c *children) remove(p *os.Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, p.Pid)
}

func (c *children) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.running {
		_ = p.Kill() // It may have ended.
	}
}

// report is what happened in the seeds of a run.
type report struct {
	mu                       sync.Mutex
	seeds, requests, answers int
	faults                   map[string]int // By kind.
}

func newReport() *report { return &report{faults: make(map[string]int)} }

func (r *report) fault(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[kind]++
}

// seed adds the requests of one seed, whose checks all held.
func (r *report) seed(requests, answers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds++
	r.requests += requests
	r.answers += answers
}

// String returns the report as a table.
func (r *report) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out strings.Builder
	fmt.Fprintf(&out, "%d seeds held every promise; %d requests, %d answered whole\n", r.seeds, r.requests, r.answers)
	for _, kind := range slices.Sorted(maps.Keys(r.faults)) {
		fmt.Fprintf(&out, "  %-30s %6d\n", kind, r.faults[kind])
	}
	return out.String()
}
