package node

import (
	"context"
	"math/rand/v2"
	"os"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/gateway/duties"
	"flamingospar.org/gateway/fleet"
	"flamingospar.org/gateway/follow"
	"flamingospar.org/gateway/peers"
	"flamingospar.org/platform/site"
)

// Intervals and timeouts of the background tasks.
const (
	// configPollWait is the long-poll wait for configuration changes, and
	// pollerConfigPollWait that of the config poller. A call that the store has lost
	// ends at a timeout only: the poller then knows a change soon, and the others
	// receive it from it.
	configPollWait       = 10 * time.Second
	pollerConfigPollWait = 500 * time.Millisecond
	// configReadTimeout bounds a read of the configuration for a stream that is taken up.
	configReadTimeout = 600 * time.Millisecond
	// configPollers is the number of processes that poll for configurations often.
	configPollers = 1
	// The fleet poller calls the store for changes of the fleet once its data is
	// older than pollerAgeShare of the drain timeout, and passes them on. The
	// other processes call only if they have not been sent newer data within a
	// share between minAgeShare and maxAgeShare, chosen at random so that they
	// don't all call at once.
	pollerAgeShare = 0.3
	minAgeShare    = 0.42
	maxAgeShare    = 0.52
	// currentAgeMargin is how much older than maxAgeShare allows the fleet may be for it to count
	// as current, and lostCallTime the time until a call of the fleet counts as not answered.
	currentAgeMargin = 400 * time.Millisecond
	lostCallTime     = 1 * time.Second
	// fleetPollers is the number of processes that poll for all.
	fleetPollers = 1
	// minFleetInterval is the minimum time between two calls for the fleet.
	minFleetInterval    = 50 * time.Millisecond
	maintenanceInterval = 300 * time.Millisecond
	// membersPollWait is the long-poll wait for changes of the list of entry
	// processes.
	membersPollWait = 15 * time.Second
	// The minimum time between two reads of that list is the larger of
	// minMembersInterval and membersIntervalPerProcess times the number of
	// processes.
	minMembersInterval        = 1 * time.Second
	membersIntervalPerProcess = 60 * time.Millisecond
	// dutyYieldTime is how long a process that was asked to stop leaves the duty
	// lease to others. Processes waiting for the lease check it more often than
	// that.
	dutyYieldTime = 2 * time.Second
	// crashPartWriters is how many processes write the parts that crash endpoints, so
	// that the number of writes doesn't grow with the fleet.
	crashPartWriters = 2
	// clockSyncTimeout bounds one attempt to synchronize the shared clock.
	clockSyncTimeout = 3 * time.Second
)

// task is a background task. Each runs in its own goroutine.
type task struct {
	name string
	run  func(context.Context)
}

func (n *Node) backgroundTasks(reload <-chan os.Signal) []task {
	guard := duties.NewHandoverGuard(n.settings.Bounds.MinHandoverInterval, clock.Now)
	reporter := &duties.Reporter{
		Store: n.store, Duty: n.dutyClient, Lease: n.lease, Holder: n.settings.NodeName, Clock: n.sharedClock.Now, WindowLength: n.settings.Bounds.UsageWindow,
		ReportTimeout: n.settings.Bounds.MaxUsageReportDelay, Replicas: n.replicas, StoreAvailableFor: n.storeWatch.AvailableFor, PeerInstances: n.cluster.PeerInstances,
		Handover: guard,
	}
	endpointClient := site.NewEndpointClient(n.httpClient)
	endpointClient.OnAnswer = n.selector.Observe
	planner := &duties.StagePlanner{
		Balancer: n.selector, Endpoints: endpointClient, Limits: n.limiter, Lease: n.lease, Holder: n.settings.NodeName, FleetAge: n.fleet.Age, StageChangeTime: n.stageChangeTime,
		Handover: guard,
	}
	tasks := []task{
		{"configuration", n.configFollower().Run},
		{"fleet", n.fleetFollower.Run},
		{"members", n.membersFollower().Run},
		{"crash_marks", n.crashTracker.Run},
		{"crash_parts", n.crashBackup.Run},
		{"stream_versions", n.versions.Run},
		{"register", n.cluster.Register},
		{"exchange", n.cluster.Run},
		{"limits", n.limiter.Run},
		{"quotas", n.quotas.Run},
		{"keep_up", n.maintain},
		{"true_time", n.syncClock},
		{"settings", func(ctx context.Context) {
			watchSettings(ctx, n.options.SettingsPath, reload, func(s site.Settings) { n.bounds.Store(&s.Bounds) })
		}},
		{"lease", n.holdLease},
		{"stages", planner.Run},
	}
	if n.settings.Duties.ReportUsage && n.settings.Bounds.UsageWindow > 0 {
		tasks = append(tasks, task{"usage_reports", reporter.Run}, task{"usage_counts", n.usageWriter.Run})
	}
	return tasks
}

