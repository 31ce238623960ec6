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

// unavailableStore fails every read and counts them.
type unavailableStore struct {
	tables.Service

	gets atomic.Int64
}

func (s *unavailableStore) Get(context.Context, tables.Key) (tables.Row, error) {
	s.gets.Add(1)
	return tables.Row{}, tables.ErrUnavailable
}

// A standby process becomes a candidate when the candidates before it are cut off
// from the store. It must read the lease at once, not at its next standby
// interval.
func TestStandbyReadsLeaseWhenItBecomesCandidate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &unavailableStore{}
		var isCandidate atomic.Bool
		keeper := New(store, "duty", "process")
		keeper.SetCandidateFunc(isCandidate.Load)
		ctx, cancel := context.WithCancel(t.Context())
		go keeper.Run(ctx)
		time.Sleep(standbyInterval - time.Second)
		synctest.Wait()
		require.EqualValues(t, 1, store.gets.Load(), "a standby process reads the lease rarely")
		isCandidate.Store(true)
		time.Sleep(candidateCheckInterval)
		synctest.Wait()
		require.EqualValues(t, 2, store.gets.Load())
		cancel()
		synctest.Wait()
	})
}
