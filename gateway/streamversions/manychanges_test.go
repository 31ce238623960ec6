package streamversions_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against take-ups that are refused, or joined by an old register, in a large fleet:
// an answer with changes holds only the first of them, and was taken for all.
func TestStreamIsFoundBehindManyChanges(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.list("v1", "v2")
	p.awaitConfirmed()
	require.Empty(t, p.find("unknown"))
	for i := range 300 {
		store.PutRaw(streamversions.Table, fmt.Sprintf("streams/x/%03d", i), []byte(`{"versions":[],"streams":""}`))
	}
	q := startProcess(t, store, "b", false)
	q.list("v1", "v2")
	q.awaitConfirmed()
	q.RecordStream("s", "of v2", "v2")
	require.Eventually(t, func() bool { return len(store.Value(streamversions.Table, "streams/b/1")) > 0 }, 10*time.Second, 5*time.Millisecond)
	q.stop()
	require.Equal(t, "v2", p.find("of v2"))
}
