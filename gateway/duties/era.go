package duties

import (
	"context"
	"encoding/json"
	"strconv"

	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/platform/site"
)

// startEra makes sure that no window is reported a second time with other counts after the
// store came back from an older copy, which lacks the windows that were sealed since. The
// first holder of an era seals the newest window that may have been reported: with its
// counts if this process has reported it, and without any if another one may have, so that
// it is not reported again. Holders never go back behind the newest sealed window. startEra
// returns that window, given the newest that is sealed in the store.
func (r *Reporter) startEra(ctx context.Context, fence leasekeeper.Fence, newest, due Window) (Window, error) {
	era := fence.Term.Row.Epoch.Era()
	if era == 0 {
		return newest, nil
	}
	key := strconv.FormatInt(era, 10)
	page, err := r.Store.Range(ctx, tableEras, key, key+"\x00")
	if err != nil || len(page.Rows) > 0 {
		return newest, err
	}
	last, sealed := due, usageRow{Counts: map[string]int64{}}
	continues := r.term != 0 && r.term == int64(fence.Continues)
	if continues {
		last = r.newestSealed
	}
	if continues && r.newestCounts != nil {
		sealed = *r.newestCounts
	}
	value, err := json.Marshal(sealed)
	if err != nil {
		return newest, err
	}
	var tx site.Tx
	tx.Require(fence.Guard.Key.Table, fence.Guard.Key.Row, fence.Guard.Version)
	tx.Put(tableEras, key, []byte("{}"))
	if last > newest {
		tx.Require(tableSealed, windowKey(last), 0)
		tx.Put(tableSealed, windowKey(last), value)
	}
	if _, err := r.Store.Commit(ctx, tx); err != nil {
		return newest, err
	}
	log.Info("Windows that may have been reported before the store came back from an older copy are not reported again.",
		"era", era, "epoch", fence.Term.Row.Epoch, "sealed_in_copy", newest, "until", last, "counts_known", continues && r.newestCounts != nil)
	return max(newest, last), nil
}
