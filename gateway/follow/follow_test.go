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

// store answers a feed at once when it has news, and else after the wait.
type store struct {
	mu      sync.Mutex
	version int64
	err     error
}

func (s *store) set(version int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.err = version, err
}

func (s *store) Table(context.Context, string) (site.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return site.Page{Version: s.version}, s.err
}

func (s *store) Feed(_ context.Context, _ string, after int64, wait time.Duration) (site.Page, error) {
	s.mu.Lock()
	version, err := s.version, s.err
	s.mu.Unlock()
	if err != nil || version > after {
		return site.Page{Version: version}, err
	}
	time.Sleep(wait)
	return site.Page{Version: version}, nil
}

// The return of the store is told when it answers, not when something changes
// (incident inc-d436 of shedline-wa: told up to 11 s late).
func TestReturnOfTheStoreIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{version: 5}
		var lost, regained time.Time
		wholes := 0
		f := &follow.Follower{
			Store: s, Table: "t", Wait: 15 * time.Second,
			Apply: func(_ site.Page, whole bool) {
				if whole {
					wholes++
				}
			},
			Lost: func() { lost = time.Now() }, Regained: func() { regained = time.Now() },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		s.set(5, site.ErrNotDone)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		require.False(t, lost.IsZero())
		synctest.Wait()
		s.set(5, nil)
		back := time.Now()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.False(t, regained.IsZero())
		require.Less(t, regained.Sub(back), 2*time.Second)

		// A history that is gone makes the table be read whole.
		s.set(5, site.ErrHistoryGone)
		time.Sleep(16 * time.Second)
		s.set(9, nil)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 2, wholes)
		cancel()
		time.Sleep(f.Wait) // The call that is held ends.
	})
}
