package crash_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingospar.org/core/crash"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func drawMark(t *rapid.T) crash.Mark {
	mark := crash.Mark{Fingerprint: "f", Team: "a", Crashes: map[string]int64{}}
	for range rapid.IntRange(0, 4).Draw(t, "crashes") {
		id := strconv.Itoa(rapid.IntRange(0, 9).Draw(t, "id"))
		// The time depends only on the id: every mark has the same time for a crash.
		mark.Crashes[id] = epoch.UnixMilli() + int64(len(id)+int(id[0]))*1000
	}
	if rapid.Bool().Draw(t, "cleared") {
		mark.Cleared = epoch.UnixMilli() + int64(rapid.IntRange(40, 60).Draw(t, "at"))*1000
	}
	return mark
}

// TestMarksMergeInAnyOrder guards against merges whose result depends on their
// order or repetition, which would leave processes with different marks.
func TestMarksMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawMark(t), drawMark(t), drawMark(t)
		one := crash.Merge(crash.Merge(a, b), c)
		other := crash.Merge(c, crash.Merge(b, crash.Merge(a, a)))
		require.True(t, one.Equal(other), "%v and %v", one, other)
		require.True(t, crash.Merge(one, one).Equal(one))
		require.Zero(t, one.Clear(epoch.Add(time.Hour)).Count(epoch.Add(time.Hour)))
	})
}
