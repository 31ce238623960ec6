// Package ratelimit decides how the processes of a fleet together keep to the rate of
// requests that an endpoint accepts. One process shares out the rate of an endpoint;
// the others ask it. Nothing here blocks or communicates.
package ratelimit

import "time"

// Statement is what an endpoint is known to say about the rate of requests that it
// accepts. The zero Statement is that of an endpoint that has not answered yet.
type Statement struct {
	Limited   bool
	PerSecond float64 // Requests a second from all processes together, if Limited.
	At        time.Time
}

// Answered returns the statement of an answer to a request. An answer without a limit
// counts from when its request was sent and one with a limit from when it was received:
// of two answers that overlap, the one with a limit holds, since the endpoint may have
// written the other before it was in need.
func Answered(limited bool, perSecond float64, sentAt, receivedAt time.Time) Statement {
	if limited {
		return Statement{Limited: true, PerSecond: perSecond, At: receivedAt}
	}
	return Statement{At: sentAt}
}

// Newer reports whether s replaces other.
func (s Statement) Newer(other Statement) bool { return s.At.After(other.At) }

// SameLimit reports whether two statements allow the same.
func (s Statement) SameLimit(other Statement) bool {
	return s.Limited == other.Limited && s.PerSecond == other.PerSecond
}
