package availability

import "time"

// MaxWait bounds the time for which an endpoint is sent nothing at its own request. After
// it, and again after each further MaxWait until the end that the endpoint stated, it is
// sent a single request, so that one that states long times is not lost for its service.
const MaxWait = 30 * time.Second

// Answer is what one answer of an endpoint says about further requests.
type Answer struct {
	Leaving  bool          // The endpoint leaves.
	Wait     time.Duration // For how long it wants no request; 0 if it says nothing of it.
	Accepted bool          // It accepted the request.
}

// says reports whether the answer excludes further requests.
func (a Answer) says() bool { return a.Leaving || a.Wait > 0 }

// Statement is what one process of an endpoint has said about further requests.
type Statement struct {
	leaving     bool      // Holds until the process ends.
	waitUntil   time.Time // No request is sent before.
	statedUntil time.Time // The end that the endpoint stated; later than waitUntil if that was bounded.
	trial       bool      // A single request was sent before statedUntil.
}

// IsLeaving reports whether the endpoint said that it leaves.
func (s *Statement) IsLeaving() bool { return s != nil && s.leaving }

// waits reports whether the endpoint has asked to be sent nothing now.
func (s *Statement) waits(now time.Time) bool { return s != nil && now.Before(s.waitUntil) }

// observe applies an answer. Waits never get shorter: each of several refused requests
// states its own. Only a single request that was accepted before the stated end shows
// that the endpoint wants requests again.
func (s *Statement) observe(now time.Time, answer Answer) {
	s.leaving = s.leaving || answer.Leaving
	if answer.Wait > 0 {
		s.trial = false
		s.waitUntil = latest(s.waitUntil, now.Add(min(answer.Wait, MaxWait)))
		s.statedUntil = latest(s.statedUntil, now.Add(answer.Wait))
		return
	}
	if answer.Accepted && s.trial {
		s.trial = false
		s.waitUntil, s.statedUntil = time.Time{}, time.Time{}
	}
}

// Take reports whether a request may be sent now, and records that it is.
func (s *Statement) Take(now time.Time) bool {
	switch {
	case s == nil:
		return true
	case s.leaving || s.waits(now):
		return false
	case now.Before(s.statedUntil):
		s.trial = true
		s.waitUntil = earliest(s.statedUntil, now.Add(MaxWait))
	}
	return true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
