package soak_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

var (
	seedCount    = flag.Int("soak.seeds", 2, "number of seeds to run")
	firstSeed    = flag.Int64("soak.first", 1, "first seed")
	faultSeconds = flag.Int("soak.seconds", 8, "seconds for which faults are injected")
)

// Bounds of the checks.
const (
	// recoveryTimeout bounds the time from the last fault until every process
	// serves requests again.
	recoveryTimeout = 15 * time.Second
	// recoveryWait is the time after the last fault from which the normal
	// propagation times apply again.
	recoveryWait = 3 * time.Second
	// propagationWait is the time within which processes apply a change in the
	// store when there are no faults.
	propagationWait = 3 * time.Second
	callerCount     = 8
	// callerTimeout bounds the time in which a caller expects the complete response.
	callerTimeout = 6 * time.Second
)

// regressionSeeds are seeds that found a defect. They run every time.
var regressionSeeds = []int64{
	214, // The response to a configuration long poll was lost and the next poll came 11 s later.
	// All decode engines stated a rate limit, and the prefill engine was to take their place.
	7101, 7103, 7104,
	// A process that registered late was not added to the list of processes again.
	8149,
}

func TestSoak(t *testing.T) {
	binary := buildBinary(t)
	summary := newReport()
	defer func() { t.Log(summary) }()
	for _, seed := range regressionSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSeed(t, binary, seed, summary) })
	}
	for i := range int64(*seedCount) {
		seed := *firstSeed + i
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSeed(t, binary, seed, summary) })
	}
}

func runSeed(t *testing.T, binary string, seed int64, summary *report) {
	h := newHarness(t, binary, seed, processCount)
	h.report = summary
	h.waitUntilServing("start")
	c := h.newCallers()
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(*faultSeconds)*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() { c.sendRequests(ctx, rand.New(rand.NewPCG(uint64(seed), uint64(i)))) })
	}
	callers.Go(func() { h.stateLimits(ctx, rand.New(rand.NewPCG(uint64(seed), 2000))) })
	callers.Go(func() { h.restoreStore(ctx, rand.New(rand.NewPCG(uint64(seed), 3000))) })
	h.injectFaults(ctx, rand.New(rand.NewPCG(uint64(seed), 1000)))
	callers.Wait()
	h.faultsEnded.Store(true)
	h.waitUntilServing("the last fault")
	time.Sleep(recoveryWait)
	h.checkKeyRotation()
	h.checkRateLimits(float64(2 + seed%8))
	h.checkEndpointDrain()
	time.Sleep(500 * time.Millisecond) // Lets the runs of disconnected callers end.
	c.checkResults(t)
	h.checkUsage(t)
	t.Logf("seed %d: %d requests, %d complete responses; logs in %s", seed, len(c.results), c.complete.Load(), h.logDir)
	require.Positive(t, c.complete.Load())
	summary.addSeed(len(c.results), int(c.complete.Load()))
}

// waitUntilServing waits until every process is ready and answers a request.
func (h *harness) waitUntilServing(event string) {
	h.t.Helper()
	c := h.newCallers()
	for _, p := range h.processes {
		require.Eventually(h.t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if !p.ready(ctx) {
				return false
			}
			return c.send(ctx, http.DefaultClient, p, "many", h.currentKey()).status == http.StatusOK
		}, recoveryTimeout, 50*time.Millisecond, "a process does not serve requests after %s; logs in %s", event, h.logDir)
	}
}

func (h *harness) currentKey() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keys[len(h.keys)-1]
}

// checkKeyRotation replaces the key while there are no faults and requires that
// every process rejects the old key and accepts the new one after propagationWait.
func (h *harness) checkKeyRotation() {
	withdrawn := h.currentKey()
	h.mu.Lock()
	h.keys = []string{withdrawn + "x"}
	h.mu.Unlock()
	h.writeConfiguration()
	time.Sleep(propagationWait)
	c := h.newCallers()
	for _, p := range h.processes {
		got := c.send(context.Background(), http.DefaultClient, p, "many", withdrawn)
		require.Equal(h.t, http.StatusUnauthorized, got.status, "a withdrawn key is accepted at %s; logs in %s", p.vm.SettingsPath, h.logDir)
		got = c.send(context.Background(), http.DefaultClient, p, "many", h.currentKey())
		require.Equal(h.t, http.StatusOK, got.status, "a valid key is rejected at %s; logs in %s", p.vm.SettingsPath, h.logDir)
	}
}

