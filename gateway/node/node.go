// Package node assembles the entry process of a VM: it accepts callers'
// requests, forwards them to endpoints and runs background tasks, some of them
// for the whole fleet while it holds the duty lease.
package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/logging"
	"flamingospar.org/base/meter"
	"flamingospar.org/base/supervise"
	"flamingospar.org/core/lease"
	"flamingospar.org/core/quota"
	"flamingospar.org/core/retrybudget"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/gateway/callermemory"
	"flamingospar.org/gateway/config"
	"flamingospar.org/gateway/crashes"
	"flamingospar.org/gateway/duties"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/fleet"
	"flamingospar.org/gateway/follow"
	"flamingospar.org/gateway/ingress"
	"flamingospar.org/gateway/limits"
	"flamingospar.org/gateway/peers"
	"flamingospar.org/gateway/quotas"
	"flamingospar.org/gateway/relay"
	"flamingospar.org/gateway/shares"
	"flamingospar.org/gateway/stopping"
	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// Limits of the process.
const (
	// maxStoreOutage is how long endpoints stay in use while the store does not
	// answer.
	maxStoreOutage = 24 * time.Hour
	// dutyLeaseTerm is how long the duty lease is valid after a renewal.
	dutyLeaseTerm = 5 * time.Second
	// dutyCandidates is how many processes check the duty lease often, so that
	// the number of reads doesn't grow with the fleet.
	dutyCandidates = 3
	// memoryLimitShare is the share of the VM's memory that is set as the soft
	// memory limit of the Go runtime, near which the garbage collector runs more
	// often.
	memoryLimitShare = 0.6
	// assumedVMs is the number of VMs that the retry allowance is divided by
	// until more are known.
	assumedVMs = 4
)

var log = logging.For("gateway/node")

// Options are the options of the process beside the settings of its VM.
type Options struct {
	SettingsPath string
	MetricsPort  int // Port for metrics on the VM's address; 0 for none.
	// TeamShares places requests of teams that are over their share of a service after
	// others while capacity is short.
	TeamShares bool
	// MeasureEndpoints makes the placement of requests follow the measured speeds of
	// endpoints. Engines are measured only for services whose routes allow long pauses
	// between events.
	MeasureEndpoints bool
	// Reload receives the signals to read the settings again. If it is nil, the process asks for
	// them when it runs; one that comes before ends the process.
	Reload chan os.Signal
	// Now is the clock of the rate limits of endpoints and of the exchange with other
	// processes, which decides who shares them out; time.Now if nil.
	Now func() time.Time
}

func (o Options) now() func() time.Time {
	if o.Now == nil {
		return time.Now
	}
	return o.Now
}

// Node is an entry process.
type Node struct {
	settings site.Settings
	options  Options
	instance string

	meter         *meter.Registry
	config        *config.Holder
	fleet         *fleet.Fleet
	selector      *engines.Selector
	limiter       *limits.Limiter
	shares        *shares.Tracker // Nil without Options.TeamShares.
	quotas        *quotas.Quotas
	stopGate      *stopping.Gate
	pool          *transport.Pool
	retryBudgets  *relay.RetryBudgets
	httpClient    *http.Client
	store         *site.Store
	dutyClient    *site.DutyClient
	sharedClock   *duties.SharedClock
	tally         *duties.Tally
	usageWriter   *duties.Writer
	replicas      *duties.Replicas
	clockLost     chan struct{} // Receives a value when the store may have lost the offset of the shared clock.
	crashTracker  *crashes.Tracker
	crashBackup   *crashes.Backup
	versions      *streamversions.Tracker
	cluster       *peers.Cluster
	lease         *leasekeeper.Keeper         // The duty lease.
	bounds        atomic.Pointer[site.Bounds] // From the latest settings.
	storeWatch    *storeWatch
	fleetFollower *follow.Follower
	supervisor    supervise.Supervisor
	heldMemory    map[callermemory.Listener]*callermemory.Memory
	stopping      atomic.Bool
	stopRequested chan struct{} // Closed when the process is asked to stop.
}

