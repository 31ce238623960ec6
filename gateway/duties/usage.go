package duties

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/platform/site"
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

// hasNegative reports whether a count is negative, which none can be.
func (r usageRow) hasNegative() bool {
	for _, n := range r.Counts {
		if n < 0 {
			return true
		}
	}
	return false
}

// newestWindow returns the newest window up to limit that has one of the rows, or 0. Other
// writers may have left rows with other keys.
func newestWindow(rows []site.Row, limit Window) Window {
	newest := Window(0)
	for _, row := range rows {
		number, err := strconv.ParseInt(row.Key, 10, 64)
		if window := Window(number); err == nil && row.Key == windowKey(window) && window <= limit {
			newest = max(newest, window)
		}
	}
	return newest
}

func windowKey(window Window) string { return fmt.Sprintf("%0*d", windowKeyDigits, int64(window)) }

func countsKey(window Window, instance string) string { return windowKey(window) + "/" + instance }
