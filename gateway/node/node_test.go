package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/node"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Paths of the configured routes.
const (
	plainPath  = "/plain/x?q=1"
	oncePath   = "/once/x"
	streamPath = "/stream/x"
	modelPath  = "/model/x"
)

// harness runs one entry process with fakes of all systems that it depends on.
type harness struct {
	t      *testing.T
	store  *sitetest.Store
	duties *sitetest.DutyServer
	vm     sitetest.VM
	stop   context.CancelFunc
	done   chan error
	ids    atomic.Int64
}

var routes = []sitetest.Route{
	{Name: "plain", Kind: "idempotent", Service: "plain"},
	{Name: "once", Kind: "non_idempotent", Service: "plain"},
	{Name: "stream", Kind: "stream", Service: "model", Resumable: true, CarriesPrompts: true},
	{Name: "model", Kind: "stream", Service: "model", CarriesPrompts: true},
}

func manifest(version int, key string) []byte {
	return sitetest.Manifest(version, []string{key}, routes...)
}

func newHarness(t *testing.T) *harness {
	h := newFakes(t)
	h.vm = sitetest.NewVM(t, "vm-"+strings.ReplaceAll(strings.ToLower(t.Name()), "/", "-"), "dc", h.store.Address, h.duties.Address)
	return h
}

// newFakes returns a harness without a VM to run a process on.
func newFakes(t *testing.T) *harness {
	t.Parallel()
	return newFakesAlone(t)
}

// newFakesAlone is newFakes for a test that runs while no other of the package does: it
// costs so much that it would change the times of others, its bounds are short beside the
// times for which processes wait for a processor, or it reads the log of the whole process.
func newFakesAlone(t *testing.T) *harness {
	h := &harness{t: t, store: sitetest.NewStore(t), duties: sitetest.NewDutyServer(t), done: make(chan error, 1)}
	h.store.PutRaw(site.TableOperator, site.KeyConfiguration, manifest(1, "key"))
	return h
}

// run starts the process and waits until it is ready.
func (h *harness) run() {
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() { h.done <- node.Run(ctx, node.Options{SettingsPath: h.vm.SettingsPath}) }()
	h.t.Cleanup(func() {
		cancel()
		<-h.done
	})
	h.awaitReady(h.vm, h.done)
}

// awaitReady waits until the process on vm is ready. done receives the error of a process
// that ends.
func (h *harness) awaitReady(vm sitetest.VM, done chan error) {
	h.t.Helper()
	var ended error
	h.eventually(func() bool {
		select {
		case ended = <-done:
			done <- ended // The cleanup receives it too.
			return true
		default:
			return h.status("http://"+vm.ReadyAddress+site.ReadyPath) == http.StatusOK
		}
	})
	require.NoError(h.t, ended, "the process ended at its start")
}

func (h *harness) eventually(ok func() bool) {
	h.t.Helper()
	require.Eventually(h.t, ok, 20*time.Second, 10*time.Millisecond)
}

// statusTimeout keeps a call that hangs from ending the wait for a condition.
const statusTimeout = 2 * time.Second

