// Package logging gives each part of a process a logger with a fixed prefix.
// Messages are short sentences; values follow as key and value pairs.
package logging

import "k8s.io/klog/v2"

// Logger writes the lines of one part.
type Logger struct {
	prefix string
}

// For returns the logger of a part, for example "entry/config".
func For(part string) Logger {
	return Logger{prefix: part + ": "}
}

// Info logs an event of normal operation.
func (l Logger) Info(sentence string, keysAndValues ...any) {
	klog.InfoSDepth(1, l.prefix+sentence, keysAndValues...)
	l.pass(sentence, nil, keysAndValues)
}

// Error logs a failure and what the process does about it.
func (l Logger) Error(err error, sentence string, keysAndValues ...any) {
	klog.ErrorSDepth(1, err, l.prefix+sentence, keysAndValues...)
	l.pass(sentence, err, keysAndValues)
}
