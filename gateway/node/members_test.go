package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/peers"
	"flamingospar.org/platform/site"
)

// Pattern: a large fleet is stopped and started in turn, and each process that
// comes or goes is told to all others. Together they read the list about as often
// as a small fleet does for each change, not for each change and process.
func TestLargerFleetsReadTheListOfProcessesLessOften(t *testing.T) {
	const small, large = 4, 68
	every := func(size int) time.Duration {
		n := &Node{circle: peers.New(peers.Member{VM: "self"}, nil, nil, noSources{})}
		var page site.Page
		for i := range size - 1 {
			page.Rows = append(page.Rows, site.Row{Key: fmt.Sprint(i), Value: fmt.Appendf(nil, `{"vm":"vm-%d","address":"10.0.0.1:%d"}`, i, i)})
		}
		n.circle.Apply(page, false)
		return n.membersEvery()
	}
	require.Equal(t, time.Second, every(small))
	require.Greater(t, every(large), 3*time.Second)
	require.Less(t, every(large), 5*time.Second, "a usage window still sees who is listed")
}

type noSources struct{ peers.Sources }