func (h *harness) status(url string) int {
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// register adds the row of an endpoint to the store.
func (h *harness) register(e *sitetest.Endpoint, service, stage string) {
	h.store.Put(site.TableEndpoints, e.ID, e.Row(service, "dc", "ready", stage))
}

type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func (h *harness) send(method, path, key string, change func(*http.Request)) result {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("the body")
	}
	request, err := http.NewRequest(method, "http://"+h.vm.CallerAddress+path, body)
	require.NoError(h.t, err)
	request.Host = "h.example"
	request.Header.Set(sitetest.HeaderRequestID, fmt.Sprintf("r%d", h.ids.Add(1)))
	request.Header.Set(sitetest.HeaderAPIKey, key)
	request.Header.Set(sitetest.HeaderTokenCount, "20,20")
	request.Header.Set(sitetest.HeaderPromptPrefix, "aa:10,bb:10")
	request.Header.Set(sitetest.HeaderDeadline, "1500")
	if change != nil {
		change(request)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// waitUntilServing waits until requests for a path reach an endpoint.
func (h *harness) waitUntilServing(path string) {
	h.eventually(func() bool { return h.send(http.MethodPost, path, "key", nil).status == http.StatusOK })
}

func TestRequestReachesAnEndpointUnchanged(t *testing.T) {
	h := newHarness(t)
	e := sitetest.NewEndpoint(t, "e1", nil)
	h.register(e, "plain", "")
	h.run()
	got := h.send(http.MethodPost, plainPath, "key", func(r *http.Request) {
		r.Header.Set(sitetest.HeaderTeam, "other")
		r.Header.Set(sitetest.HeaderStage, "prefill")
		r.Header.Set("X-Own", "kept")
	})
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "ok", got.body)
	require.Equal(t, "e1", got.header.Get(sitetest.HeaderEngineSeal))
	received := e.Requests()[0]
	require.Equal(t, plainPath, received.Target)
	require.Equal(t, "the body", received.Body)
	require.Equal(t, "team", received.Header.Get(sitetest.HeaderTeam))
	require.Equal(t, "kept", received.Header.Get("X-Own"))
	require.Empty(t, received.Header.Get(sitetest.HeaderAPIKey))
	require.Empty(t, received.Header.Get(sitetest.HeaderStage))
	require.NotEmpty(t, received.Header.Get(sitetest.HeaderDeadline))
}

func TestConfigurationUpdatesAreApplied(t *testing.T) {
	h := newHarness(t)
	h.register(sitetest.NewEndpoint(t, "e1", nil), "plain", "")
	h.run()
	h.waitUntilServing(plainPath)
	require.Equal(t, http.StatusUnauthorized, h.send(http.MethodPost, plainPath, "wrong", nil).status)
	require.Equal(t, http.StatusNotFound, h.send(http.MethodPost, "/none/x", "key", nil).status)

	h.store.PutRaw(site.TableOperator, site.KeyConfiguration, manifest(5, "next"))
	h.eventually(func() bool { return h.send(http.MethodPost, plainPath, "key", nil).status == http.StatusUnauthorized })
	require.Equal(t, http.StatusOK, h.send(http.MethodPost, plainPath, "next", nil).status)

	// Older versions and invalid configurations are ignored.
	h.store.PutRaw(site.TableOperator, site.KeyConfiguration, manifest(4, "key"))
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, http.StatusUnauthorized, h.send(http.MethodPost, plainPath, "key", nil).status)
	h.store.PutRaw(site.TableOperator, site.KeyConfiguration, []byte("nonsense"))
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, http.StatusUnauthorized, h.send(http.MethodPost, plainPath, "key", nil).status)
	require.Equal(t, http.StatusOK, h.send(http.MethodPost, plainPath, "next", nil).status)
}

