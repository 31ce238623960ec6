package streamversions_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

// Guards against callers that are told to come again soon for a stream that nobody will know,
// each time in vain: all processes were killed before it was written down.
func TestCallersOfStreamsThatNobodyKnowsAreNotToldToReturnSoon(t *testing.T) {
	const soon, late = time.Second, 5 * time.Second
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.list("v1", "v2")
	p.awaitConfirmed()
	require.Empty(t, p.find("unwritten"))
	require.Less(t, p.RetryAfterUnknown(), soon, "other processes may not be known yet")
	time.Sleep(2500 * time.Millisecond)
	require.Empty(t, p.find("unwritten"))
	require.Greater(t, p.RetryAfterUnknown(), late)
	p.StoreLost = func() bool { return true }
	require.Less(t, p.RetryAfterUnknown(), soon, "the store may answer again")
}
