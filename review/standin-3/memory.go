package main

import (
	"sync"
	"time"
)

// What the platform does with a process that exceeds the memory of its machine.
const (
	memoryCheckInterval = 50 * time.Millisecond
	restartDelay        = time.Second
	// faultEnds is the number of ends of a process that counts as a fault, and faultMachines
	// the number of machines with so many, see Fault in the rules.
	faultEnds     = 3
	faultMachines = 2
)

// memoryWatch is the platform as far as it concerns the memory of processes: one that exceeds
// it is killed, and started again after a short delay.
type memoryWatch struct {
	d    *deployment
	stop chan struct{}
	done sync.WaitGroup

	mu   sync.Mutex
	ends map[string]int // By process.
}

func (d *deployment) watchMemory() *memoryWatch {
	w := &memoryWatch{d: d, stop: make(chan struct{}), ends: make(map[string]int)}
	for _, g := range d.gateways {
		w.done.Go(func() { w.watch(g) })
	}
	return w
}

func (w *memoryWatch) watch(g *gateway) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(memoryCheckInterval):
		}
		now, _ := g.memoryMB()
		if now <= w.d.ramMB && g.running() {
			continue
		}
		note("%s holds %d MB, its machine has %d MB: the platform kills it", g.name, now, w.d.ramMB)
		g.kill()
		w.mu.Lock()
		w.ends[g.name]++
		w.mu.Unlock()
		time.Sleep(restartDelay)
		w.d.start(g)
	}
}

// fault reports whether processes of enough machines ended often enough.
func (w *memoryWatch) fault() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	machines := 0
	for _, ends := range w.ends {
		if ends >= faultEnds {
			machines++
		}
	}
	return machines >= faultMachines
}

// end ends the watch and reports whether there was a fault.
func (w *memoryWatch) end() bool {
	close(w.stop)
	w.done.Wait()
	note("ends by the memory of the machine: %s", encode(w.ends))
	return w.fault()
}
