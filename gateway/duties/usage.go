package duties

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/logging"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/platform/site"
)

// Tables of the usage reports.
const (
	tableCounts = "usage_counts" // One row a process and window.
	tableSealed = "usage_sealed" // One row a window.
	keyDigits   = 14
)

// Times of the reports.
const (
	// writeDelay is how long after a window's end its counts are written, and
	// writeSpread spreads the processes' writes.
	writeDelay  = 250 * time.Millisecond
	writeSpread = 500 * time.Millisecond
	// sealDelay is how long after a window's end it is sealed when all processes
	// that are known to have counts have written them.
	sealDelay = 1500 * time.Millisecond
	// sealMargin is left of the time until the report is due when the window is
	// sealed without a process, from the copies of its counts.
	sealMargin = 2500 * time.Millisecond
	// returnWait is how long after the store's return counts that could not be
	// written meanwhile may take: an attempt under way, the pause and the next.
	returnWait = 3 * time.Second
	callLimit  = 1500 * time.Millisecond
	retryWait  = 500 * time.Millisecond
	// rewriteWait is between two attempts to write a window's counts.
	rewriteWait = 700 * time.Millisecond
	// finalLimit bounds the last writes of a process that stops.
	finalLimit = 1500 * time.Millisecond
	// maxBehind is how many windows back counts are kept that can't be written.
	maxBehind = 6
	// lookBack is how many windows back a new holder looks for the newest that
	// is sealed. The store returns up to 500 rows at once.
	lookBack = 400
)

var log = logging.For("gateway/usage")

// errIncomplete says that a process has not written its counts yet.
var errIncomplete = errors.New("counts of a process are missing; remedy: wait until it has written them or the report is due")

// counts is the value of a row of either table.
type counts struct {
	Began map[string]int64 `json:"began"`
}

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
}

func windowKey(window Window) string { return fmt.Sprintf("%0*d", keyDigits, int64(window)) }

func countsKey(window Window, instance string) string { return windowKey(window) + "/" + instance }

// Reporter seals and reports windows while this process holds the lease.
type Reporter struct {
	Store    *site.Store
	Duty     *site.DutyClient
	Lease    *leasekeeper.Keeper
	Holder   string // Name of this VM.
	Clock    func() (time.Time, bool)
	Length   time.Duration
	Late     time.Duration // From a window's end until its report is due.
	Replicas *Replicas
	// StoreSteady returns how long the store has answered without a break.
	StoreSteady func() time.Duration
	reported    Window // The newest that was reported by this process.
	term        int64  // Of which reported is.
}

// Run reports windows until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := retryWait
		if fence, held := r.Lease.Fence(); held {
			wait = r.step(ctx, fence)
		}
		if !clock.Sleep(ctx, wait) {
			return
		}
	}
}

// step reports the next window that is due and returns when to look again.
func (r *Reporter) step(ctx context.Context, fence leasekeeper.Fence) time.Duration {
	now, sure := r.Clock()
	if !sure {
		return retryWait
	}
	due := windowAt(now.Add(-sealDelay), r.Length) - 1
	if err := r.begin(ctx, int64(fence.Term.Row.Epoch), due); err != nil {
		log.Error(err, "It is not known yet which windows are sealed.", "epoch", fence.Term.Row.Epoch)
		return retryWait
	}
	if r.reported >= due {
		return min((due + 1).endOf(r.Length).Add(sealDelay).Sub(now), r.Length)
	}
	window := r.reported + 1
	sealed, err := r.sealed(ctx, window, fence)
	if errors.Is(err, errIncomplete) {
		return retryWait
	}
	if err != nil {
		log.Error(err, "A window was not sealed.", "window", window, "epoch", r.term)
		return retryWait
	}
	if len(sealed.Began) > 0 {
		if err := r.report(ctx, window, sealed); err != nil {
			return retryWait
		}
	}
	r.reported = window
	return 0
}

