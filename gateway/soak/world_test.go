package soak_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	// The binary under test holds it: a cached result must not outlive a change.
	_ "flamingospar.org/gateway/node"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Size of a run.
const (
	processes = 3
	plains    = 3
	engines   = 4 // The first reads prompts only.
	events    = 12
)

var routes = []sitetest.Route{
	{Name: "many", Kind: "idempotent", Service: "plain"},
	{Name: "once", Kind: "non_idempotent", Service: "plain"},
	{Name: "resumed", Kind: "stream", Service: "model", Resumable: true, CarriesPrompts: true},
	{Name: "stream", Kind: "stream", Service: "model", CarriesPrompts: true},
}

// world is a fleet of real processes beside stand-ins.
type world struct {
	report  *report
	t       *testing.T
	binary  string
	logs    string
	store   *sitetest.Store
	duties  *sitetest.DutyServer
	nodes   []*process
	links   []*proxy // To endpoints.
	ends    []*endpoint
	mu      sync.Mutex
	version int
	keys    []string // In force, the newest last.
	crowds  int
	calm    atomic.Bool // No faults any more; endpoints break off no answers.
}

// process is one entry process, and the proxy between it and the store.
type process struct {
	vm    sitetest.VM
	store *proxy

	restarting sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	log *os.File
}

// endpoint counts the runs of each request.
type endpoint struct {
	*sitetest.Endpoint
	service string
	stage   string
	link    *proxy
	seq     int
	calm    *atomic.Bool // Of the world.

	mu   sync.Mutex
	runs map[string]int
}

// ran notes a run of a request and returns how many there were here.
func (e *endpoint) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	return e.runs[id]
}

// arrived returns how many runs there were here in all.
func (e *endpoint) arrived() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for _, runs := range e.runs {
		sum += runs
	}
	return sum
}

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "flamingospar")
	out, err := exec.Command("go", "build", "-o", binary, "flamingospar.org/flamingospar").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

func newWorld(t *testing.T, binary string, seed int64) *world {
	w := &world{t: t, binary: binary, store: sitetest.NewStore(t), duties: sitetest.NewDutyServer(t), keys: []string{"key0"}}
	w.logs = filepath.Join(os.TempDir(), fmt.Sprintf("flamingospar-soak-%d", seed))
	require.NoError(t, os.MkdirAll(w.logs, 0o700))
	w.configure()
	for i := range plains {
		w.addEndpoint(fmt.Sprintf("s%d", i), "plain", "", servePlain)
	}
	for i := range engines {
		stage := "decode"
		if i == 0 {
			stage = "prefill"
		}
		w.addEndpoint(fmt.Sprintf("m%d", i), "model", stage, serveStream)
	}
	for i := range processes {
		link := newProxy(t, w.store.Address)
		vm := sitetest.NewVM(t, fmt.Sprintf("vm%d", i), fmt.Sprintf("dc%d", i%2), link.address, w.duties.Address)
		w.nodes = append(w.nodes, &process{vm: vm, store: link})
	}
	t.Cleanup(w.stopAll)
	for _, node := range w.nodes {
		w.startNode(node)
	}
	return w
}

// cutEvery is how many requests there are to one whose answer an endpoint breaks
// off: it runs it, and the caller's process can't know how far.
const cutEvery = 23

func (e *endpoint) cutsOff(id string) bool {
	if e.calm.Load() {
		return false
	}
	hash := fnv.New32a()
	hash.Write([]byte(id)) // A hash takes every write.
	return hash.Sum32()%cutEvery == 0
}

func servePlain(e *endpoint, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(sitetest.HeaderRequestID)
	if e.ran(id) == 1 && e.cutsOff(id) {
		sitetest.TruncatedResponse(w, r)
	}
	time.Sleep(5 * time.Millisecond)
	fmt.Fprint(w, "of "+id)
}

func serveStream(e *endpoint, w http.ResponseWriter, r *http.Request) {
	cutAt := 0
	if id := r.Header.Get(sitetest.HeaderRequestID); r.Header.Get(sitetest.HeaderStage) == "" {
		if e.ran(id) == 1 && e.cutsOff(id) && r.Header.Get("Last-Event-Id") == "" {
			cutAt = events / 2
		}
		w.Header().Set("Content-Type", "text/event-stream")
	}
	sitetest.WithPrefill("h"+r.Header.Get(sitetest.HeaderRequestID), func(w http.ResponseWriter, r *http.Request) {
		sitetest.Events(events, cutAt)(slowWriter{w}, r)
	})(w, r)
}

// slowWriter spaces the events of a stream.
type slowWriter struct{ http.ResponseWriter }

// Unwrap lets the events be flushed.
func (s slowWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// Write implements http.ResponseWriter.
func (s slowWriter) Write(p []byte) (int, error) {
	time.Sleep(4 * time.Millisecond)
	return s.ResponseWriter.Write(p)
}

// crowd returns callers whose requests have names of their own, the same in each
// run of a seed.
func (w *world) crowd() *crowd {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crowds++
	return &crowd{w: w, number: w.crowds, asked: make(map[string]asked)}
}

func (w *world) addEndpoint(id, service, stage string, serve func(*endpoint, http.ResponseWriter, *http.Request)) {
	e := &endpoint{service: service, stage: stage, seq: 1, calm: &w.calm, runs: make(map[string]int)}
	e.Endpoint = sitetest.NewEndpoint(w.t, id, func(rw http.ResponseWriter, r *http.Request) { serve(e, rw, r) })
	e.link = newProxy(w.t, e.Address)
	w.ends = append(w.ends, e)
	w.links = append(w.links, e.link)
	w.list(e, "ready")
}

// list writes an endpoint's row.
func (w *world) list(e *endpoint, state string) {
	e.seq++
	row := e.RowAt(e.link.address, e.seq, e.service, fmt.Sprintf("dc%d", len(e.ID)%2), state, e.stage)
	w.store.Put(site.TableEndpoints, e.ID, row)
}

// configure writes a configuration with the keys in force.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 2
	w.store.PutRaw(site.TableOperator, site.KeyConfiguration, sitetest.Manifest(w.version, w.keys, routes...))
}

func (w *world) startNode(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(w.logs, filepath.Base(p.vm.SettingsPath)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(w.t, err)
	cmd := exec.Command(w.binary, "gateway", "--settings", p.vm.SettingsPath, "--metrics-port", "0")
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(w.t, cmd.Start())
	started.add(cmd.Process)
	p.cmd, p.log = cmd, log
}

// signal sends a signal to a process that this run started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // It may have ended.
}

// end ends a process by a signal and waits until it is gone. Other signals may
// come meanwhile.
func (p *process) end(s syscall.Signal) {
	p.signal(s)
	p.mu.Lock()
	cmd, log := p.cmd, p.log
	p.mu.Unlock()
	_ = cmd.Wait() // Ended by a signal.
	started.remove(cmd.Process)
	log.Close()
}

func (w *world) stopAll() {
	for _, p := range w.nodes {
		if p.cmd == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.end(syscall.SIGKILL)
	}
}

func (p *process) ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.vm.ReadyAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
