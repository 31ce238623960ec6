package duties

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"flamingospar.org/platform/site"
)

// Where the offset between the store's clock and the time of day is kept.
const (
	tableClock = "clock"
	keyOffset  = "offset"
)

// TrueTime is the time of day by the store's steady clock and an offset that
// the first process wrote. A VM whose own time of day jumps does not move it.
type TrueTime struct {
	store *site.Store
	// steady is the time since some moment. It runs on when the time of day is
	// set, and it is no time.Time, whose wall clock would be set with it.
	steady func() time.Duration

	mu     sync.Mutex
	origin time.Time // The true time at which steady was 0.
	known  bool
}

// NewTrueTime returns a clock that follows this VM's time of day until Learn
// has succeeded.
func NewTrueTime(store *site.Store, steady func() time.Duration) *TrueTime {
	return &TrueTime{store: store, steady: steady}
}

// offsetRow is the stored offset of the time of day from the store's clock.
type offsetRow struct {
	MS int64 `json:"ms"`
}

// Learn reads the offset, and writes it when there is none yet.
func (t *TrueTime) Learn(ctx context.Context) error {
	page, err := t.store.Range(ctx, tableClock, keyOffset, keyOffset+"\x00")
	if err != nil {
		return err
	}
	if len(page.Rows) == 0 {
		return t.found(ctx, page.SteadyMS)
	}
	var row offsetRow
	if err := json.Unmarshal(page.Rows[0].Value, &row); err != nil {
		return err
	}
	t.set(time.UnixMilli(page.SteadyMS + row.MS))
	return nil
}

// found writes the offset that this VM's time of day gives.
func (t *TrueTime) found(ctx context.Context, storeMS int64) error {
	value, err := json.Marshal(offsetRow{MS: time.Now().UnixMilli() - storeMS})
	if err != nil {
		return err
	}
	var tx site.Tx
	tx.Require(tableClock, keyOffset, 0)
	tx.Put(tableClock, keyOffset, value)
	if _, err = t.store.Commit(ctx, tx); err != nil && !errors.Is(err, site.ErrConflict) {
		return err
	}
	return t.Learn(ctx)
}

func (t *TrueTime) set(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.origin = now.Add(-t.steady())
	t.known = true
}

// Now returns the true time, and whether it rests on the shared offset.
func (t *TrueTime) Now() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known {
		return time.Now(), false
	}
	return t.origin.Add(t.steady()), true
}