// Run runs an entry process until ctx ends, and then stops it gracefully.
func Run(ctx context.Context, options Options) error {
	settings, err := site.ReadSettings(options.SettingsPath)
	if err != nil {
		return err
	}
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Limits.MemoryMB<<20)))
	}
	return build(settings, options).run(ctx)
}

// build makes the parts of a process and connects them.
func build(settings site.Settings, options Options) *Node {
	client := platformClient()
	n := &Node{
		settings: settings, options: options, instance: settings.NodeName + "/" + uuid.NewString()[:8],
		stopRequested: make(chan struct{}), clockLost: make(chan struct{}, 1), meter: meter.NewRegistry(), httpClient: client, config: &config.Holder{}, pool: transport.NewPool(), stopGate: stopping.NewGate(),
		store: site.NewStore(settings.Store.Address, client), dutyClient: site.NewDutyClient(settings.Duties.Address, client),
	}
	n.heldMemory = callermemory.ForListeners(settings.Limits, n.meter)
	n.supervisor.OnPanic = func(part string) { n.meter.Count("panic", part) }
	n.fleet = fleet.New(time.Now)
	n.selector = engines.New(settings.DataCentre, time.Now)
	n.selector.MeasureEndpoints = options.MeasureEndpoints
	n.storeWatch = newStoreWatch(n.fleet)
	started := clock.Now()
	n.sharedClock = duties.NewSharedClock(n.store, func() time.Duration { return clock.Now().Sub(started) })
	n.tally = duties.NewTally(n.sharedClock.Now, settings.Bounds.UsageWindow)
	n.usageWriter = duties.NewWriter(n.store, n.tally, n.instance)
	n.replicas = duties.NewReplicas()
	n.crashTracker = crashes.New(crashFleet{n})
	self := peers.Member{VM: settings.NodeName, Address: settings.ControlAddress, DataCentre: settings.DataCentre, Instance: n.instance}
	n.cluster = peers.New(self, settings.Seeds, n.store, n)
	n.cluster.Supervisor = n.supervisor
	n.cluster.Now = options.now()
	n.limiter = limits.New(settings.NodeName, n.cluster, n.meter, options.now())
	if options.TeamShares {
		n.shares = shares.New(n.meter, options.now())
	}
	n.selector.Limits = n.limiter
	n.quotas = quotas.New(settings.NodeName, n.cluster, n.meter, options.now(), n.quotaTolerance)
	n.quotas.Configured = n.configuredQuota
	n.selector.OnStatement = n.applyStatement
	n.versions = n.newStreamVersions()
	n.selector.Versions = n.versions
	n.fleet.AddListener(n.versions)
	n.fleet.AddListener(n.limiter)
	n.fleet.AddListener(n.selector)
	n.fleetFollower = n.newFleetFollower()
	n.crashBackup = crashes.NewBackup(n.store, n.crashTracker, func() bool { return n.cluster.AmongFirst(crashPartWriters) })
	n.lease = n.newLease()
	n.retryBudgets = relay.NewRetryBudgets(budgetSettings(settings.Bounds, assumedVMs))
	n.bounds.Store(&settings.Bounds)
	n.store.OnCall = n.recordStoreCall
	n.store.OnEra = n.storeRestored
	n.countConnections()
	return n
}

// newLease returns the lease of the duties; store and cluster must be set.
func (n *Node) newLease() *leasekeeper.Keeper {
	keeper := leasekeeper.New(n.store.Tables(), "duties", n.instance)
	keeper.SetTerm(dutyLeaseTerm)
	keeper.SetFirstEpochFunc(func() lease.Epoch { return lease.FirstEpoch(n.store.Era()) })
	keeper.SetCandidateFunc(func() bool { return n.cluster.AmongFirst(dutyCandidates) })
	if n.settings.Bootstrap {
		keeper.AssumeNeverHeld()
	}
	return keeper
}

