package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against streams that are cut or refused although nothing has changed: the store stops
// answering, and until a call counts as not answered the list of endpoints looked out of date.
func TestStreamsGoOnWhileTheStoreStopsAnswering(t *testing.T) {
	const (
		watched  = 3 * time.Second // Beyond the time after which a call counts as not answered.
		interval = 25 * time.Millisecond
	)
	f := newVersionedFleet(t, 2)
	engines := f.addEngines("v1", 2)
	for _, p := range f.processes {
		f.awaitVersion(p, "v1")
	}
	breakAll(engines, true)
	begun := [][]beginning{f.begin(f.processes[0], 1), f.begin(f.processes[1], 1)}
	breakAll(engines, false)
	f.store.SetSilent(true)
	start := time.Now()
	for time.Since(start) < watched {
		for i, p := range f.processes {
			got := f.takeUp(p, begun[i][0])
			require.Equal(t, http.StatusOK, got.status, "at process %d, %v after the store stopped: %s", i, time.Since(start), got.body)
		}
		time.Sleep(interval)
	}
}
