package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against joined streams: a route was moved to a service with another version while an
// entry process was frozen. Streams that the new service had begun were taken up there before it
// had read the configuration, and went on at the service before.
func TestStreamIsNotJoinedAtAProcessThatWasFrozenWhileItsRouteWasMoved(t *testing.T) {
	for name, unreachable := range map[string]bool{"another process knows": false, "it is frozen then": true} {
		t.Run(name, func(t *testing.T) {
			f := newVersionedFleet(t, 0)
			p, other := f.startFreezable("vm-p"), f.startFreezable("vm-other")
			f.addEngines("v1", 2)
			f.awaitVersion(other.entryProcess, "v1")
			f.awaitVersion(p.entryProcess, "v1")
			p.freeze()
			added := sitetest.NewVersionedEngine(t, "other-0", "v2")
			f.store.Put(site.TableEndpoints, added.ID, added.Row("other", "dc", "ready", "decode"))
			f.store.PutRaw(site.TableOperator, site.KeyConfiguration, movedManifest(t, 2))
			f.awaitServed(other.entryProcess, added.Endpoint)
			added.Breaks.Store(true)
			begun := f.begin(other.entryProcess, 12)
			added.Breaks.Store(false)
			if unreachable {
				other.freeze()
			}
			f.takeUpAtOnce(p, begun)
			if !unreachable {
				time.Sleep(settleTime)
				require.Equal(t, len(begun), f.takeUpAll(p.entryProcess, begun))
			}
		})
	}
}
