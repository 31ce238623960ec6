// Package lease implements the leases that select the one process that performs a
// duty. A lease is a row in the table service. Acquiring it increments its epoch,
// the fencing number of every effect of the holder.
package lease

import "time"

// Epoch is the fencing number of a lease. It never decreases.
type Epoch int64

// epochsPerEra is the number of epochs of one era of the store.
const epochsPerEra = 1_000_000

// FirstEpoch returns the first epoch of an era of the store. A store that comes back from
// an older copy has forgotten epochs that were given out; those of the next era are higher
// than all of them.
func FirstEpoch(era int64) Epoch { return Epoch(era) * epochsPerEra }

// Era returns the era of the store in which an epoch was given out.
func (e Epoch) Era() int64 { return int64(e / epochsPerEra) }

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
	if row == o.Row && !o.FirstSeen.IsZero() {
		return o
	}
	return Observed{Row: row, FirstSeen: now}
}

// AcquirableAt returns the earliest time at which a process other than the holder may
// acquire the lease for a term: at once if it was released, otherwise when the row was
// unchanged for its term and SafetyMargin. A row of an era before first, the first epoch
// of the current one, says nothing about the holder: it may have been another process.
func (o Observed) AcquirableAt(first Epoch, term time.Duration) time.Time {
	switch {
	case o.Row.Epoch < first:
		return o.FirstSeen.Add(max(o.Row.Term, term) + SafetyMargin)
	case o.Row.Holder == "":
		return o.FirstSeen
	default:
		return o.FirstSeen.Add(o.Row.Term + SafetyMargin)
	}
}

// Acquire returns the row that instance writes to become the holder in the era that
// begins with epoch first.
func (o Observed) Acquire(instance string, attempt int64, term time.Duration, first Epoch) Row {
	return Row{Holder: instance, Epoch: max(o.Row.Epoch, first) + 1, Attempt: attempt, Term: term}
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
