package logging

import (
	"strings"
	"sync/atomic"
)

// Sink receives a copy of every log line. err is nil for lines written by Info.
type Sink func(part, message string, err error, keysAndValues []any)

var sink atomic.Pointer[Sink]

// SetSink sets the sink for all loggers of the process.
func SetSink(s Sink) { sink.Store(&s) }

func (l Logger) sendToSink(message string, err error, keysAndValues []any) {
	if s := sink.Load(); s != nil {
		(*s)(strings.TrimSuffix(l.prefix, ": "), message, err, keysAndValues)
	}
}
