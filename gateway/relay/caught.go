package relay

import (
	"fmt"
	"runtime/debug"
)

// caughtPanic is a panic in the goroutine of a call. It is raised again in that of the
// request, where it ends this request and not the process.
type caughtPanic struct {
	cause any
	stack []byte
}

// newCaughtPanic returns the panic with the cause that recover returned, and nil if there
// was none.
func newCaughtPanic(cause any) *caughtPanic {
	if cause == nil {
		return nil
	}
	return &caughtPanic{cause: cause, stack: debug.Stack()}
}

// Error returns the cause and the stack of the goroutine in which it was raised.
func (p *caughtPanic) Error() string {
	return fmt.Sprintf("panic in the goroutine of a call: %v\n%s", p.cause, p.stack)
}
