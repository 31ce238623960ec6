package streamversions_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

// Guards against lost records: a full segment that the store had refused was dropped.
func TestFullSegmentThatWasRefusedIsWrittenLater(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.list("v1", "v2")
	p.awaitConfirmed()
	store.SetDown(true)
	for i := range 4000 {
		p.RecordStream("s", fmt.Sprint(i), "v1")
	}
	time.Sleep(1500 * time.Millisecond)
	store.SetDown(false)
	time.Sleep(2500 * time.Millisecond)
	p.stop()
	started := startProcess(t, store, "b", true)
	known := 0
	for i := 0; i < 4000; i += 400 {
		if started.find(fmt.Sprint(i)) == "v1" {
			known++
		}
	}
	require.Equal(t, 10, known)
}
