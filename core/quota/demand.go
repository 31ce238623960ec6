package quota

import (
	"math"
	"time"

	"flamingospar.org/core/decay"
)

// The times after which past demand counts half. What is expected is the less of both: a few
// requests at once are not a sustained demand, and one that has ended is not expected to go on.
const (
	shortHalfLife = 500 * time.Millisecond
	longHalfLife  = 4 * time.Second
)

// demandSlot is the time in which requests count together, after it has ended: those of a
// burst do not let more be expected within it.
const demandSlot = 250 * time.Millisecond

// Demand estimates the units that one process needs of a quota. The zero Demand expects
// none.
type Demand struct {
	short, long float64 // Units requested before the current slot, decayed.
	at          time.Time
	slot        float64 // Units requested in the current slot.
	slotAt      time.Time
}

// Add adds the units of a request.
func (d *Demand) Add(now time.Time, units float64) {
	d.advance(now)
	d.slot += units
}

// advance decays past demand, and ends the current slot if it is over.
func (d *Demand) advance(now time.Time) {
	age := now.Sub(d.at)
	d.short *= decay.Remaining(age, shortHalfLife)
	d.long *= decay.Remaining(age, longHalfLife)
	d.at = now
	past := now.Sub(d.slotAt)
	if past < demandSlot {
		return
	}
	meanAge := past - demandSlot/2
	d.short += d.slot * decay.Remaining(meanAge, shortHalfLife)
	d.long += d.slot * decay.Remaining(meanAge, longHalfLife)
	d.slot, d.slotAt = 0, now
}

// Within returns the units that are expected to be requested within a time.
func (d *Demand) Within(now time.Time, duration time.Duration) float64 {
	d.advance(now)
	perHalfLife := min(d.short/float64(shortHalfLife), d.long/float64(longHalfLife))
	return perHalfLife * math.Ln2 * float64(duration)
}
