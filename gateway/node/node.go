// Package node wires the entry process of a VM of the users: callers' requests
// in, endpoints' answers out, and the duties that it may hold for the fleet.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/logging"
	"flamingospar.org/base/meter"
	"flamingospar.org/base/supervise"
	"flamingospar.org/core/retrybudget"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/gateway/config"
	"flamingospar.org/gateway/crashes"
	"flamingospar.org/gateway/duties"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/fleet"
	"flamingospar.org/gateway/ingress"
	"flamingospar.org/gateway/link"
	"flamingospar.org/gateway/peers"
	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
)

// Times of the process.
const (
	// maxOutage is how long endpoints stay in use while the store is away.
	maxOutage = 24 * time.Hour
	// balancerNotice is how long the balancer may go on sending connections
	// after the process has called itself not ready.
	balancerNotice = 2500 * time.Millisecond
	// stopMargin is left of the time to stop for the last writes, and exitMargin
	// of that for the end of the process itself: the platform kills it then.
	stopMargin = 900 * time.Millisecond
	exitMargin = 200 * time.Millisecond
	// dutyTerm is how long a renewal of the lease on the duties lasts.
	dutyTerm = 5 * time.Second
	// dutyCandidates is how many processes look at the lease often, so that its
	// reads don't grow with the fleet.
	dutyCandidates = 3
	// memoryShare is the part of the VM's memory at which the collector works harder.
	memoryShare = 0.6
	// assumedVMs is how many VMs share the allowance of retries until more is known.
	assumedVMs = 4
)

var log = logging.For("gateway/node")

// errLastWrites is logged when the store did not take the last writes in time.
var errLastWrites = errors.New("the last writes did not end in the time to stop; remedy: look at the store, copies of the counts are with other processes")

// Options are the process's own, beside the settings of its VM.
type Options struct {
	SettingsPath string
	MetricsPort  int // Port for metrics on the VM's address; 0 for none.
}

// Node is one entry process.
type Node struct {
	settings site.Settings
	options  Options
	instance string

	meter      *meter.Registry
	config     *config.Holder
	fleet      *fleet.Fleet
	ledger     *engines.Ledger
	pool       *link.Pool
	budgets    *relay.Budgets
	client     *http.Client
	store      *site.Store
	duty       *site.DutyClient
	trueTime   *duties.TrueTime
	tally      *duties.Tally
	replicas   *duties.Replicas
	crashes    *crashes.Marks
	circle     *peers.Circle
	lease      *leasekeeper.Keeper         // Of the duties that one process holds.
	bounds     atomic.Pointer[site.Bounds] // As the settings say now.
	storeWatch *storeWatch
	supervisor supervise.Supervisor
	stopping   atomic.Bool
	stopBegins chan struct{} // Closed when the process is asked to stop.
}

// Run runs an entry process until ctx ends, and then stops it in order.
func Run(ctx context.Context, options Options) error {
	settings, err := site.ReadSettings(options.SettingsPath)
	if err != nil {
		return err
	}
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Limits.MemoryMB<<20)))
	}
	return build(settings, options).run(ctx)
}

func build(settings site.Settings, options Options) *Node {
	client := platformClient()
	n := &Node{
		settings: settings, options: options, instance: settings.Node + "/" + uuid.NewString()[:8],
		stopBegins: make(chan struct{}), meter: meter.NewRegistry(), client: client, config: &config.Holder{}, pool: link.NewPool(),
		store: site.NewStore(settings.Store.Address, client), duty: site.NewDutyClient(settings.Duties.Address, client),
	}
	n.supervisor.OnPanic = func(part string) { n.meter.Count("panic", part) }
	n.fleet = fleet.New(time.Now)
	n.ledger = engines.New(settings.DataCentre, time.Now)
	n.fleet.Listen(n.ledger)
	n.storeWatch = newStoreWatch(n.fleet)
	started := clock.Now()
	n.trueTime = duties.NewTrueTime(n.store, func() time.Duration { return clock.Now().Sub(started) })
	n.tally = duties.NewTally(n.trueTime.Now, settings.Bounds.UsageWindow)
	n.replicas = duties.NewReplicas()
	n.crashes = crashes.New()
	self := peers.Member{VM: settings.Node, Address: settings.ControlAddress, DataCentre: settings.DataCentre, Instance: n.instance}
	n.circle = peers.New(self, settings.Seeds, n.store, n)
	n.circle.Supervisor = n.supervisor
	n.lease = leasekeeper.New(n.store.Tables(), "duties", n.instance)
	n.lease.SetTerm(dutyTerm)
	n.lease.StandBy(func() bool { return n.circle.AmongFirst(dutyCandidates) })
	n.budgets = relay.NewBudgets(budgetSettings(settings.Bounds, assumedVMs))
	n.bounds.Store(&settings.Bounds)
	n.store.Called = n.storeCalled
	n.pool.Dialled = func() { n.meter.Count("endpoint", "connections") }
	return n
}

