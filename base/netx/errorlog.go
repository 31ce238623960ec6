package netx

import (
	stdlog "log"
	"strings"

	"flamingospar.org/base/logging"
)

var log = logging.For("base/http")

// errorLog writes what net/http reports of connections to our log.
func errorLog() *stdlog.Logger { return stdlog.New(errorWriter{}, "", 0) }

type errorWriter struct{}

// Write implements io.Writer: one call is one report.
func (errorWriter) Write(report []byte) (int, error) {
	log.Info("A connection failed.", "report", strings.TrimSpace(string(report)))
	return len(report), nil
}
