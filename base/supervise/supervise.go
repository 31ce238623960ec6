// Package supervise recovers panics in background tasks so that they don't end
// the process. A panic is logged with its stack and reported, and the task is
// restarted.
package supervise

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/logging"
)

const (
	// restartDelay is the pause before a task is restarted after a panic. It keeps
	// a task that panics immediately from using all of the CPU.
	restartDelay = 1 * time.Second
	// maxStackBytes limits the length of the stack trace in a log line.
	maxStackBytes = 4 << 10
)

// ErrPanicked is wrapped by the error that Call returns after a panic.
var ErrPanicked = errors.New("panic; remedy: report the stack trace in the log, since this is a bug in the program")

var log = logging.For("base/supervise")

// Supervisor runs tasks and recovers their panics. The zero value is ready to use.
type Supervisor struct {
	// OnPanic, if set, is called after each panic with the name that was passed
	// to Run or Call.
	OnPanic func(name string)
}

// Run runs a task and restarts it after restartDelay if it panics. It returns
// when the task returns, or, after a panic, when ctx ends.
func (s Supervisor) Run(ctx context.Context, name string, task func(context.Context)) {
	for {
		if err := s.Call(name, func() { task(ctx) }); err == nil {
			return
		}
		if !clock.Sleep(ctx, restartDelay) {
			return
		}
		log.Info("The task is restarted after a panic.", "duty", name)
	}
}

// Call calls f and returns an error that wraps ErrPanicked if f panics.
func (s Supervisor) Call(name string, f func()) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		err = fmt.Errorf("%w: %v", ErrPanicked, cause)
		stack := debug.Stack()
		log.Error(err, "A part of the process panicked; the rest goes on.", "part", name, "stack", string(stack[:min(len(stack), maxStackBytes)]))
		if s.OnPanic != nil {
			s.OnPanic(name)
		}
	}()
	f()
	return nil
}
