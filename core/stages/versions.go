package stages

import (
	"cmp"
	"slices"
	"time"
)

// A stream may go on only at the software version that began it. While engines of several
// versions serve side by side, a version with few decode engines strands its streams if these
// fail at the same time, though its prefill engines serve. A prefill engine can take over only
// once it has changed its stage, which is too late for the streams that broke. So each version
// keeps decode engines in reserve.
const (
	// minVersionDecode is the number of decode engines that a version has before it keeps more
	// than one prefill engine: its streams go on after two of them have failed at once.
	minVersionDecode = 3
	// keptVersionPrefill is the number of prefill engines that a version keeps in any case. When
	// its other engines have failed, one engine alone is left.
	keptVersionPrefill = 1
	// versionWindow is how long the engines of a version must have been the same before some
	// change their stage. While a release goes on, the next engine may make up for what is missing.
	versionWindow = 2 * time.Second
	// lostDecodeWindow is how long no decode engine of a version must have answered before a prefill
	// engine takes its place. It is longer than an endpoint is ejected after a single failure.
	lostDecodeWindow = 750 * time.Millisecond
)

// VersionView counts the engines of one software version of a service.
type VersionView struct {
	Version        string
	PrefillEngines int
	DecodeEngines  int // Those that don't answer included.
	DecodeUp       int // Decode engines that answer.
}

// sameEngines reports whether a version has as many engines of each stage as in another view.
func (v VersionView) sameEngines(other VersionView) bool {
	v.DecodeUp = other.DecodeUp
	return v == other
}

// lostDecode reports whether all decode engines of the version have failed.
func (v VersionView) lostDecode() bool { return v.DecodeEngines > 0 && v.DecodeUp == 0 }

// missingDecode returns how many prefill engines should move to decode. A version without decode
// engines gets one, even if that takes its only prefill engine: this one is of no use alone.
func (v VersionView) missingDecode() int {
	if v.DecodeEngines == 0 {
		return min(max(v.PrefillEngines-keptVersionPrefill, 1), minVersionDecode, v.PrefillEngines)
	}
	return max(min(v.PrefillEngines-keptVersionPrefill, minVersionDecode-v.DecodeEngines), 0)
}

// CountVersions counts the engines of each software version, in the order of the versions' names.
func CountVersions(engines []Engine) []VersionView {
	var views []VersionView
	for _, engine := range engines {
		i, found := slices.BinarySearchFunc(views, engine.Version, func(v VersionView, version string) int { return cmp.Compare(v.Version, version) })
		if !found {
			views = slices.Insert(views, i, VersionView{Version: engine.Version})
		}
		views[i].add(engine)
	}
	return views
}

func (v *VersionView) add(engine Engine) {
	switch {
	case engine.Prefill:
		v.PrefillEngines++
	case engine.Down || engine.Changing:
		v.DecodeEngines++
	default:
		v.DecodeEngines++
		v.DecodeUp++
	}
}

// PlanVersions returns the changes that keep the streams of each software version going, at most
// one for each version, and none while a service has a single version.
func (p *Planner) PlanVersions() []Order {
	if len(p.samples) == 0 {
		return nil
	}
	versions := p.samples[len(p.samples)-1].view.Versions
	if len(versions) < 2 {
		return nil
	}
	var orders []Order
	for _, version := range versions {
		switch {
		case version.PrefillEngines == 0:
		case version.lostDecode() && p.holdsFor(lostDecodeWindow, version.Version, VersionView.lostDecode):
			orders = append(orders, Order{Reason: VersionLostDecode, Version: version, Count: share(recoveryShare, version.PrefillEngines)})
		case version.missingDecode() > 0 && p.holdsFor(versionWindow, version.Version, version.sameEngines):
			orders = append(orders, Order{Reason: VersionShortOfDecode, Version: version, Count: version.missingDecode()})
		}
	}
	return orders
}

// holdsFor reports whether a condition has held for a version throughout a window.
func (p *Planner) holdsFor(window time.Duration, version string, condition func(VersionView) bool) bool {
	latest := p.samples[len(p.samples)-1].at
	if latest.Sub(p.samples[0].at) < window {
		return false
	}
	return !slices.ContainsFunc(p.samples, func(s sample) bool {
		return latest.Sub(s.at) <= window && !slices.ContainsFunc(s.view.Versions, func(v VersionView) bool { return v.Version == version && condition(v) })
	})
}

// mayLeaveDecode reports whether a decode engine of a version may move to prefill. A service with a
// single version has no reserve to keep.
func mayLeaveDecode(versions []VersionView, version string) bool {
	if len(versions) < 2 {
		return true
	}
	return slices.ContainsFunc(versions, func(v VersionView) bool { return v.Version == version && v.DecodeEngines > minVersionDecode })
}
