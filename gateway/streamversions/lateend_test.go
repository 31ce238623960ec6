package streamversions_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against joined streams: the end of a version, decided before its engines were listed
// again, took effect long after, and dated from then.
func TestEndOfAVersionThatTookEffectLateDoesNotDateBack(t *testing.T) {
	store := sitetest.NewStore(t)
	hooked := &commitHook{Store: site.NewStore(store.Address, http.DefaultClient)}
	slow := newProcessOn(t, hooked, testFleet{first: true}, "slow")
	held, release := make(chan struct{}), make(chan struct{})
	ctx := t.Context()
	go slow.Run(ctx)
	slow.list("v1", "v2")
	slow.awaitConfirmed()
	p := startProcess(t, store, "p", false) // It begins streams, and is not among the first.
	p.list("v1", "v2")
	p.awaitConfirmed()
	var once sync.Once
	hooked.before.Store(new(func() {
		once.Do(func() {
			close(held)
			<-release // The process is frozen, or the call is delayed.
		})
	}))
	slow.list("v2") // The engines of v1 are not listed for a moment.
	p.list("v2")
	<-held
	p.list("v1", "v2") // They are listed again.
	p.awaitConfirmed()
	store.AdvanceClock(70 * time.Second)
	p.RecordStream("s", "of v1", "v1") // A stream begins at v1.
	p.stop()
	close(release)
	time.Sleep(300 * time.Millisecond)
	require.NotEqual(t, "v2", startProcess(t, store, "c", true).find("of v1"))
}

// commitHook calls before ahead of each write.
type commitHook struct {
	*site.Store
	before atomic.Pointer[func()]
}

func (s *commitHook) Commit(ctx context.Context, tx site.Tx) (site.Page, error) {
	if f := s.before.Load(); f != nil {
		(*f)()
	}
	return s.Store.Commit(context.WithoutCancel(ctx), tx)
}
