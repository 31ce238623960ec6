// Package streamversion decides at which version of the engines' software a stream may go
// on. What two versions write doesn't fit together, so a stream stays at the version that
// began it, also when its caller takes it up at another process.
//
// The version of a stream is known from a record of it, or from the register of the
// versions in use: if only one version can have begun streams lately, it began this one.
package streamversion

import (
	"slices"
	"time"
)

// Retention is how long after the beginning of a stream its caller may take it up, and how
// long after a version went out of use streams of it may be taken up.
const Retention = 60 * time.Second

// Use is the use of one version of a service.
type Use struct {
	Version string `json:"version"`
	// Ending is set once a writer has found the version no longer listed. Its end is dated
	// in a later write, which has no effect if the row has changed in between: a process
	// that lists the version clears Ending before a stream begins at it.
	Ending bool `json:"ending,omitempty"`
	// EndedMS is when the version was first found to be in use no more, by the store's
	// clock; 0 while it is in use.
	EndedMS int64 `json:"ended_ms,omitempty"`
}

// Register holds the versions of one service that are in use, or were lately. A version is
// registered before the first stream begins at it. The zero value stands for the register of
// a service that has none, see SingleOf.
type Register struct {
	// Era is the era of the store in which the register was written. In a later era it may
	// be an older copy.
	Era int64 `json:"era"`
	// UncertainUntilMS is the time, by the store's clock, until which versions may be
	// missing.
	UncertainUntilMS int64 `json:"uncertain_until_ms,omitempty"`
	Uses             []Use `json:"versions"`
}

// Moment is a moment of the store.
type Moment struct {
	Era   int64
	NowMS int64 // By the store's clock.
}

// InUse reports whether a version is registered as in use. One that is ending is not: a
// stream may begin at it only after it was registered again.
func (r Register) InUse(version string) bool {
	return slices.Contains(r.Uses, Use{Version: version})
}

// Possible returns the versions that may have begun a stream that is taken up now.
func (r Register) Possible(nowMS int64) []string {
	var versions []string
	for _, use := range r.Uses {
		if !use.expired(nowMS) {
			versions = append(versions, use.Version)
		}
	}
	return versions
}

func (u Use) inUse() bool { return u.EndedMS == 0 && !u.Ending }

func (u Use) expired(nowMS int64) bool {
	return u.EndedMS != 0 && nowMS >= u.EndedMS+Retention.Milliseconds()
}

// absent reports whether r stands for a service that has no register.
func (r Register) absent() bool {
	return r.Era == 0 && r.UncertainUntilMS == 0 && len(r.Uses) == 0
}

// Single returns the version that began all streams that may be taken up now, and false if
// there may be several.
func (r Register) Single(now Moment) (string, bool) { return SingleOf(now, r) }

// SingleOf is Single for streams that one of several services began. A service without a
// register has begun none: an older copy of the store may lack its register, but once the
// register of another service, written in the present era, is certain, no stream of the eras
// before can be taken up any more.
func SingleOf(now Moment, registers ...Register) (string, bool) {
	var possible []string
	for _, r := range registers {
		if r.absent() {
			continue
		}
		if r.Era != now.Era || now.NowMS < r.UncertainUntilMS {
			return "", false
		}
		possible = append(possible, r.Possible(now.NowMS)...)
	}
	slices.Sort(possible)
	if possible = slices.Compact(possible); len(possible) != 1 {
		return "", false
	}
	return possible[0], true
}

// Observation is what a process knows when it may have to write a register.
type Observation struct {
	Moment
	Listed []string // Versions of the endpoints that are listed.
	// Remembered is what the process knew in an earlier era of the store; nil if it knew
	// nothing.
	Remembered *Register
	// NoteUnlisted marks versions that are no longer listed as ending.
	NoteUnlisted bool
	// EndUnlisted dates the end of versions that are no longer listed. A late write of an end is
	// harmless only if EndsNoted holds for the register that it replaces.
	EndUnlisted bool
	// LatestMS is the latest that the store's clock may have been when the register was
	// read; times that are written are no earlier.
	LatestMS int64
}

// EndsNoted reports whether all versions that are in use and not listed are noted as ending.
func (r Register) EndsNoted(listed []string) bool {
	return !slices.ContainsFunc(r.Uses, func(u Use) bool { return u.inUse() && !slices.Contains(listed, u.Version) })
}

// Next returns the register that follows from an observation, and whether it differs so
// that it must be written.
func (r Register) Next(o Observation) (Register, bool) {
	next := Register{Era: r.Era, UncertainUntilMS: r.UncertainUntilMS, Uses: slices.Clone(r.Uses)}
	uncertainMS := max(o.NowMS, o.LatestMS) + Retention.Milliseconds()
	if r.Era != o.Era {
		next.Era, next.UncertainUntilMS = o.Era, uncertainMS
	}
	next.UncertainUntilMS = min(next.UncertainUntilMS, uncertainMS) // Another writer may have stored any time.
	if o.Remembered != nil {
		next.Uses = Merge(next.Uses, o.Remembered.Uses)
	}
	for _, version := range o.Listed {
		next.begin(version)
	}
	if o.NoteUnlisted {
		next.noteUnlisted(o.Listed)
	}
	if o.EndUnlisted {
		next.endUnlisted(o.Listed, max(o.NowMS, o.LatestMS))
	}
	changed := next.Era != r.Era || next.UncertainUntilMS != r.UncertainUntilMS || !slices.Equal(next.Uses, r.Uses)
	next.Uses = slices.DeleteFunc(next.Uses, func(u Use) bool { return u.expired(o.NowMS) })
	return next, changed
}

func (r *Register) begin(version string) {
	for i := range r.Uses {
		if r.Uses[i].Version == version {
			r.Uses[i] = Use{Version: version}
			return
		}
	}
	r.Uses = append(r.Uses, Use{Version: version})
}

func (r *Register) noteUnlisted(listed []string) {
	for i := range r.Uses {
		if r.Uses[i].inUse() && !slices.Contains(listed, r.Uses[i].Version) {
			r.Uses[i].Ending = true
		}
	}
}

func (r *Register) endUnlisted(listed []string, nowMS int64) {
	for i := range r.Uses {
		if r.Uses[i].EndedMS == 0 && !slices.Contains(listed, r.Uses[i].Version) {
			r.Uses[i] = Use{Version: r.Uses[i].Version, EndedMS: max(nowMS, 1)}
		}
	}
}

// Merge returns the versions of two lists. A version is in use if one of them says so,
// ending if one says that and none that it is in use, and ended at the later of two times.
func Merge(a, b []Use) []Use {
	merged := slices.Clone(a)
	for _, use := range b {
		i := slices.IndexFunc(merged, func(u Use) bool { return u.Version == use.Version })
		switch {
		case i < 0:
			merged = append(merged, use)
		case use.inUse() || merged[i].inUse():
			merged[i] = Use{Version: use.Version}
		case use.Ending || merged[i].Ending:
			merged[i] = Use{Version: use.Version, Ending: true}
		default:
			merged[i].EndedMS = max(merged[i].EndedMS, use.EndedMS)
		}
	}
	return merged
}
