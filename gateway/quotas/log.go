package quotas

import (
	"time"

	"flamingospar.org/base/logging"
)

var log = logging.For("gateway/quotas")

const (
	// maxLinesPerSec bounds the lines about teams.
	maxLinesPerSec = 20
	// limitedTime is how long after its last refusal a team counts as limited.
	limitedTime = 5 * time.Second
)

// updateLimited writes a line when a team is no longer limited. q.mu must be held.
func (q *Quotas) updateLimited(t *team, now time.Time) {
	if !t.limited || now.Sub(t.refusedAt) < limitedTime {
		return
	}
	t.limited = false
	q.log(t, "A team is no longer limited by its quota.", now)
}

// log writes a line about a team unless there were too many in this second. q.mu must be held.
func (q *Quotas) log(t *team, message string, now time.Time) {
	ok, omitted := q.lines.Allow("", maxLinesPerSec)
	if !ok {
		return
	}
	grantAge := int64(-1)
	if !t.grantedAt.IsZero() {
		grantAge = now.Sub(t.grantedAt).Milliseconds()
	}
	log.Info(message, "team", t.name, "per_s", t.limit.PerSecond, "burst", t.limit.Burst, "configuration", t.limit.Version,
		"owner", t.owner, "share", t.share, "heard", q.heard, "left", t.ledger.Level(now),
		"held", t.grants.Held(now), "granted_by", t.grantedBy, "grant_age_ms", grantAge, "ranking", t.ranking.VMs, "lines_omitted", omitted)
}

// noteFailed writes a line about a call that failed. q.mu must be held.
func (q *Quotas) noteFailed(vm string, teams int, err error) {
	q.meter.Count("quota", "ask", "failed")
	if ok, omitted := q.lines.Allow("failed", maxLinesPerSec); ok {
		log.Info("A process that shares out quotas of teams does not answer.", "vm", vm, "teams", teams, "err", err.Error(), "lines_omitted", omitted)
	}
}
