package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/node"
	"flamingospar.org/platform/site/sitetest"
)

// Bounds of the rate limit of an endpoint: from limitNoticeTime after it first states a
// limit, it gets at most limitTolerance times as much and limitAllowance requests more
// within any limitWindow.
const (
	limitNoticeTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitTolerance  = 1.5
	limitAllowance  = 5
)

// minLimitUse is the share of the limits that must be used while callers are refused.
const minLimitUse = 0.7

func mostAllowed(limit float64) int {
	return int(limitTolerance*limit*limitWindow.Seconds()) + limitAllowance
}

// limitedFleet is a fleet of entry processes before endpoints that state limits.
type limitedFleet struct {
	*harness
	processes []*entryProcess
	clock     *simulatedClock // Of rate limits; nil for the wall clock.
	loads     []*steadyLoad
	limited   []*sitetest.RateLimited
	served    atomic.Int64
	refused   atomic.Int64
	// slowest is the time of the slowest refusal in ms. It is only logged: on a busy
	// machine callers wait for a processor. gateway/relay and gateway/limits test in
	// simulated time that a refusal waits for nothing.
	slowest atomic.Int64
}

type entryProcess struct {
	vm   sitetest.VM
	stop context.CancelFunc
	done chan error
}

func newLimitedFleet(t *testing.T, processes int) *limitedFleet {
	return (&limitedFleet{harness: newFakes(t)}).start(processes)
}

// newSimulatedFleet returns a fleet that keeps to rate limits by a simulated clock.
func newSimulatedFleet(t *testing.T, processes int) *limitedFleet {
	return (&limitedFleet{harness: newFakes(t), clock: newSimulatedClock()}).start(processes)
}

func (f *limitedFleet) start(processes int) *limitedFleet {
	for range processes {
		f.startProcess()
	}
	return f
}

// startProcess starts another entry process and waits until it is ready.
func (f *limitedFleet) startProcess() *entryProcess {
	f.t.Helper()
	return f.startProcessAt(f.store.Address)
}

