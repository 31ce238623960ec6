package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/peers"
	"flamingospar.org/platform/site"
)

// In a rolling restart of a large fleet, each process that stops or starts is a
// change that all others are notified of. Together they must read the list about
// as often per change as a small fleet does, not once per change and process.
func TestLargerFleetsReadTheMemberListLessOften(t *testing.T) {
	const small, large = 4, 68
	interval := func(size int) time.Duration {
		n := &Node{cluster: peers.New(peers.Member{VM: "self"}, nil, nil, noLocalState{})}
		var page site.Page
		for i := range size - 1 {
			page.Rows = append(page.Rows, site.Row{Key: fmt.Sprint("vm-", i), Value: fmt.Appendf(nil, `{"vm":"vm-%d","address":"10.0.0.1:%d","instance":"vm-%d/1"}`, i, i+1, i)})
		}
		n.cluster.ApplyList(page, false)
		return n.membersInterval()
	}
	require.Equal(t, time.Second, interval(small))
	require.Greater(t, interval(large), 3*time.Second)
	require.Less(t, interval(large), 5*time.Second, "the list must be read within a usage window")
}

type noLocalState struct{ peers.LocalState }
