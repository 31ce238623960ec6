package crash_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/crash"
)

// Marks with more crashes than are needed to refuse a request were never removed, so that
// their number was not bounded.
func TestMarksAreBounded(t *testing.T) {
	const crashesPerMark = crash.RefuseThreshold + 2
	set := crash.NewMarkSet()
	for i := range crash.MaxMarks + 100 {
		mark := crash.Mark{}
		for j := range crashesPerMark {
			mark = crash.Merge(mark, crash.New(crash.Fingerprint(strconv.Itoa(i)), "a", strconv.Itoa(j), epoch))
		}
		set.Merge(mark, epoch)
	}
	require.Len(t, set.All(), crash.MaxMarks)
	fewer := crash.Fingerprint("fewer")
	set.Merge(crash.New(fewer, "a", "1", epoch), epoch)
	require.Len(t, set.All(), crash.MaxMarks)
	require.Zero(t, set.Mark(fewer).Count(epoch), "marks with the fewest crashes go first")
}
