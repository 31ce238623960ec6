// Package authority measures, over loopback, how fast a change of the
// configuration is in force everywhere, what the control traffic costs, and how
// long a lease takes to change hands.
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

// Options choose what is measured.
type Options struct {
	Entries int // Of the largest fleet.
	Agents  int
	Changes int // For each state of the store.
}

// DefaultOptions returns the options of a plain `flamingospar authority`.
func DefaultOptions() Options { return Options{Entries: 16, Agents: 160, Changes: 20} }

const (
	settleFor  = 6 * time.Second  // Until the processes know each other.
	idleFor    = 10 * time.Second // For traffic at rest.
	forceLimit = 60 * time.Second
	lookEvery  = 2 * time.Millisecond
	slowStore  = 1 * time.Second
)

// size is a fleet to measure.
type size struct{ entries, agents int }

// storeState is how the store is while a change spreads.
type storeState struct {
	name   string
	before platform.Faults // When the change is made.
	after  platform.Faults // Once it is accepted.
}

func storeStates() []storeState {
	slow := platform.Faults{Delay: slowStore}
	return []storeState{
		{name: "up"},
		{name: "slow", before: slow, after: slow},
		{name: "down after the commit", after: platform.Faults{Outage: true}},
	}
}

// Run measures fleets of growing size and prints one line for each figure.
func Run(ctx context.Context, options Options, stdout io.Writer) error {
	compareOutage(stdout)
	sizes := []size{{2, 12}, {3, 22}, {6, 60}, {options.Entries, options.Agents}}
	for _, s := range sizes {
		if err := measureFleet(ctx, s, options.Changes, stdout); err != nil {
			return err
		}
	}
	if err := measureTakeover(ctx, stdout); err != nil {
		return err
	}
	return measureGap(ctx, stdout)
}

func measureFleet(ctx context.Context, s size, changes int, stdout io.Writer) error {
	f, err := startFleet(ctx, s)
	if err != nil {
		return err
	}
	defer f.stop()
	if err := wait(ctx, settleFor); err != nil {
		return err
	}
	f.measureRest(ctx, stdout)
	for _, state := range storeStates() {
		if err := f.measureSpread(ctx, state, changes, stdout); err != nil {
			return err
		}
	}
	return nil
}

// measureRest prints the traffic and processor time of a fleet without requests.
func (f *fleet) measureRest(ctx context.Context, stdout io.Writer) {
	before, cpu := f.totals(), processTime()
	if wait(ctx, idleFor) != nil {
		return
	}
	used := processTime() - cpu
	spent := f.totals().minus(before)
	seconds := idleFor.Seconds()
	entries, agents := float64(f.size.entries), float64(f.size.agents)
	fmt.Fprintf(stdout, "entries=%d agents=%d entry_bytes_s=%.0f entry_to_agents_bytes_s=%.0f agent_bytes_s=%.0f reads_s_entry=%.2f writes_s_entry=%.2f cpu_all=%.1f%%\n",
		f.size.entries, f.size.agents, spent.entry/seconds/entries, (spent.entry-spent.platform)/seconds/entries, spent.agent/seconds/agents,
		spent.reads/seconds/entries, spent.writes/seconds/entries, 100*used.Seconds()/seconds)
}

// measureSpread makes changes and prints how long each took to be in force.
func (f *fleet) measureSpread(ctx context.Context, state storeState, changes int, stdout io.Writer) error {
	var entries, agents []time.Duration
	for i := range changes {
		f.platform.SetFaults(state.before)
		writer := f.entries[i%len(f.entries)]
		revision, err := writer.Config.Write(ctx, 0, f.change(i))
		if err != nil {
			return err
		}
		accepted := time.Now()
		f.platform.SetFaults(state.after)
		spread := make(chan struct{})
		go func() {
			defer close(spread)
			writer.Config.AwaitInForce(ctx, revision)
		}()
		entries = append(entries, f.until(ctx, accepted, func() bool { return f.entriesHold(revision) }))
		agents = append(agents, f.until(ctx, accepted, func() bool { return f.agentsHold(revision) }))
		<-spread
		f.platform.SetFaults(platform.Faults{})
		if err := wait(ctx, time.Second); err != nil {
			return err
		}
	}
	fmt.Fprintf(stdout, "entries=%d agents=%d store=%q changes=%d in_force_entries %s in_force_agents %s\n",
		f.size.entries, f.size.agents, state.name, changes, spans(entries), spans(agents))
	return nil
}

// change issues a key, and every other time withdraws the last one.
func (f *fleet) change(i int) config.Change {
	if i%2 == 1 {
		return config.Change{Operator: "measure", WithdrawKey: f.lastKey}
	}
	f.keys++
	f.lastKey = fmt.Sprintf("key-measured-%d", f.keys)
	key := config.Key{ID: f.lastKey, Team: "team", Hash: config.HashKey(f.lastKey)}
	return config.Change{Operator: "measure", IssueKey: &key}
}

func (f *fleet) until(ctx context.Context, since time.Time, done func() bool) time.Duration {
	for !done() && time.Since(since) < forceLimit {
		if wait(ctx, lookEvery) != nil {
			break
		}
	}
	return time.Since(since)
}

func (f *fleet) entriesHold(revision config.Revision) bool {
	for _, entry := range f.entries {
		if state := entry.Config.Held(); state == nil || state.Revision < revision {
			return false
		}
	}
	return true
}

func (f *fleet) agentsHold(revision config.Revision) bool {
	for _, agent := range f.agents {
		if agent.Revision() < int64(revision) {
			return false
		}
	}
	return true
}

// spans prints the median, the 99th percentile and the worst.
func spans(all []time.Duration) string {
	slices.Sort(all)
	at := func(q float64) float64 { return all[int(q*float64(len(all)-1)+0.5)].Seconds() }
	return fmt.Sprintf("p50=%.3fs p99=%.3fs worst=%.3fs", at(0.5), at(0.99), at(1))
}

// microspans prints the median, the 99th percentile and the worst.
func microspans(all []time.Duration) string {
	slices.Sort(all)
	at := func(q float64) int64 { return all[int(q*float64(len(all)-1)+0.5)].Microseconds() }
	return fmt.Sprintf("p50=%dus p99=%dus worst=%dus", at(0.5), at(0.99), at(1))
}

func wait(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
