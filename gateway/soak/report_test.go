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

// TestMain kills the child processes when the test run is interrupted by a signal.
func TestMain(m *testing.M) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		s := <-interrupted
		startedProcesses.killAll()
		fmt.Fprintln(os.Stderr, "test run interrupted by", s)
		os.Exit(1)
	}()
	os.Exit(m.Run())
}

// processSet tracks the child processes that are still running.
type processSet struct {
	mu      sync.Mutex
	running map[int]*os.Process
}

var startedProcesses = processSet{running: make(map[int]*os.Process)}

func (c *processSet) add(p *os.Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[p.Pid] = p
}

func (c *processSet) remove(p *os.Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, p.Pid)
}

func (c *processSet) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.running {
		_ = p.Kill() // It may have exited already.
	}
}

// report accumulates the results of all seeds in a test run.
type report struct {
	mu                        sync.Mutex
	seeds, requests, complete int
	faults                    map[string]int // Number of injected faults by kind.
}

func newReport() *report { return &report{faults: make(map[string]int)} }

func (r *report) addFault(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[kind]++
}

// addSeed records a seed that passed every check.
func (r *report) addSeed(requests, complete int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds++
	r.requests += requests
	r.complete += complete
}

// String formats the report as a table.
func (r *report) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out strings.Builder
	fmt.Fprintf(&out, "%d seeds passed every check; %d requests, %d complete responses\n", r.seeds, r.requests, r.complete)
	for _, kind := range slices.Sorted(maps.Keys(r.faults)) {
		fmt.Fprintf(&out, "  %-30s %6d\n", kind, r.faults[kind])
	}
	return out.String()
}
