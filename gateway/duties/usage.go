package duties

import (
	"errors"
	"fmt"
	"time"

	"flamingospar.org/base/logging"
)

// Tables of the usage reports.
const (
	tableCounts = "usage_counts" // One row a process and window.
	tableSealed = "usage_sealed" // One row a window.
	keyDigits   = 14
)

// Times of all calls of the reports.
const (
	callLimit = 1500 * time.Millisecond
	retryWait = 500 * time.Millisecond
)

var log = logging.For("gateway/usage")

// errIncomplete says that a process has not written its counts yet.
var errIncomplete = errors.New("counts of a process are missing; remedy: wait until it has written them or the report is due")

// counts is the value of a row of either table.
type counts struct {
	Began map[string]int64 `json:"began"`
}

func (c counts) add(began map[string]int64) {
	for team, n := range began {
		c.Began[team] += n
	}
}

func windowKey(window Window) string { return fmt.Sprintf("%0*d", keyDigits, int64(window)) }

func countsKey(window Window, instance string) string { return windowKey(window) + "/" + instance }
