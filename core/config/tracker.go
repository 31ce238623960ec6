package config

import "time"

const (
	// withdrawnKeyRetention is longer than a run may be queued.
	withdrawnKeyRetention = time.Hour
	maxWithdrawnKeys      = 8192
)

// Decision says whether an agent admits a run under its configuration, and if
// not, why.
type Decision int

// Decisions on a run.
const (
	DecisionAdmit Decision = iota
	// DecisionStale means that the agent has no recent evidence that its
	// revision is current.
	DecisionStale
	// DecisionSuperseded means that the run's revision was superseded more than
	// EntryMaxStaleness ago, or that the agent does not know all keys withdrawn
	// since that revision.
	DecisionSuperseded
	// DecisionKeyWithdrawn means that the run's key was withdrawn.
	DecisionKeyWithdrawn
)

// Tracker holds what an agent learns about the configuration from the calls of
// entries: observed revisions, withdrawn keys and evidence of freshness.
type Tracker struct {
	synced      Revision      // All withdrawals up to this revision are known.
	minRevision Revision      // Runs of older revisions are refused.
	observed    []observation // In ascending order of revision.
	evidenceAt  time.Time

	withdrawn   map[string]struct{}
	withdrawals []withdrawal // The keys in withdrawn, oldest first.
}

// observation is the time at which a revision was first observed.
type observation struct {
	revision Revision
	at       time.Time
}

type withdrawal struct {
	key string
	at  time.Time
}

// NewTracker returns the empty Tracker of an agent that has just started.
func NewTracker() *Tracker { return &Tracker{withdrawn: make(map[string]struct{})} }

// Synced returns the revision up to which all withdrawals are known.
func (t *Tracker) Synced() Revision { return t.synced }

// Newest returns the newest revision observed.
func (t *Tracker) Newest() Revision {
	if len(t.observed) == 0 {
		return t.minRevision
	}
	return t.observed[len(t.observed)-1].revision
}

// Update applies an entry's update. If it lists only some of the withdrawn keys,
// complete is false and the tracker refuses runs of all older revisions.
func (t *Tracker) Update(revision Revision, withdrawn []string, complete bool, now time.Time) {
	for _, key := range withdrawn {
		t.addWithdrawn(key, now)
	}
	t.ObserveRevision(revision, now)
	if revision <= t.synced {
		return
	}
	t.synced = revision
	if !complete {
		t.minRevision = max(t.minRevision, revision)
	}
}

// ObserveRevision records that a revision exists.
func (t *Tracker) ObserveRevision(revision Revision, now time.Time) {
	if revision > t.Newest() {
		t.observed = append(t.observed, observation{revision: revision, at: now})
	}
}

// RecordEvidence records that a revision passed to Update was current at a given
// time.
func (t *Tracker) RecordEvidence(at time.Time) {
	if at.After(t.evidenceAt) {
		t.evidenceAt = at
	}
}

// Check decides on a run from the revision it arrived with and the ID of its key.
func (t *Tracker) Check(revision Revision, key string, now time.Time) Decision {
	t.expire(now)
	switch {
	case t.Withdrawn(key):
		return DecisionKeyWithdrawn
	case !t.Fresh(now):
		return DecisionStale
	case revision < t.minRevision:
		return DecisionSuperseded
	}
	return DecisionAdmit
}

// Fresh reports whether the synced revision was current less than
// AgentMaxStaleness ago.
func (t *Tracker) Fresh(now time.Time) bool {
	return !t.evidenceAt.IsZero() && now.Sub(t.evidenceAt) < AgentMaxStaleness
}

// Withdrawn reports whether a key is known to be withdrawn.
func (t *Tracker) Withdrawn(key string) bool {
	_, found := t.withdrawn[key]
	return found
}

// expire raises the minimum to the newest revision that every entry must hold by
// now, and drops withdrawn keys after their retention.
func (t *Tracker) expire(now time.Time) {
	for len(t.observed) > 0 && now.Sub(t.observed[0].at) >= EntryMaxStaleness {
		t.minRevision = max(t.minRevision, t.observed[0].revision)
		t.observed = t.observed[1:]
	}
	for len(t.withdrawals) > 0 && now.Sub(t.withdrawals[0].at) >= withdrawnKeyRetention {
		t.removeOldestWithdrawal()
	}
}

func (t *Tracker) addWithdrawn(key string, now time.Time) {
	if t.Withdrawn(key) {
		return
	}
	t.withdrawn[key] = struct{}{}
	t.withdrawals = append(t.withdrawals, withdrawal{key: key, at: now})
	if len(t.withdrawals) > maxWithdrawnKeys {
		t.removeOldestWithdrawal()
	}
}

func (t *Tracker) removeOldestWithdrawal() {
	delete(t.withdrawn, t.withdrawals[0].key)
	t.withdrawals = t.withdrawals[1:]
}
