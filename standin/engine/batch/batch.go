// Package batch models an engine with continuous batching. Each step processes
// prompt tokens up to a limit and adds one output token to every sequence whose
// prompt is complete. The package reads no clock: the caller advances time by the
// duration that Step returns.
package batch

import (
	"sort"
	"time"
)

// Config is the speed and capacity of an engine.
type Config struct {
	BaseStepTime         time.Duration // Fixed part of a step's duration.
	TimePerPrefillToken  time.Duration
	TimePerSequence      time.Duration // For each output token in a step.
	PrefillTokensPerStep int           // Most prompt tokens processed in a step.
	MaxRunning           int
	PrefixCacheTokens    int // Capacity of the prefix cache, in prompt tokens.

	// PrefillRoleTokensPerStep replaces PrefillTokensPerStep while the engine has
	// the prefill role.
	PrefillRoleTokensPerStep int
	// Slowdown multiplies the duration of each step; 0 means 1.
	Slowdown float64
}

// Role is the part of a generation that an engine executes.
type Role string

// The roles. The empty role means Mixed.
const (
	Mixed   Role = "mixed"
	Prefill Role = "prefill" // Processes prompts and exports their KV caches.
	Output  Role = "output"  // Generates from imported KV caches.
)

// DefaultConfig returns the configuration of an engine that generates about a
// thousand output tokens per second.
func DefaultConfig() Config {
	return Config{
		BaseStepTime:         15 * time.Millisecond,
		TimePerPrefillToken:  50 * time.Microsecond,
		TimePerSequence:      400 * time.Microsecond,
		PrefillTokensPerStep: 512,
		MaxRunning:           64,
		PrefixCacheTokens:    200_000,

		PrefillRoleTokensPerStep: 2048,
	}
}

// Run is a request to generate output for a prompt.
type Run struct {
	ID           string
	Prefix       uint64 // Identifies the part of the prompt that can be cached.
	PrefixTokens int
	PromptTokens int // Including the prefix.
	OutputTokens int
	ResumeTokens int // Output tokens already delivered by another engine.
	Priority     int32
	KVImported   bool // The prompt's KV cache comes from another engine.
}

// Emission is the output token that a step added to a run.
type Emission struct {
	ID           string
	Index        int // Of the output token, from 0.
	CachedTokens int // Prompt tokens taken from the cache.
	Last         bool
	// HandOver is set if this engine has only processed the prompt and another
	// one must generate the rest from the exported KV cache.
	HandOver bool
}

type sequence struct {
	run            Run
	pendingPrefill int // Prompt tokens still to process.
	cachedTokens   int
	emitted        int // Output tokens, including those of other engines.
}

// Batch is the state of one engine. It is not safe for concurrent use.
type Batch struct {
	config      Config
	role        Role
	waiting     []*sequence
	running     []*sequence
	cache       *prefixCache
	emissionBuf []Emission // Reused by each step.
}

// New returns the state of an idle engine.
func New(config Config) *Batch {
	return &Batch{config: config, cache: newPrefixCache(config.PrefixCacheTokens)}
}

// Add queues a run. Lower values of Priority come first; runs of the same priority
// are served in the order of arrival.
func (b *Batch) Add(run Run) {
	seq := &sequence{run: run, pendingPrefill: run.PromptTokens + run.ResumeTokens, emitted: run.ResumeTokens}
	if run.KVImported {
		seq.pendingPrefill = 0
	}
	pos := sort.Search(len(b.waiting), func(i int) bool { return b.waiting[i].run.Priority > run.Priority })
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[pos+1:], b.waiting[pos:])
	b.waiting[pos] = seq
}

// Cancel removes a run and reports whether it was waiting or running.
func (b *Batch) Cancel(id string) bool {
	return remove(&b.waiting, id) || remove(&b.running, id)
}

// Counts returns the numbers of running and waiting runs.
func (b *Batch) Counts() (running, waiting int) { return len(b.running), len(b.waiting) }

// Idle reports whether no run is waiting or running.
func (b *Batch) Idle() bool { return len(b.running)+len(b.waiting) == 0 }

// Step executes one step and returns its duration and emissions. The slice is
// valid until the next call of Step.
func (b *Batch) Step() (time.Duration, []Emission) {
	b.admit()
	prefillTokens := b.prefill()
	emissions := b.decode()
	duration := b.config.BaseStepTime +
		time.Duration(prefillTokens)*b.config.TimePerPrefillToken +
		time.Duration(len(emissions))*b.config.TimePerSequence
	if b.config.Slowdown > 0 {
		duration = time.Duration(float64(duration) * b.config.Slowdown)
	}
	return duration, emissions
}

// SetRole sets the engine's role. The engine must be idle.
func (b *Batch) SetRole(role Role) { b.role = role }

// SetSlowdown sets Config.Slowdown.
func (b *Batch) SetSlowdown(factor float64) { b.config.Slowdown = factor }

// DropCache empties the prefix cache.
func (b *Batch) DropCache() { b.cache = newPrefixCache(b.config.PrefixCacheTokens) }

func (b *Batch) prefillBudget() int {
	if b.role == Prefill {
		return b.config.PrefillRoleTokensPerStep
	}
	return b.config.PrefillTokensPerStep
}

// admit starts waiting runs while fewer than MaxRunning are running.
func (b *Batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.config.MaxRunning {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		if !next.run.KVImported && next.run.PrefixTokens > 0 && b.cache.touch(next.run.Prefix) {
			next.cachedTokens = next.run.PrefixTokens
			next.pendingPrefill -= next.cachedTokens
		}
		b.running = append(b.running, next)
	}
}

// prefill processes prompt tokens in the order of admission and returns their
// number.
func (b *Batch) prefill() int {
	limit := b.prefillBudget()
	budget := limit
	for _, seq := range b.running {
		if seq.pendingPrefill <= 0 || budget == 0 {
			continue
		}
		n := min(seq.pendingPrefill, budget)
		seq.pendingPrefill -= n
		budget -= n
		if seq.pendingPrefill == 0 {
			b.cache.add(seq.run.Prefix, seq.run.PrefixTokens)
		}
	}
	return limit - budget
}

// decode emits one token for each run whose prompt is complete, and removes the
// runs that end or are handed over.
func (b *Batch) decode() []Emission {
	emissions := b.emissionBuf[:0]
	remaining := b.running[:0]
	for _, seq := range b.running {
		if seq.pendingPrefill > 0 {
			remaining = append(remaining, seq)
			continue
		}
		last := seq.emitted+1 >= seq.run.OutputTokens
		handOver := !last && b.role == Prefill
		emissions = append(emissions, Emission{ID: seq.run.ID, Index: seq.emitted, CachedTokens: seq.cachedTokens, Last: last, HandOver: handOver})
		seq.emitted++
		if !last && !handOver {
			remaining = append(remaining, seq)
		}
	}
	b.running = remaining
	b.emissionBuf = emissions
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
