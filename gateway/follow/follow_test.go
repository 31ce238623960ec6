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

// fakeStore answers a feed call at once when there is a newer version, and
// otherwise after the wait.
type fakeStore struct {
	mu      sync.Mutex
	version int64
	err     error
}

func (s *fakeStore) set(version int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.err = version, err
}

func (s *fakeStore) Era() int64 { return 0 }

func (s *fakeStore) TableByPage(context.Context, string, time.Duration) (site.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return site.Page{Version: s.version}, s.err
}

func (s *fakeStore) Feed(_ context.Context, _ string, after int64, wait time.Duration) (site.Page, error) {
	s.mu.Lock()
	version, err := s.version, s.err
	s.mu.Unlock()
	if err != nil || version > after {
		return site.Page{Version: version}, err
	}
	time.Sleep(wait)
	return site.Page{Version: version}, nil
}

// longPollWait is the long-poll wait of the follower under test.
const longPollWait = 15 * time.Second

// The recovery of the store must be reported when the store answers, not when
// the table next changes: a long poll after the outage delayed the report by up
// to 11 s.
func TestStoreRecoveryIsReportedPromptly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{version: 5}
		var lostAt, reportedAt time.Time
		snapshots := 0
		f := &follow.Follower{
			Store: s, Table: "t", LongPollWait: func() time.Duration { return longPollWait },
			Apply: func(_ site.Page, snapshot bool) {
				if snapshot {
					snapshots++
				}
			},
			OnLost: func() { lostAt = time.Now() }, OnRecovered: func() { reportedAt = time.Now() },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		s.set(5, site.ErrNotApplied)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		require.False(t, lostAt.IsZero())
		synctest.Wait()
		s.set(5, nil)
		recoveredAt := time.Now()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.False(t, reportedAt.IsZero())
		require.Less(t, reportedAt.Sub(recoveredAt), 2*time.Second)

		// When the store no longer has the history, the whole table is read
		// again.
		s.set(5, site.ErrHistoryGone)
		time.Sleep(16 * time.Second)
		s.set(9, nil)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 2, snapshots)
		cancel()
		time.Sleep(longPollWait) // Let the pending long poll end.
	})
}
