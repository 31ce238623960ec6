// Package logging provides a logger with a fixed prefix for each part of a
// process. Messages are short sentences, followed by key-value pairs.
package logging

import "k8s.io/klog/v2"

// Logger writes the log lines of one part of the process.
type Logger struct {
	prefix string
}

// For returns the logger of a part, for example "entry/config".
func For(part string) Logger {
	return Logger{prefix: part + ": "}
}

// Info logs an event of normal operation.
func (l Logger) Info(message string, keysAndValues ...any) {
	klog.InfoSDepth(1, l.prefix+message, keysAndValues...)
	l.sendToSink(message, nil, keysAndValues)
}

// Error logs a failure. The message also says how the process handles it.
func (l Logger) Error(err error, message string, keysAndValues ...any) {
	klog.ErrorSDepth(1, err, l.prefix+message, keysAndValues...)
	l.sendToSink(message, err, keysAndValues)
}
