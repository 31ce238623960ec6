// Package worktime keeps how long the longest requests of each kind lasted of late, from which it
// can be told whether another one may end by a given time.
package worktime

import "time"

// window is the time for which the longest request counts, at the least; it counts for twice
// as long at the most.
const window = 30 * time.Second

// Kind is a kind of requests that are expected to last alike.
type Kind struct{ Service, Route string }

// Times holds the longest requests of each kind. The zero Times knows none. It is not safe for
// concurrent use.
type Times struct {
	begun           time.Time // When the current window began.
	current, former map[Kind]time.Duration
}

// Record records a request that lasted for a time.
func (t *Times) Record(now time.Time, kind Kind, lasted time.Duration) {
	t.turn(now)
	for _, k := range []Kind{kind, ofService(kind)} {
		t.current[k] = max(t.current[k], lasted)
	}
}

// Longest returns how long the longest request of a kind lasted of late, or that of its service
// if there was none of the kind. ok is false if there was none at all.
func (t *Times) Longest(now time.Time, kind Kind) (lasted time.Duration, ok bool) {
	t.turn(now)
	for _, k := range []Kind{kind, ofService(kind)} {
		current, inCurrent := t.current[k]
		former, inFormer := t.former[k]
		if inCurrent || inFormer {
			return max(current, former), true
		}
	}
	return 0, false
}

// ofService returns the kind that stands for all routes of a service.
func ofService(kind Kind) Kind { return Kind{Service: kind.Service} }

// turn begins a new window if the current one is over.
func (t *Times) turn(now time.Time) {
	age := now.Sub(t.begun)
	if t.current != nil && age < window {
		return
	}
	t.former = t.current
	if age >= 2*window {
		t.former = nil
	}
	t.begun, t.current = now, make(map[Kind]time.Duration)
}
