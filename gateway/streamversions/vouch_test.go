package streamversions_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

// Guards against joined streams: a process that did not yet know of the newest version
// vouched for the register after the store had come back from an older copy.
func TestProcessThatLaggedDoesNotVouchForTheRegisterAfterTheStoreWentBack(t *testing.T) {
	store := sitetest.NewStore(t)
	lagging := startProcess(t, store, "b", true)
	lagging.list("v1")
	lagging.awaitConfirmed()
	c := store.Copy()
	p := startProcess(t, store, "a", true)
	p.list("v1", "v2")
	p.awaitConfirmed()
	p.RecordStream("s", "of v2", "v2") // Its caller gets the first event.
	p.stop()                           // Killed.
	store.Restore(c)
	_ = lagging.find("of v2") // It learns that the store went back.
	time.Sleep(time.Second)
	require.Empty(t, lagging.find("of v2"))
	require.Empty(t, startProcess(t, store, "c", true).find("of v2"))
}
