// Package lease implements the leases that select the one process that performs a
// duty. A lease is a row in the table service. Acquiring it increments its epoch,
// the fencing number of every effect of the holder.
package lease

import "time"

// Epoch is the fencing number of a lease. It never decreases.
type Epoch int64

// Row is the stored lease. No two attempts of a process write equal rows, so that
// a row identifies the attempt that wrote it.
type Row struct {
	Holder  string        `json:"holder"` // Instance id of the holder; empty when released.
	Epoch   Epoch         `json:"epoch"`
	Attempt int64         `json:"attempt"` // Number of the write, counted by the writer.
	Term    time.Duration `json:"term"`    // Validity of the lease after a renewal.
}

// SafetyMargin is how long before expiry a holder stops acting, and how long after
// expiry a successor waits.
const SafetyMargin = 1 * time.Second

// Observed is a row and the time at which this process first read it, by its own
// clock.
type Observed struct {
	Row       Row
	FirstSeen time.Time
}

// Observe returns the observation after row was read at now. A row that has not
// changed keeps its FirstSeen.
func (o Observed) Observe(row Row, now time.Time) Observed {
	if row == o.Row {
		return o
	}
	return Observed{Row: row, FirstSeen: now}
}

// CanAcquire reports whether a process other than the holder may acquire the
// lease: it was released, or the row was unchanged for a term and SafetyMargin.
func (o Observed) CanAcquire(now time.Time) bool {
	return !now.Before(o.AcquirableAt())
}

// AcquirableAt returns the earliest time at which another process may acquire the
// lease.
func (o Observed) AcquirableAt() time.Time {
	if o.Row.Holder == "" {
		return o.FirstSeen
	}
	return o.FirstSeen.Add(o.Row.Term + SafetyMargin)
}

// Acquire returns the row that instance writes to become the holder.
func (o Observed) Acquire(instance string, attempt int64, term time.Duration) Row {
	return Row{Holder: instance, Epoch: o.Row.Epoch + 1, Attempt: attempt, Term: term}
}

// Term is the holder's view of its lease. SentAt is taken before the renewal is
// sent, so that a slow answer only shortens the term.
type Term struct {
	Row    Row
	SentAt time.Time
}

// Valid reports whether the holder may act at now.
func (t Term) Valid(now time.Time) bool {
	return t.Row.Holder != "" && now.Before(t.SentAt.Add(t.Row.Term-SafetyMargin))
}

// Renewal returns the row that extends the lease.
func (r Row) Renewal(attempt int64) Row {
	r.Attempt = attempt
	return r
}

// Released returns the row that releases the lease. It keeps the epoch, so that
// the next holder's is higher.
func (r Row) Released(attempt int64) Row {
	return Row{Epoch: r.Epoch, Attempt: attempt}
}
