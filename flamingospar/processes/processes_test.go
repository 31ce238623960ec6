//go:build processes

// Package processes runs the binaries as separate processes on loopback beside
// the stand-ins, ends, stops and continues them by signals, and compares what
// callers were told with what the stand-ins counted. Its timing is real, so it
// stays out of CI:
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
	faultTime  = 40 * time.Second
	settleTime = 15 * time.Second
	bound      = 3 * time.Minute
	every      = 50 * time.Millisecond
	tokens     = 40
	model      = "assessment"
	claimPath  = "/lodgements"
)

// proc is a process that this test started.
type proc struct {
	name string
	args []string
	log  string

	mu      sync.Mutex
	command *exec.Cmd
	stdout  io.ReadCloser
	ended   chan struct{}
}

func (p *proc) start(t *testing.T) {
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	command := exec.Command(p.args[0], p.args[1:]...)
	command.Stderr = output
	stdout, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	p.mu.Lock()
	p.command, p.stdout, p.ended = command, stdout, make(chan struct{})
	ended := p.ended
	p.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
		_ = output.Close()
	}()
}

func (p *proc) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(signal)
}

func (p *proc) wait(limit time.Duration) {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(limit):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

func (p *proc) stop() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait(5 * time.Second)
}

// fleet is what runs.
type fleet struct {
	t       *testing.T
	key     string
	stands  *proc
	agents  []*proc
	entries []*proc
	urls    []string
}

// endpoints of the Shedline fleet that get an agent: index, id and kind.
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

func build(t *testing.T) (entry, agent string) {
	dir := t.TempDir()
	entry, agent = filepath.Join(dir, "flamingospar"), filepath.Join(dir, "flamingospar-agent")
	for path, target := range map[string]string{entry: "..", agent: "../../flamingospar-agent"} {
		output, err := exec.Command("go", "build", "-o", path, target).CombinedOutput()
		require.NoError(t, err, string(output))
	}
	return entry, agent
}

func startFleet(t *testing.T) *fleet {
	entry, agent := build(t)
	dir := t.TempDir()
	f := &fleet{t: t}
	file := func(name, content string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
		return path
	}
	f.stands = &proc{name: "stand-ins", args: []string{entry, "dev", "--only", "platform,endpoints"}, log: filepath.Join(dir, "standins.log")}
	f.launch(f.stands)
	f.readKey()
	for _, e := range endpoints {
		settings := file(e.id+".toml", fmt.Sprintf("data_centre = \"perth-a\"\nlisten = \"127.0.0.1:%d\"\nendpoint = %q\nendpoint_url = \"http://127.0.0.1:%d\"\nendpoint_kind = %q\nplatform_url = \"http://127.0.0.1:9000\"\n", 9300+e.index, e.id, 9100+e.index, e.kind))
		p := &proc{name: e.id, args: []string{agent, "--settings", settings}, log: filepath.Join(dir, e.id+".log")}
		f.launch(p)
		f.agents = append(f.agents, p)
	}
	for i := range 2 {
		port := 18080 + 2*i
		settings := file(fmt.Sprintf("entry-%d.toml", i), fmt.Sprintf("data_centre = \"perth-a\"\nlisten = \"127.0.0.1:%d\"\noperator_listen = \"127.0.0.1:%d\"\nplatform_url = \"http://127.0.0.1:9000\"\ndeadline = \"15s\"\n", port, port+1))
		p := &proc{name: fmt.Sprintf("entry-%d", i), args: []string{entry, "serve", "--settings", settings}, log: filepath.Join(dir, fmt.Sprintf("entry-%d.log", i))}
		f.launch(p)
		f.entries = append(f.entries, p)
		f.urls = append(f.urls, fmt.Sprintf("http://127.0.0.1:%d", port))
	}
	time.Sleep(5 * time.Second)
	return f
}

func (f *fleet) launch(p *proc) {
	p.start(f.t)
	f.t.Cleanup(p.stop)
}

// readKey takes the first team's key from what the stand-ins print.
func (f *fleet) readKey() {
	scanner := bufio.NewScanner(f.stands.stdout)
	for scanner.Scan() {
		if _, key, ok := strings.Cut(scanner.Text(), " key="); ok {
			f.key = key
			break
		}
	}
	require.NotEmpty(f.t, f.key)
	go func() { _, _ = io.Copy(io.Discard, f.stands.stdout) }()
}

