package logging

import (
	"strings"
	"sync/atomic"
)

// Sink takes every line beside the log. err is nil for normal operation.
type Sink func(part, sentence string, err error, keysAndValues []any)

var sink atomic.Pointer[Sink]

// SetSink sets the sink of this operating system process.
func SetSink(s Sink) { sink.Store(&s) }

func (l Logger) pass(sentence string, err error, keysAndValues []any) {
	if s := sink.Load(); s != nil {
		(*s)(strings.TrimSuffix(l.prefix, ": "), sentence, err, keysAndValues)
	}
}
