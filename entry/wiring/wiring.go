// Package wiring builds an entry from its settings.
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

const usageLease = "usage"

var log = logging.For("entry")

// Entry is a built entry process.
type Entry struct {
	dig.In

	Settings settings.Settings
	Network  netx.Network
	Meter    *meter.Registry
	Config   *configview.View
	Fleet    *fleet.View
	Roster   *fleet.Roster
	Plan     *fleet.Plan
	Chain    *pipeline.Chain
	Models   *modelsChain
	Writer   *account.Writer
	Lease    *leasekeeper.Keeper
	Sealer   *sealing.Sealer
	Capacity *capacityDuties
	Crashes  *crashmarks.Filter
	Finisher *claim.Finisher
	Claims   *claim.Register
	State    *runState
	Access   operator.Access
	Peers    peerNetwork
	TLS      *tlsfiles.Source // Nil: plain connections between processes.
	Observe  observeParts
	Spending *spending.Planner
}

// runState tells whether the entry serves callers.
type runState struct {
	draining atomic.Bool
}

// Build wires an entry.
func Build(s settings.Settings, network netx.Network) (*Entry, error) {
	container := dig.New()
	providers := []any{
		func() settings.Settings { return s },
		func() netx.Network { return network },
		func() *runState { return new(runState) },
		meter.NewRegistry,
		newPlatform,
		func(s settings.Settings) *fleet.Roster { return fleet.NewRoster(s.Authority.Self()) },
		newConfigView,
		newFleet,
		newTLS,
		newPeerNetwork,
		newOperators,
		newCrashMarks,
		newClaimFinisher,
		newClaimRegister,
		newClaims,
		newJournal,
		explain.NewObserver,
		explain.NewInterceptor,
		account.NewRing,
		account.NewAcks,
		account.NewCounts,
		newInterceptor,
		dispatch.New,
		func(v *fleet.View, r *meter.Registry) *spending.Planner { return spending.New(v, r) },
		newChain,
		newModelsChain,
		newWriter,
		newUsageKeeper,
		newTargets,
		fleet.NewPlan,
		newCapacityDuties,
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

func newPlatform(s settings.Settings, network netx.Network) *httpapi.Client {
	return httpapi.New(s.PlatformURL, netx.HTTP1Client(network))
}

func newChain(s settings.Settings, registry *meter.Registry, c *configview.View, view *fleet.View, d *dispatch.Dispatcher, marks *crashmarks.Filter, claims *claim.Filter, book *spending.Planner) *pipeline.Chain {
	chooser := choose.New(view, s.DataCentre)
	return pipeline.New(registry, render.Refusal,
		accept.New(),
		authenticate.New(c),
		receive.New(s.MaxBodyBytes, time.Duration(s.BodyTime)),
		match.New(time.Duration(s.Deadline)),
		marks,
		admit.New(s.Policy, view, chooser, book),
		claims,
		relay.New(s.Instance, chooser, d, marks, registry),
	)
}

// Ready reports whether the entry serves callers.
func (e *Entry) Ready() bool {
	return !e.State.draining.Load() && e.Config.Current() != nil
}

// Listeners are the entry's two addresses.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener // Nil when no other entry may call.
}

// Listen opens both addresses.
func (e *Entry) Listen() (Listeners, error) {
	callersListener, err := e.Network.Listen(e.Settings.Listen)
	if err != nil {
		return Listeners{}, err
	}
	operators, err := e.Network.Listen(e.Settings.OperatorListen)
	if err != nil {
		return Listeners{}, errors.Join(err, callersListener.Close())
	}
	peers, err := e.listenPeers()
	if err != nil {
		return Listeners{}, errors.Join(err, callersListener.Close(), operators.Close())
	}
	return Listeners{Callers: callersListener, Operators: operators, Peers: peers}, nil
}

// Serve runs the entry until ctx ends, then drains: it is not ready first,
// finishes the requests it has, and then stops.
func (e *Entry) Serve(ctx context.Context, listeners Listeners) error {
	dutyContext, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	duties := e.startDuties(dutyContext)
	api := operator.New(e.Config, e.Meter, e.Access, e.Ready)
	e.mountObserve(api)
	api.WithRequests(e.Claims, e.Crashes)
	callersServer := netx.Server(stall.Handler(e.announceLeaving(callers.Handler(e.Chain, e.Models))))
	operatorServer := netx.Server(api.Handler())
	peerServer := e.peerServer()
	defer peerServer.Close()
	failed := make(chan error, 3)
	go func() { failed <- callersServer.Serve(listeners.Callers) }()
	go func() { failed <- operatorServer.Serve(listeners.Operators) }()
	if listeners.Peers != nil {
		go func() { failed <- e.servePeers(peerServer, listeners.Peers) }()
	}
	log.Info("The entry serves.", "listen", listeners.Callers.Addr().String())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	e.State.draining.Store(true)
	err := e.drain(callersServer)
	stopDuties()
	duties.Wait()
	return errors.Join(err, operatorServer.Close())
}

// announceLeaving tells callers on kept connections to open another one, which
// the balancer sends to another entry, once this entry is leaving.
func (e *Entry) announceLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.State.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain serves on until the balancer has seen that the entry is not ready, then
// takes no more connections and finishes the requests it has.
func (e *Entry) drain(server *http.Server) error {
	log.Info("The entry drains.")
	time.Sleep(time.Duration(e.Settings.AnnounceTime))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.Settings.DrainTime))
	defer cancel()
	return server.Shutdown(ctx)
}

func (e *Entry) startDuties(ctx context.Context) *sync.WaitGroup {
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){e.Config.Run, e.Fleet.Run, e.Writer.Run, e.Lease.Run, e.Sealer.Run, e.Capacity.Run, e.Crashes.Run, e.Finisher.Run, e.Claims.Run} {
		duties.Add(1)
		go func() {
			defer duties.Done()
			duty(ctx)
		}()
	}
	duties.Go(func() { e.Spending.Run(ctx) })
	return &duties
}