// begin finds where a new term goes on: at the newest sealed window, which the
// holder before may not have reported. Each holder reports a window before it
// seals the next.
func (r *Reporter) begin(ctx context.Context, term int64, due Window) error {
	if term == r.term {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	page, err := r.Store.Range(ctx, tableSealed, windowKey(due-lookBack), "")
	if err != nil {
		return err
	}
	r.reported = due - 1
	if len(page.Rows) > 0 {
		newest, err := strconv.ParseInt(page.Rows[len(page.Rows)-1].Key, 10, 64)
		if err != nil {
			return fmt.Errorf("sealed window %q: %w", page.Rows[len(page.Rows)-1].Key, err)
		}
		r.reported = min(r.reported, Window(newest)-1)
	}
	r.term = term
	return nil
}

// sealed returns the window's figures, which never change once they are written.
func (r *Reporter) sealed(ctx context.Context, window Window, fence leasekeeper.Fence) (counts, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	key := windowKey(window)
	page, err := r.Store.Range(ctx, tableSealed, key, key+"\x00")
	if err != nil {
		return counts{}, err
	}
	if len(page.Rows) > 0 {
		var sealed counts
		err := json.Unmarshal(page.Rows[0].Value, &sealed)
		return sealed, err
	}
	return r.seal(ctx, window, fence)
}

// seal adds up the processes' counts and writes the sum, if the lease is still
// held. After an outage of the store processes of which there is no copy may
// still have to write theirs.
func (r *Reporter) seal(ctx context.Context, window Window, fence leasekeeper.Fence) (counts, error) {
	key := windowKey(window)
	page, err := r.Store.Range(ctx, tableCounts, key+"/", key+"0")
	if err != nil {
		return counts{}, err
	}
	total := counts{Began: make(map[string]int64)}
	var tx site.Tx
	missing := r.Replicas.Of(window)
	for _, row := range page.Rows {
		var part counts
		if err := json.Unmarshal(row.Value, &part); err != nil {
			log.Error(err, "Counts of a process can't be read and are left out.", "row", row.Key)
			continue
		}
		total.add(part.Began)
		delete(missing, strings.TrimPrefix(row.Key, key+"/"))
		tx.Remove(tableCounts, row.Key)
	}
	if (len(missing) > 0 || r.StoreSteady() < returnWait) && !r.mustSeal(window) {
		return counts{}, errIncomplete
	}
	for instance, began := range missing {
		log.Info("A process has not written its counts; their copy is used.", "window", window, "instance", instance)
		total.add(began)
	}
	value, err := json.Marshal(total)
	if err != nil {
		return counts{}, err
	}
	tx.Require(fence.Guard.Key.Table, fence.Guard.Key.Row, fence.Guard.Version)
	tx.Require(tableSealed, key, 0)
	tx.Put(tableSealed, key, value)
	if _, err := r.Store.Commit(ctx, tx); err != nil {
		return counts{}, err
	}
	log.Info("A window was sealed.", "window", window, "epoch", fence.Term.Row.Epoch, "processes", len(page.Rows), "teams", strings.Join(slices.Sorted(maps.Keys(total.Began)), ","))
	return total, nil
}

func (c counts) add(began map[string]int64) {
	for team, n := range began {
		c.Began[team] += n
	}
}

// mustSeal reports whether a window can't wait for missing counts any longer.
func (r *Reporter) mustSeal(window Window) bool {
	now, _ := r.Clock()
	return !now.Before(window.endOf(r.Length).Add(r.Late - sealMargin))
}

// report sends a sealed window, if the lease is still held.
func (r *Reporter) report(ctx context.Context, window Window, sealed counts) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	fence, held := r.Lease.Fence()
	if !held || int64(fence.Term.Row.Epoch) != r.term {
		return errors.New("the lease's term has ended; remedy: its next holder reports")
	}
	err := r.Duty.ReportUsage(ctx, site.Authority{Holder: r.Holder, Token: r.term}, int64(window), sealed.Began)
	if err != nil {
		log.Error(err, "A window was not reported; it is tried again while the lease is held.", "window", window, "epoch", r.term)
		return err
	}
	log.Info("A window was reported.", "window", window, "epoch", r.term)
	return nil
}
