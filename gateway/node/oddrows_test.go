package node_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"flamingospar.org/base/logging"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against: an odd row that another writer left in any table ended a process, a part
// of it, or the following of that table.
func TestOddRowsInAnyTableEndNothing(t *testing.T) {
	var panics, lines atomic.Int64
	logging.SetSink(func(part, _ string, _ error, _ []any) {
		lines.Add(1)
		if part == "base/supervise" {
			panics.Add(1)
		}
	})
	defer logging.SetSink(func(string, string, error, []any) {})
	h := newAlone(t, "vm")
	h.register(sitetest.NewEndpoint(t, "e1", nil), "plain", "")
	h.run()
	h.waitUntilServing(plainPath)
	version := 1
	for i, odd := range []string{
		"", "null", "7", "[]", "{}", `"text"`, "\x00\xff", nested(20_000), `{"version":1e300,"routes":[{}]}`, `{"version":9e15,"routes":[]}`,
		`{"ms":1e30}`, `{"began":{"team":-9e18}}`, `{"epoch":9223372036854775807,"term":9223372036854775807}`, `{"part":"p","evidence":[{"endpoint":"e1","started":1e30,"at":-9e18}]}`,
		`{"part":"p","evidence":[{"endpoint":"e1","started":1,"at":-9000000000000000000}]}`, `{"vm":"other","address":"127.0.0.1:70000"}`,
	} {
		h.store.PutRaw(site.TableOperator, site.KeyConfiguration, []byte(odd))
		for _, table := range []string{"vms", "crash_parts", "usage_counts", "usage_sealed", "usage_eras", "clock", "leases", "true_time"} {
			h.store.PutRaw(table, fmt.Sprint("odd-", i), []byte(odd))
			h.store.PutRaw(table, fmt.Sprintf("%014d/odd", time.Now().Unix()+1), []byte(odd))
		}
		require.Equal(t, http.StatusOK, h.send(http.MethodPost, plainPath, "key", nil).status, "%.40q", odd)
		version++
		h.store.PutRaw(site.TableOperator, site.KeyConfiguration, manifest(version, "key"))
		route := fmt.Sprint("key-", version)
		version++
		h.store.PutRaw(site.TableOperator, site.KeyConfiguration, manifest(version, route))
		h.eventually(func() bool { return h.send(http.MethodPost, plainPath, route, nil).status == http.StatusOK })
		version++
		h.store.PutRaw(site.TableOperator, site.KeyConfiguration, manifest(version, "key"))
		h.eventually(func() bool { return h.send(http.MethodPost, plainPath, "key", nil).status == http.StatusOK })
	}
	reports := len(h.duties.Reports())
	h.eventually(func() bool { return len(h.duties.Reports()) > reports })
	assert.Zero(t, panics.Load())
}
