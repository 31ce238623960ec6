package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against joined streams: a stream was under way at an engine that had started again
// with other software, and before its row was read. It broke off afterwards and went on, in one
// response, at the version that the engine had had.
func TestStreamUnderWayAtAnEngineFoundStartedAgainIsNotJoined(t *testing.T) {
	f := newVersionedFleet(t, 1)
	p := f.processes[0]
	began, breaks := make(chan struct{}, 100), make(chan struct{})
	e := sitetest.NewEndpoint(t, "x", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: v2 piece 1\n\n")
		_ = http.NewResponseController(w).Flush() // An error shows in what the caller receives.
		began <- struct{}{}
		<-breaks
		panic(http.ErrAbortHandler)
	})
	e.StartedMS.Store(0) // Its reports don't say when it started.
	row := e.Row("model", "dc", "ready", "decode")
	f.store.Put(site.TableEndpoints, e.ID, row)
	got := make(chan result)
	go func() {
		for {
			if r := f.on(p).send(http.MethodPost, streamPath, "key", nil); r.status == http.StatusOK {
				got <- r
				return
			}
			time.Sleep(20 * time.Millisecond) // The engine is not known yet.
		}
	}()
	<-began
	sitetest.StartedAgain(row, "v2")
	f.store.Put(site.TableEndpoints, e.ID, row)
	old := f.addEngines("v1", 2)
	time.Sleep(settleTime / 2)
	close(breaks)
	r := <-got
	require.Equal(t, "v2", versionOf(r.body), r.body)
	require.Error(t, r.err, "a part of a stream must not look complete")
	for _, e := range old {
		require.Empty(t, e.Requests())
	}
}
