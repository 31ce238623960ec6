package duties

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/platform/site"
)

// Times and limits of the writes.
const (
	// writeDelay is how long after the end of a window its counts are written, and
	// writeJitter is the maximum random addition that spreads the writes of the
	// processes.
	writeDelay  = 250 * time.Millisecond
	writeJitter = 500 * time.Millisecond
	// writeRetryDelay is the time between two attempts to write counts.
	writeRetryDelay = 700 * time.Millisecond
	// finalWriteTimeout bounds the last writes of a process that stops.
	finalWriteTimeout = 1500 * time.Millisecond
	// maxPendingWindows is for how many windows counts that can't be written are
	// kept.
	maxPendingWindows = 6
)

// Writer writes the counts of this process to the store.
type Writer struct {
	Store    *site.Store
	Tally    *Tally
	Instance string // Name of this process; a restarted process has a new one.

	pending []pendingRow
}

// pendingRow is a row that may not be written yet. Its key does not change, so that
// writing it again counts nothing twice.
type pendingRow struct {
	window Window
	key    string
	value  []byte
}

// Run writes the counts of each window until ctx ends, and then the remaining ones.
func (w *Writer) Run(ctx context.Context) {
	for clock.Sleep(ctx, w.nextDelay()) {
		w.collect(w.currentWindow())
		w.flush(ctx)
	}
	finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalWriteTimeout)
	defer cancel()
	w.collect(w.currentWindow() + 1)
	for len(w.pending) > 0 && finalCtx.Err() == nil {
		w.flush(finalCtx)
		clock.Sleep(finalCtx, retryDelay)
	}
}

func (w *Writer) currentWindow() Window {
	now, _ := w.Tally.clock()
	return windowAt(now, w.Tally.windowLength)
}

// nextDelay returns the time until the next write: writeRetryDelay if the last one
// failed, or else until shortly after the end of the current window.
func (w *Writer) nextDelay() time.Duration {
	if len(w.pending) > 0 {
		return writeRetryDelay
	}
	now, _ := w.Tally.clock()
	end := windowAt(now, w.Tally.windowLength).endOf(w.Tally.windowLength)
	return end.Add(writeDelay + rand.N(writeJitter)).Sub(now)
}

// collect encodes the counts of the windows before one as pending rows, and drops
// rows that are too old.
func (w *Writer) collect(before Window) {
	for window, counts := range w.Tally.CloseBefore(before) {
		value, err := json.Marshal(usageRow{Counts: counts})
		if err != nil {
			log.Error(err, "Could not encode counts; they are lost.", "window", window)
			continue
		}
		w.pending = append(w.pending, pendingRow{window: window, key: countsKey(window, w.Instance), value: value})
	}
	oldest := before - maxPendingWindows
	w.pending = slices.DeleteFunc(w.pending, func(row pendingRow) bool {
		if row.window < oldest {
			log.Info("Counts could not be written in time and are lost.", "window", row.window)
		}
		return row.window < oldest
	})
}

// flush writes all pending rows in one transaction.
func (w *Writer) flush(ctx context.Context) {
	if len(w.pending) == 0 {
		return
	}
	var tx site.Tx
	for _, row := range w.pending {
		tx.Put(tableCounts, row.key, row.value)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := w.Store.Commit(ctx, tx); err != nil {
		log.Error(err, "Could not confirm that counts were written; the write is retried.", "rows", len(w.pending))
		return
	}
	w.pending = nil
	w.Tally.MarkWritten()
}
