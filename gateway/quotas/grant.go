package quotas

import (
	"time"

	"flamingospar.org/core/quota"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Grant answers a process that asks for units.
func (q *Quotas) Grant(request *wirev1.AcquireQuotaRequest) *wirev1.AcquireQuotaReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.observeTime()
	reply := &wirev1.AcquireQuotaReply{}
	demands := request.GetDemands()
	for _, demand := range demands[:min(len(demands), maxDemands)] {
		reply.Grants = append(reply.Grants, q.grant(request.GetVm(), demand, now))
	}
	return reply
}

// grant grants a process units of one team's quota. q.mu must be held.
func (q *Quotas) grant(vm string, demand *wirev1.QuotaDemand, now time.Time) *wirev1.QuotaGrant {
	reply := &wirev1.QuotaGrant{Team: demand.GetTeam()}
	wanted, expected, returned := demand.GetWanted(), demand.GetExpected(), demand.GetReturned()
	asked := Limit{Quota: quota.Quota{PerSecond: demand.GetPerSecond(), Burst: demand.GetBurst()}, Version: demand.GetConfigurationVersion()}
	if !asked.Valid() || !quota.ValidUnits(wanted) || !quota.ValidUnits(expected) || !quota.ValidUnits(returned) {
		q.meter.Count("quota", "invalid_demand")
		return reply
	}
	limit := q.Configured(demand.GetTeam())
	if !limit.Valid() && limit.Version < asked.Version {
		limit = asked // The configuration that sets the quota has not come here yet.
	}
	reply.SharesQuota = true
	if !limit.Valid() { // The configuration of this process is newer, and sets no quota.
		reply.Granted = wanted
		return reply
	}
	t := q.team(demand.GetTeam(), limit, now)
	t.grantAt = now
	q.probe(t, now)
	if !t.owner {
		t.rely(vm, now)
		q.updateShare(t, now)
	}
	t.ledger.GiveBack(now, returned)
	reply.Granted = t.ledger.Grant(now, wanted, expected)
	q.meter.Add(int64(reply.Granted), "quota", "granted_units")
	if reply.Granted < wanted {
		reply.RetryInMs = uint32(max(t.ledger.RetryIn(now, wanted-reply.Granted), minRetryIn).Milliseconds())
	}
	return reply
}
