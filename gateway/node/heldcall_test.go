package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// An outage of the store that no other call meets swallows the held calls of all
// processes, and the configuration changes at its end. All went on with the old one for
// up to 11 s, until their calls timed out.
func TestConfigurationIsKnownSoonAfterAllHeldCallsWereLost(t *testing.T) {
	const maxDelay = 2 * time.Second
	f := newLimitedFleet(t, 3)
	f.register(sitetest.NewEndpoint(t, "e1", nil), "plain", "")
	f.waitUntilAllServe(plainPath)
	time.Sleep(time.Second) // All processes wait for a change.
	f.store.LoseHeldCalls()
	f.store.PutRaw(site.TableOperator, site.KeyConfiguration, manifest(2, "next"))
	time.Sleep(maxDelay)
	for _, p := range f.processes {
		one := harness{t: t, vm: p.vm}
		require.Equal(t, http.StatusOK, one.send(http.MethodPost, plainPath, "next", nil).status, "%s uses the old configuration", p.vm.SettingsPath)
	}
}
