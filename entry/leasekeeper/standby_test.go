package leasekeeper

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/tables"
)

// emptyStore has no rows, and counts how often it is asked for one.
type emptyStore struct {
	tables.Service

	gets atomic.Int64
}

func (s *emptyStore) Get(context.Context, tables.Key) (tables.Row, error) {
	s.gets.Add(1)
	return tables.Row{}, tables.ErrUnavailable
}

// The processes that look at the lease often are cut off from the store. One
// that stood by looks as soon as it is among the first, not at its next turn.
func TestStandbyLooksAsSoonAsItIsAmongTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &emptyStore{}
		var first atomic.Bool
		keeper := New(store, "duty", "process")
		keeper.StandBy(first.Load)
		ctx, cancel := context.WithCancel(t.Context())
		go keeper.Run(ctx)
		time.Sleep(standbyEvery - time.Second)
		synctest.Wait()
		require.EqualValues(t, 1, store.gets.Load(), "standing by it looks rarely")
		first.Store(true)
		time.Sleep(standbyStep)
		synctest.Wait()
		require.EqualValues(t, 2, store.gets.Load())
		cancel()
		synctest.Wait()
	})
}
