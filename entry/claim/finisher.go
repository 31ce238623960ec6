package claim

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"flamingospar.org/base/ring"
	core "flamingospar.org/core/claim"
	"flamingospar.org/platform/objects"
	"flamingospar.org/platform/tables"
)

const (
	endRing       = 4096
	endRetry      = 500 * time.Millisecond
	endWait       = 150 * time.Millisecond
	endsAtOnce    = 16
	drainedEnough = 15 * time.Second
	drainPoll     = 50 * time.Millisecond
)

// end is how a claim's run ended.
type end struct {
	owned core.Row
	state core.State
	// uncertain says that the claim itself may or may not be stored.
	uncertain bool
	answer    *core.Answer
	written   chan struct{}
}

// Finisher is the duty that writes the ends of claims, again until the store
// has taken them. A claim whose end is not written stays in progress and turns
// unknown after its deadline; it never runs again.
type Finisher struct {
	tables  tables.Service
	objects objects.Store
	counter Counter
	ends    *ring.Ring[end]
	pending atomic.Int64 // Ends offered and not written.
}

// NewFinisher returns the duty.
func NewFinisher(service tables.Service, store objects.Store, counter Counter) *Finisher {
	return &Finisher{tables: service, objects: store, counter: counter, ends: ring.New[end](endRing)}
}

func (f *Finisher) done(row core.Row, answer core.Answer) {
	f.offerAndWait(end{owned: row, state: core.Done, answer: &answer})
}

func (f *Finisher) unknown(row core.Row) { f.offerAndWait(end{owned: row, state: core.Unknown}) }

// release frees the key of a claim under which nothing ran, so that the caller
// can use it again at once.
func (f *Finisher) release(row core.Row) { f.offerAndWait(end{owned: row, state: core.Released}) }

// releaseUncertain does so for a claim whose commit may still take effect.
func (f *Finisher) releaseUncertain(row core.Row) {
	f.offer(end{owned: row, state: core.Released, uncertain: true, written: make(chan struct{})})
}

// offerAndWait gives the first write a moment, since the caller may come back
// with the same key as soon as it has its answer.
func (f *Finisher) offerAndWait(e end) {
	e.written = make(chan struct{})
	f.offer(e)
	timer := time.NewTimer(endWait)
	defer timer.Stop()
	select {
	case <-e.written:
	case <-timer.C:
	}
}

func (f *Finisher) offer(e end) {
	f.pending.Add(1)
	if !f.ends.Offer(e) {
		f.pending.Add(-1)
		f.counter.Count("claim", "end_ring_full")
	}
}

// Run writes ends until ctx ends, then what is left for a bounded time.
func (f *Finisher) Run(ctx context.Context) {
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	var writers sync.WaitGroup
	for range endsAtOnce {
		writers.Add(1)
		go func() {
			defer writers.Done()
			f.writeAll(life)
		}()
	}
	<-ctx.Done()
	f.drain()
	stop()
	writers.Wait()
}

func (f *Finisher) writeAll(life context.Context) {
	for {
		select {
		case e := <-f.ends.Items():
			f.write(life, e)
			f.pending.Add(-1)
		case <-life.Done():
			return
		}
	}
}

// drain waits for the writers; what the store does not take stays in progress.
func (f *Finisher) drain() {
	for waited := time.Duration(0); f.pending.Load() > 0 && waited < drainedEnough; waited += drainPoll {
		time.Sleep(drainPoll)
	}
}

func (f *Finisher) write(ctx context.Context, e end) {
	for ctx.Err() == nil {
		if f.try(ctx, e) {
			close(e.written)
			return
		}
		f.counter.Count("claim", "end_written_again")
		timer := time.NewTimer(endRetry)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// try writes the end if the row is still open to its owner, and reports
// whether that is settled.
func (f *Finisher) try(ctx context.Context, e end) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := keyOf(e.owned)
	row, version, err := read(ctx, f.tables, key)
	switch {
	case errors.Is(err, tables.ErrNotFound) && e.uncertain:
		// Takes the place of a commit that may still come.
		row = e.owned
	case errors.Is(err, tables.ErrNotFound):
		return true
	case err != nil:
		return false
	case !row.MayComplete(e.owned.Owner):
		return true
	}
	if row, err = f.ended(ctx, row, e); err != nil {
		return false
	}
	return commit(ctx, f.tables, tables.Condition{Key: key, Version: version}, row) == nil
}

func (f *Finisher) ended(ctx context.Context, row core.Row, e end) (core.Row, error) {
	if e.state == core.Released {
		return row.Release(time.Now()), nil
	}
	answer, err := f.stored(ctx, row, e.answer)
	row.State = e.state
	row.Answer = answer
	return row, err
}

// stored moves a large body to the object store.
func (f *Finisher) stored(ctx context.Context, row core.Row, answer *core.Answer) (*core.Answer, error) {
	if answer == nil || len(answer.Body) <= inlineBytes {
		return answer, nil
	}
	moved := *answer
	moved.Body = nil
	moved.Object = "claim-" + core.RowName(row.Team, row.Key) + "-" + row.Owner
	return &moved, f.objects.Put(ctx, moved.Object, answer.Body)
}
