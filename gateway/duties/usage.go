package duties

import (
	"errors"
	"fmt"
	"time"

	"flamingospar.org/base/logging"
)

// Tables of the usage reports.
const (
	tableCounts     = "usage_counts" // One row per process and window.
	tableSealed     = "usage_sealed" // One row per window.
	tableEras       = "usage_eras"   // One row per era of the store in which windows are sealed.
	windowKeyDigits = 14
)

// Timeout of the calls to the store and the operator, and delay between attempts.
const (
	callTimeout = 1500 * time.Millisecond
	retryDelay  = 500 * time.Millisecond
)

var log = logging.For("gateway/usage")

// errCountsMissing means that a process has not written its counts yet.
var errCountsMissing = errors.New("counts of a process are missing; remedy: wait until it has written them or the report is due")

// usageRow is the value of a row of either table: requests by team.
type usageRow struct {
	Counts map[string]int64 `json:"began"`
}

func (r usageRow) add(counts map[string]int64) {
	for team, n := range counts {
		r.Counts[team] += n
	}
}

func windowKey(window Window) string { return fmt.Sprintf("%0*d", windowKeyDigits, int64(window)) }

func countsKey(window Window, instance string) string { return windowKey(window) + "/" + instance }