// holdLease holds or waits for the duty lease until the process is asked to
// stop, and then releases it, so that another process can take it at once even
// if the store is unavailable when this process ends. If no other process takes
// it, because all were asked to stop, this process takes it again and keeps it
// until it ends.
func (n *Node) holdLease(ctx context.Context) {
	untilStop, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-n.stopRequested:
			cancel()
		case <-ctx.Done():
		}
	}()
	n.lease.Run(untilStop)
	if clock.Sleep(ctx, dutyYieldTime) {
		n.lease.Run(ctx)
	}
}

// stageChangeTime returns how long an engine of a service is unavailable during
// a stage change, or 0 if unknown.
func (n *Node) stageChangeTime(service string) time.Duration {
	if current := n.config.Current(); current != nil {
		if engine := current.Services[service].Engine; engine != nil {
			return engine.StageChangeTime
		}
	}
	return 0
}

func (n *Node) configFollower() *follow.Follower {
	return &follow.Follower{
		Store: n.store, Table: site.TableOperator, LongPollWait: n.configPollWait, OnLost: n.storeWatch.MarkLost, OnRecovered: n.storeWatch.MarkRecovered, StateChanged: n.storeWatch.StateChanged,
		Apply: func(page site.Page, _ bool) {
			for _, row := range page.Rows {
				if row.Key == site.KeyConfiguration && !row.Deleted {
					n.applyConfig(row.Value, "store")
				}
			}
		},
	}
}

// configurationIsCurrent reports whether the store has no newer configuration than one with a
// version. A newer one is applied.
func (n *Node) configurationIsCurrent(ctx context.Context, version int64) bool {
	ctx, cancel := context.WithTimeout(ctx, configReadTimeout)
	defer cancel()
	page, err := n.store.Range(ctx, site.TableOperator, site.KeyConfiguration, site.KeyConfiguration+"\x00")
	if err != nil {
		return false
	}
	for _, row := range page.Rows {
		n.applyConfig(row.Value, "store")
	}
	return n.config.Version() == version
}

func (n *Node) configPollWait() time.Duration {
	if n.cluster.AmongFirst(configPollers) {
		return pollerConfigPollWait
	}
	return configPollWait
}

func (n *Node) applyConfig(raw []byte, source string) {
	n.config.UpdateIfNewer(raw, source)
	current := n.config.Current()
	if current == nil {
		return
	}
	for name, service := range current.Services {
		if service.Engine != nil {
			n.selector.SetMemoryTokens(name, service.Engine.KVTokens)
			n.selector.SetMaxEventGap(name, current.MaxEventGap(name))
		}
	}
}