func TestRequestsBeforeTheFirstConfigurationGet503(t *testing.T) {
	h := newHarness(t)
	h.store.SetDown(true)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { h.done <- node.Run(ctx, node.Options{SettingsPath: h.vm.SettingsPath}) }()
	defer func() {
		cancel()
		<-h.done
	}()
	h.eventually(func() bool {
		return h.status("http://"+h.vm.ReadyAddress+site.ReadyPath) == http.StatusServiceUnavailable
	})
	got := h.send(http.MethodPost, plainPath, "key", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	h.store.SetDown(false)
	h.eventually(func() bool { return h.status("http://"+h.vm.ReadyAddress+site.ReadyPath) == http.StatusOK })
}

func TestTruncatedResponseIsNeitherForwardedNorRetried(t *testing.T) {
	h := newHarness(t)
	e := sitetest.NewEndpoint(t, "e1", sitetest.TruncatedResponse)
	other := sitetest.NewEndpoint(t, "e2", sitetest.TruncatedResponse)
	h.register(e, "plain", "")
	h.register(other, "plain", "")
	h.run()
	got := h.send(http.MethodPost, oncePath, "key", nil)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Empty(t, got.header.Get(sitetest.HeaderEngineSeal))
	require.Len(t, append(e.Requests(), other.Requests()...), 1)
}

func TestRefusalIsRetriedElsewhereAndReported(t *testing.T) {
	h := newHarness(t)
	refusing := sitetest.NewEndpoint(t, "e1", sitetest.NotRun)
	h.register(refusing, "plain", "")
	h.run()
	h.eventually(func() bool {
		return h.send(http.MethodPost, oncePath, "key", nil).status == http.StatusServiceUnavailable && len(refusing.Requests()) > 0
	})
	got := h.send(http.MethodPost, oncePath, "key", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	h.register(sitetest.NewEndpoint(t, "e2", nil), "plain", "")
	h.waitUntilServing(oncePath)
}

func TestFailedIdempotentRequestIsRetriedOnce(t *testing.T) {
	h := newHarness(t)
	var runs atomic.Int64
	fail := func(rw http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		rw.WriteHeader(http.StatusInternalServerError)
	}
	for i := range 4 {
		h.register(sitetest.NewEndpoint(t, fmt.Sprintf("e%d", i), fail), "plain", "")
	}
	h.run()
	got := h.send(http.MethodPost, plainPath, "key", nil)
	require.Equal(t, http.StatusInternalServerError, got.status)
	require.NotEmpty(t, got.header.Get(sitetest.HeaderEngineSeal), "the endpoint's own error response is forwarded")
	require.EqualValues(t, 2, runs.Load(), "the route allows two attempts")
}

func TestResponsesToOtherRequestsAreSkipped(t *testing.T) {
	h := newHarness(t)
	responseFor := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", sitetest.HeaderRequestID, id, sitetest.HeaderEngineSeal, len(body), body)
	}
	var mu sync.Mutex
	stale := ""
	address := sitetest.NewRawEndpoint(t, func(id string) string {
		mu.Lock()
		defer mu.Unlock()
		text := stale + responseFor(id, "of "+id)
		stale = responseFor(id, "of "+id) // Sent again before the next response.
		return text
	})
	e := &sitetest.Endpoint{ID: "e1", Address: address}
	h.register(e, "plain", "")
	h.run()
	for range 5 {
		var id string
		got := h.send(http.MethodPost, oncePath, "key", func(r *http.Request) { id = r.Header.Get(sitetest.HeaderRequestID) })
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "of "+id, got.body)
	}
}

func TestReusedAddressGetsNoRequest(t *testing.T) {
	h := newHarness(t)
	e := sitetest.NewEndpoint(t, "new", nil)
	stale := &sitetest.Endpoint{ID: "old", Address: e.Address}
	h.register(stale, "plain", "")
	h.run()
	require.Equal(t, http.StatusServiceUnavailable, h.send(http.MethodPost, oncePath, "key", nil).status)
	require.Empty(t, e.Requests(), "the endpoint that now has the address must not run the request")
}

func TestBrokenStreamResumesAtAnotherEndpointAfterAWholeEvent(t *testing.T) {
	h := newHarness(t)
	broken := sitetest.NewEndpoint(t, "e1", sitetest.Events(6, 3))
	h.register(broken, "model", "decode")
	h.run()
	h.eventually(func() bool {
		got := h.send(http.MethodPost, streamPath, "key", nil)
		return got.err != nil && strings.HasSuffix(got.body, "data: piece 3\n\n")
	})
	h.register(sitetest.NewEndpoint(t, "e2", sitetest.Events(6, 0)), "model", "decode")
	want := ""
	for id := 1; id <= 6; id++ {
		want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	}
	h.eventually(func() bool {
		got := h.send(http.MethodPost, streamPath, "key", nil)
		return got.err == nil && got.body == want
	})
}

func TestBrokenNonResumableStreamFails(t *testing.T) {
	h := newHarness(t)
	broken := sitetest.NewEndpoint(t, "e1", sitetest.Events(6, 3))
	other := sitetest.NewEndpoint(t, "e2", sitetest.Events(6, 3))
	h.register(broken, "model", "decode")
	h.register(other, "model", "decode")
	h.run()
	got := h.send(http.MethodPost, modelPath, "key", nil)
	require.Error(t, got.err)
	require.Len(t, append(broken.Requests(), other.Requests()...), 1)
}

