// Package supervise keeps a panic in one duty from ending the whole process: the
// duty is logged with its stack, counted, and run again.
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
	// againAfter is the pause before a duty that panicked is run again, so that one
	// which panics at once does not use up the processor.
	againAfter = 1 * time.Second
	// maxStack bounds the stack in a log line, in bytes.
	maxStack = 4 << 10
)

// ErrPanicked is wrapped by the error of a call that panicked.
var ErrPanicked = errors.New("a panic; remedy: report the stack in the log, it is a fault of this program")

var log = logging.For("base/supervise")

// Supervisor runs duties. The zero value counts nothing.
type Supervisor struct {
	// Panicked hears of each panic with the name of what panicked, if set.
	Panicked func(name string)
}

// Run runs a duty until it returns, and again after a pause when it panics. It
// returns when the duty does, or when ctx ends.
func (s Supervisor) Run(ctx context.Context, name string, duty func(context.Context)) {
	for {
		if err := s.Call(name, func() { duty(ctx) }); err == nil {
			return
		}
		if !clock.Sleep(ctx, againAfter) {
			return
		}
		log.Info("A duty is run again after a panic.", "duty", name)
	}
}

// Call calls f and returns an error that wraps ErrPanicked when it panics.
func (s Supervisor) Call(name string, f func()) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		err = fmt.Errorf("%w: %v", ErrPanicked, cause)
		stack := debug.Stack()
		log.Error(err, "A part of the process panicked; the rest goes on.", "part", name, "stack", string(stack[:min(len(stack), maxStack)]))
		if s.Panicked != nil {
			s.Panicked(name)
		}
	}()
	f()
	return nil
}
