package capacity

import (
	"context"
	"net/http"
	"sync/atomic"

	"connectrpc.com/connect"

	agentsettings "flamingospar.org/agent/settings"
	agentwiring "flamingospar.org/agent/wiring"
	"flamingospar.org/base/netx"
	"flamingospar.org/core/config"
	"flamingospar.org/entry/configview"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/platform/httpapi"
	"flamingospar.org/standin/plain"
	"flamingospar.org/standin/platform"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

// wireMeasurements returns the measurements of calls over TCP on loopback. Byte
// counts include HTTP headers but not TCP and IP headers.
func wireMeasurements() []measurement {
	return []measurement{
		{"status_call", Bytes, "a status call of an entry to an agent, both ways", func() (float64, error) {
			return measureAgent(func(counted *atomic.Int64, call func() error) (float64, error) { return bytesPerCall(counted, call) })
		}},
		{"status_call_cpu", Microseconds, "a status call, entry and agent together", func() (float64, error) {
			return measureAgent(func(_ *atomic.Int64, call func() error) (float64, error) { return cpuPerCallOrError(call) })
		}},
		{"config_poll", Bytes, "a look at the configuration's head, both ways", func() (float64, error) {
			return measurePlatform(pollConfig, bytesPerCall)
		}},
		{"config_poll_cpu", Microseconds, "a look at the configuration's head, platform included", func() (float64, error) {
			return measurePlatform(pollConfig, func(_ *atomic.Int64, call func() error) (float64, error) { return cpuPerCallOrError(call) })
		}},
		{"lease_step", Bytes, "a renewal of a lease, both ways", func() (float64, error) {
			return measurePlatform(renewLease, bytesPerCall)
		}},
		{"lease_step_cpu", Microseconds, "a renewal of a lease, platform included", func() (float64, error) {
			return measurePlatform(renewLease, func(_ *atomic.Int64, call func() error) (float64, error) { return cpuPerCallOrError(call) })
		}},
	}
}

type measureFunc func(counted *atomic.Int64, call func() error) (float64, error)

func cpuPerCallOrError(call func() error) (float64, error) {
	var lastErr error
	micros := cpuPerCall(func() {
		if err := call(); err != nil {
			lastErr = err
		}
	})
	return micros, lastErr
}

// measureAgent measures status calls to a real agent of a stand-in service.
func measureAgent(measure measureFunc) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	service, stopService, err := serveLoopback(plain.New("status"))
	if err != nil {
		return 0, err
	}
	defer stopService()
	store, stopStore, err := serveLoopback(platform.New().Handler())
	if err != nil {
		return 0, err
	}
	defer stopStore()
	address, err := startAgent(ctx, service, store)
	if err != nil {
		return 0, err
	}
	counted := new(atomic.Int64)
	client := netx.HTTP2Client(countingNetwork{bytes: counted})
	defer client.CloseIdleConnections()
	agent := wirev1connect.NewAgentServiceClient(client, "http://"+address, connect.WithGRPC())
	return measure(counted, func() error {
		_, err := agent.Status(ctx, connect.NewRequest(&wirev1.StatusRequest{
			EntryInstance: "00000000-0000-0000-0000-000000000000",
			Revision:      100_000,
			AgentRevision: 100_000,
			News:          &wirev1.ConfigNews{Revision: 100_000, Complete: true},
		}))
		return err
	})
}

func agentSettings(service, store string) (agentsettings.Settings, error) {
	return agentsettings.Settings{
		DataCentre:   "a",
		Listen:       "127.0.0.1:0",
		Endpoint:     "status-1",
		EndpointURL:  "http://" + service,
		EndpointKind: "status",
		PlatformURL:  "http://" + store,
		Running:      agentsettings.DefaultRunning,
		Waiting:      agentsettings.DefaultWaiting,
	}.Checked()
}

func startAgent(ctx context.Context, service, store string) (string, error) {
	settings, err := agentSettings(service, store)
	if err != nil {
		return "", err
	}
	agent, err := agentwiring.Build(settings, netx.TCP{})
	if err != nil {
		return "", err
	}
	listener, err := agent.Listen()
	if err != nil {
		return "", err
	}
	go func() { _ = agent.Serve(ctx, listener) }()
	return listener.Addr().String(), nil
}

// measurePlatform measures a periodic step of an entry against the stand-in
// platform over HTTP.
func measurePlatform(newStep func(*httpapi.Client) (func() error, error), measure measureFunc) (float64, error) {
	address, stop, err := serveLoopback(platform.New().Handler())
	if err != nil {
		return 0, err
	}
	defer stop()
	counted := new(atomic.Int64)
	client := netx.HTTP1Client(countingNetwork{bytes: counted})
	defer client.CloseIdleConnections()
	step, err := newStep(newPlatformClient(address, client))
	if err != nil {
		return 0, err
	}
	return measure(counted, step)
}

func newPlatformClient(address string, client *http.Client) *httpapi.Client {
	return httpapi.New("http://"+address, client)
}

func pollConfig(client *httpapi.Client) (func() error, error) {
	view := configview.New(client, configview.Options{Instance: "entry"})
	_, err := view.Write(context.Background(), 0, config.Change{Operator: "operator", IssueKey: &config.Key{ID: "key", Team: "team", Hash: config.HashKey("key")}})
	return func() error { return view.CatchUp(context.Background()) }, err
}

func renewLease(client *httpapi.Client) (func() error, error) {
	keeper := leasekeeper.New(client, "usage", "00000000-0000-0000-0000-000000000000")
	return func() error {
		keeper.Step(context.Background())
		if _, held := keeper.Held(); !held {
			return errLeaseNotGranted
		}
		return nil
	}, nil
}
