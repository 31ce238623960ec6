package platform

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/vms"
)

func putFaults(t *testing.T, p *Platform, body string) int {
	t.Helper()
	recorder := httptest.NewRecorder()
	p.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPut, "/faults", bytes.NewReader([]byte(body))))
	return recorder.Code
}

// TestFaultsOverHTTP checks that each fault set over HTTP takes effect: VM list
// lag, weight rate, delay and outage.
func TestFaultsOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New()
		p.SetVMs([]vms.VM{{Instance: "old"}})
		time.Sleep(10 * time.Second)
		p.SetVMs([]vms.VM{{Instance: "new"}})
		require.Equal(t, http.StatusOK, putFaults(t, p, `{"vm_lag":"5s","delay":"1s","weights_per_second":1048576}`))
		require.Equal(t, http.StatusBadRequest, putFaults(t, p, `{"vm_lag":5}`))
		firstInstance := func() string {
			list, err := p.VMs(t.Context())
			require.NoError(t, err)
			return list[0].Instance
		}
		time.Sleep(4 * time.Second)
		require.Equal(t, "old", firstInstance())
		time.Sleep(2 * time.Second)
		require.Equal(t, "new", firstInstance())

		start := time.Now()
		recorder := httptest.NewRecorder()
		p.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/weights/notice/1?size=3145728", nil))
		data, err := io.ReadAll(recorder.Body)
		require.NoError(t, err)
		require.Len(t, data, 3<<20)
		require.Equal(t, 3*time.Second, time.Since(start))

		start = time.Now()
		p.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/tables/row?table=a&row=b", nil))
		require.Equal(t, time.Second, time.Since(start))
		require.Equal(t, http.StatusOK, putFaults(t, p, `{"outage":true}`))
		recorder = httptest.NewRecorder()
		p.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/tables/row?table=a&row=b", nil))
		require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	})
}