// checkEndpointDrain marks an endpoint as draining while there are no faults and
// requires that no request reaches it after propagationWait.
func (h *harness) checkEndpointDrain() {
	draining := h.endpoints[0]
	h.writeEndpointRow(draining, "draining")
	time.Sleep(propagationWait)
	before := draining.totalRuns()
	c := h.newCallers()
	for _, p := range h.processes {
		for range 8 {
			c.send(context.Background(), http.DefaultClient, p, "many", h.currentKey())
		}
	}
	require.Equal(h.t, before, draining.totalRuns(), "requests reach a draining endpoint; logs in %s", h.logDir)
}

// injectFaults starts random faults, which may overlap, until ctx ends, and waits
// until all of them have ended.
func (h *harness) injectFaults(ctx context.Context, random *rand.Rand) {
	var faults sync.WaitGroup
	for ctx.Err() == nil {
		duration := time.Duration(100+random.IntN(1800)) * time.Millisecond
		kind, fault := h.randomFault(random)
		h.report.addFault(kind)
		faults.Go(func() { fault(duration) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+random.IntN(500)) * time.Millisecond):
		}
	}
	faults.Wait()
}

// randomFault returns the kind of a fault and a function that applies the fault
// for a duration and then clears it.
func (h *harness) randomFault(random *rand.Rand) (string, func(time.Duration)) {
	p := h.processes[random.IntN(len(h.processes))]
	target := h.endpoints[random.IntN(len(h.endpoints))]
	linkMode := proxyMode(1 + random.IntN(int(proxyModeCount)-1))
	switch random.IntN(9) {
	case 0, 1:
		return "endpoint link " + linkMode.String(), func(d time.Duration) { setModeFor(target.proxy, linkMode, d) }
	case 2, 3:
		return "store link " + linkMode.String(), func(d time.Duration) { setModeFor(p.storeProxy, linkMode, d) }
	case 4:
		return "process paused", func(d time.Duration) {
			p.signal(syscall.SIGSTOP)
			time.Sleep(d)
			p.signal(syscall.SIGCONT)
		}
	case 5:
		return "process killed", func(time.Duration) { h.restart(p, syscall.SIGKILL) }
	case 6:
		return "process stopped", func(time.Duration) { h.restart(p, syscall.SIGTERM) }
	case 7:
		return "configuration changed", func(time.Duration) { h.writeConfiguration() }
	default:
		return "store down or responses lost", func(d time.Duration) {
			h.store.LoseResponses(2)
			h.store.SetDown(d > time.Second)
			time.Sleep(d / 2)
			h.store.SetDown(false)
		}
	}
}

func setModeFor(p *proxy, m proxyMode, d time.Duration) {
	p.setMode(m)
	time.Sleep(d)
	p.setMode(passThrough)
}

func (h *harness) restart(p *process, s syscall.Signal) {
	if !p.restarting.TryLock() {
		return // Another fault restarts it already.
	}
	defer p.restarting.Unlock()
	p.signal(syscall.SIGCONT) // A stopped process does not handle SIGTERM.
	p.terminate(s)
	h.startProcess(p)
}

// requestResult is what the caller of one request observed.
type requestResult struct {
	route    string
	status   int
	complete bool
	body     string
	seal     string
}

// callerGroup sends requests under IDs of its own and records their results.
type callerGroup struct {
	harness  *harness
	groupID  int
	lastID   atomic.Int64
	complete atomic.Int64

	mu      sync.Mutex
	results map[string]requestResult
}

