package streamversion_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/streamversion"
)

// Guards against take-ups that are refused for ever: after the store had come back from an
// older copy, a service without a register kept the version of the others from being inferred.
// The copy may lack its register: for Retention nothing is inferred.
func TestServiceWithoutARegisterHasBegunNothingOnceAnotherOneIsCertain(t *testing.T) {
	absent := streamversion.Register{}
	for _, before := range []streamversion.Register{absent, {Uses: []streamversion.Use{{Version: "v1"}}}} {
		a := next(t, before, streamversion.Observation{Moment: at(3, 20), Listed: []string{"v1"}})
		_, ok := streamversion.SingleOf(at(3, 19+retentionMS), a, absent)
		require.False(t, ok)
		version, ok := streamversion.SingleOf(at(3, 20+retentionMS), absent, a, absent)
		require.True(t, ok)
		require.Equal(t, "v1", version)
		_, ok = streamversion.SingleOf(at(4, 20+2*retentionMS), a, absent)
		require.False(t, ok, "the store went back once more")
	}
	_, ok := streamversion.SingleOf(at(3, 20+retentionMS), absent, absent)
	require.False(t, ok)
	certain := streamversion.Register{Era: 3, UncertainUntilMS: 10, Uses: []streamversion.Use{{Version: "v1"}}}
	for _, other := range []streamversion.Register{
		{Era: 2, Uses: []streamversion.Use{{Version: "v1"}}},
		{Uses: []streamversion.Use{{Version: "v1"}}},
		{Era: -1},
		{Era: 3, UncertainUntilMS: 30},
		{UncertainUntilMS: 10},
	} {
		_, ok := streamversion.SingleOf(at(3, 20), certain, other)
		require.False(t, ok, "its row exists, and is not trusted: %v", other)
	}
}
