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

// Times of the writes.
const (
	// writeDelay is how long after a window's end its counts are written, and
	// writeSpread spreads the processes' writes.
	writeDelay  = 250 * time.Millisecond
	writeSpread = 500 * time.Millisecond
	// rewriteWait is between two attempts to write a window's counts.
	rewriteWait = 700 * time.Millisecond
	// finalLimit bounds the last writes of a process that stops.
	finalLimit = 1500 * time.Millisecond
	// maxBehind is how many windows back counts are kept that can't be written.
	maxBehind = 6
)

// Writer writes this process's counts.
type Writer struct {
	Store    *site.Store
	Tally    *Tally
	Instance string // Name of this process, another after each restart.

	pending []pendingRow
}

// pendingRow is a row that is not known to be written. Its key stays, so that
// to write it again counts nothing twice.
type pendingRow struct {
	window Window
	key    string
	value  []byte
}

// Run writes the counts of each window until ctx ends, and then what is left.
func (w *Writer) Run(ctx context.Context) {
	for clock.Sleep(ctx, w.untilNext()) {
		w.collect(w.current())
		w.flush(ctx)
	}
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalLimit)
	defer cancel()
	w.collect(w.current() + 1)
	for len(w.pending) > 0 && final.Err() == nil {
		w.flush(final)
		clock.Sleep(final, retryWait)
	}
}

func (w *Writer) current() Window {
	now, _ := w.Tally.clock()
	return windowAt(now, w.Tally.length)
}

// untilNext returns the time until there is something to write: soon when the
// last write failed, or else a little after the present window's end.
func (w *Writer) untilNext() time.Duration {
	if len(w.pending) > 0 {
		return rewriteWait
	}
	now, _ := w.Tally.clock()
	end := windowAt(now, w.Tally.length).endOf(w.Tally.length)
	return end.Add(writeDelay + rand.N(writeSpread)).Sub(now)
}

// collect makes rows of the counts of the windows before one.
func (w *Writer) collect(before Window) {
	for window, began := range w.Tally.Closed(before) {
		value, err := json.Marshal(counts{Began: began})
		if err != nil {
			log.Error(err, "Counts can't be encoded and are lost.", "window", window)
			continue
		}
		w.pending = append(w.pending, pendingRow{window: window, key: countsKey(window, w.Instance), value: value})
	}
	oldest := before - maxBehind
	w.pending = slices.DeleteFunc(w.pending, func(row pendingRow) bool {
		if row.window < oldest {
			log.Info("Counts could not be written in time and are lost.", "window", row.window)
		}
		return row.window < oldest
	})
}

// flush writes what is pending, one transaction for all.
func (w *Writer) flush(ctx context.Context) {
	if len(w.pending) == 0 {
		return
	}
	var tx site.Tx
	for _, row := range w.pending {
		tx.Put(tableCounts, row.key, row.value)
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if _, err := w.Store.Commit(ctx, tx); err != nil {
		log.Error(err, "Counts are not known to be written and are tried again.", "rows", len(w.pending))
		return
	}
	w.pending = nil
	w.Tally.Written()
}
