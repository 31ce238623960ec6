package node_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// movedManifest returns a configuration with the route of streams moved to the service other.
func movedManifest(t *testing.T, version int) []byte {
	return sitetest.Changed(t, manifest(version, "key"), sitetest.EngineServiceAdded("other"), sitetest.RouteTo("stream", "other"))
}

// A route was moved to another service. Streams that an engine of the service before had begun
// were joined with events of the new one at its own version, the only one that was looked at.
// At a version of the same name they go on.
func TestStreamIsNotJoinedWithAnotherVersionOfAnotherService(t *testing.T) {
	for _, version := range []string{"v1", "v2"} {
		t.Run(version, func(t *testing.T) {
			f := newVersionedFleet(t, 2)
			old := f.addEngines("v1", 2)
			breakAll(old, true)
			for _, p := range f.processes {
				f.awaitVersion(p, "v1")
			}
			begun := f.begin(f.processes[0], 6)
			other := sitetest.NewVersionedEngine(t, "other-0", version)
			f.store.Put(site.TableEndpoints, other.ID, other.Row("other", "dc", "ready", "decode"))
			f.store.PutRaw(site.TableOperator, site.KeyConfiguration, movedManifest(t, 2))
			for _, p := range f.processes {
				f.eventually(func() bool {
					before := other.NewStreams()
					f.on(p).send(http.MethodPost, streamPath, "key", nil)
					return other.NewStreams() > before
				})
			}
			for _, p := range f.processes {
				wentOn := f.takeUpAll(p, begun)
				if version == "v1" {
					require.Equal(t, len(begun), wentOn)
					continue
				}
				require.Zero(t, wentOn)
				require.Equal(t, other.NewStreams(), len(other.Requests()), "it got streams of another version")
			}
		})
	}
}
