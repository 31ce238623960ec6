//go:build processes

// Package processes runs the binaries as separate processes on the loopback
// interface together with the stand-ins. It kills, terminates, stops and
// continues them with signals and compares the responses that callers received
// with the executions that the stand-ins counted. It runs in real time, so CI
// doesn't run it:
//
//	go test -tags processes ./flamingospar/processes -v
package processes

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/standin/engine"
	"flamingospar.org/standin/plain"
)

const (
	faultDuration  = 40 * time.Second
	settleTime     = 15 * time.Second
	testTimeout    = 3 * time.Minute
	callInterval   = 50 * time.Millisecond
	maxTokens      = 40
	modelName      = "assessment"
	lodgementsPath = "/lodgements"
	maxAttempts    = 6

	endpointBasePort = 9100
	agentBasePort    = 9300
	entryBasePort    = 18080
)

// process is a child process of the test, which can be restarted.
type process struct {
	name    string
	args    []string
	logPath string

	mu     sync.Mutex
	cmd    *exec.Cmd
	stdout io.ReadCloser
	exited chan struct{}
}

func (p *process) start(t *testing.T) {
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stderr = logFile
	stdout, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	p.mu.Lock()
	p.cmd, p.stdout, p.exited = cmd, stdout, make(chan struct{})
	exited := p.exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
		_ = logFile.Close()
	}()
}

func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(signal)
}

func (p *process) wait(timeout time.Duration) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(timeout):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait(5 * time.Second)
}

// fleet holds the running processes of a test.
type fleet struct {
	t         *testing.T
	teamKey   string
	standins  *process
	agents    []*process
	entries   []*process
	entryURLs []string
}

// endpoints lists the endpoints of the Shedline fleet that get an agent. The
// index is the offset of their ports from the base ports.
var endpoints = []struct {
	index int
	id    string
	kind  string
}{
	{0, "assess-1", "model"},
	{1, "assess-2", "model"},
	{2, "assess-3", "model"},
	{12, "lodge-1", "lodgements"},
	{13, "lodge-2", "lodgements"},
}

func buildBinaries(t *testing.T) (entry, agent string) {
	dir := t.TempDir()
	entry, agent = filepath.Join(dir, "flamingospar"), filepath.Join(dir, "flamingospar-agent")
	for path, target := range map[string]string{entry: "..", agent: "../../flamingospar-agent"} {
		output, err := exec.Command("go", "build", "-o", path, target).CombinedOutput()
		require.NoError(t, err, string(output))
	}
	return entry, agent
}

func startFleet(t *testing.T) *fleet {
	entry, agent := buildBinaries(t)
	dir := t.TempDir()
	f := &fleet{t: t}
	writeFile := func(name, content string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
		return path
	}
	f.standins = &process{name: "stand-ins", args: []string{entry, "dev", "--only", "platform,endpoints"}, logPath: filepath.Join(dir, "standins.log")}
	f.startProcess(f.standins)
	f.readTeamKey()
	for _, ep := range endpoints {
		settings := writeFile(ep.id+".toml", fmt.Sprintf("data_centre = \"perth-a\"\nlisten = \"127.0.0.1:%d\"\nendpoint = %q\nendpoint_url = \"http://127.0.0.1:%d\"\nendpoint_kind = %q\nplatform_url = \"http://127.0.0.1:9000\"\n", agentBasePort+ep.index, ep.id, endpointBasePort+ep.index, ep.kind))
		p := &process{name: ep.id, args: []string{agent, "--settings", settings}, logPath: filepath.Join(dir, ep.id+".log")}
		f.startProcess(p)
		f.agents = append(f.agents, p)
	}
	for i := range 2 {
		port := entryBasePort + 2*i
		settings := writeFile(fmt.Sprintf("entry-%d.toml", i), fmt.Sprintf("data_centre = \"perth-a\"\nlisten = \"127.0.0.1:%d\"\noperator_listen = \"127.0.0.1:%d\"\nplatform_url = \"http://127.0.0.1:9000\"\ndeadline = \"15s\"\n", port, port+1))
		p := &process{name: fmt.Sprintf("entry-%d", i), args: []string{entry, "serve", "--settings", settings}, logPath: filepath.Join(dir, fmt.Sprintf("entry-%d.log", i))}
		f.startProcess(p)
		f.entries = append(f.entries, p)
		f.entryURLs = append(f.entryURLs, fmt.Sprintf("http://127.0.0.1:%d", port))
	}
	time.Sleep(5 * time.Second)
	return f
}

func (f *fleet) startProcess(p *process) {
	p.start(f.t)
	f.t.Cleanup(p.stop)
}

// readTeamKey reads the first team's key from the output of the stand-ins.
func (f *fleet) readTeamKey() {
	scanner := bufio.NewScanner(f.standins.stdout)
	for scanner.Scan() {
		if _, key, ok := strings.Cut(scanner.Text(), " key="); ok {
			f.teamKey = key
			break
		}
	}
	require.NotEmpty(f.t, f.teamKey)
	go func() { _, _ = io.Copy(io.Discard, f.standins.stdout) }()
}

// call is one request, including its retries, and the last response to it.
type call struct {
	content        string
	isModel        bool
	idempotencyKey string
	status         int
	outcome        string
	answer         string
	complete       bool
	attempts       int
}

