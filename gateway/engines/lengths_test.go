package engines_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Callers' guesses of the length are wrong one by one and right in the mean, and
// an event may hold any number of tokens: both are learned from what comes.
func TestEventsOfAnswersAreLearned(t *testing.T) {
	l, _ := fleet()
	require.InDelta(t, 20, l.ExpectedEvents("model", 200), 0.01, "nothing was seen")
	for range 300 {
		l.NoteAnswer("model", 100, 30)
		l.NoteAnswer("model", 300, 50)
		l.NoteAnswer("model", 0, 500) // Its caller guessed nothing.
	}
	require.InDelta(t, 40, l.ExpectedEvents("model", 200), 2)
	require.Zero(t, l.ExpectedEvents("model", 0))
	require.InDelta(t, 20, l.ExpectedEvents("another", 200), 0.01)
}
