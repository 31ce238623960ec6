package streamversions_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/streamversion"
	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// heldStore holds the first write that contains some bytes until release is closed.
type heldStore struct {
	*site.Store
	contains      []byte
	held, release chan struct{}
	done          chan struct{} // Closed when that write has been carried out.
}

func (s *heldStore) Commit(ctx context.Context, tx site.Tx) (site.Page, error) {
	if len(tx.Puts) == 0 || !bytes.Contains(tx.Puts[0].Value, s.contains) || s.contains == nil {
		return s.Store.Commit(ctx, tx)
	}
	s.contains = nil // One task writes.
	close(s.held)
	<-s.release
	defer close(s.done)
	return s.Store.Commit(context.WithoutCancel(ctx), tx)
}

// startHeld starts a process whose first write of the end of a version is held.
func startHeld(t *testing.T, store *sitetest.Store) (*process, *heldStore) {
	held := &heldStore{
		Store: site.NewStore(store.Address, http.DefaultClient), contains: []byte(`"ended_ms"`),
		held: make(chan struct{}), release: make(chan struct{}), done: make(chan struct{}),
	}
	slow := newProcessOn(t, held, testFleet{first: true}, "slow")
	go slow.Run(t.Context())
	slow.list("v1", "v2")
	slow.awaitConfirmed()
	return slow, held
}

// Guards against joined streams: engines of a version were listed again after its end had
// been decided and dated. The write of that end took effect long after.
func TestLateEndOfAVersionThatIsListedAgainHasNoEffect(t *testing.T) {
	store := sitetest.NewStore(t)
	slow, held := startHeld(t, store)
	p := startProcess(t, store, "p", false)
	p.list("v1", "v2")
	p.awaitConfirmed()
	slow.list("v2")
	p.list("v2")
	<-held.held
	p.list("v1", "v2")
	p.awaitConfirmed()
	store.AdvanceClock(70 * time.Second)
	p.RecordStream("s", "of v1", "v1")
	p.stop()
	close(held.release)
	<-held.done
	require.NotEqual(t, "v2", startProcess(t, store, "c", true).find("of v1"))
}

// Guards against joined streams: a process that lists a version all along read that it was
// about to end, and did not register it again.
func TestLateEndOfAVersionThatIsListedElsewhereHasNoEffect(t *testing.T) {
	store := sitetest.NewStore(t)
	slow, held := startHeld(t, store)
	p := startProcess(t, store, "p", false)
	p.list("v1", "v2")
	p.awaitConfirmed()
	slow.list("v2") // It lags.
	<-held.held
	require.Empty(t, p.find("unknown")) // p reads the table, as it does from time to time.
	p.awaitConfirmed()
	store.AdvanceClock(70 * time.Second)
	p.RecordStream("s", "of v1", "v1")
	p.stop()
	close(held.release)
	<-held.done
	require.NotEqual(t, "v2", startProcess(t, store, "c", true).find("of v1"))
}

// Rows that processes of an earlier release have written, which date an end at once.
func TestRegisterOfAnEarlierReleaseIsRead(t *testing.T) {
	store := sitetest.NewStore(t)
	read := func(endedAgo time.Duration) string {
		nowMS := time.Now().UnixMilli() % 1_000_000_000
		store.PutRaw(streamversions.Table, "in-use/s", fmt.Appendf(nil, `{"era":0,"versions":[{"version":"v1","ended_ms":%d},{"version":"v2"}]}`, nowMS-endedAgo.Milliseconds()))
		return startProcess(t, store, fmt.Sprint(endedAgo), true).find("unknown")
	}
	require.Empty(t, read(streamversion.Retention/2))
	require.Equal(t, "v2", read(2*streamversion.Retention))
}