func (n *Node) newFleetFollower() *follow.Follower {
	drainTimeout := float64(n.settings.Bounds.DrainTimeout)
	pollerMaxAge := time.Duration(pollerAgeShare * drainTimeout)
	otherMaxAge := time.Duration((minAgeShare + (maxAgeShare-minAgeShare)*rand.Float64()) * drainTimeout)
	return &follow.Follower{
		Store: n.store, Table: site.TableEndpoints, MinInterval: func() time.Duration { return minFleetInterval },
		IsFresh: func() bool {
			age := n.fleet.Age()
			return age < pollerMaxAge || (age < otherMaxAge && !n.cluster.AmongFirst(fleetPollers))
		},
		KnownVersion: func() (era, version int64) {
			position := n.fleet.Position()
			return position.Era, position.Version
		},
		Apply: func(page site.Page, snapshot bool) {
			n.storeWatch.MarkAnswered()
			rows := make([]fleet.Row, 0, len(page.Rows))
			for _, row := range page.Rows {
				rows = append(rows, fleet.Row{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
			}
			n.fleet.Apply(fleet.Changes{Rows: rows, Era: page.Era, Version: page.Version, Snapshot: snapshot, Age: time.Since(page.RequestedAt)})
		},
		OnLost: n.storeWatch.MarkLost, OnRecovered: n.storeWatch.MarkRecovered, StateChanged: n.storeWatch.StateChanged,
	}
}

// fleetIsCurrent reports whether the fleet is as recent as that of a process which the store
// answers. In an outage of the store it must have been when the store was lost, and other
// processes must have been heard since: this one may be cut off alone.
func (n *Node) fleetIsCurrent() bool {
	return n.fleet.Age()-n.fleetUnanswered() < n.maxFleetAge()
}

// maxFleetAge returns the age below which the fleet is as recent as that of a process which the
// store answers.
func (n *Node) maxFleetAge() time.Duration {
	return time.Duration(maxAgeShare*float64(n.settings.Bounds.DrainTimeout)) + currentAgeMargin
}

// fleetUnanswered returns how long the store has not answered calls for the fleet while other
// processes were heard. A call that is under way counts for as long as one may take: the rest of
// the time is no silence of the store, as this process may have been frozen.
func (n *Node) fleetUnanswered() time.Duration {
	since, lost := n.storeWatch.LostSince()
	if !lost {
		calledAt, called := n.fleetFollower.CalledAt()
		if !called || !n.cluster.InContactSince(calledAt) {
			return 0
		}
		return min(time.Since(calledAt), lostCallTime)
	}
	if !n.cluster.InContactSince(since) {
		return 0
	}
	if !n.storeWatch.HasAnswered() {
		return n.fleet.Age() // This process has started in the outage, and has what the others have.
	}
	return time.Since(since) + lostCallTime
}

func (n *Node) membersFollower() *follow.Follower {
	return &follow.Follower{
		Store: n.store, Table: peers.TableVMs, LongPollWait: func() time.Duration { return membersPollWait }, MinInterval: n.membersInterval, Apply: n.cluster.ApplyList,
		OnRecovered: n.storeWatch.MarkRecovered, StateChanged: n.storeWatch.StateChanged,
	}
}

// membersInterval returns the minimum time between two reads of the list of
// entry processes. Each change makes all processes call the store, so in a
// larger fleet one read covers several changes. Processes that exchange state
// learn of each other earlier.
func (n *Node) membersInterval() time.Duration {
	return max(minMembersInterval, time.Duration(n.cluster.Size())*membersIntervalPerProcess)
}

// maintain periodically updates the values that depend on the number of
// processes, closes idle connections and removes endpoints that did not register
// again after an outage.
func (n *Node) maintain(ctx context.Context) {
	n.updateProcessCount()
	clock.Every(ctx, maintenanceInterval, func() {
		n.updateProcessCount()
		n.pool.CloseExpired()
		n.closeLeaving()
		n.fleet.Flush()
	})
}

// servicesSharing returns the services that share a route with a service.
func (n *Node) servicesSharing(service string) []string {
	current := n.config.Current()
	if current == nil {
		return nil
	}
	return current.Sharing(service)
}

// maxIdleConns returns the part of this process in the connections that each endpoint of a
// service accepts from all processes, 0 if the configuration states none.
func (n *Node) maxIdleConns(service string) int {
	current := n.config.Current()
	if current == nil {
		return 0
	}
	return idleConnsShare(current.Services[service].MaxConnsPerEndpoint, n.cluster.Size())
}

// idleConnsShare returns the share of one of several processes in maxConns connections, at
// least one, or 0 if maxConns is 0.
func idleConnsShare(maxConns, processes int) int {
	if maxConns <= 0 {
		return 0
	}
	return max(maxConns/max(processes, assumedVMs), 1)
}

// updateProcessCount sets this process's share of the retry budget, and the
// number of processes whose load is taken into account.
func (n *Node) updateProcessCount() {
	processes := n.cluster.Size()
	n.selector.SetProcesses(processes)
	n.retryBudgets.Set(budgetSettings(*n.bounds.Load(), max(processes, assumedVMs)))
}

// syncClock synchronizes the shared clock once the store answers, and stores its offset
// again when the store has come back from an older copy.
func (n *Node) syncClock(ctx context.Context) {
	n.untilDone(ctx, "The shared clock is not synchronized yet; no usage window is reported until it is.", n.sharedClock.Sync)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-n.clockLost:
			n.untilDone(ctx, "The offset of the shared clock can't be checked yet.", n.sharedClock.Restore)
		}
	}
}

// untilDone repeats a call to the store until it succeeds or ctx ends. It logs the first
// failure with a message.
func (n *Node) untilDone(ctx context.Context, message string, call func(context.Context) error) {
	for attempt := 0; ; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, clockSyncTimeout)
		err := call(callCtx)
		cancel()
		if err == nil {
			return
		}
		if attempt == 0 {
			log.Error(err, message)
		}
		if !clock.Sleep(ctx, maintenanceInterval) {
			return
		}
	}
}
