// Package engine is a small stand-in of a model engine: it batches
// continuously and answers in the OpenAI shape. Its text is a function of the
// prompt, so that tests can check each byte.
package engine

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"flamingospar.org/standin/engine/batch"
)

// defaultOrderTakes is how long an engine is away for an order.
const defaultOrderTakes = 5 * time.Second

// Engine runs a batch in real (or a test's virtual) time.
type Engine struct {
	// Control takes orders; it holds the loaded model.
	Control *Control

	mu    sync.Mutex
	batch *batch.Batch
	runs  map[string]chan batch.Emission
	wake  chan struct{}
	begun map[string]int // Times each run id was begun.

	faults Faults
	// prompts counts the runs begun by prompt.
	prompts map[string]int
}

// New returns an engine that has model loaded. Run must be called for progress.
func New(model string, config batch.Config) *Engine {
	return &Engine{
		Control: NewControl(model, ControlConfig{Takes: defaultOrderTakes}),
		batch:   batch.New(config),
		runs:    make(map[string]chan batch.Emission),
		wake:    make(chan struct{}, 1),
		begun:   make(map[string]int),

		prompts: make(map[string]int),
	}
}

// Run steps the batch until ctx ends.
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
	took, emissions := e.batch.Step()
	took += e.faults.Slow
	e.mu.Unlock()
	time.Sleep(took)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, emission := range emissions {
		if out, ok := e.runs[emission.ID]; ok {
			out <- emission
		}
		if emission.Last {
			delete(e.runs, emission.ID)
		}
	}
}

// start queues a run; its emissions arrive on the returned channel, which has
// room for all of them.
func (e *Engine) start(run batch.Run, prompt string) <-chan batch.Emission {
	out := make(chan batch.Emission, run.OutputTokens+1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prompts[prompt]++
	e.runs[run.ID] = out
	e.begun[run.ID]++
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
	delete(e.runs, id)
}

// Begun returns how often each run id was begun here.
func (e *Engine) Begun() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	begun := make(map[string]int, len(e.begun))
	for id, times := range e.begun {
		begun[id] = times
	}
	return begun
}

// Word returns output token index of the answer to a prompt.
func Word(prompt string, index int) string {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%d", prompt, index)
	return fmt.Sprintf("w%03x ", hash.Sum64()&0xfff)
}

// Text returns the first tokens output tokens of the answer to a prompt.
func Text(prompt string, tokens int) string {
	text := ""
	for i := range tokens {
		text += Word(prompt, i)
	}
	return text
}
