package streamversions_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// lateStore is a client of a store that carries out one write of streams later, and does not
// answer it.
type lateStore struct {
	*site.Store
	mu   sync.Mutex
	late bool // The next write of streams is carried out late.
	held *site.Tx
}

func (s *lateStore) Commit(ctx context.Context, tx site.Tx) (site.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late && len(tx.Puts) > 0 && strings.HasPrefix(tx.Puts[0].Key, "streams/") {
		s.late, s.held = false, &tx
		return site.Page{}, site.ErrOutcomeUnknown
	}
	return s.Store.Commit(ctx, tx)
}

// Guards against refused take-ups: the store carried out a write of streams late, and it
// replaced what had been written since. After the end of the process nobody knew these.
func TestWriteOfStreamsThatIsCarriedOutLateReplacesNothing(t *testing.T) {
	store := sitetest.NewStore(t)
	client := &lateStore{Store: site.NewStore(store.Address, http.DefaultClient)}
	p := newProcessOn(t, client, testFleet{first: true}, "a")
	p.run()
	p.list("v1", "v2")
	p.awaitConfirmed()
	time.Sleep(200 * time.Millisecond)
	client.mu.Lock()
	client.late = true
	client.mu.Unlock()
	p.RecordStream("s", "one", "v1")
	require.Eventually(t, func() bool { client.mu.Lock(); defer client.mu.Unlock(); return client.held != nil }, 2*time.Second, time.Millisecond)
	p.RecordStream("s", "two", "v2")
	time.Sleep(1500 * time.Millisecond)
	reader := newProcessOn(t, site.NewStore(store.Address, http.DefaultClient), testFleet{}, "b")
	require.Equal(t, "v2", reader.find("two"), "it is written") // The reader writes nothing itself.
	_, err := client.Store.Commit(t.Context(), *client.held)    // 1.5 s late.
	require.NoError(t, err)
	p.stop()
	require.Equal(t, "v2", startProcess(t, store, "c", false).find("two"))
}
