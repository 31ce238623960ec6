package follow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/follow"
	"flamingospar.org/platform/site"
)

// partsStore gives out changes in parts, one row a version, as the store does.
type partsStore struct {
	mu        sync.Mutex
	version   int64
	changedAt time.Time
	calls     int
}

// partRows is how many changes a part holds.
const partRows = 100

func (s *partsStore) add(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += n
	s.changedAt = time.Now()
}

func (s *partsStore) Era() int64 { return 0 }

func (s *partsStore) TableByPage(context.Context, string, time.Duration) (site.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return site.Page{Version: s.version, RequestedAt: time.Now()}, nil
}

func (s *partsStore) Feed(_ context.Context, _ string, after int64, _ time.Duration) (site.Page, error) {
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	page := site.Page{Version: min(after+partRows, s.version), RequestedAt: time.Now()}
	for v := after + 1; v <= page.Version; v++ {
		page.Rows = append(page.Rows, site.Row{Key: fmt.Sprint(v), Version: v})
	}
	return page, nil
}

// Guards against a list that is taken for more recent than it is, and used for longer than the
// bound for endpoints that leave: a part of the changes was taken for all of them.
func TestPartOfTheChangesIsNotTakenForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &partsStore{version: 5}
		const interval = time.Second
		var caughtUpAt time.Time
		tooRecent := 0 // Pages that lack changes which the store had when they were asked for.
		f := &follow.Follower{
			Store: s, Table: "t", MinInterval: func() time.Duration { return interval },
			Apply: func(page site.Page, _ bool) {
				s.mu.Lock()
				defer s.mu.Unlock()
				recent := !s.changedAt.IsZero() && page.RequestedAt.After(s.changedAt)
				if recent && page.Version < s.version {
					tooRecent++
				}
				if recent && caughtUpAt.IsZero() {
					caughtUpAt = time.Now()
				}
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(3 * interval)
		s.add(10*partRows + partRows/2)
		time.Sleep(10 * interval)
		cancel()
		time.Sleep(interval) // The last call ends.
		s.mu.Lock()
		defer s.mu.Unlock()
		require.Zero(t, tooRecent)
		require.False(t, caughtUpAt.IsZero())
		require.Less(t, caughtUpAt.Sub(s.changedAt), 2*interval, "it reads on at once")
	})
}

// Few changes are all there are: no call is made to find out.
func TestFewChangesTakeNoFurtherCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &partsStore{version: 5}
		var last site.Page
		f := &follow.Follower{
			Store: s, Table: "t", MinInterval: func() time.Duration { return time.Second },
			Apply: func(page site.Page, _ bool) {
				s.mu.Lock()
				defer s.mu.Unlock()
				last = page
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		for range 10 {
			s.add(partRows / 4)
			time.Sleep(time.Second)
		}
		cancel()
		time.Sleep(time.Second) // The last call ends.
		s.mu.Lock()
		defer s.mu.Unlock()
		require.LessOrEqual(t, s.calls, 10)
		require.Less(t, time.Since(last.RequestedAt), 3*time.Second)
	})
}
