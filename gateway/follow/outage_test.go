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

// silentStore never answers calls that arrive during an outage or are pending
// when one starts.
type silentStore struct {
	mu      sync.Mutex
	version int64
	changed chan struct{} // Closed at the start and end of an outage.
	silent  bool
}

func newSilentStore() *silentStore { return &silentStore{version: 1, changed: make(chan struct{})} }

func (s *silentStore) set(version int64, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.silent = version, silent
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *silentStore) state() (int64, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.silent, s.changed
}

func (s *silentStore) Era() int64 { return 0 }

func (s *silentStore) TableByPage(ctx context.Context, _ string, pageTimeout time.Duration) (site.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return s.Feed(ctx, "", -1, 0)
}

func (s *silentStore) Feed(ctx context.Context, _ string, after int64, wait time.Duration) (site.Page, error) {
	version, silent, changed := s.state()
	if !silent && version > after {
		return site.Page{Version: version}, nil
	}
	if !silent {
		select {
		case <-time.After(wait):
			return site.Page{Version: version}, nil
		case <-changed: // An outage started while the call was pending.
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
	return site.Page{}, ctx.Err()
}

// storeState is the state of the store as seen by all followers of a process.
type storeState struct {
	mu      sync.Mutex
	lost    bool
	changed chan struct{}
}

func (s *storeState) set(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost != lost {
		s.lost = lost
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *storeState) isLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

func (s *storeState) stateChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// maxDelay bounds the time from the store's recovery until a change is applied.
const maxDelay = 2 * time.Second

// fleetInterval is the time between two calls for the fleet table.
const fleetInterval = 300 * time.Millisecond

// Long-poll waits for the configuration of the process that polls for all, and of the
// others.
const (
	pollerWait = 500 * time.Millisecond
	otherWait  = 10 * time.Second
)

// applyDelay runs a process through an outage without answers that starts after
// the given time, and returns how long after its end a change made at that
// moment is applied.
func applyDelay(t *testing.T, longPollWait, startAfter, outage time.Duration) time.Duration {
	s := newSilentStore()
	state := &storeState{changed: make(chan struct{})}
	var appliedAt time.Time
	config := &follow.Follower{
		Store: s, Table: "configuration", LongPollWait: func() time.Duration { return longPollWait }, StateChanged: state.stateChanged,
		Apply: func(page site.Page, _ bool) {
			if page.Version == 2 && appliedAt.IsZero() {
				appliedAt = time.Now()
			}
		},
		OnLost: func() { state.set(true) }, OnRecovered: func() { state.set(false) },
	}
	fleet := &follow.Follower{
		Store: s, Table: "fleet", MinInterval: func() time.Duration { return fleetInterval }, StateChanged: state.stateChanged, Apply: func(site.Page, bool) {},
		OnLost: func() { state.set(true) }, OnRecovered: func() { state.set(false) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	var followers sync.WaitGroup
	followers.Go(func() { config.Run(ctx) })
	followers.Go(func() { fleet.Run(ctx) })
	time.Sleep(startAfter)
	s.set(1, true)
	time.Sleep(outage)
	s.set(2, false)
	recoveredAt := time.Now()
	time.Sleep(15 * time.Second)
	cancel()
	followers.Wait()
	require.False(t, appliedAt.IsZero())
	return appliedAt.Sub(recoveredAt)
}

// The store stops answering for a time and has a new configuration when it
// recovers. A call that was pending or was sent during the outage is never
// answered; the change must be applied promptly all the same. A process waiting
// for such a call used the old configuration for up to 11 s.
func TestChangeDuringAStoreOutageIsAppliedPromptly(t *testing.T) {
	for _, outage := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 5 * time.Second, 8 * time.Second} {
		for _, startAfter := range []time.Duration{3100 * time.Millisecond, 3700 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				require.LessOrEqual(t, applyDelay(t, otherWait, startAfter, outage), maxDelay, "outage of %s", outage)
			})
		}
	}
}

// The outage falls between two calls for the fleet table, so that only the
// pending long poll is affected. The process that polls for all must know the change
// soon; the others receive it from that one.
func TestChangeAfterAnOutageThatNoCallMeetsIsKnownSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		require.LessOrEqual(t, applyDelay(t, pollerWait, 10*fleetInterval+50*time.Millisecond, 200*time.Millisecond), maxDelay)
	})
}

// A process that starts during such an outage must also read the table promptly
// after it.
func TestProcessStartedDuringAStoreOutageReadsPromptly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentStore()
		s.set(1, true)
		var appliedAt time.Time
		f := &follow.Follower{Store: s, Table: "configuration", LongPollWait: func() time.Duration { return otherWait }, Apply: func(site.Page, bool) {
			if appliedAt.IsZero() {
				appliedAt = time.Now()
			}
		}}
		ctx, cancel := context.WithCancel(t.Context())
		var follower sync.WaitGroup
		follower.Go(func() { f.Run(ctx) })
		time.Sleep(2 * time.Second)
		s.set(2, false)
		recoveredAt := time.Now()
		time.Sleep(13 * time.Second)
		cancel()
		follower.Wait()
		require.False(t, appliedAt.IsZero())
		require.LessOrEqual(t, appliedAt.Sub(recoveredAt), maxDelay)
	})
}