// budgetSettings gives one of several VMs its share of the allowance.
func budgetSettings(bounds site.Bounds, vms int) retrybudget.Settings {
	return retrybudget.Settings{
		Window: bounds.RetryWindow, Ratio: bounds.RetryRatio, Allowance: float64(bounds.RetryAllowance) / float64(max(vms, 1)),
	}
}

func (n *Node) run(ctx context.Context) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)

	servers, err := n.open(ctx)
	if err != nil {
		return err
	}
	log.Info("The process starts.", "vm", n.settings.Node, "instance", n.instance, "data_centre", n.settings.DataCentre, "callers", n.settings.CallersAddress, "store", n.settings.Store.Address)

	running, end := context.WithCancel(context.WithoutCancel(ctx))
	var duties sync.WaitGroup
	for _, duty := range n.duties(reload) {
		duties.Go(func() { n.supervisor.Run(running, duty.name, duty.run) })
	}
	<-ctx.Done()
	exitBy := time.Now().Add(n.bounds.Load().StopGrace - exitMargin)
	n.stop(servers.callers)
	end()
	n.awaitDuties(&duties, exitBy)
	_ = servers.side.Close() // The process ends; nobody is left to tell.
	log.Info("The process stops.", "vm", n.settings.Node, "instance", n.instance)
	return nil
}

// awaitDuties waits for the last writes of the duties, but no longer than until
// the process must end: a store that does not answer must not have it killed.
func (n *Node) awaitDuties(duties *sync.WaitGroup, until time.Time) {
	ended := make(chan struct{})
	go func() {
		duties.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(time.Until(until)):
		log.Error(errLastWrites, "The process stops without them.", "vm", n.settings.Node)
	}
}

type servers struct {
	callers *http.Server
	side    *http.Server
}

// broke has a run looked at whose connection broke.
func (n *Node) broke(job *relay.Job, endpoint site.Endpoint) {
	path, _, _ := strings.Cut(job.Target, "?")
	n.crashes.Note(crashes.Broken{
		RequestID: job.Caller.ID, Team: job.Team, Path: path, Body: job.Body, Endpoint: endpoint.ID, Address: endpoint.Address,
	})
}

// open listens on all addresses of the process.
func (n *Node) open(ctx context.Context) (servers, error) {
	callers, err := listen(ctx, n.settings.CallersAddress)
	if err != nil {
		return servers{}, fmt.Errorf("%w; remedy: free the callers' address of the settings", err)
	}
	ready, err := listen(ctx, n.settings.ReadyAddress)
	if err != nil {
		return servers{}, fmt.Errorf("%w; remedy: free the readiness address of the settings", err)
	}
	control, err := listen(ctx, n.settings.ControlAddress)
	if err != nil {
		return servers{}, fmt.Errorf("%w; remedy: free the control address of the settings", err)
	}
	handler := &ingress.Handler{
		Config: n.config, Meter: n.meter, Crashes: n.crashes,
		Log:   &ingress.RequestLog{Endpoints: func() (int64, time.Duration) { return n.fleet.Version(), n.fleet.Age() }},
		Relay: &relay.Relay{Pool: n.pool, Engines: n.ledger, Meter: n.meter, Began: n.tally.Began, Budgets: n.budgets, Broke: n.broke, Read: n.read},
	}
	s := servers{callers: newServer(handler), side: newServer(n.sideHandler())}
	s.callers.ConnContext = ingress.ConnContext
	serveOn(s.callers, ingress.Listener{Listener: callers})
	serveOn(s.side, ready)
	serveOn(s.side, control)
	if n.options.MetricsPort > 0 {
		n.listenMetrics(ctx, s.side)
	}
	return s, nil
}

// listenMetrics serves metrics on a port of their own. Without them the process
// still serves callers.
func (n *Node) listenMetrics(ctx context.Context, server *http.Server) {
	address := net.JoinHostPort(n.settings.IP, strconv.Itoa(n.options.MetricsPort))
	listener, err := listen(ctx, address)
	if err != nil {
		log.Error(err, "Metrics are not served.", "address", address)
		return
	}
	serveOn(server, listener)
}

func serveOn(server *http.Server, listener net.Listener) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error(err, "A listener ended.", "address", listener.Addr().String())
		}
	}()
}

// stop lets the balancer send callers elsewhere and finishes what is running.
func (n *Node) stop(callers *http.Server) {
	n.stopping.Store(true)
	close(n.stopBegins)
	log.Info("The process is asked to stop; it finishes what it has.", "vm", n.settings.Node)
	grace := max(n.settings.Bounds.StopGrace-stopMargin, balancerNotice)
	deadline := time.Now().Add(grace)
	time.Sleep(min(balancerNotice, grace))
	callers.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		log.Error(err, "Requests were still running when the time to stop was over.", "vm", n.settings.Node)
		_ = callers.Close() // Their connections end with the process in any case.
	}
}

// platformClient is the one HTTP client for the store and the operator's
// interface. A silent connection is given up by its keep-alive or by the
// timeout of the call, and is then not used again.
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