// countConnections counts the connections to endpoints.
func (n *Node) countConnections() {
	n.pool.OnDial = func() { n.meter.Count("endpoint", "connections") }
	n.pool.OnAsked = func() { n.meter.Count("endpoint", "start_asked") }
	n.pool.OnUnanswered = func() { n.meter.Count("endpoint", "start_unanswered") }
	n.pool.OnStray = func() { n.meter.Count("endpoint", "stray_responses") }
}

// newStreamVersions returns the tracker of the versions of streams; store, cluster and
// storeWatch must be set.
func (n *Node) newStreamVersions() *streamversions.Tracker {
	tracker := streamversions.New(n.store, n.cluster, n.instance, n.meter)
	tracker.StoreLost = n.storeWatch.IsLost
	tracker.Sharing = n.servicesSharing
	tracker.ListIsRecent = func() bool { return n.fleet.Age() < n.maxFleetAge() }
	tracker.ConfigurationIsCurrent = n.configurationIsCurrent
	return tracker
}

// quotaTolerance returns the tolerance of teams' quotas that the latest settings state.
func (n *Node) quotaTolerance() quota.Tolerance {
	bounds := n.bounds.Load()
	return quota.Tolerance{Window: bounds.QuotaWindow, Over: bounds.QuotaOver, Slack: bounds.QuotaSlack}
}

// configuredQuota returns the quota of a team in the configuration in force.
func (n *Node) configuredQuota(team string) quotas.Limit {
	current := n.config.Current()
	if current == nil {
		return quotas.Limit{}
	}
	return quotas.NewLimit(current.Quota(team), current.Version)
}

// budgetSettings returns the settings of the retry budget with one VM's share of
// the allowance.
func budgetSettings(bounds site.Bounds, vms int) retrybudget.Settings {
	return retrybudget.Settings{
		Window: bounds.RetryWindow, Ratio: bounds.RetryRatio, Allowance: float64(bounds.RetryAllowance) / float64(max(vms, 1)),
	}
}

func (n *Node) run(ctx context.Context) error {
	reload := n.options.Reload
	if reload == nil {
		reload = make(chan os.Signal, 1)
		signal.Notify(reload, syscall.SIGHUP)
	}
	servers, err := n.openServers(ctx)
	if err != nil {
		return err
	}
	log.Info("The process starts.", "vm", n.settings.NodeName, "instance", n.instance, "data_centre", n.settings.DataCentre, "callers", n.settings.CallerAddress, "store", n.settings.Store.Address)

	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	for _, task := range n.backgroundTasks(reload) {
		tasks.Go(func() { n.supervisor.Run(taskCtx, task.name, task.run) })
	}
	<-ctx.Done()
	exitBy := n.stop(servers)
	stopTasks()
	n.awaitTasks(&tasks, exitBy)
	_ = servers.internal.Close() // The process ends, so an error has no consequence.
	log.Info("The process stops.", "vm", n.settings.NodeName, "instance", n.instance)
	return nil
}

// endpointsState returns the state of the list of endpoints for the request log.
func (n *Node) endpointsState() ingress.EndpointsState {
	position := n.fleet.Position()
	return ingress.EndpointsState{Era: position.Era, Version: position.Version, Age: n.fleet.Age()}
}

// crashFleet tells the crash tracker about endpoints and processes.
type crashFleet struct{ node *Node }

// Endpoint returns an endpoint that is listed. One that said that it leaves counts as
// draining.
func (f crashFleet) Endpoint(id string) (site.Endpoint, bool) {
	endpoint, ok := f.node.fleet.Get(id)
	endpoint.Draining = endpoint.Draining || f.node.selector.IsLeaving(endpoint)
	return endpoint, ok
}

// Position returns the position of this process in the ranking of all for a key.
func (f crashFleet) Position(key string) int {
	ranking := f.node.cluster.Rank(key, f.node.cluster.Size())
	return max(slices.Index(ranking, f.node.settings.NodeName), 0)
}

// platformClient returns the HTTP client for the store and the operator's API. A
// connection without response is closed by TCP keep-alive or by the timeout of
// the call, and is not reused.
func platformClient() *http.Client {
	dialer := &net.Dialer{
		Timeout:         1 * time.Second,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}
