package duties

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/platform/site"
)

// Times of the reports.
const (
	// sealDelay is how long after a window's end it is sealed when all processes
	// that are known to have counts have written them.
	sealDelay = 1500 * time.Millisecond
	// sealMargin is left of the time until the report is due when the window is
	// sealed without a process, from the copies of its counts.
	sealMargin = 2500 * time.Millisecond
	// returnWait is how long after the store's return counts that could not be
	// written meanwhile may take: an attempt under way, the pause and the next.
	returnWait = 3 * time.Second
	// lookBack is how many windows back a new holder looks for the newest that
	// is sealed. The store returns up to 500 rows at once.
	lookBack = 400
	// forgetEvery is how many windows there are between two removals of old ones,
	// and maxForget how many are removed at once: the store takes 100 rows.
	forgetEvery = 90
	maxForget   = 95
)

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
	// Others returns the instances of the other listed processes, and false while
	// the list was not read.
	Others   func() ([]string, bool)
	Handover *Handover
	reported Window // The newest that was reported by this process.
	term     int64  // Of which reported is.
	waiting  Window // The last that was logged to wait.
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
	if !r.Handover.May(r.term) {
		return retryWait
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
	if window%forgetEvery == 0 {
		r.forget(ctx, window, fence)
	}
	return 0
}

// forget removes sealed windows that no holder looks for any more.
func (r *Reporter) forget(ctx context.Context, window Window, fence leasekeeper.Fence) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	page, err := r.Store.Range(ctx, tableSealed, "", windowKey(window-lookBack))
	if err != nil {
		log.Error(err, "Old sealed windows are kept for now.", "before", window-lookBack)
		return
	}
	if len(page.Rows) == 0 {
		return
	}
	var tx site.Tx
	tx.Require(fence.Guard.Key.Table, fence.Guard.Key.Row, fence.Guard.Version)
	old := page.Rows[:min(len(page.Rows), maxForget)]
	for _, row := range old {
		tx.Remove(tableSealed, row.Key)
	}
	if _, err := r.Store.Commit(ctx, tx); err != nil {
		log.Error(err, "Old sealed windows are kept for now.", "before", window-lookBack, "rows", len(old))
		return
	}
	log.Info("Old sealed windows were removed.", "before", window-lookBack, "rows", len(old), "epoch", fence.Term.Row.Epoch)
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
// held.
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
	if (len(missing) > 0 || !r.allKnown(window)) && !r.mustSeal(window) {
		r.noteWait(window, missing)
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

// noteWait logs once that a window waits, and for whom.
func (r *Reporter) noteWait(window Window, missing map[string]map[string]int64) {
	if r.waiting == window {
		return
	}
	r.waiting = window
	log.Info("A window waits for counts that are not written yet.", "window", window, "epoch", r.term,
		"instances", slices.Sorted(maps.Keys(missing)), "store_steady_ms", r.StoreSteady().Milliseconds())
}

// allKnown reports whether no process has counts of a window of which there is
// neither a row nor a copy. After an outage of the store processes may still have
// to write theirs: it is enough that each has told what it has since the window's
// end, or that they had the time to write.
func (r *Reporter) allKnown(window Window) bool {
	if r.StoreSteady() >= returnWait {
		return true
	}
	others, known := r.Others()
	return known && r.Replicas.Whole(others, window.endOf(r.Length))
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
	r.Handover.Acts(r.term)
	err := r.Duty.ReportUsage(ctx, site.Authority{Holder: r.Holder, Token: r.term}, int64(window), sealed.Began)
	if err != nil {
		log.Error(err, "A window was not reported; it is tried again while the lease is held.", "window", window, "epoch", r.term)
		return err
	}
	log.Info("A window was reported.", "window", window, "epoch", r.term)
	return nil
}
