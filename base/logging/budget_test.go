package logging

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLineBudgetCountsTheLinesThatItOmits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b LineBudget
		allow := func(class string) [2]int {
			ok, omitted := b.Allow(class, 2)
			if !ok {
				return [2]int{}
			}
			return [2]int{1, omitted}
		}
		require.Equal(t, [2]int{1, 0}, allow("a"))
		require.Equal(t, [2]int{1, 0}, allow("a"))
		require.Equal(t, [2]int{0, 0}, allow("a"))
		require.Equal(t, [2]int{0, 0}, allow("a"))
		require.Equal(t, [2]int{1, 2}, allow("b"), "each class has its own budget")
		time.Sleep(time.Second)
		require.Equal(t, [2]int{1, 0}, allow("a"))
	})
}
