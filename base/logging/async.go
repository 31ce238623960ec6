package logging

import (
	"fmt"
	"io"
	"sync/atomic"

	"flamingospar.org/base/ring"
)

// AsyncWriter is an io.Writer that never blocks. Lines are buffered in a bounded
// ring, from which a single goroutine writes them. A line that arrives while the
// ring is full is dropped; the number of dropped lines is written before the next
// line.
type AsyncWriter struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
	out     io.Writer
	stopped chan struct{}
	stop    chan struct{}
}

// NewAsyncWriter returns a writer to out that buffers at most capacity lines.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	a := &AsyncWriter{lines: ring.New[[]byte](capacity), out: out, stopped: make(chan struct{}), stop: make(chan struct{})}
	go a.run()
	return a
}

// Write buffers one line per call. It always reports success, also when the line
// is dropped.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if !a.lines.Offer(append([]byte(nil), line...)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

func (a *AsyncWriter) run() {
	defer close(a.stopped)
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

// write writes a line, preceded by the number of dropped lines if there are any.
// Errors are ignored, since the log itself is where they would be reported.
func (a *AsyncWriter) write(line []byte) {
	if n := a.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(a.out, "{\"level\":\"WARN\",\"msg\":\"Log lines were dropped because standard output is not read fast enough.\",\"dropped\":%d}\n", n)
	}
	_, _ = a.out.Write(line)
}

// Close writes the buffered lines and stops the goroutine.
func (a *AsyncWriter) Close() {
	close(a.stop)
	<-a.stopped
}
