package netx

import (
	stdlog "log"
	"strings"

	"flamingospar.org/base/logging"
)

var log = logging.For("base/http")

// errorLog returns a logger that writes the connection errors of net/http to the
// log of the process.
func errorLog() *stdlog.Logger { return stdlog.New(errorWriter{}, "", 0) }

type errorWriter struct{}

// Write logs one report per call.
func (errorWriter) Write(report []byte) (int, error) {
	log.Info("A connection failed.", "report", strings.TrimSpace(string(report)))
	return len(report), nil
}
