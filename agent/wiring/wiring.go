// Package wiring builds an agent from its settings.
package wiring

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/dig"

	"flamingospar.org/agent/account"
	"flamingospar.org/agent/crashmarks"
	"flamingospar.org/agent/dedup"
	"flamingospar.org/agent/execute"
	"flamingospar.org/agent/explain"
	"flamingospar.org/agent/gate"
	"flamingospar.org/agent/orders"
	"flamingospar.org/agent/pipeline"
	"flamingospar.org/agent/queue"
	"flamingospar.org/agent/server"
	"flamingospar.org/agent/settings"
	"flamingospar.org/agent/status"
	"flamingospar.org/base/logging"
	"flamingospar.org/base/meter"
	"flamingospar.org/base/netx"
	"flamingospar.org/base/tlsfiles"
	"flamingospar.org/platform/engine"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

// modelKind is the endpoint kind of an engine.
const modelKind = "model"

const (
	// loadTimeout bounds the call that reads the engine's loaded model at start.
	loadTimeout = 5 * time.Second
	// shutdownTimeout bounds the HTTP server's shutdown after all runs have ended.
	shutdownTimeout = 5 * time.Second
)

var log = logging.For("agent")

// Agent is an agent process with all its components.
type Agent struct {
	settings   settings.Settings
	network    netx.Network
	server     *server.Server
	status     *status.Status
	meter      *meter.Registry
	tls        *tlsfiles.Source // Nil without TLS.
	marks      *crashmarks.Filter
	health     *execute.HealthChecker
	usage      usageServices
	reconciler *orders.Reconciler
	gate       *gate.Gate
}

// Build constructs an agent from its settings.
func Build(s settings.Settings, network netx.Network) (*Agent, error) {
	container := dig.New()
	providers := []any{
		func() settings.Settings { return s },
		func() netx.Network { return network },
		meter.NewRegistry,
		newProcessID,
		newGate,
		newReconciler,
		dedup.New,
		newUsageLedger,
		newUsageWriter,
		account.NewService,
		newJournal,
		newObserver,
		explain.NewService,
		newQueue,
		crashmarks.New,
		newCrashDetector,
		newHealthChecker,
		newExecutor,
		newStatus,
		newChain,
		newTLS,
		server.New,
		newAgent,
	}
	for _, provider := range providers {
		if err := container.Provide(provider); err != nil {
			return nil, err
		}
	}
	var agent *Agent
	err := container.Invoke(func(a *Agent, chain *pipeline.Chain) {
		agent = a
		declareCounters(a.meter, chain)
	})
	return agent, dig.RootCause(err)
}

func newQueue(s settings.Settings) *queue.Queue {
	return queue.New(s.GateSettings())
}

func newStatus(s settings.Settings, network netx.Network, q *queue.Queue) *status.Status {
	identity := status.Identity{Endpoint: s.Endpoint, DataCentre: s.DataCentre, Instance: s.Instance, Kind: s.EndpointKind}
	return status.New(identity, q, loadedModel(s, network))
}

// loadedModel returns the model that the engine has loaded at start.
func loadedModel(s settings.Settings, network netx.Network) string {
	if s.EndpointKind != modelKind {
		return ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	load, err := engine.NewClient(s.EndpointURL, netx.HTTP1Client(network)).Load(ctx)
	if err != nil {
		log.Error(err, "The engine did not report its loaded model.", "endpoint", s.Endpoint)
	}
	return load.Model
}

func newChain(registry *meter.Registry, executor pipeline.Executor, g *gate.Gate, dedupFilter *dedup.Filter, marks *crashmarks.Filter, q *queue.Queue, u *account.Ledger, observer *explain.Observer) *pipeline.Chain {
	chain := pipeline.New(registry, executor, g.Arrival(), dedupFilter, u, marks, q, g.Departure())
	chain.SetObserver(observer)
	return chain
}

func newAgent(s settings.Settings, network netx.Network, srv *server.Server, st *status.Status, registry *meter.Registry, usage usageServices, source *tlsfiles.Source, reconciler *orders.Reconciler, g *gate.Gate, marks *crashmarks.Filter, health *execute.HealthChecker) *Agent {
	return &Agent{settings: s, network: network, server: srv, status: st, meter: registry, tls: source, usage: usage, reconciler: reconciler, gate: g, marks: marks, health: health}
}

// Meter returns the agent's metrics.
func (a *Agent) Meter() *meter.Registry { return a.meter }

// Listen opens the listener for entries.
func (a *Agent) Listen() (net.Listener, error) { return a.network.Listen(a.settings.Listen) }

// Serve accepts runs on listener until ctx ends, then drains: it announces the
// drain, withdraws queued runs, finishes the active ones and keeps listening until
// the entries have had time to learn of the drain.
func (a *Agent) Serve(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(a.server.Handler())
	mux.Handle(wirev1connect.NewCrashMarkServiceHandler(a.marks))
	mux.Handle(a.usage.Service.Handler())
	mux.Handle(a.usage.Observe.Handler())
	mux.HandleFunc("GET /metrics", a.meter.ServeText)
	healthContext, stopHealth := context.WithCancel(context.WithoutCancel(ctx))
	defer stopHealth()
	go a.health.Run(healthContext)
	stopUsage := a.usage.start()
	defer stopUsage()
	httpServer := netx.Server(mux)
	failed := make(chan error, 1)
	go func() { failed <- a.serveConnections(httpServer, listener) }()
	stopReconciler := a.startReconciler()
	defer stopReconciler()
	log.Info("The agent is serving.", "endpoint", a.settings.Endpoint, "listen", listener.Addr().String())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	a.drain()
	return a.shutdown(httpServer)
}

func (a *Agent) drain() {
	a.status.SetDraining()
	announceTimer := time.NewTimer(time.Duration(a.settings.AnnounceTime))
	defer announceTimer.Stop()
	log.Info("The agent is draining.", "endpoint", a.settings.Endpoint, "handed_over", a.server.WithdrawQueued())
	a.server.Wait()
	<-announceTimer.C
	a.server.Wait()
}

func (a *Agent) shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}
