// Package quota decides how the processes of a fleet together keep to the quotas of teams.
// One process, the owner, shares out the quota of a team; the others ask it for units. Each
// listed process has the right to an equal part of the quota, which is exercised at one
// place at a time: at the owner while the owner hears the process, otherwise at the process
// that grants in the owner's place, or at the process itself. Nothing here blocks or
// communicates.
package quota

import (
	"math"
	"time"
)

// Quota is the amount of work that a team may request from all processes together.
type Quota struct {
	PerSecond float64 // Units a second.
	Burst     float64 // Units at once after a pause.
}

// maxUnits bounds the numbers of a quota and of units, so that sums of them stay exact.
const maxUnits = 1 << 53

// Valid reports whether a quota can be that of a team.
func (q Quota) Valid() bool { return q.PerSecond > 0 && ValidUnits(q.PerSecond) && ValidUnits(q.Burst) }

// ValidUnits reports whether a number can be a number of units.
func ValidUnits(units float64) bool { return units >= 0 && units <= maxUnits }

// Tolerance is by how much the work that processes forward may exceed a quota, for what
// they don't know of each other.
type Tolerance struct {
	Window time.Duration
	Over   float64 // As a part of the quota of a window.
	Slack  float64 // In addition to that, in units.
}

// Units returns the tolerance in a window.
func (t Tolerance) Units(q Quota) float64 {
	return (q.PerSecond*t.Window.Seconds()+q.Burst)*t.Over + t.Slack
}

// Bound returns the most units that all processes together may forward in a window.
func (t Tolerance) Bound(q Quota) float64 {
	return q.PerSecond*t.Window.Seconds() + q.Burst + t.Units(q)
}

// Parts of the tolerance.
const (
	// startPart is what a ledger holds at most when others may have granted a short time ago.
	startPart = 0.25
	// debtPart bounds the debt of a request that is larger than the burst.
	debtPart = 0.5
)

// SilenceTimeout is how long a process must be silent to count as not heard. For as long, a
// process that does not reach the owner does not exercise its part of the quota elsewhere.
const SilenceTimeout = 1 * time.Second

// OwnerShare returns the part of a quota that its owner shares out, given the part of the
// listed processes that it hears, itself included, and the number of those listed and of
// those known to have ended.
func OwnerShare(heard float64, ended, listed int) float64 {
	if math.IsNaN(heard) || listed <= 1 {
		return 1
	}
	return min(max(heard, 0)+float64(ended)/float64(listed), 1)
}

// SubstituteShare returns the part of a quota for which a number of processes rely on
// another one than the owner.
func SubstituteShare(processes, listed int) float64 {
	return min(float64(processes)/float64(max(listed, 1)), 1)
}
