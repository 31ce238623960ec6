// Package worktime keeps how long the longest requests of each kind lasted of late, from which it
// can be told whether another one may end by a given time.
package worktime

import "time"

// window is the time for which the longest request counts, at the least; it counts for twice
// as long at the most.
const window = 30 * time.Second

// Kind is a kind of requests that are expected to last alike.
type Kind struct{ Service, Route string }

// Lasted is how long requests of a kind lasted of late. The zero Lasted tells of none.
type Lasted struct {
	Longest time.Duration
	Count   int // Of requests.
}

func (l Lasted) add(other Lasted) Lasted {
	return Lasted{Longest: max(l.Longest, other.Longest), Count: l.Count + other.Count}
}

// Times holds the longest requests of each kind. The zero Times knows none. It is not safe for
// concurrent use.
type Times struct {
	begun           time.Time // When the current window began.
	current, former map[Kind]Lasted
}

// Record records a request that lasted for a time.
func (t *Times) Record(now time.Time, kind Kind, lasted time.Duration) {
	t.turn(now)
	for _, k := range []Kind{kind, ofService(kind)} {
		t.current[k] = t.current[k].add(Lasted{Longest: lasted, Count: 1})
	}
}

// Of returns how long the requests of a kind lasted of late, or those of its service if there were
// none of the kind.
func (t *Times) Of(now time.Time, kind Kind) Lasted {
	t.turn(now)
	if own := t.current[kind].add(t.former[kind]); own.Count > 0 {
		return own
	}
	service := ofService(kind)
	return t.current[service].add(t.former[service])
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
	t.begun, t.current = now, make(map[Kind]Lasted)
}
