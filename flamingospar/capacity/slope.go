// Package capacity measures what each role costs for one more team, endpoint,
// record or call, works the figures at the target size out of it, and compares
// them with docs/CAPACITY.md.
package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// Unit is what a slope is measured in.
type Unit string

// The units.
const (
	Bytes        Unit = "B"
	Microseconds Unit = "µs" // Of one core.
)

// Slope is a measured cost of one more of something.
type Slope struct {
	Name  string
	Unit  Unit
	Value float64
	Of    string // What one more of it costs this.
}

// measurement is a slope and how to measure it.
type measurement struct {
	name    string
	unit    Unit
	of      string
	measure func() (float64, error)
}

const (
	timedFor    = 300 * time.Millisecond
	timedRounds = 3
)

// cpuOf returns the processor time of one call of f in microseconds: the
// lowest of some rounds, all goroutines included.
func cpuOf(f func()) float64 {
	f()
	best := 0.0
	for range timedRounds {
		calls := 0
		begun := time.Now()
		before := processorTime()
		for time.Since(begun) < timedFor {
			f()
			calls++
		}
		each := float64((processorTime() - before).Nanoseconds()) / float64(calls) / 1e3
		if best == 0 || each < best {
			best = each
		}
	}
	return best
}

// processorTime is what the process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapOf returns the bytes on the heap for each of n things that build makes.
// What build returns is kept until the second look.
func heapOf(n int, build func(n int) any) float64 {
	before := heap()
	kept := build(n)
	after := heap()
	runtime.KeepAlive(kept)
	return float64(after-before) / float64(n)
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}
