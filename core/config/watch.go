package config

import "time"

const (
	// withdrawnKept is longer than a run may be queued.
	withdrawnKept = time.Hour
	withdrawnMax  = 8192
)

// Verdict says why an agent refuses a run on account of the configuration.
type Verdict int

// The verdicts.
const (
	VerdictAdmit Verdict = iota
	// VerdictUnproved: nobody has shown lately that the agent's revision is current.
	VerdictUnproved
	// VerdictOld: the run's revision was superseded longer ago than an entry may lag.
	VerdictOld
	// VerdictWithdrawn: the run's key was withdrawn.
	VerdictWithdrawn
)

// Watch is what an agent knows of the configuration from entries' calls.
type Watch struct {
	told   Revision // All withdrawals up to here are known.
	floor  Revision // Runs of older revisions are refused.
	seen   []sighting
	proved time.Time

	withdrawn map[string]struct{}
	order     []withdrawal
}

// sighting is when a revision was first heard of.
type sighting struct {
	revision Revision
	at       time.Time
}

type withdrawal struct {
	key string
	at  time.Time
}

// NewWatch returns what an agent knows that has just started: nothing.
func NewWatch() *Watch { return &Watch{withdrawn: make(map[string]struct{})} }

// Told returns the revision up to which all withdrawals are known.
func (w *Watch) Told() Revision { return w.told }

// Newest returns the newest revision heard of.
func (w *Watch) Newest() Revision {
	if len(w.seen) == 0 {
		return w.floor
	}
	return w.seen[len(w.seen)-1].revision
}

// Hear takes an entry's news. When they name only a part of the withdrawn keys,
// every older run is refused from now on.
func (w *Watch) Hear(revision Revision, withdrawn []string, complete bool, now time.Time) {
	for _, key := range withdrawn {
		w.withdraw(key, now)
	}
	w.See(revision, now)
	if revision <= w.told {
		return
	}
	w.told = revision
	if !complete {
		w.floor = max(w.floor, revision)
	}
}

// See notes that a revision exists.
func (w *Watch) See(revision Revision, now time.Time) {
	if revision > w.Newest() {
		w.seen = append(w.seen, sighting{revision: revision, at: now})
	}
}

// Prove notes that a revision that Hear has taken was current at a moment.
func (w *Watch) Prove(at time.Time) {
	if at.After(w.proved) {
		w.proved = at
	}
}

// Judge decides on a run that arrived with a revision and the id of its key.
func (w *Watch) Judge(revision Revision, key string, now time.Time) Verdict {
	w.age(now)
	switch {
	case w.Withdrawn(key):
		return VerdictWithdrawn
	case !w.Fresh(now):
		return VerdictUnproved
	case revision < w.floor:
		return VerdictOld
	}
	return VerdictAdmit
}

// Fresh reports whether the told revision was current a short while ago.
func (w *Watch) Fresh(now time.Time) bool {
	return !w.proved.IsZero() && now.Sub(w.proved) < AgentFreshFor
}

// Withdrawn reports whether a key is known to be withdrawn.
func (w *Watch) Withdrawn(key string) bool {
	_, out := w.withdrawn[key]
	return out
}

// age raises the floor to the newest revision that every entry must hold by now.
func (w *Watch) age(now time.Time) {
	for len(w.seen) > 0 && now.Sub(w.seen[0].at) >= EntryFreshFor {
		w.floor = max(w.floor, w.seen[0].revision)
		w.seen = w.seen[1:]
	}
	for len(w.order) > 0 && now.Sub(w.order[0].at) >= withdrawnKept {
		w.forgetOldest()
	}
}

func (w *Watch) withdraw(key string, now time.Time) {
	if w.Withdrawn(key) {
		return
	}
	w.withdrawn[key] = struct{}{}
	w.order = append(w.order, withdrawal{key: key, at: now})
	if len(w.order) > withdrawnMax {
		w.forgetOldest()
	}
}

func (w *Watch) forgetOldest() {
	delete(w.withdrawn, w.order[0].key)
	w.order = w.order[1:]
}
