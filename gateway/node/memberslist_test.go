package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/fleet"
	"flamingospar.org/gateway/peers"
	"flamingospar.org/platform/site"
)

var errNoAnswer = errors.New("no answer")

// outageStore refuses all calls until a moment and holds later ones.
type outageStore struct{ until time.Time }

func (s outageStore) Era() int64 { return 0 }

func (s outageStore) Table(context.Context, string) (site.Page, error) {
	if time.Now().Before(s.until) {
		return site.Page{}, errNoAnswer
	}
	return site.Page{Version: 1}, nil
}

func (s outageStore) TableByPage(ctx context.Context, table string, _ time.Duration) (site.Page, error) {
	return s.Table(ctx, table)
}

func (s outageStore) Feed(_ context.Context, _ string, _ int64, wait time.Duration) (site.Page, error) {
	time.Sleep(wait)
	return site.Page{Version: 1}, nil
}

// The list of processes was the first that the store answered after an outage. The others
// went on waiting, and a configuration was known up to 0.8 s later than it could be.
func TestAnswerForTheListOfProcessesEndsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{cluster: peers.New(peers.Member{VM: "self"}, nil, nil, noLocalState{}), storeWatch: newStoreWatch(fleet.New(time.Now))}
		f := n.membersFollower()
		f.Store = outageStore{until: time.Now().Add(10 * time.Second)}
		ctx, cancel := context.WithCancel(t.Context())
		n.storeWatch.MarkLost() // By another follower.
		go f.Run(ctx)
		time.Sleep(5 * time.Second)
		require.True(t, n.storeWatch.IsLost(), "the store does not answer")
		changed := n.storeWatch.StateChanged()
		time.Sleep(6 * time.Second)
		require.False(t, n.storeWatch.IsLost(), "the store has answered")
		select {
		case <-changed:
		default:
			require.Fail(t, "the other followers go on waiting")
		}
		cancel()
		time.Sleep(membersPollWait) // The last call ends.
	})
}
