package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All processes are so slow, or lose so much, that none hears another, and all reach the
// endpoint. Each that ranks second or later shared out half of the limit: three processes
// together sent almost twice as much, eight four times.
func TestLimitIsKeptWhileNoProcessHearsAnother(t *testing.T) {
	const limit = 4
	for _, processes := range []int{2, 3, 4, 8, 30} {
		t.Run(fmt.Sprintf("%d processes", processes), func(t *testing.T) {
			s := newSimulation(t, processes, 1, limit)
			s.run(noticeTime)
			from := s.now
			s.run(window)
			for i, vm := range s.order() {
				s.processes[vm].group = i
			}
			s.run(12 * time.Second)
			s.requireKept(from, limit)
			for _, p := range s.processes {
				p.group = 0
			}
			s.run(noticeTime)
			from = s.now
			s.run(2 * window)
			s.requireKept(from, limit)
			s.requireUsed(from, limit, minUse)
		})
	}
}

// The processes that rank first and second end at once. The third must not stay without a
// limit to share out when they are known to be gone.
func TestLimitIsUsedAgainAfterItsFirstTwoOwnersEnded(t *testing.T) {
	const limit = 6
	for _, processes := range []int{3, 30} {
		t.Run(fmt.Sprintf("%d processes", processes), func(t *testing.T) {
			s := newSimulation(t, processes, 1, limit)
			s.run(noticeTime)
			from := s.now
			for _, vm := range s.owner().Rank(s.endpoints[0].ID, 2) {
				s.processes[vm].dead = true
			}
			s.run(18 * time.Second)
			gone := s.now
			s.run(2 * window)
			s.requireKept(from, limit)
			s.requireUsed(gone, limit, minUse)
			require.Equal(t, 1, s.sharing(), "processes that share out the limit")
		})
	}
}

// sharing returns the number of running processes that share out the limit of the first
// endpoint.
func (s *simulation) sharing() int {
	sharing := 0
	for _, p := range s.processes {
		if p.runs() && p.limiter.Gauges()[s.endpoints[0].ID]["share_percent"] > 0 {
			sharing++
		}
	}
	return sharing
}
