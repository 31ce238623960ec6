// Package wiring builds an entry process from its settings and runs it.
package wiring

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/dig"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/meter"
	"flamingospar.org/base/netx"
	"flamingospar.org/base/tlsfiles"
	"flamingospar.org/entry/accept"
	"flamingospar.org/entry/account"
	"flamingospar.org/entry/admit"
	"flamingospar.org/entry/authenticate"
	"flamingospar.org/entry/callers"
	"flamingospar.org/entry/choose"
	"flamingospar.org/entry/claim"
	"flamingospar.org/entry/configview"
	"flamingospar.org/entry/crashmarks"
	"flamingospar.org/entry/dispatch"
	"flamingospar.org/entry/explain"
	"flamingospar.org/entry/fleet"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/entry/match"
	"flamingospar.org/entry/operator"
	"flamingospar.org/entry/pipeline"
	"flamingospar.org/entry/receive"
	"flamingospar.org/entry/relay"
	"flamingospar.org/entry/render"
	"flamingospar.org/entry/sealing"
	"flamingospar.org/entry/settings"
	"flamingospar.org/entry/spending"
	"flamingospar.org/entry/stall"
	"flamingospar.org/platform/httpapi"
)

const usageLeaseName = "usage"

// instanceSuffixLen is the number of characters of a random UUID that are appended
// to the instance name to identify one start of the process.
const instanceSuffixLen = 8

var log = logging.For("entry")

// Entry is an entry process with its dependencies resolved.
type Entry struct {
	dig.In

	Settings        settings.Settings
	Network         netx.Network
	Meter           *meter.Registry
	Config          *configview.View
	Fleet           *fleet.View
	Roster          *fleet.Roster
	Plan            *fleet.Plan
	Chain           *pipeline.Chain
	Models          *modelsChain
	UsageWriter     *account.Writer
	UsageLease      *leasekeeper.Keeper
	Sealer          *sealing.Sealer
	Capacity        *capacityReconcilers
	CrashMarks      *crashmarks.Filter
	ClaimFinisher   *claim.OutcomeWriter
	Claims          *claim.Registry
	State           *runState
	OperatorAccess  operator.Access
	Peers           peerNetwork
	TLS             *tlsfiles.Source // Nil if connections between processes are not encrypted.
	Observe         observeParams
	CapacityPlanner *spending.Planner
}

// runState holds the state of the entry that changes while it runs.
type runState struct {
	draining atomic.Bool
}

// Build resolves the dependencies of an entry. It opens no listeners.
func Build(s settings.Settings, network netx.Network) (*Entry, error) {
	container := dig.New()
	providers := []any{
		func() settings.Settings { return s },
		func() netx.Network { return network },
		func() *runState { return new(runState) },
		meter.NewRegistry,
		newPlatformClient,
		func(s settings.Settings) *fleet.Roster { return fleet.NewRoster(s.Authority.Self()) },
		newConfigView,
		newFleet,
		newTLSSource,
		newPeerNetwork,
		newOperatorAccess,
		newCrashMarkFilter,
		newClaimFinisher,
		newClaimRegistry,
		newClaimFilter,
		newJournal,
		explain.NewObserver,
		explain.NewInterceptor,
		account.NewRing,
		account.NewAcks,
		account.NewCounts,
		newUsageInterceptor,
		dispatch.New,
		func(v *fleet.View, r *meter.Registry) *spending.Planner { return spending.New(v, r) },
		newChain,
		newModelsChain,
		newUsageWriter,
		newUsageLeaseKeeper,
		newTargets,
		fleet.NewPlan,
		newCapacityReconcilers,
		newSealer,
	}
	for _, provider := range providers {
		if err := container.Provide(provider); err != nil {
			return nil, err
		}
	}
	var entry *Entry
	err := container.Invoke(func(e Entry) { entry = &e })
	if err != nil {
		return nil, dig.RootCause(err)
	}
	entry.declareCounters()
	return entry, nil
}

func newPlatformClient(s settings.Settings, network netx.Network) *httpapi.Client {
	return httpapi.New(s.PlatformURL, netx.HTTP1Client(network))
}