// startProcessAt is startProcess with another address of the store.
func (f *limitedFleet) startProcessAt(store string) *entryProcess {
	f.t.Helper()
	name := fmt.Sprintf("vm-%d", len(f.processes))
	p := &entryProcess{vm: sitetest.NewVM(f.t, name, "dc", store, f.duties.Address), done: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	options := node.Options{SettingsPath: p.vm.SettingsPath}
	if f.clock != nil {
		options.Now = f.clock.Now
	}
	go func() { p.done <- node.Run(ctx, options) }()
	f.t.Cleanup(func() {
		cancel()
		<-p.done
	})
	f.processes = append(f.processes, p)
	f.awaitReady(p.vm, p.done)
	return p
}

// addLimited adds an endpoint that states a limit.
func (f *limitedFleet) addLimited(service, stage string, limit float64, next func(http.ResponseWriter, *http.Request)) *sitetest.RateLimited {
	r := sitetest.NewRateLimited(limit, next)
	r.Now = f.clock.Now
	e := sitetest.NewEndpoint(f.t, fmt.Sprintf("%s%s-%d", service, stage, len(f.limited)), r.Serve)
	f.register(e, service, stage)
	f.limited = append(f.limited, r)
	return r
}

func (f *limitedFleet) call(p *entryProcess, path string) {
	one := harness{t: f.t, vm: p.vm}
	one.ids.Store(f.ids.Add(1) * 1_000_000)
	start := time.Now()
	got := one.send(http.MethodPost, path, "key", func(r *http.Request) {
		if path == modelPath { // Long enough for a prefill on another engine.
			r.Header.Set(sitetest.HeaderTokenCount, "4000,20")
			r.Header.Set(sitetest.HeaderPromptPrefix, fmt.Sprintf("aa:10,%d:3990", one.ids.Load()))
		}
	})
	switch {
	case got.err == nil && got.status == http.StatusOK:
		f.served.Add(1)
	case got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "":
		f.refused.Add(1)
		for took := time.Since(start).Milliseconds(); ; {
			slowest := f.slowest.Load()
			if took <= slowest || f.slowest.CompareAndSwap(slowest, took) {
				return
			}
		}
	}
}

// waitUntilAllServe waits until each process has read the endpoints.
func (f *limitedFleet) waitUntilAllServe(path string) {
	for _, p := range f.processes {
		one := harness{t: f.t, vm: p.vm}
		one.waitUntilServing(path)
	}
}

// requireKept requires that an endpoint got no more than its limit allows since a
// moment, and that its limit was used if callers were refused.
func (f *limitedFleet) requireKept(r *sitetest.RateLimited, limit float64, since time.Time) {
	f.t.Helper()
	arrivals := r.Arrivals(since)
	elapsed := f.clock.Now().Sub(since).Seconds()
	f.t.Logf("%d requests in %.1f s at a limit of %g a second, %d in the worst %s", len(arrivals), elapsed, limit, sitetest.MostWithin(limitWindow, arrivals), limitWindow)
	require.LessOrEqual(f.t, sitetest.MostWithin(limitWindow, arrivals), mostAllowed(limit), "an endpoint that stated a limit of %g a second got more", limit)
	if f.refused.Load() > 0 {
		require.GreaterOrEqual(f.t, float64(len(arrivals)), minLimitUse*limit*elapsed, "callers were refused while an endpoint would have taken them")
	}
}

// An endpoint in need states how many requests a second it accepts, and all processes
// together send it far more: each ignores the limit, or keeps to it alone, or only for
// first attempts.
func TestRateLimitOfAnEndpointIsKeptByAllProcessesTogether(t *testing.T) {
	const limit = 4.0
	events := sitetest.Events(3, 0)
	cases := map[string]struct {
		path string
		add  func(f *limitedFleet)
		load []float64 // Requests a second, by process.
	}{
		"one process": {plainPath, func(f *limitedFleet) { f.addLimited("plain", "", limit, nil) }, []float64{15}},
		"plain endpoints, all limited": {plainPath, func(f *limitedFleet) {
			f.addLimited("plain", "", limit, nil)
			f.addLimited("plain", "", limit, nil)
		}, []float64{12, 12, 12}},
		"requests that may not be repeated": {oncePath, func(f *limitedFleet) { f.addLimited("plain", "", limit, nil) }, []float64{8, 8, 8}},
		"only one of the processes has callers": {plainPath, func(f *limitedFleet) {
			f.addLimited("plain", "", limit, nil)
			f.addLimited("plain", "", limit, nil)
		}, []float64{20, 0, 0}},
		"failures and their retries": {plainPath, func(f *limitedFleet) {
			for range 2 {
				f.addLimited("plain", "", limit, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
			}
		}, []float64{10, 10, 10}},
		"refusals and their retries": {oncePath, func(f *limitedFleet) {
			for range 2 {
				f.addLimited("plain", "", limit, sitetest.NotRun)
			}
		}, []float64{10, 10, 10}},
		"streams": {streamPath, func(f *limitedFleet) {
			f.addLimited("model", "decode", limit, events)
			f.addLimited("model", "decode", limit, events)
		}, []float64{12, 12, 12}},
		"broken streams that go on elsewhere": {streamPath, func(f *limitedFleet) {
			f.addLimited("model", "decode", limit, sitetest.Events(6, 3))
			f.addLimited("model", "decode", limit, sitetest.Events(6, 5))
		}, []float64{10, 10, 10}},
		"prefill": {modelPath, func(f *limitedFleet) {
			f.addLimited("model", "prefill", limit, sitetest.WithPrefill("h", nil))
			f.register(sitetest.NewEndpoint(f.t, "d-1", events), "model", "decode")
		}, []float64{12, 12, 12}},
		"decode after prefill elsewhere": {modelPath, func(f *limitedFleet) {
			f.register(sitetest.NewEndpoint(f.t, "p-1", sitetest.WithPrefill("h", events)), "model", "prefill")
			f.addLimited("model", "decode", limit, events)
		}, []float64{12, 12, 12}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newSimulatedFleet(t, len(c.load))
			c.add(f)
			for i, perSecond := range c.load {
				f.load(f.processes[i], c.path, perSecond)
			}
			f.run(limitNoticeTime)
			since := f.clock.Now()
			f.refused.Store(0)
			f.slowest.Store(0)
			f.run(2 * limitWindow)
			for _, r := range f.limited {
				f.requireKept(r, limit, since)
			}
			t.Logf("%d served, %d refused, the slowest refusal after %d ms", f.served.Load(), f.refused.Load(), f.slowest.Load())
		})
	}
}

// A limit that is raised, lowered or ended holds with its new value, processes that end
// leave their share to the others, and processes that start keep to the limit too.
func TestRateLimitHoldsThroughChangesAndRestarts(t *testing.T) {
	const low, high = 3.0, 9.0
	const perSecond = 15.0
	f := newSimulatedFleet(t, 3)
	r := f.addLimited("plain", "", low, nil)
	for _, p := range f.processes {
		f.load(p, plainPath, perSecond)
	}

	phase := func(limit float64) {
		t.Helper()
		f.run(limitNoticeTime)
		since := f.clock.Now()
		f.run(limitWindow + time.Second)
		f.requireKept(r, limit, since)
	}
	phase(low)
	r.SetLimit(high)
	phase(high)
	r.SetLimit(low)
	phase(low)
	f.loads = f.loads[:2]
	f.processes[2].stop()
	phase(low)
	f.load(f.startProcess(), plainPath, perSecond)
	phase(low)
	r.SetLimit(0)
	f.run(limitNoticeTime)
	f.refused.Store(0)
	f.run(time.Second)
	require.Zero(t, f.refused.Load(), "the limit has ended")
}

// While other endpoints have room, a limit costs no caller an answer.
func TestRateLimitedEndpointIsSparedWhileOthersHaveRoom(t *testing.T) {
	const limit = 2.0
	f := newSimulatedFleet(t, 3)
	r := f.addLimited("plain", "", limit, nil)
	f.register(sitetest.NewEndpoint(t, "unlimited", nil), "plain", "")
	f.waitUntilAllServe(plainPath)
	for _, p := range f.processes {
		f.load(p, plainPath, 10)
	}
	f.run(limitNoticeTime)
	since := f.clock.Now()
	f.run(limitWindow + time.Second)
	f.requireKept(r, limit, since)
	require.Zero(t, f.refused.Load(), "another endpoint had room")
}
