package quota

import (
	"slices"
	"time"
)

// GrantTTL is how long units that were granted by the owner may be used.
const GrantTTL = 1 * time.Second

// maxRounding bounds the sum of rounding errors in the units of several grants and requests.
const maxRounding = 1e-3

// Grants are the units that a process was granted and has not used. Those that expire are
// to be returned. The zero Grants are empty.
type Grants struct {
	held    []heldUnits // In the order of their expiry.
	expired float64
}

type heldUnits struct {
	units  float64
	expiry time.Time
}

// Add adds units that were granted to a question asked at a time.
func (g *Grants) Add(askedAt time.Time, units float64) {
	if units > 0 {
		g.held = append(g.held, heldUnits{units: units, expiry: askedAt.Add(GrantTTL)})
	}
}

// Held returns the units that may be used.
func (g *Grants) Held(now time.Time) float64 {
	g.expire(now)
	sum := 0.0
	for _, held := range g.held {
		sum += held.units
	}
	return sum
}

func (g *Grants) expire(now time.Time) {
	for len(g.held) > 0 && !now.Before(g.held[0].expiry) {
		g.expired += g.held[0].units
		g.held = slices.Delete(g.held, 0, 1)
	}
}

// Take uses units, all or none, those that expire first before others. It returns the
// expiry of the last of them.
func (g *Grants) Take(now time.Time, units float64) (time.Time, bool) {
	if g.Held(now)+maxRounding < units {
		return time.Time{}, false
	}
	expiry := now
	for units > 0 && len(g.held) > 0 {
		first := &g.held[0]
		expiry = first.expiry
		used := min(units, first.units)
		first.units -= used
		units -= used
		if first.units <= 0 {
			g.held = slices.Delete(g.held, 0, 1)
		}
	}
	return expiry, true
}

// GiveBack adds units that were taken with an expiry and not used.
func (g *Grants) GiveBack(units float64, expiry time.Time) {
	if units <= 0 {
		return
	}
	i, found := slices.BinarySearchFunc(g.held, expiry, func(h heldUnits, t time.Time) int { return h.expiry.Compare(t) })
	if found {
		g.held[i].units += units
		return
	}
	g.held = slices.Insert(g.held, i, heldUnits{units: units, expiry: expiry})
}

// Release makes units above a number expire at once.
func (g *Grants) Release(now time.Time, keep float64) {
	surplus := g.Held(now) - keep
	if surplus <= 0 {
		return
	}
	if _, ok := g.Take(now, surplus); ok {
		g.expired += surplus
	}
}

// MustReturn reports whether units have expired that are to be returned.
func (g *Grants) MustReturn(now time.Time) bool {
	g.expire(now)
	return g.expired > 0
}

// Expired returns the units that have expired since the last call, to be returned.
func (g *Grants) Expired(now time.Time) float64 {
	g.expire(now)
	expired := g.expired
	g.expired = 0
	return expired
}