// call is one request and what its caller was told.
type call struct {
	content string
	model   bool
	key     string
	status  int
	outcome string
	text    string
	whole   bool
	tries   int
}

func (f *fleet) submit(client *http.Client, c *call, rng *rand.Rand) {
	for c.tries = 1; c.tries <= 6; c.tries++ {
		f.once(client, c, f.urls[rng.IntN(len(f.urls))])
		if c.model || c.key == "" || c.whole {
			return
		}
		time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
	}
}

func (f *fleet) once(client *http.Client, c *call, url string) {
	c.status, c.outcome, c.text, c.whole = 0, "", "", false
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	path, body := claimPath, c.content
	if c.model {
		path = "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`, model, tokens, c.content)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+f.key)
	request.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
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
	if !c.model {
		_, err := io.ReadAll(response.Body)
		c.whole = err == nil
		return
	}
	c.text, c.whole = readStream(response.Body)
}

func readStream(body io.Reader) (string, bool) {
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

// faults signals one process after another until ctx ends.
func (f *fleet) faults(ctx context.Context, rng *rand.Rand) {
	all := append(append([]*proc{}, f.agents...), f.entries...)
	for ctx.Err() == nil {
		p := all[rng.IntN(len(all))]
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
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	f := startFleet(t)
	rng := rand.New(rand.NewPCG(1, 1))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	faulty, stopFaults := context.WithTimeout(ctx, faultTime)
	defer stopFaults()
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		f.faults(faulty, rand.New(rand.NewPCG(2, 2)))
	}()
	var calls []*call
	for i := 0; faulty.Err() == nil; i++ {
		c := &call{content: fmt.Sprintf(`{"n":"%d-%d"}`, i, rng.Uint64()), model: rng.IntN(2) == 0}
		if !c.model && rng.IntN(2) == 0 {
			c.key = fmt.Sprintf("key-%d", i)
		}
		calls = append(calls, c)
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		running.Add(1)
		go func() {
			defer running.Done()
			f.submit(client, c, own)
		}()
		time.Sleep(every)
	}
	running.Wait()
	time.Sleep(settleTime)
	f.verify(calls, f.counts())
}

// counts adds what the stand-ins counted for each content.
func (f *fleet) counts() map[string]int {
	total := make(map[string]int)
	for _, e := range endpoints {
		path := plain.PathBodies
		if e.kind == "model" {
			path = engine.PathPrompts
		}
		response, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d%s", 9100+e.index, path))
		require.NoError(f.t, err)
		var counts map[string]int
		require.NoError(f.t, json.NewDecoder(response.Body).Decode(&counts))
		require.NoError(f.t, response.Body.Close())
		for content, times := range counts {
			total[content] += times
		}
	}
	return total
}

func (f *fleet) verify(calls []*call, counts map[string]int) {
	told := make(map[string]int)
	var faults []error
	for _, c := range calls {
		ran := counts[c.content]
		told[fmt.Sprintf("model=%t key=%t: %d %s whole=%t", c.model, c.key != "", c.status, c.outcome, c.whole)]++
		switch want := engine.Text(c.content, tokens); {
		case c.model && c.whole && c.text != want:
			faults = append(faults, fmt.Errorf("%s: answer %q, want %q", c.content, c.text, want))
		case c.model && !strings.HasPrefix(want, c.text):
			faults = append(faults, fmt.Errorf("%s: %q is no prefix of %q", c.content, c.text, want))
		case !c.model && ran > 1:
			faults = append(faults, fmt.Errorf("%s ran %d times", c.content, ran))
		case c.whole && ran == 0:
			faults = append(faults, fmt.Errorf("%s was answered and never ran", c.content))
		case c.tries == 1 && c.outcome == "not-run" && ran > 0:
			faults = append(faults, fmt.Errorf("%s was told not-run and ran", c.content))
		}
	}
	for what, times := range told {
		f.t.Logf("%5d %s", times, what)
	}
	require.NoError(f.t, errors.Join(faults...))
}
