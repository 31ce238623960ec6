// Package engine simulates a model engine that batches continuously and serves an
// OpenAI-compatible API. The output is a function of the prompt, so that tests can
// check every byte of it.
package engine

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"flamingospar.org/standin/engine/batch"
)

// defaultOrderDuration is how long an engine is out of service for an order.
const defaultOrderDuration = 5 * time.Second

// Engine runs a batch in real time, or in the virtual time of a synctest bubble.
type Engine struct {
	// Control executes orders and holds the loaded model.
	Control *Control

	mu          sync.Mutex
	batch       *batch.Batch
	outputs     map[string]chan batch.Emission
	wake        chan struct{}
	startCounts map[string]int // Number of starts by run ID.

	faults Faults
	// promptCounts holds the number of runs started by prompt.
	promptCounts map[string]int
}

// New returns an engine that has model loaded. The engine makes progress only
// while Run is running.
func New(model string, config batch.Config) *Engine {
	return &Engine{
		Control:     NewControl(model, ControlConfig{OrderDuration: defaultOrderDuration}),
		batch:       batch.New(config),
		outputs:     make(map[string]chan batch.Emission),
		wake:        make(chan struct{}, 1),
		startCounts: make(map[string]int),

		promptCounts: make(map[string]int),
	}
}

// Run executes steps of the batch until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		idle := e.batch.Idle()
		e.mu.Unlock()
		if idle {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		e.step()
	}
}

func (e *Engine) step() {
	e.mu.Lock()
	duration, emissions := e.batch.Step()
	duration += e.faults.StepDelay
	e.mu.Unlock()
	time.Sleep(duration)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, emission := range emissions {
		if out, ok := e.outputs[emission.ID]; ok {
			out <- emission
		}
		if emission.Last {
			delete(e.outputs, emission.ID)
		}
	}
}

// start queues a run and returns the channel of its emissions. The channel has a
// buffer for all of them, so that a slow reader does not block the batch.
func (e *Engine) start(run batch.Run, prompt string) <-chan batch.Emission {
	out := make(chan batch.Emission, run.OutputTokens+1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.promptCounts[prompt]++
	e.outputs[run.ID] = out
	e.startCounts[run.ID]++
	e.batch.Add(run)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return out
}

func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.Cancel(id)
	delete(e.outputs, id)
}

// StartCounts returns how often this engine started each run, by run ID.
func (e *Engine) StartCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]int, len(e.startCounts))
	for id, count := range e.startCounts {
		counts[id] = count
	}
	return counts
}

// TokenText returns the text of the output token at index, from 0, for a prompt.
func TokenText(prompt string, index int) string {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%d", prompt, index)
	return fmt.Sprintf("w%03x ", hash.Sum64()&0xfff)
}

// Text returns the text of the given number of output tokens for a prompt.
func Text(prompt string, tokens int) string {
	text := ""
	for i := range tokens {
		text += TokenText(prompt, i)
	}
	return text
}
