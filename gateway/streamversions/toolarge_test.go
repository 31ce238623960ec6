package streamversions_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site/sitetest"
)

// readTime is ample for reading some MB on a busy machine.
const readTime = 20 * time.Second

// Guards against take-ups and new versions being refused for good: changes that are too
// large for one answer were asked for again and again.
func TestChangesTooLargeForOneAnswerAreReadAsAWholeTable(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.list("v1")
	p.awaitConfirmed()
	require.Equal(t, "v1", p.find("x"))
	big := make([]byte, 60<<10)
	for i := range 60 {
		store.PutRaw(streamversions.Table, fmt.Sprintf("streams/x/%02d", i), big)
	}
	id := 0
	require.Eventually(t, func() bool {
		id++
		return p.find(fmt.Sprint("y", id)) == "v1"
	}, readTime, 50*time.Millisecond)
}
