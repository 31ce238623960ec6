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

// Times of what runs beside the serving of requests.
const (
	// configWait is how long the store holds the call for a new configuration. A
	// process that lost the answer to it is sent the configuration by others.
	configWait = 10 * time.Second
	// readerShare is the part of the bound on leaving endpoints between two looks
	// at the fleet of a process that looks for all. leastShare and mostShare are
	// the same of others, which look when they were not told that late; they
	// differ, so that not all look at once.
	readerShare = 0.3
	leastShare  = 0.42
	mostShare   = 0.52
	// fleetReaders is how many processes look at the fleet for all.
	fleetReaders = 1
	// skipStep is the least time between two calls for the fleet.
	skipStep    = 50 * time.Millisecond
	keepUpEvery = 300 * time.Millisecond
	// membersWait is how long the store holds the call for changes of the list
	// of entry processes.
	membersWait = 15 * time.Second
	// leastMembersEvery and memberStep, for each process, are between two reads of
	// that list.
	leastMembersEvery = 1 * time.Second
	memberStep        = 60 * time.Millisecond
	// yieldDuties is how long a process that is asked to stop leaves the duties to
	// others: those that wait for the lease look more often.
	yieldDuties = 2 * time.Second
	// timeLimit bounds one attempt to learn the true time.
	timeLimit = 3 * time.Second
)

// duty is what runs beside the serving of requests, in a goroutine of its own.
type duty struct {
	name string
	run  func(context.Context)
}

// duties returns all of them.
func (n *Node) duties(reload <-chan os.Signal) []duty {
	handover := duties.NewHandover(n.settings.Bounds.Lease, clock.Now)
	reporter := &duties.Reporter{
		Store: n.store, Duty: n.duty, Lease: n.lease, Holder: n.settings.Node, Clock: n.trueTime.Now, Length: n.settings.Bounds.UsageWindow,
		Late: n.settings.Bounds.UsageLate, Replicas: n.replicas, StoreSteady: n.storeWatch.Steady, Others: n.circle.Instances,
		Handover: handover,
	}
	writer := &duties.Writer{Store: n.store, Tally: n.tally, Instance: n.instance}
	planner := &duties.StagePlanner{
		Ledger: n.ledger, Endpoints: site.NewEndpointClient(n.client), Lease: n.lease, Holder: n.settings.Node, FleetAge: n.fleet.Age, Change: n.stageChange,
		Handover: handover,
	}
	list := []duty{
		{"configuration", n.configFollower().Run},
		{"fleet", n.fleetFollower().Run},
		{"members", n.membersFollower().Run},
		{"crash_marks", n.crashes.Run},
		{"register", n.circle.Register},
		{"exchange", n.circle.Run},
		{"keep_up", n.keepUp},
		{"true_time", n.learnTime},
		{"settings", func(ctx context.Context) {
			watchSettings(ctx, n.options.SettingsPath, reload, func(s site.Settings) { n.bounds.Store(&s.Bounds) })
		}},
		{"lease", n.holdLease},
		{"stages", planner.Run},
	}
	if n.settings.Duties.Usage && n.settings.Bounds.UsageWindow > 0 {
		list = append(list, duty{"usage_reports", reporter.Run}, duty{"usage_counts", writer.Run})
	}
	return list
}

// holdLease holds or waits for the lease on the duties until the process is
// asked to stop: another can take it at once then, also when the store is away
// at this one's end. While nobody does, since all are asked to stop, the process
// keeps the duties until its own end.
func (n *Node) holdLease(ctx context.Context) {
	untilStop, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-n.stopBegins:
			cancel()
		case <-ctx.Done():
		}
	}()
	n.lease.Run(untilStop)
	if clock.Sleep(ctx, yieldDuties) {
		n.lease.Run(ctx)
	}
}

