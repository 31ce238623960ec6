package follow

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// However many calls failed, no wait is longer than maxBackoff, so that the
// recovery of the store is noticed within that time.
func TestBackoffIsBounded(t *testing.T) {
	const calls = 2000
	f := &Follower{Table: "t"}
	err := errors.New("no answer")
	for range calls {
		wait := f.recordFailure(err)
		require.GreaterOrEqual(t, wait, minBackoff/2)
		require.LessOrEqual(t, wait, maxBackoff)
	}
}
