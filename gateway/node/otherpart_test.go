package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against: rows that another writer left under the key of an endpoint or of the
// configuration, in another part of the table, were taken for these: a sound endpoint was used
// no more, another one took its place, or a configuration that the operator never wrote was in
// force. The names servers/NAME and op/NAME stand for rows whose part is empty.
func TestRowsOfAnotherPartAreNotTheEndpointsOrTheConfiguration(t *testing.T) {
	const part, noticeTime = "other", 400 * time.Millisecond
	start := func(t *testing.T, vm string) (*harness, *sitetest.Endpoint) {
		h := newAlone(t, vm)
		e := sitetest.NewEndpoint(t, "e-1", nil)
		h.register(e, "plain", "")
		h.run()
		h.waitUntilServing(plainPath)
		return h, e
	}
	serves := func(t *testing.T, h *harness) {
		time.Sleep(noticeTime)
		for range 4 {
			assert.Equal(t, http.StatusOK, h.send(http.MethodPost, plainPath, "key", nil).status)
		}
	}
	t.Run("dropped", func(t *testing.T) {
		h, _ := start(t, "vm-dropped")
		h.store.DeleteInPart(site.TableEndpoints, part, "e-1")
		serves(t, h)
	})
	t.Run("odd", func(t *testing.T) {
		h, _ := start(t, "vm-odd")
		h.store.PutInPart(site.TableEndpoints, part, "e-1", []byte(nested(9000)))
		serves(t, h)
	})
	t.Run("another endpoint", func(t *testing.T) {
		h, e := start(t, "vm-another")
		other := sitetest.NewEndpoint(t, "e-2", nil)
		h.store.PutInPart(site.TableEndpoints, part, "e-2", []byte(oddRow("8", "1", "1", "")(other.Address)))
		serves(t, h)
		h.store.Delete(site.TableEndpoints, e.ID)
		h.eventually(func() bool {
			return h.send(http.MethodPost, plainPath, "key", nil).status != http.StatusOK || len(other.Requests()) > 0
		})
		require.Empty(t, other.Requests())
	})
	t.Run("configuration", func(t *testing.T) {
		h, _ := start(t, "vm-configuration")
		h.store.PutInPart(site.TableOperator, part, site.KeyConfiguration, manifest(9, "next"))
		serves(t, h)
	})
}