// stageChange returns how long an engine of a service is out while it changes
// its stage, 0 when that is not known.
func (n *Node) stageChange(service string) time.Duration {
	if current := n.config.Current(); current != nil {
		if engine := current.Services[service].Engine; engine != nil {
			return engine.StageChange
		}
	}
	return 0
}

func (n *Node) configFollower() *follow.Follower {
	return &follow.Follower{
		Store: n.store, Table: site.TableOperator, Wait: configWait, Lost: n.storeWatch.Lost, Regained: n.storeWatch.Regained, Turned: n.storeWatch.Turned,
		Apply: func(page site.Page, _ bool) {
			for _, row := range page.Rows {
				if row.Key == site.KeyConfiguration && !row.Removed {
					n.takeConfig(row.Value, "store")
				}
			}
		},
	}
}

func (n *Node) takeConfig(raw []byte, source string) {
	n.config.Offer(raw, source)
	current := n.config.Current()
	if current == nil {
		return
	}
	for name, service := range current.Services {
		if service.Engine != nil {
			n.ledger.SetMemory(name, service.Engine.KVTokens)
		}
	}
}

func (n *Node) fleetFollower() *follow.Follower {
	drain := float64(n.settings.Bounds.Drain)
	askAsReader := time.Duration(readerShare * drain)
	askAsOther := time.Duration((leastShare + (mostShare-leastShare)*rand.Float64()) * drain)
	return &follow.Follower{
		Store: n.store, Table: site.TableEndpoints, Every: func() time.Duration { return skipStep },
		Skip: func() bool {
			age := n.fleet.Age()
			return age < askAsReader || (age < askAsOther && !n.circle.AmongFirst(fleetReaders))
		},
		After: n.fleet.Version,
		Apply: func(page site.Page, whole bool) {
			rows := make([]fleet.Row, 0, len(page.Rows))
			for _, row := range page.Rows {
				rows = append(rows, fleet.Row{Key: row.Key, Value: row.Value, Version: row.Version, Removed: row.Removed})
			}
			n.fleet.Apply(rows, page.Version, whole, time.Since(page.Asked))
		},
		Lost: n.storeWatch.Lost, Regained: n.storeWatch.Regained, Turned: n.storeWatch.Turned,
	}
}

func (n *Node) membersFollower() *follow.Follower {
	return &follow.Follower{
		Store: n.store, Table: peers.TableVMs, Wait: membersWait, Every: n.membersEvery, Apply: n.circle.Apply, Turned: n.storeWatch.Turned,
	}
}

// membersEvery returns how often changes of the list of entry processes are read
// at most. Each change makes all of them call, so a larger fleet reads several
// changes at once; processes that exchange learn of each other before that.
func (n *Node) membersEvery() time.Duration {
	return max(leastMembersEvery, time.Duration(n.circle.Size())*memberStep)
}

// keepUp does again and again what follows from the present state: this
// process's share of the retry budget, idle connections to close, and endpoints
// to forget that did not come back.
func (n *Node) keepUp(ctx context.Context) {
	n.shareBudget()
	clock.Every(ctx, keepUpEvery, func() {
		n.shareBudget()
		n.pool.Sweep()
		n.fleet.Settle()
	})
}

// shareBudget sets this process's share of the retry budget to what the number
// of processes gives.
func (n *Node) shareBudget() {
	processes := n.circle.Size()
	n.ledger.SetProcesses(processes)
	n.budgets.Set(budgetSettings(*n.bounds.Load(), max(processes, assumedVMs)))
}

// learnTime learns the true time once the store answers.
func (n *Node) learnTime(ctx context.Context) {
	for attempt := 0; ; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, timeLimit)
		err := n.trueTime.Learn(callCtx)
		cancel()
		if err == nil {
			log.Info("The true time is known.", "attempts", attempt+1)
			return
		}
		if attempt == 0 {
			log.Error(err, "The true time is not known yet; no usage window is reported.")
		}
		if !clock.Sleep(ctx, keepUpEvery) {
			return
		}
	}
}
