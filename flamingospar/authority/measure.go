// Package authority measures, over loopback, how long a configuration change
// takes to reach every process, the bandwidth and CPU time of control traffic,
// and how long lease takeover takes.
package authority

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"flamingospar.org/core/config"
	"flamingospar.org/standin/platform"
)

// Options selects what is measured.
type Options struct {
	Entries int // In the largest fleet.
	Agents  int // In the largest fleet.
	Changes int // For each store state.
}

// DefaultOptions returns the options of `flamingospar authority` without flags.
func DefaultOptions() Options { return Options{Entries: 16, Agents: 160, Changes: 20} }

const (
	warmUpTime     = 6 * time.Second  // Lets the processes discover each other.
	idleTime       = 10 * time.Second // Duration of the measurement without requests.
	inForceTimeout = 60 * time.Second
	pollInterval   = 2 * time.Millisecond
	slowStoreDelay = 1 * time.Second
)

// fleetSize is the size of one measured fleet.
type fleetSize struct{ entries, agents int }

// storeState describes the store's faults while a change propagates.
type storeState struct {
	name        string
	duringWrite platform.Faults // Injected while the change is written.
	afterWrite  platform.Faults // Injected once the change is accepted.
}

func storeStates() []storeState {
	slow := platform.Faults{Delay: slowStoreDelay}
	return []storeState{
		{name: "up"},
		{name: "slow", duringWrite: slow, afterWrite: slow},
		{name: "down after the commit", afterWrite: platform.Faults{Outage: true}},
	}
}

// Run measures fleets of increasing size and prints one line per measurement.
func Run(ctx context.Context, options Options, stdout io.Writer) error {
	compareOutageStrategies(stdout)
	sizes := []fleetSize{{2, 12}, {3, 22}, {6, 60}, {options.Entries, options.Agents}}
	for _, s := range sizes {
		if err := measureFleet(ctx, s, options.Changes, stdout); err != nil {
			return err
		}
	}
	if err := measureTakeover(ctx, stdout); err != nil {
		return err
	}
	return measureLeaseCheckGap(ctx, stdout)
}

func measureFleet(ctx context.Context, s fleetSize, changes int, stdout io.Writer) error {
	f, err := startFleet(ctx, s)
	if err != nil {
		return err
	}
	defer f.stop()
	if err := wait(ctx, warmUpTime); err != nil {
		return err
	}
	f.measureIdle(ctx, stdout)
	for _, state := range storeStates() {
		if err := f.measurePropagation(ctx, state, changes, stdout); err != nil {
			return err
		}
	}
	return nil
}

// measureIdle prints the traffic and CPU time of a fleet that serves no requests.
func (f *fleet) measureIdle(ctx context.Context, stdout io.Writer) {
	before, cpu := f.totals(), processCPUTime()
	if wait(ctx, idleTime) != nil {
		return
	}
	cpuUsed := processCPUTime() - cpu
	traffic := f.totals().minus(before)
	seconds := idleTime.Seconds()
	entries, agents := float64(f.size.entries), float64(f.size.agents)
	fmt.Fprintf(stdout, "entries=%d agents=%d entry_bytes_s=%.0f entry_to_agents_bytes_s=%.0f agent_bytes_s=%.0f reads_s_entry=%.2f writes_s_entry=%.2f cpu_all=%.1f%%\n",
		f.size.entries, f.size.agents, traffic.entryBytes/seconds/entries, (traffic.entryBytes-traffic.platformBytes)/seconds/entries, traffic.agentBytes/seconds/agents,
		traffic.reads/seconds/entries, traffic.writes/seconds/entries, 100*cpuUsed.Seconds()/seconds)
}

// measurePropagation makes changes and prints how long they took to be in force
// on all entries and on all agents.
func (f *fleet) measurePropagation(ctx context.Context, state storeState, changes int, stdout io.Writer) error {
	var entries, agents []time.Duration
	for i := range changes {
		f.platform.SetFaults(state.duringWrite)
		writer := f.entries[i%len(f.entries)]
		revision, err := writer.Config.Write(ctx, 0, f.change(i))
		if err != nil {
			return err
		}
		accepted := time.Now()
		f.platform.SetFaults(state.afterWrite)
		propagated := make(chan struct{})
		go func() {
			defer close(propagated)
			writer.Config.AwaitInForce(ctx, revision)
		}()
		entries = append(entries, f.waitUntil(ctx, accepted, func() bool { return f.entriesHaveRevision(revision) }))
		agents = append(agents, f.waitUntil(ctx, accepted, func() bool { return f.agentsHaveRevision(revision) }))
		<-propagated
		f.platform.SetFaults(platform.Faults{})
		if err := wait(ctx, time.Second); err != nil {
			return err
		}
	}
	fmt.Fprintf(stdout, "entries=%d agents=%d store=%q changes=%d in_force_entries %s in_force_agents %s\n",
		f.size.entries, f.size.agents, state.name, changes, formatPercentiles(entries), formatPercentiles(agents))
	return nil
}

// change returns a change that issues a key or, at odd i, withdraws the last one.
func (f *fleet) change(i int) config.Change {
	if i%2 == 1 {
		return config.Change{Operator: "measure", WithdrawKey: f.lastKey}
	}
	f.keyCount++
	f.lastKey = fmt.Sprintf("key-measured-%d", f.keyCount)
	key := config.Key{ID: f.lastKey, Team: "team", Hash: config.HashKey(f.lastKey)}
	return config.Change{Operator: "measure", IssueKey: &key}
}

func (f *fleet) waitUntil(ctx context.Context, since time.Time, done func() bool) time.Duration {
	for !done() && time.Since(since) < inForceTimeout {
		if wait(ctx, pollInterval) != nil {
			break
		}
	}
	return time.Since(since)
}

func (f *fleet) entriesHaveRevision(revision config.Revision) bool {
	for _, entry := range f.entries {
		if state := entry.Config.Latest(); state == nil || state.Revision < revision {
			return false
		}
	}
	return true
}

func (f *fleet) agentsHaveRevision(revision config.Revision) bool {
	for _, agent := range f.agents {
		if agent.Revision() < int64(revision) {
			return false
		}
	}
	return true
}

// formatPercentiles formats the median, the 99th percentile and the maximum in
// seconds.
func formatPercentiles(durations []time.Duration) string {
	slices.Sort(durations)
	quantile := func(q float64) float64 { return durations[int(q*float64(len(durations)-1)+0.5)].Seconds() }
	return fmt.Sprintf("p50=%.3fs p99=%.3fs worst=%.3fs", quantile(0.5), quantile(0.99), quantile(1))
}

// formatPercentilesMicros formats the median, the 99th percentile and the
// maximum in microseconds.
func formatPercentilesMicros(durations []time.Duration) string {
	slices.Sort(durations)
	quantile := func(q float64) int64 { return durations[int(q*float64(len(durations)-1)+0.5)].Microseconds() }
	return fmt.Sprintf("p50=%dus p99=%dus worst=%dus", quantile(0.5), quantile(0.99), quantile(1))
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
