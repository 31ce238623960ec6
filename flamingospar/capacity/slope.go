// Package capacity measures the marginal cost of a team, endpoint, record or call
// for each role, estimates from it the costs at the target size, and compares the
// measurements with docs/CAPACITY.md.
package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// Unit is the unit of a slope.
type Unit string

// The units of slopes.
const (
	Bytes        Unit = "B"
	Microseconds Unit = "µs" // Processor time.
)

// Slope is the measured cost of one more item of a kind.
type Slope struct {
	Name  string
	Unit  Unit
	Value float64
	Item  string // The item that has this cost.
}

// measurement describes a slope and measures its value.
type measurement struct {
	name    string
	unit    Unit
	item    string
	measure func() (float64, error)
}

const (
	cpuRoundTime = 300 * time.Millisecond
	cpuRounds    = 3
)

// cpuPerCall returns the processor time of a call of f in microseconds, all
// goroutines included. It is the lowest average of cpuRounds rounds.
func cpuPerCall(f func()) float64 {
	f()
	lowest := 0.0
	for range cpuRounds {
		calls := 0
		start := time.Now()
		before := processCPUTime()
		for time.Since(start) < cpuRoundTime {
			f()
			calls++
		}
		perCall := float64((processCPUTime() - before).Nanoseconds()) / float64(calls) / 1e3
		if lowest == 0 || perCall < lowest {
			lowest = perCall
		}
	}
	return lowest
}

// processCPUTime returns the user and system time that the process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapPerItem returns the heap bytes per item of the n items that build creates.
// The result of build stays reachable until the heap is measured again.
func heapPerItem(n int, build func(n int) any) float64 {
	before := heapInUse()
	built := build(n)
	after := heapInUse()
	runtime.KeepAlive(built)
	return float64(after-before) / float64(n)
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}
