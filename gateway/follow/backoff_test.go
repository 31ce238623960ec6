package follow

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// A store that is back is seen within maxBackoff: no wait after a failed call
// is longer, however many failed before it.
func TestWaitAfterFailedCallsIsBounded(t *testing.T) {
	const calls = 2000
	f := &Follower{Table: "t"}
	err := errors.New("no answer")
	for range calls {
		wait := f.failed(err)
		require.GreaterOrEqual(t, wait, minBackoff/2)
		require.LessOrEqual(t, wait, maxBackoff)
	}
}
