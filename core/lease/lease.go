// Package lease decides who holds a duty. A lease is a row in the table
// service; taking it raises its epoch, the fencing number of every effect.
package lease

import "time"

// Epoch is the fencing number of a lease. It never falls.
type Epoch int64

// Row is the stored lease.
type Row struct {
	Holder string        `json:"holder"` // Instance id of the holder.
	Epoch  Epoch         `json:"epoch"`
	Renew  int64         `json:"renew"` // Raised by each renewal.
	Term   time.Duration `json:"term"`  // How long a renewal lasts.
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
// the row was unchanged for a whole term and a margin.
func (o Observed) MayTake(now time.Time) bool {
	if o.Row.Holder == "" {
		return true
	}
	return now.Sub(o.Seen) >= o.Row.Term+Margin
}

// Take returns the row that instance writes to become the holder.
func (o Observed) Take(instance string, term time.Duration) Row {
	return Row{Holder: instance, Epoch: o.Row.Epoch + 1, Term: term}
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

// Renewal returns the row that extends the term.
func (t Term) Renewal() Row {
	row := t.Row
	row.Renew++
	return row
}
