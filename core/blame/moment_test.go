package blame_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/blame"
)

// Engines crashed one right after the other. Streams that went from one to the next were at two to
// four of the crashes, as if they had caused them, and were refused.
func TestEndpointsThatCrashInTurnBlameNoRequest(t *testing.T) {
	cases := map[string]struct {
		crashes [][]string
		served  []string
		refused []string
	}{
		"many streams go from one to the next": {
			[][]string{
				{"request:1", "request:2", "request:3", "request:4", "request:5"},
				{"request:1", "request:2", "request:3", "request:6", "request:7"},
				{"request:2", "request:4", "request:5", "request:6", "request:7"},
				{"request:1", "request:2", "request:3", "request:7", "request:8"},
			},
			[]string{"request:1", "request:2", "request:3", "request:4", "request:5", "request:6", "request:7"},
			nil,
		},
		"one stream at two of four": {[][]string{{"request:1"}, {"request:1"}, {"request:2"}, {"request:3"}}, []string{"request:1", "request:2"}, nil},
		"one request crashes two":   {[][]string{{"request:1", "request:2"}, {"request:1", "request:3"}}, []string{"request:2"}, []string{"request:1"}},
		"one request, and what went from one to the next with it": {
			[][]string{{"request:1", "request:2", "request:3"}, {"request:1", "request:2", "request:4"}}, []string{"request:3", "request:4"}, []string{"request:1"},
		},
		"copies of one request, and another crash": {
			[][]string{{"request:1"}, {"request:1"}, {"request:1"}, {"request:1"}, {"request:2"}}, []string{"request:2"}, []string{"request:1"},
		},
		"look-ups that differ by query": {
			[][]string{
				{"request:0 target:1", "request:0 target:2", "request:0 target:3", "request:0 target:4", "request:0 target:5"},
				{"request:0 target:1", "request:0 target:2", "request:0 target:3", "request:0 target:4", "request:0 target:5"},
			},
			[]string{"request:0 target:1", "request:0 target:6"},
			nil,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			f.crashTogether("a", c.crashes...)
			for _, request := range c.served {
				require.False(t, f.refused("a", request), request)
			}
			for _, request := range c.refused {
				require.True(t, f.refused("a", request), request)
			}
		})
	}
}

// A request that crashes endpoints beside others that crash for another reason was never refused.
func TestARequestAmongOtherCrashesIsBlamedAtItsNextOne(t *testing.T) {
	f := newFleet()
	var riders []string
	for i := range 9 {
		riders = append(riders, fmt.Sprint("request:", i))
	}
	f.crashTogether("a", append([]string{"request:deadly"}, riders...), append([]string{"request:deadly"}, riders...))
	require.False(t, f.refused("a", "request:deadly"))
	f.crash("a", "request:deadly")
	require.True(t, f.refused("a", "request:deadly"))
	require.False(t, f.refused("a", "request:3"))
}

// Requests that were answered meanwhile no longer counted among those at several crashes, so that
// the others were refused one after the other.
func TestTheCauseOfAMomentStaysKnown(t *testing.T) {
	f := newFleet()
	var riders []string
	for i := range 9 {
		riders = append(riders, fmt.Sprint("request:", i))
	}
	f.crashTogether("a", riders, riders)
	for i := range 8 {
		f.answer(riders[i])
		require.False(t, f.refused("a", riders[8]), "%d answered", i)
	}
	require.Equal(t, 2, len(f.set.Mark(blame.RequestKey("8")).Evidence))
}

// Engines crashed together before any prompt with a part had been answered for long, as after the
// start of all processes: all prompts with it were refused.
func TestAPartThatWasBegunIsNotBlamedForOneMoment(t *testing.T) {
	f := newFleet()
	f.set.RecordBegun(runOf("a", "first"))
	f.crashTogether("a", []string{"first request:1"}, []string{"first request:2"}, []string{"first request:3"}, []string{"first request:4"})
	require.False(t, f.refused("a", "first request:5"))
	f.crash("a", "first request:5")
	require.True(t, f.refused("a", "first request:6"), "an engine crashes again")
}

// The first event of a trial let a part through that crashes engines after it.
func TestAPartIsNotServedAgainForTheBeginningOfAnAnswer(t *testing.T) {
	f := newFleet()
	f.crashTogether("a", []string{"dead request:1"}, []string{"dead request:2"}, []string{"dead request:3"})
	require.True(t, f.refused("a", "dead"))
	f.set.RecordBegun(runOf("a", "dead"))
	require.True(t, f.refused("a", "dead"))
}