func (f *fleet) send(client *http.Client, c *call, rng *rand.Rand) {
	for c.attempts = 1; c.attempts <= maxAttempts; c.attempts++ {
		f.attempt(client, c, f.entryURLs[rng.IntN(len(f.entryURLs))])
		if c.isModel || c.idempotencyKey == "" || c.complete {
			return
		}
		time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
	}
}

func (f *fleet) attempt(client *http.Client, c *call, url string) {
	c.status, c.outcome, c.answer, c.complete = 0, "", "", false
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	path, body := lodgementsPath, c.content
	if c.isModel {
		path = "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`, modelName, maxTokens, c.content)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+f.teamKey)
	request.Header.Set("Content-Type", "application/json")
	if c.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	c.status, c.outcome = response.StatusCode, response.Header.Get("Flamingospar-Outcome")
	if c.status != http.StatusOK {
		return
	}
	if !c.isModel {
		_, err := io.ReadAll(response.Body)
		c.complete = err == nil
		return
	}
	c.answer, c.complete = readEventStream(response.Body)
}

func readEventStream(body io.Reader) (string, bool) {
	text := ""
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var event struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			text += event.Choices[0].Delta.Content
		}
	}
	return text, false
}

// injectFaults sends signals to randomly chosen processes, one at a time, until
// ctx is done.
func (f *fleet) injectFaults(ctx context.Context, rng *rand.Rand) {
	targets := append(append([]*process{}, f.agents...), f.entries...)
	for ctx.Err() == nil {
		p := targets[rng.IntN(len(targets))]
		switch rng.IntN(3) {
		case 0:
			f.t.Logf("kill %s", p.name)
			p.signal(syscall.SIGKILL)
			p.wait(5 * time.Second)
			p.start(f.t)
		case 1:
			f.t.Logf("stop and continue %s", p.name)
			p.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rng.IntN(6000)) * time.Millisecond)
			p.signal(syscall.SIGCONT)
		default:
			f.t.Logf("terminate %s", p.name)
			p.signal(syscall.SIGTERM)
			p.wait(30 * time.Second)
			p.start(f.t)
		}
		time.Sleep(time.Duration(1000+rng.IntN(2000)) * time.Millisecond)
	}
}

func TestSignals(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(t)
	rng := rand.New(rand.NewPCG(1, 1))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	faultCtx, stopFaults := context.WithTimeout(ctx, faultDuration)
	defer stopFaults()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		f.injectFaults(faultCtx, rand.New(rand.NewPCG(2, 2)))
	}()
	var calls []*call
	for i := 0; faultCtx.Err() == nil; i++ {
		c := &call{content: fmt.Sprintf(`{"n":"%d-%d"}`, i, rng.Uint64()), isModel: rng.IntN(2) == 0}
		if !c.isModel && rng.IntN(2) == 0 {
			c.idempotencyKey = fmt.Sprintf("key-%d", i)
		}
		calls = append(calls, c)
		callRNG := rand.New(rand.NewPCG(rng.Uint64(), 0))
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.send(client, c, callRNG)
		}()
		time.Sleep(callInterval)
	}
	wg.Wait()
	time.Sleep(settleTime)
	f.verify(calls, f.runCounts())
}

// runCounts returns how often the stand-ins executed each content, summed over
// all endpoints.
func (f *fleet) runCounts() map[string]int {
	total := make(map[string]int)
	for _, ep := range endpoints {
		path := plain.PathBodies
		if ep.kind == "model" {
			path = engine.PathPrompts
		}
		response, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d%s", endpointBasePort+ep.index, path))
		require.NoError(f.t, err)
		var counts map[string]int
		require.NoError(f.t, json.NewDecoder(response.Body).Decode(&counts))
		require.NoError(f.t, response.Body.Close())
		for content, n := range counts {
			total[content] += n
		}
	}
	return total
}

func (f *fleet) verify(calls []*call, counts map[string]int) {
	outcomes := make(map[string]int)
	var failures []error
	for _, c := range calls {
		runs := counts[c.content]
		outcomes[fmt.Sprintf("model=%t key=%t: %d %s complete=%t", c.isModel, c.idempotencyKey != "", c.status, c.outcome, c.complete)]++
		switch want := engine.Text(c.content, maxTokens); {
		case c.isModel && c.complete && c.answer != want:
			failures = append(failures, fmt.Errorf("%s: answer %q, want %q", c.content, c.answer, want))
		case c.isModel && !strings.HasPrefix(want, c.answer):
			failures = append(failures, fmt.Errorf("%s: partial answer %q is not a prefix of %q", c.content, c.answer, want))
		case !c.isModel && runs > 1:
			failures = append(failures, fmt.Errorf("%s ran %d times", c.content, runs))
		case c.complete && runs == 0:
			failures = append(failures, fmt.Errorf("%s was answered but never ran", c.content))
		case c.attempts == 1 && c.outcome == "not-run" && runs > 0:
			failures = append(failures, fmt.Errorf("%s ran despite the outcome not-run", c.content))
		}
	}
	for summary, n := range outcomes {
		f.t.Logf("%5d %s", n, summary)
	}
	require.NoError(f.t, errors.Join(failures...))
}
