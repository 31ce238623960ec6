// Package standby decides about a second attempt, the standby, beside one whose endpoint
// is silent: whether it may begin, and which of the two goes on. A silent attempt is never
// ended before another has begun, since its endpoint may go on by itself.
package standby

import "time"

// Attempts is what is known about the attempts of a request when one of them is silent.
type Attempts struct {
	Repeatable  bool // The request may run more than once.
	Continuable bool // Another endpoint can continue after what the caller has received.
	Runs        int  // Attempts that may have run, those under way included.
	MaxRuns     int
	Sends       int // Attempts that were sent, those under way included.
	MaxSends    int
	Remaining   time.Duration // Until the deadline.
	MinTime     time.Duration // Below which no attempt is worth starting.
}

// MayBegin reports whether a standby may begin.
func (a Attempts) MayBegin() bool {
	if !a.Repeatable || !a.Continuable {
		return false
	}
	return a.Runs < a.MaxRuns && a.Sends < a.MaxSends && a.Remaining >= a.MinTime
}

type state int

const (
	firstAlone   state = iota
	both               // The standby is under way and has sent no event.
	standbyEnds        // The first made progress; the standby is being cancelled.
	standbyAlone       // The standby goes on, or is the next attempt.
)

// Pair is an attempt and at most one standby beside it. Exactly one of them goes on. It
// is not safe for concurrent use.
type Pair struct{ state state }

// Begin records the start of a standby. It reports false if there is one already.
func (p *Pair) Begin() bool {
	if p.state != firstAlone {
		return false
	}
	p.state = both
	return true
}

// Progress records progress of the first attempt. It reports whether a standby must be
// cancelled.
func (p *Pair) Progress() bool {
	if p.state != both {
		return false
	}
	p.state = standbyEnds
	return true
}

// Began records that the standby has sent an event. It reports whether the standby goes
// on; then the first must be cancelled, and otherwise the standby.
func (p *Pair) Began() bool {
	if p.state != both {
		return false
	}
	p.state = standbyAlone
	return true
}

// StandbyEnded records the end of a standby that does not go on. Another may begin.
func (p *Pair) StandbyEnded() {
	if p.state != standbyAlone {
		p.state = firstAlone
	}
}

// FirstFailed records that the first attempt ended by itself without a whole answer. It
// reports whether a standby is under way, which then is the next attempt.
func (p *Pair) FirstFailed() bool {
	if p.state != both {
		return false
	}
	p.state = standbyAlone
	return true
}

// StandbyGoesOn reports whether the standby has replaced the first attempt.
func (p *Pair) StandbyGoesOn() bool { return p.state == standbyAlone }
