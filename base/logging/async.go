package logging

import (
	"fmt"
	"io"
	"sync/atomic"

	"flamingospar.org/base/ring"
)

// Async is a writer that never blocks: lines wait in a bounded ring for one
// goroutine that writes them. When the ring is full a line is dropped and
// counted; the count is written once there is room.
type Async struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
	out     io.Writer
	done    chan struct{}
	stop    chan struct{}
}

// NewAsync returns a writer to out that holds at most capacity lines.
func NewAsync(out io.Writer, capacity int) *Async {
	a := &Async{lines: ring.New[[]byte](capacity), out: out, done: make(chan struct{}), stop: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer: one call is one line.
func (a *Async) Write(line []byte) (int, error) {
	if !a.lines.Offer(append([]byte(nil), line...)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

func (a *Async) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines.Items():
			a.write(line)
		case <-a.stop:
			for _, line := range a.lines.Drain() {
				a.write(line)
			}
			return
		}
	}
}

// write writes a line and before it how many were lost. There is nowhere to
// report that standard output itself fails.
func (a *Async) write(line []byte) {
	if n := a.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(a.out, "{\"level\":\"WARN\",\"msg\":\"Log lines were dropped, since standard output is not read fast enough.\",\"dropped\":%d}\n", n)
	}
	_, _ = a.out.Write(line)
}

// Close writes what waits and ends the goroutine.
func (a *Async) Close() {
	close(a.stop)
	<-a.done
}
