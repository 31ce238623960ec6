package follow_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/follow"
	"flamingospar.org/platform/site"
)

// eraStore is a store that comes back from an older copy.
type eraStore struct {
	mu      sync.Mutex
	era     int64
	version int64
}

func (s *eraStore) restore(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version = version
}

func (s *eraStore) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *eraStore) TableByPage(context.Context, string, time.Duration) (site.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return site.Page{Version: s.version, Era: s.era}, nil
}

// Feed answers like the client does: a call that was held while the store came back fails.
func (s *eraStore) Feed(_ context.Context, _ string, after int64, wait time.Duration) (site.Page, error) {
	era := s.Era()
	time.Sleep(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.era != era:
		return site.Page{}, site.ErrRestored
	case after > s.version:
		return site.Page{}, site.ErrHistoryGone
	default:
		return site.Page{Version: s.version, Era: s.era}, nil
	}
}

// A follower went on from a version that the store had given out again, and never read
// what was below it.
func TestTableIsReadAgainAfterTheStoreWentBack(t *testing.T) {
	for name, version := range map[string]int64{"lower version": 3, "same version": 5, "higher version": 9} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &eraStore{version: 5}
				var snapshots []site.Page
				f := &follow.Follower{
					Store: s, Table: "t", LongPollWait: func() time.Duration { return time.Second },
					Apply: func(page site.Page, snapshot bool) {
						if snapshot {
							snapshots = append(snapshots, page)
						}
					},
				}
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				time.Sleep(3500 * time.Millisecond)
				s.restore(version)
				time.Sleep(3 * time.Second)
				cancel()
				time.Sleep(2 * time.Second) // The last call ends.
				require.Len(t, snapshots, 2)
				require.Equal(t, site.Page{Version: version, Era: 1}, snapshots[1])
			})
		})
	}
}

// A follower whose data also comes from other processes took their version for one of its
// own era, got 410, read the table, and took it again.
func TestVersionOfAnotherEraIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &eraStore{version: 50}
		calls := 0
		f := &follow.Follower{
			Store: s, Table: "t", IsFresh: func() bool { return true }, KnownVersion: func() (era, version int64) { return 0, 60 },
			MinInterval: func() time.Duration { return 100 * time.Millisecond },
			Apply:       func(site.Page, bool) { calls++ },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		s.restore(10)
		time.Sleep(time.Second)
		cancel()
		time.Sleep(2 * time.Second) // The last call ends.
		require.Greater(t, calls, 3, "while others know only the earlier era, it reads the store itself")
	})
}
