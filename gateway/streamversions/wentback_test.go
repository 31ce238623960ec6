package streamversions_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// hookedStore is a client of a store that calls afterRead between a read of a table and its
// use.
type hookedStore struct {
	*site.Store
	afterRead func()
}

func (s *hookedStore) TableByPage(ctx context.Context, table string, pageTimeout time.Duration) (site.Page, error) {
	page, err := s.Store.TableByPage(ctx, table, pageTimeout)
	s.afterRead()
	return page, err
}

// Guards against joined streams: a version was inferred from a table that had been read before
// the store went back to an older copy, since its register bore the era that the store has now.
func TestVersionIsNotInferredFromATableReadBeforeTheStoreWentBack(t *testing.T) {
	for name, wentBack := range map[string]bool{"the store went back": true, "the store is as it was": false} {
		t.Run(name, func(t *testing.T) {
			store := sitetest.NewStore(t)
			store.PutRaw(streamversions.Table, "in-use/s", []byte(`{"era":1,"versions":[{"version":"v2"}]}`))
			older := store.Copy()
			store.PutRaw(streamversions.Table, "in-use/s", []byte(`{"era":1,"versions":[{"version":"v1"}]}`))
			if !wentBack {
				store.Restore(store.Copy()) // Before the read: the era of the register is that of the store.
			}
			client := &hookedStore{Store: site.NewStore(store.Address, http.DefaultClient)}
			client.afterRead = func() {
				if !wentBack {
					return
				}
				store.Restore(older)
				_, err := client.Range(t.Context(), "other", "", "") // Another reader of this process learns of it.
				require.ErrorIs(t, err, site.ErrRestored)
			}
			p := newProcessOn(t, client, testFleet{}, "a")
			found := p.find("of v1 or v2")
			if wentBack {
				require.Empty(t, found)
				return
			}
			require.Equal(t, "v1", found)
		})
	}
}
