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

	pending  []pendingRow
	restored chan struct{} // Receives a value after the store came back from an older copy.
}

// NewWriter returns the writer of a process instance.
func NewWriter(store *site.Store, tally *Tally, instance string) *Writer {
	return &Writer{Store: store, Tally: tally, Instance: instance, restored: make(chan struct{}, 1)}
}

// StoreRestored makes the writer write the counts of recent windows again, since the store
// came back from an older copy and may lack them. It does not block.
func (w *Writer) StoreRestored() {
	select {
	case w.restored <- struct{}{}:
	default:
	}
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
	for w.awaitNextWrite(ctx) {
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

// awaitNextWrite waits until the next write is due, and reports false if ctx has ended.
func (w *Writer) awaitNextWrite(ctx context.Context) bool {
	timer := time.NewTimer(w.nextDelay())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-w.restored:
		w.pending = nil
		w.addPending(w.Tally.Reopen())
	case <-timer.C:
	}
	return true
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
	w.addPending(w.Tally.CloseBefore(before))
	oldest := before - maxPendingWindows
	w.pending = slices.DeleteFunc(w.pending, func(row pendingRow) bool {
		if row.window < oldest {
			log.Info("Counts could not be written in time and are lost.", "window", row.window)
		}
		return row.window < oldest
	})
}

// addPending encodes counts as pending rows.
func (w *Writer) addPending(closed map[Window]map[string]int64) {
	for window, counts := range closed {
		value, err := json.Marshal(usageRow{Counts: counts})
		if err != nil {
			log.Error(err, "Could not encode counts; they are lost.", "window", window)
			continue
		}
		w.pending = append(w.pending, pendingRow{window: window, key: countsKey(window, w.Instance), value: value})
	}
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