func newChain(s settings.Settings, registry *meter.Registry, c *configview.View, view *fleet.View, d *dispatch.Dispatcher, crashMarks *crashmarks.Filter, claims *claim.Filter, planner *spending.Planner) *pipeline.Chain {
	chooser := choose.New(view, s.DataCentre)
	return pipeline.New(registry, render.Refusal,
		accept.New(),
		authenticate.New(c),
		receive.New(s.MaxBodyBytes, time.Duration(s.BodyTimeout)),
		match.New(time.Duration(s.Deadline)),
		crashMarks,
		admit.New(s.Policy, view, chooser, planner),
		claims,
		relay.New(s.Instance, chooser, d, crashMarks, registry),
	)
}

// Ready reports whether the entry has a configuration and is not draining.
func (e *Entry) Ready() bool {
	return !e.State.draining.Load() && e.Config.Current() != nil
}

// Listeners are the open listeners of an entry.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener // Nil if no peer address is configured.
}

// Listen opens the configured listeners. On an error it leaves none open.
func (e *Entry) Listen() (Listeners, error) {
	callersListener, err := e.Network.Listen(e.Settings.Listen)
	if err != nil {
		return Listeners{}, err
	}
	operatorsListener, err := e.Network.Listen(e.Settings.OperatorListen)
	if err != nil {
		return Listeners{}, errors.Join(err, callersListener.Close())
	}
	peersListener, err := e.listenPeers()
	if err != nil {
		return Listeners{}, errors.Join(err, callersListener.Close(), operatorsListener.Close())
	}
	return Listeners{Callers: callersListener, Operators: operatorsListener, Peers: peersListener}, nil
}

// Serve runs the entry until ctx ends and then drains it. The entry first reports
// that it is not ready, then finishes the requests in progress, and then stops its
// background tasks.
func (e *Entry) Serve(ctx context.Context, listeners Listeners) error {
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	tasks := e.startTasks(taskCtx)
	api := operator.New(e.Config, e.Meter, e.OperatorAccess, e.Ready)
	e.mountObserveAPI(api)
	api.WithClaimsAndCrashes(e.Claims, e.CrashMarks)
	callersServer := netx.Server(stall.Handler(e.closeConnectionsOnDrain(callers.Handler(e.Chain, e.Models))))
	operatorServer := netx.Server(api.Handler())
	peerServer := e.newPeerServer()
	defer peerServer.Close()
	serveErr := make(chan error, 3)
	go func() { serveErr <- callersServer.Serve(listeners.Callers) }()
	go func() { serveErr <- operatorServer.Serve(listeners.Operators) }()
	if listeners.Peers != nil {
		go func() { serveErr <- e.servePeers(peerServer, listeners.Peers) }()
	}
	log.Info("The entry is serving.", "listen", listeners.Callers.Addr().String())
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	e.State.draining.Store(true)
	err := e.drain(callersServer)
	stopTasks()
	tasks.Wait()
	return errors.Join(err, operatorServer.Close())
}

// closeConnectionsOnDrain sets "Connection: close" on responses while the entry
// drains. Callers with keep-alive connections then open a new connection, which the
// load balancer sends to another entry.
func (e *Entry) closeConnectionsOnDrain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.State.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain keeps serving for AnnounceTime, so that the load balancer notices that the
// entry is not ready. It then accepts no more connections and waits up to
// DrainTimeout for the requests in progress.
func (e *Entry) drain(server *http.Server) error {
	log.Info("The entry is draining.")
	time.Sleep(time.Duration(e.Settings.AnnounceTime))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.Settings.DrainTimeout))
	defer cancel()
	return server.Shutdown(ctx)
}

func (e *Entry) startTasks(ctx context.Context) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){e.Config.Run, e.Fleet.Run, e.UsageWriter.Run, e.UsageLease.Run, e.Sealer.Run, e.Capacity.Run, e.CrashMarks.Run, e.ClaimFinisher.Run, e.Claims.Run} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			run(ctx)
		}()
	}
	wg.Go(func() { e.CapacityPlanner.Run(ctx) })
	return &wg
}
