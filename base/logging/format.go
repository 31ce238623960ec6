package logging

import (
	"fmt"
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// Log formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// SetFormat sets the log format of the process. Text is written to standard
// error; JSON is written to w, one object per line.
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