func TestDecodeContinuesFromTheKVHandleOfASeparatePrefill(t *testing.T) {
	h := newHarness(t)
	prefill := sitetest.NewEndpoint(t, "p1", sitetest.WithPrefill("h1", nil))
	decode := sitetest.NewEndpoint(t, "d1", sitetest.Events(2, 0))
	h.register(prefill, "model", "prefill")
	h.register(decode, "model", "decode")
	h.run()
	got := h.send(http.MethodPost, modelPath, "key", func(r *http.Request) {
		r.Header.Set(sitetest.HeaderTokenCount, "4000,20")
		r.Header.Set(sitetest.HeaderPromptPrefix, "aa:10,bb:3990")
	})
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "prefill", prefill.Requests()[0].Header.Get(sitetest.HeaderStage))
	require.Equal(t, prefill.Address+"/h1", decode.Requests()[0].Header.Get(sitetest.HeaderKVSource))
	require.Empty(t, decode.Requests()[0].Header.Get(sitetest.HeaderStage))
}

func TestRequestIsCancelledWhenItsCallerDisconnects(t *testing.T) {
	h := newHarness(t)
	ended := make(chan struct{})
	e := sitetest.NewEndpoint(t, "e1", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	h.register(e, "plain", "")
	h.run()
	conn, err := net.Dial("tcp", h.vm.CallerAddress)
	require.NoError(t, err)
	fmt.Fprintf(conn, "GET /once/x HTTP/1.1\r\nHost: h.example\r\n%s: r1\r\n%s: key\r\n\r\n", sitetest.HeaderRequestID, sitetest.HeaderAPIKey)
	h.eventually(func() bool { return len(e.Requests()) == 1 })
	conn.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the endpoint still runs the request of a caller that disconnected")
	}
}

func TestRequestTimesOutAtItsDeadline(t *testing.T) {
	h := newHarness(t)
	e := sitetest.NewEndpoint(t, "e1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	h.register(e, "plain", "")
	h.run()
	start := time.Now()
	got := h.send(http.MethodPost, oncePath, "key", func(r *http.Request) { r.Header.Set(sitetest.HeaderDeadline, "300") })
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Less(t, time.Since(start), 2*time.Second)
}

func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	h := newHarness(t)
	draining := sitetest.NewEndpoint(t, "e1", nil)
	h.register(draining, "plain", "")
	h.run()
	h.waitUntilServing(plainPath)
	h.register(sitetest.NewEndpoint(t, "e2", nil), "plain", "")
	h.store.Put(site.TableEndpoints, draining.ID, draining.RowAt(draining.Address, 2, "plain", "dc", "draining", ""))
	h.store.PutRaw(site.TableEndpoints, "foreign", []byte("nonsense"))
	// The drain timeout of the settings is 500 ms.
	time.Sleep(500 * time.Millisecond)
	before := len(draining.Requests())
	for range 20 {
		require.Equal(t, http.StatusOK, h.send(http.MethodPost, plainPath, "key", nil).status)
	}
	require.Len(t, draining.Requests(), before)
	// A delayed heartbeat from before the drain changes nothing.
	h.store.Put(site.TableEndpoints, draining.ID, draining.Row("plain", "dc", "ready", ""))
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, http.StatusOK, h.send(http.MethodPost, plainPath, "key", nil).status)
	require.Len(t, draining.Requests(), before)
}

func TestPlannedStopFinishesRunningRequests(t *testing.T) {
	h := newHarness(t)
	release := make(chan struct{})
	e := sitetest.NewEndpoint(t, "e1", func(rw http.ResponseWriter, _ *http.Request) {
		<-release
		fmt.Fprint(rw, "whole")
	})
	h.register(e, "plain", "")
	h.run()
	conn, err := net.Dial("tcp", h.vm.CallerAddress)
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "GET /once/x HTTP/1.1\r\nHost: h.example\r\n%s: r1\r\n%s: key\r\n\r\n", sitetest.HeaderRequestID, sitetest.HeaderAPIKey)
	h.eventually(func() bool { return len(e.Requests()) == 1 })
	h.stop()
	h.eventually(func() bool {
		return h.status("http://"+h.vm.ReadyAddress+site.ReadyPath) == http.StatusServiceUnavailable
	})
	// Another process may take the lease at once.
	h.eventually(func() bool { return strings.Contains(string(h.store.Value("leases", "duties")), `"holder":""`) })
	h.eventually(func() bool { return !accepts(h.vm.CallerAddress) }) // The server has started to shut down.
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
}

