package logging

import (
	"fmt"
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// Formats of log lines.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// SetFormat makes the process write its log in a format. Text goes to the
// standard error stream; JSON goes to w, one object a line.
func SetFormat(format string, w io.Writer) error {
	switch format {
	case FormatText:
		return nil
	case FormatJSON:
		klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, nil)))
		return nil
	default:
		return fmt.Errorf("log format %q is unknown; remedy: use %s or %s", format, FormatText, FormatJSON)
	}
}
