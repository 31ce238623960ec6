package node

import (
	"errors"
	"sync"
	"time"
)

// Times of a stop, from the request to stop to the exit.
const (
	// loadBalancerDelay is how long the load balancer may keep sending
	// connections after the process reported that it is not ready.
	loadBalancerDelay = 2500 * time.Millisecond
	// answersMargin is how long before the end of the stop grace period all answers
	// end, closeMargin how long before it the connections of callers are closed, and
	// exitMargin the part of that kept for the exit itself. What is between serves the
	// last writes. The platform kills the process at the end of the grace period.
	answersMargin = 1000 * time.Millisecond
	closeMargin   = 900 * time.Millisecond
	exitMargin    = 200 * time.Millisecond
	// fullMarginsFrom is the stop grace period from which on these margins apply; shorter ones
	// have shorter margins, so that answers end in the last sixth of each.
	fullMarginsFrom = 8 * answersMargin
)

// errWritesUnfinished is logged when the last writes were not finished within
// the stop grace period.
var errWritesUnfinished = errors.New("the last writes were not finished within the stop grace period; remedy: check the store; other processes hold copies of the usage counts")

// stopTimes are the times of a stop.
type stopTimes struct{ answersBy, closeBy, exitBy time.Time }

func newStopTimes(now time.Time, grace time.Duration) stopTimes {
	before := func(margin time.Duration) time.Time {
		share := min(1, float64(grace)/float64(fullMarginsFrom))
		return now.Add(grace - time.Duration(share*float64(margin)))
	}
	return stopTimes{answersBy: before(answersMargin), closeBy: before(closeMargin), exitBy: before(exitMargin)}
}

// stop gives the load balancer time to send callers elsewhere and waits for
// running requests. It returns when the process has to exit.
func (n *Node) stop(s servers) time.Time {
	n.stopping.Store(true)
	close(n.stopRequested)
	log.Info("The process was asked to stop and finishes its running requests.", "vm", n.settings.NodeName)
	times := newStopTimes(time.Now(), n.bounds.Load().StopGracePeriod)
	n.stopGate.Stop(times.answersBy)
	s.callerListener.EndReuse()
	time.Sleep(min(loadBalancerDelay, time.Until(times.answersBy)))
	s.callerListener.Drain(times.answersBy)
	if err := s.awaitDrained(times.closeBy); err != nil {
		log.Error(err, "The process closes the connections of its callers.", "vm", n.settings.NodeName)
	}
	return times.exitBy
}

// awaitTasks waits until the background tasks have ended, but at most until the
// deadline: a store that does not answer must not delay the exit until the
// platform kills the process.
func (n *Node) awaitTasks(tasks *sync.WaitGroup, deadline time.Time) {
	ended := make(chan struct{})
	go func() {
		tasks.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(time.Until(deadline)):
		log.Error(errWritesUnfinished, "The process stops without them.", "vm", n.settings.NodeName)
	}
}
