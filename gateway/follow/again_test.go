package follow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/follow"
	"flamingospar.org/platform/site"
)

// Another follower of the process is answered once in the middle of an outage. The store
// counted as available from then on, since a follower that went on failing said so only
// once.
func TestOutageGoesOnWhileAFollowerIsNotAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := &storeState{changed: make(chan struct{})}
		s := &fakeStore{err: site.ErrNotApplied}
		f := &follow.Follower{
			Store: s, Table: "t", StateChanged: state.stateChanged, Apply: func(site.Page, bool) {},
			OnLost: func() { state.set(true) }, OnRecovered: func() { state.set(false) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(5 * time.Second)
		require.True(t, state.isLost())
		state.set(false) // By the other follower.
		time.Sleep(time.Second)
		require.True(t, state.isLost())
		cancel()
	})
}
