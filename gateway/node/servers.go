package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"flamingospar.org/gateway/callermemory"
	"flamingospar.org/gateway/ingress"
	"flamingospar.org/gateway/relay"
)

type servers struct {
	callers        *http.Server
	callerListener *ingress.Listener
	internal       *http.Server
}

// drainInterval is the time between two checks whether all connections are closed.
const drainInterval = 20 * time.Millisecond

// errStillRunning is returned when requests were not finished within the stop grace period.
var errStillRunning = errors.New("requests are still running at the end of the stop grace period; remedy: lengthen the period if requests may take longer")

// awaitDrained waits until all connections of callers are closed. At the deadline it closes those
// that are left. http.Server.Shutdown would drop requests that it finishes reading later, and
// those of which it has read nothing yet.
func (s servers) awaitDrained(deadline time.Time) error {
	for time.Now().Before(deadline) {
		if s.callerListener.Drained() {
			return nil
		}
		time.Sleep(drainInterval)
	}
	_ = s.callers.Close() // The connections end with the process in any case.
	return errStillRunning
}

// openServers listens on all addresses of the process and serves them.
func (n *Node) openServers(ctx context.Context) (servers, error) {
	callers, err := listen(ctx, n.settings.CallerAddress)
	if err != nil {
		return servers{}, fmt.Errorf("%w; remedy: free the address for callers that the settings name", err)
	}
	ready, err := listen(ctx, n.settings.ReadyAddress)
	if err != nil {
		return servers{}, fmt.Errorf("%w; remedy: free the readiness address that the settings name", err)
	}
	control, err := listen(ctx, n.settings.ControlAddress)
	if err != nil {
		return servers{}, fmt.Errorf("%w; remedy: free the control address that the settings name", err)
	}
	handler := &ingress.Handler{
		Started: time.Now(), Config: n.config, Meter: n.meter, Crashes: n.crashTracker, Quotas: n.quotas, Stopping: n.stopGate,
		Log:   &ingress.RequestLog{Endpoints: n.endpointsState},
		Relay: n.newRelay(),
	}
	s := servers{callers: newServer(handler), callerListener: n.bounded(callers, callermemory.Callers), internal: newServer(n.internalHandler())}
	serveOn(s.callers, s.callerListener)
	serveOn(s.internal, n.bounded(ready, callermemory.Ready))
	serveOn(s.internal, n.bounded(control, callermemory.Control))
	if n.options.MetricsPort > 0 {
		n.listenMetrics(ctx, s.internal)
	}
	return s, nil
}

// newRelay returns the relay of callers' requests.
func (n *Node) newRelay() *relay.Relay {
	return &relay.Relay{
		Pool: n.pool, Selector: n.selector, Limits: n.limiter, Meter: n.meter, RetryBudgets: n.retryBudgets,
		Shares: n.shares, Crashes: n.crashTracker, Versions: n.versions, Stopping: n.stopGate,
		ListIsCurrent: n.fleetIsCurrent, MaxIdleConns: n.maxIdleConns,
		OnRunStart: n.tally.CountStart, OnPrefillDone: n.recordPrefillTime,
	}
}

// bounded returns a listener whose connections hold no more than a budget.
func (n *Node) bounded(listener net.Listener, name callermemory.Listener) *ingress.Listener {
	bounded := ingress.NewListener(listener)
	bounded.Memory = n.heldMemory[name]
	return bounded
}

// listenMetrics serves metrics on a separate port. If that fails, the process
// still serves callers.
func (n *Node) listenMetrics(ctx context.Context, server *http.Server) {
	address := net.JoinHostPort(n.settings.IP, strconv.Itoa(n.options.MetricsPort))
	listener, err := listen(ctx, address)
	if err != nil {
		log.Error(err, "Metrics are not served.", "address", address)
		return
	}
	serveOn(server, n.bounded(listener, callermemory.Metrics))
}

func serveOn(server *http.Server, listener net.Listener) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error(err, "A server stopped unexpectedly.", "address", listener.Addr().String())
		}
	}()
}
