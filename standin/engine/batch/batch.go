// Package batch models an engine that batches continuously: in each step all
// running sequences gain one output token, and what is left of the step's
// budget prefills prompts. It is pure: the caller advances time by what Step
// returns.
package batch

import (
	"sort"
	"time"
)

// Config sets an engine's speed and size.
type Config struct {
	StepBase         time.Duration // Fixed time of a step.
	PerPrefillToken  time.Duration
	PerSequence      time.Duration // For each output token in a step.
	PrefillPerStep   int           // Prompt tokens that one step can take.
	MaxRunning       int
	PrefixCacheTotal int // Prompt tokens that the prefix cache keeps.

	// PrefillOnlyPerStep is PrefillPerStep of an engine in the role of prefill.
	PrefillOnlyPerStep int
	// Slowdown multiplies the time of each step; 0 counts as 1.
	Slowdown float64
}

// Role is what an engine does.
type Role string

// The roles. An empty role is mixed.
const (
	Mixed   Role = "mixed"
	Prefill Role = "prefill" // Processes prompts and hands their KV cache over.
	Output  Role = "output"  // Generates from imported KV caches.
)

// DefaultConfig is an engine of about a thousand output tokens a second.
func DefaultConfig() Config {
	return Config{
		StepBase:         15 * time.Millisecond,
		PerPrefillToken:  50 * time.Microsecond,
		PerSequence:      400 * time.Microsecond,
		PrefillPerStep:   512,
		MaxRunning:       64,
		PrefixCacheTotal: 200_000,

		PrefillOnlyPerStep: 2048,
	}
}

// Run is one generation.
type Run struct {
	ID           string
	Prefix       uint64 // Identifies the part of the prompt that can be cached.
	PrefixTokens int
	PromptTokens int // Including the prefix.
	OutputTokens int
	Skip         int // Output tokens already delivered elsewhere.
	Priority     int32
	Imported     bool // The prompt's KV cache comes from another engine.
}

// Emission is what one run gained in a step.
type Emission struct {
	ID     string
	Index  int // Of the output token, from 0.
	Cached int // Prompt tokens taken from the cache.
	Last   bool
	// HandOver is set when the engine is done with the prompt and another one
	// has to generate the rest from the exported KV cache.
	HandOver bool
}

type sequence struct {
	run     Run
	prefill int // Prompt tokens still to process.
	cached  int
	emitted int
}

// Batch is the state of one engine.
type Batch struct {
	config  Config
	role    Role
	waiting []*sequence
	running []*sequence
	cache   *prefixCache
	emitted []Emission // Reused by each step.
}

// New returns an idle engine.
func New(config Config) *Batch {
	return &Batch{config: config, cache: newPrefixCache(config.PrefixCacheTotal)}
}

// Add queues a run by priority, first come first served within one.
func (b *Batch) Add(run Run) {
	added := &sequence{run: run, prefill: run.PromptTokens + run.Skip, emitted: run.Skip}
	if run.Imported {
		added.prefill = 0
	}
	at := sort.Search(len(b.waiting), func(i int) bool { return b.waiting[i].run.Priority > run.Priority })
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = added
}

// Cancel removes a run and reports whether it was there.
func (b *Batch) Cancel(id string) bool {
	return remove(&b.waiting, id) || remove(&b.running, id)
}

// Counts returns the numbers of running and waiting runs.
func (b *Batch) Counts() (running, waiting int) { return len(b.running), len(b.waiting) }

// Idle reports whether there is nothing to do.
func (b *Batch) Idle() bool { return len(b.running)+len(b.waiting) == 0 }

// Step runs one step and returns its duration and what it emitted, which holds
// until the next step.
func (b *Batch) Step() (time.Duration, []Emission) {
	b.admit()
	prefilled := b.prefill()
	emissions := b.decode()
	took := b.config.StepBase +
		time.Duration(prefilled)*b.config.PerPrefillToken +
		time.Duration(len(emissions))*b.config.PerSequence
	if b.config.Slowdown > 0 {
		took = time.Duration(float64(took) * b.config.Slowdown)
	}
	return took, emissions
}

// SetRole changes the role. The engine must be idle.
func (b *Batch) SetRole(role Role) { b.role = role }

// SetSlowdown makes each step take factor times as long.
func (b *Batch) SetSlowdown(factor float64) { b.config.Slowdown = factor }

// DropCache empties the prefix cache.
func (b *Batch) DropCache() { b.cache = newPrefixCache(b.config.PrefixCacheTotal) }

func (b *Batch) prefillBudget() int {
	if b.role == Prefill {
		return b.config.PrefillOnlyPerStep
	}
	return b.config.PrefillPerStep
}

func (b *Batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.config.MaxRunning {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		if !next.run.Imported && next.run.PrefixTokens > 0 && b.cache.use(next.run.Prefix) {
			next.cached = next.run.PrefixTokens
			next.prefill -= next.cached
		}
		b.running = append(b.running, next)
	}
}

func (b *Batch) prefill() int {
	limit := b.prefillBudget()
	budget := limit
	for _, seq := range b.running {
		if seq.prefill <= 0 || budget == 0 {
			continue
		}
		taken := min(seq.prefill, budget)
		seq.prefill -= taken
		budget -= taken
		if seq.prefill == 0 {
			b.cache.add(seq.run.Prefix, seq.run.PrefixTokens)
		}
	}
	return limit - budget
}

func (b *Batch) decode() []Emission {
	emissions := b.emitted[:0]
	kept := b.running[:0]
	for _, seq := range b.running {
		if seq.prefill > 0 {
			kept = append(kept, seq)
			continue
		}
		last := seq.emitted+1 >= seq.run.OutputTokens
		handOver := !last && b.role == Prefill
		emissions = append(emissions, Emission{ID: seq.run.ID, Index: seq.emitted, Cached: seq.cached, Last: last, HandOver: handOver})
		seq.emitted++
		if !last && !handOver {
			kept = append(kept, seq)
		}
	}
	b.running = kept
	b.emitted = emissions
	return emissions
}

func remove(list *[]*sequence, id string) bool {
	for i, seq := range *list {
		if seq.run.ID == id {
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}
