package duties

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"flamingospar.org/platform/site"
)

// Store row that holds the offset between the store's clock and the wall clock.
const (
	tableClock = "clock"
	keyOffset  = "offset"
)

// SharedClock is a wall clock shared by all processes: the store's monotonic clock
// plus an offset that the first process stored. A jump of a VM's own wall clock does
// not shift it.
type SharedClock struct {
	store *site.Store
	// monotonic returns the time since an arbitrary moment. Setting the wall clock
	// does not affect it. It is not a time.Time, whose wall clock reading would be
	// affected.
	monotonic func() time.Duration

	mu     sync.Mutex
	origin time.Time // Shared time at which monotonic was 0.
	synced bool
}

// NewSharedClock returns a clock that uses this VM's wall clock until Sync has
// succeeded.
func NewSharedClock(store *site.Store, monotonic func() time.Duration) *SharedClock {
	return &SharedClock{store: store, monotonic: monotonic}
}

// offsetRow is the stored offset of the wall clock from the store's clock.
type offsetRow struct {
	MS int64 `json:"ms"`
}

// Sync reads the stored offset, and stores one if there is none yet.
func (c *SharedClock) Sync(ctx context.Context) error {
	page, err := c.store.Range(ctx, tableClock, keyOffset, keyOffset+"\x00")
	if err != nil {
		return err
	}
	if len(page.Rows) == 0 {
		return c.storeOffset(ctx, page.StoreClockMS)
	}
	var row offsetRow
	if err := json.Unmarshal(page.Rows[0].Value, &row); err != nil {
		return err
	}
	c.set(time.UnixMilli(page.StoreClockMS + row.MS))
	return nil
}

// maxOffsetError is by how much the stored offset may differ from this clock.
const maxOffsetError = 500 * time.Millisecond

// Restore stores the offset that this clock goes by, if the store, having come back from an
// older copy, has none or another. A process that starts would go by its own wall clock
// otherwise. It does nothing before the first Sync.
func (c *SharedClock) Restore(ctx context.Context) error {
	page, err := c.store.Range(ctx, tableClock, keyOffset, keyOffset+"\x00")
	if err != nil {
		return err
	}
	now, synced := c.Now()
	if !synced {
		return nil
	}
	offset := offsetRow{MS: now.UnixMilli() - page.StoreClockMS}
	version := int64(0)
	if len(page.Rows) > 0 {
		var stored offsetRow
		if err := json.Unmarshal(page.Rows[0].Value, &stored); err != nil {
			return err
		}
		if difference := time.Duration(stored.MS-offset.MS) * time.Millisecond; difference.Abs() <= maxOffsetError {
			return nil
		}
		version = page.Rows[0].Version
	}
	value, err := json.Marshal(offset)
	if err != nil {
		return err
	}
	var tx site.Tx
	tx.Require(tableClock, keyOffset, version)
	tx.Put(tableClock, keyOffset, value)
	if _, err = c.store.Commit(ctx, tx); err != nil && !errors.Is(err, site.ErrConflict) {
		return err
	}
	log.Info("The offset of the shared clock was stored again.", "offset_ms", offset.MS)
	return nil
}

// storeOffset stores the offset given by this VM's wall clock, unless another
// process has stored one in the meantime.
func (c *SharedClock) storeOffset(ctx context.Context, storeMS int64) error {
	value, err := json.Marshal(offsetRow{MS: time.Now().UnixMilli() - storeMS})
	if err != nil {
		return err
	}
	var tx site.Tx
	tx.Require(tableClock, keyOffset, 0)
	tx.Put(tableClock, keyOffset, value)
	if _, err = c.store.Commit(ctx, tx); err != nil && !errors.Is(err, site.ErrConflict) {
		return err
	}
	return c.Sync(ctx)
}

func (c *SharedClock) set(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.origin = now.Add(-c.monotonic())
	c.synced = true
}

// Now returns the shared time, and whether it is based on the stored offset.
func (c *SharedClock) Now() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced {
		return time.Now(), false
	}
	return c.origin.Add(c.monotonic()), true
}