func (c *callerGroup) sendRequests(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	routeNames := []string{"many", "once", "once", "resumed", "stream"}
	for ctx.Err() == nil {
		p := c.harness.processes[random.IntN(len(c.harness.processes))]
		timeout := callerTimeout
		if random.IntN(12) == 0 {
			timeout = time.Duration(random.IntN(40)) * time.Millisecond // The caller disconnects early.
		}
		callCtx, cancel := context.WithTimeout(context.Background(), timeout)
		c.send(callCtx, client, p, routeNames[random.IntN(len(routeNames))], c.harness.currentKey())
		cancel()
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

func (c *callerGroup) send(ctx context.Context, client *http.Client, p *process, route, key string) requestResult {
	id := fmt.Sprintf("%s-%d-%d", route, c.groupID, c.lastID.Add(1))
	got := requestResult{route: route}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.vm.CallerAddress+"/"+route+"/x", strings.NewReader("body"))
	if err != nil {
		return got
	}
	request.Host = "h.example"
	request.Header.Set(sitetest.HeaderRequestID, id)
	request.Header.Set(sitetest.HeaderAPIKey, key)
	request.Header.Set(sitetest.HeaderTokenCount, "400,20")
	request.Header.Set(sitetest.HeaderPromptPrefix, "aa:200,"+id+":200")
	request.Header.Set(sitetest.HeaderDeadline, "3000")
	response, err := client.Do(request)
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		got.status, got.complete, got.body, got.seal = response.StatusCode, readErr == nil, string(body), response.Header.Get(sitetest.HeaderEngineSeal)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[id] = got
	if got.status == http.StatusOK && got.complete {
		c.complete.Add(1)
	}
	return got
}

// checkResults compares what callers observed with what endpoints ran.
func (c *callerGroup) checkResults(t *testing.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wantStream := ""
	for id := 1; id <= eventsPerStream; id++ {
		wantStream += fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	}
	for id, got := range c.results {
		runs := c.runCount(id)
		if got.route == "once" || got.route == "stream" {
			require.LessOrEqual(t, runs, 1, "non-idempotent request %s ran %d times", id, runs)
		}
		if got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests {
			require.Zero(t, runs, "request %s ran although its response says that it did not", id)
		}
		if got.status != http.StatusOK {
			require.Empty(t, got.seal, "request %s: an error response carries a seal", id)
			continue
		}
		require.NotEmpty(t, got.seal, "request %s: a response without a seal", id)
		if !got.complete {
			continue
		}
		if got.route == "many" || got.route == "once" {
			require.Equal(t, "of "+id, got.body)
			continue
		}
		require.Equal(t, wantStream, got.body, "request %s: the stream is incomplete or out of order", id)
	}
	for _, e := range c.harness.endpoints {
		for _, arrival := range e.Requests() {
			require.Empty(t, arrival.Header.Get(sitetest.HeaderAPIKey), "a key reached an endpoint")
			require.Equal(t, "team", arrival.Header.Get(sitetest.HeaderTeam))
		}
	}
}

func (c *callerGroup) runCount(id string) int {
	runs := 0
	for _, e := range c.harness.endpoints {
		e.mu.Lock()
		runs += e.runs[id]
		e.mu.Unlock()
	}
	return runs
}

// checkUsage requires that no window was reported with different counts, that no
// two processes used the same fencing token, and that no run was counted twice.
// Counts of a process that was killed may be missing.
func (h *harness) checkUsage(t *testing.T) {
	countsByWindow := make(map[int64]map[string]int64)
	holderByToken := make(map[string]string)
	for _, report := range h.dutyServer.Reports() {
		if previousCounts, ok := countsByWindow[report.Window]; ok {
			require.Equal(t, previousCounts, report.Counts, "window %d was reported with different counts", report.Window)
		}
		countsByWindow[report.Window] = report.Counts
		if previousHolder, ok := holderByToken[report.FencingToken]; ok {
			require.Equal(t, previousHolder, report.Holder, "two processes used the fencing token %s", report.FencingToken)
		}
		holderByToken[report.FencingToken] = report.Holder
	}
	reported, runs := 0, 0
	for _, counts := range countsByWindow {
		reported += int(counts["team"])
	}
	for _, e := range h.endpoints {
		runs += e.totalRuns()
	}
	require.Positive(t, reported)
	require.LessOrEqual(t, reported, runs, "more runs were reported than endpoints ran")
}
