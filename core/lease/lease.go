// Package lease decides who holds a duty. A lease is a row in the table
// service; taking it raises its epoch, the fencing number of every effect.
package lease

import "time"

// Epoch is the fencing number of a lease. It never falls.
type Epoch int64

// Row is the stored lease. No two attempts of one process write equal rows, so
// that a row that is read tells which attempt wrote it.
type Row struct {
	Holder  string        `json:"holder"` // Instance id of the holder; empty when released.
	Epoch   Epoch         `json:"epoch"`
	Attempt int64         `json:"attempt"` // Number of the holder's write.
	Term    time.Duration `json:"term"`    // How long a renewal lasts.
}

// Margin is how long before expiry a holder stops acting, and how long after
// expiry a successor waits.
const Margin = 1 * time.Second

// Observed is a row and when this process first saw it, on its own clock.
type Observed struct {
	Row  Row
	Seen time.Time
}

// Observe returns what is known after reading row at now. A row that has not
// changed keeps the time at which it was first seen.
func (o Observed) Observe(row Row, now time.Time) Observed {
	if row == o.Row {
		return o
	}
	return Observed{Row: row, Seen: now}
}

// MayTake reports whether a process other than the holder may take the lease:
// it was released, or the row was unchanged for a whole term and a margin.
func (o Observed) MayTake(now time.Time) bool {
	return !now.Before(o.TakeAt())
}

// TakeAt returns the earliest time at which another process may take the lease.
func (o Observed) TakeAt() time.Time {
	if o.Row.Holder == "" {
		return o.Seen
	}
	return o.Seen.Add(o.Row.Term + Margin)
}

// Take returns the row that instance writes to become the holder.
func (o Observed) Take(instance string, attempt int64, term time.Duration) Row {
	return Row{Holder: instance, Epoch: o.Row.Epoch + 1, Attempt: attempt, Term: term}
}

// Term is the holder's view of its lease. Sent is the time before the renewal
// was sent, so that a slow answer only shortens the term.
type Term struct {
	Row  Row
	Sent time.Time
}

// Valid reports whether the holder may act at now.
func (t Term) Valid(now time.Time) bool {
	return t.Row.Holder != "" && now.Before(t.Sent.Add(t.Row.Term-Margin))
}

// Renewal returns the row that extends the lease.
func (r Row) Renewal(attempt int64) Row {
	r.Attempt = attempt
	return r
}

// Released returns the row that gives the lease up. Its epoch stays, so that
// the next holder's is higher.
func (r Row) Released(attempt int64) Row {
	return Row{Epoch: r.Epoch, Attempt: attempt}
}