// The process is asked to stop while the store does not answer and a request
// runs until the end of the grace period. It must end before the platform kills
// it.
func TestStopWithASilentStoreEndsWithinTheGracePeriod(t *testing.T) {
	const grace = 8 * time.Second // From the settings.
	h := newHarness(t)
	e := sitetest.NewEndpoint(t, "e1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	h.register(e, "plain", "")
	h.run()
	go func() {
		h.send(http.MethodPost, oncePath, "key", func(r *http.Request) { r.Header.Set(sitetest.HeaderDeadline, "20000") })
	}()
	h.eventually(func() bool { return len(e.Requests()) == 1 })
	h.store.SetSilent(true)
	start := time.Now()
	h.stop()
	select {
	case err := <-h.done:
		h.done <- err // The cleanup receives it too.
	case <-time.After(grace):
		t.Fatal("the process did not end within the stop grace period")
	}
	require.Greater(t, time.Since(start), grace/2, "the running request must get its time")
}

// All processes are asked to stop while requests are still running. One of them
// must keep the duties until it ends; otherwise no process holds them, as happened
// for ten seconds during which the store failed too.
func TestStoppingProcessKeepsDutiesThatNoOtherTakes(t *testing.T) {
	h := newHarness(t)
	release := make(chan struct{})
	finishRequest := sync.OnceFunc(func() { close(release) })
	defer finishRequest()
	e := sitetest.NewEndpoint(t, "e1", func(rw http.ResponseWriter, _ *http.Request) {
		<-release
		fmt.Fprint(rw, "whole")
	})
	h.register(e, "plain", "")
	h.run()
	leaseContains := func(part string) func() bool {
		return func() bool { return strings.Contains(string(h.store.Value("leases", "duties")), part) }
	}
	h.eventually(leaseContains(`"epoch":1`))
	conn, err := net.Dial("tcp", h.vm.CallerAddress)
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "GET /once/x HTTP/1.1\r\nHost: h.example\r\n%s: r1\r\n%s: key\r\n\r\n", sitetest.HeaderRequestID, sitetest.HeaderAPIKey)
	h.eventually(func() bool { return len(e.Requests()) == 1 })
	h.stop()
	h.eventually(leaseContains(`"holder":""`))
	h.eventually(leaseContains(`"epoch":2`))
	finishRequest()
	h.eventually(leaseContains(`"holder":"","epoch":2`))
}

func accepts(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

func TestUsageIsReportedOncePerWindow(t *testing.T) {
	h := newHarness(t)
	h.register(sitetest.NewEndpoint(t, "e1", nil), "plain", "")
	h.run()
	sent := int64(0)
	for range 30 {
		if h.send(http.MethodPost, plainPath, "key", nil).status == http.StatusOK {
			sent++
		}
	}
	total := func() int64 {
		sum := int64(0)
		for _, report := range h.duties.Reports() {
			sum += report.Counts["team"]
		}
		return sum
	}
	h.eventually(func() bool { return total() >= sent })
	require.Equal(t, sent, total())
	windows := make(map[int64]bool)
	for _, report := range h.duties.Reports() {
		require.False(t, windows[report.Window], "window %d was reported twice", report.Window)
		windows[report.Window] = true
		require.Equal(t, "1", report.FencingToken)
	}
}

func TestRequestsAreServedDuringAStoreOutage(t *testing.T) {
	h := newHarness(t)
	h.register(sitetest.NewEndpoint(t, "e1", nil), "plain", "")
	h.run()
	h.waitUntilServing(plainPath)
	h.store.SetDown(true)
	time.Sleep(600 * time.Millisecond)
	require.Equal(t, http.StatusOK, h.send(http.MethodPost, oncePath, "key", nil).status)
	require.Equal(t, http.StatusOK, h.status("http://"+h.vm.ReadyAddress+site.ReadyPath))
}
