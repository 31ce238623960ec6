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
	outcomeQueueSize   = 4096
	writeRetryInterval = 500 * time.Millisecond
	firstWriteWait     = 150 * time.Millisecond
	outcomeWriters     = 16
	drainTimeout       = 15 * time.Second
	drainPollInterval  = 50 * time.Millisecond
)

// outcome is the final state of a claim, waiting to be written.
type outcome struct {
	claim core.Row
	state core.State
	// uncertain is set if it is not known whether the claim itself was stored.
	uncertain bool
	answer    *core.Answer
	written   chan struct{} // Closed when no further write is needed.
}

// OutcomeWriter is the background task that writes the outcomes of claims and
// retries until they are stored. A claim whose outcome is never written stays in
// progress and becomes unknown after its deadline; it is never run again.
type OutcomeWriter struct {
	tables  tables.Service
	objects objects.Store
	counter Counter
	queue   *ring.Ring[outcome]
	pending atomic.Int64 // Outcomes queued and not yet written.
}

// NewOutcomeWriter returns an OutcomeWriter.
func NewOutcomeWriter(service tables.Service, store objects.Store, counter Counter) *OutcomeWriter {
	return &OutcomeWriter{tables: service, objects: store, counter: counter, queue: ring.New[outcome](outcomeQueueSize)}
}

func (w *OutcomeWriter) complete(row core.Row, answer core.Answer) {
	w.enqueueAndWait(outcome{claim: row, state: core.Done, answer: &answer})
}

func (w *OutcomeWriter) markUnknown(row core.Row) {
	w.enqueueAndWait(outcome{claim: row, state: core.Unknown})
}

// release frees the key of a claim whose request did not run, so that the caller
// can use the key again at once.
func (w *OutcomeWriter) release(row core.Row) {
	w.enqueueAndWait(outcome{claim: row, state: core.Released})
}

// releaseUncertain releases a claim whose commit may still take effect.
func (w *OutcomeWriter) releaseUncertain(row core.Row) {
	w.enqueue(outcome{claim: row, state: core.Released, uncertain: true, written: make(chan struct{})})
}

// enqueueAndWait waits up to firstWriteWait for the write, since the caller may
// submit the same key again as soon as it has its answer.
func (w *OutcomeWriter) enqueueAndWait(o outcome) {
	o.written = make(chan struct{})
	w.enqueue(o)
	timer := time.NewTimer(firstWriteWait)
	defer timer.Stop()
	select {
	case <-o.written:
	case <-timer.C:
	}
}

func (w *OutcomeWriter) enqueue(o outcome) {
	w.pending.Add(1)
	if !w.queue.Offer(o) {
		w.pending.Add(-1)
		w.counter.Count("claim", "end_ring_full")
	}
}

// Run writes outcomes until ctx is done, then spends at most drainTimeout on those
// still queued.
func (w *OutcomeWriter) Run(ctx context.Context) {
	writerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var writers sync.WaitGroup
	for range outcomeWriters {
		writers.Add(1)
		go func() {
			defer writers.Done()
			w.writeAll(writerCtx)
		}()
	}
	<-ctx.Done()
	w.drain()
	cancel()
	writers.Wait()
}

func (w *OutcomeWriter) writeAll(ctx context.Context) {
	for {
		select {
		case o := <-w.queue.Items():
			w.write(ctx, o)
			w.pending.Add(-1)
		case <-ctx.Done():
			return
		}
	}
}

// drain waits until the writers have stored all outcomes or drainTimeout has
// passed. Claims whose outcomes are not stored by then stay in progress.
func (w *OutcomeWriter) drain() {
	for waited := time.Duration(0); w.pending.Load() > 0 && waited < drainTimeout; waited += drainPollInterval {
		time.Sleep(drainPollInterval)
	}
}

func (w *OutcomeWriter) write(ctx context.Context, o outcome) {
	for ctx.Err() == nil {
		if w.tryWrite(ctx, o) {
			close(o.written)
			return
		}
		w.counter.Count("claim", "end_written_again")
		timer := time.NewTimer(writeRetryInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryWrite writes the outcome if the claim's owner may still complete the row. It
// returns false if the write has to be retried.
func (w *OutcomeWriter) tryWrite(ctx context.Context, o outcome) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := rowKey(o.claim)
	row, version, err := readRow(ctx, w.tables, key)
	switch {
	case errors.Is(err, tables.ErrNotFound) && o.uncertain:
		// Version 0 creates the row, so that the claim's own commit fails if it
		// arrives later.
		row = o.claim
	case errors.Is(err, tables.ErrNotFound):
		return true
	case err != nil:
		return false
	case !row.MayComplete(o.claim.Owner):
		return true
	}
	if row, err = w.finalRow(ctx, row, o); err != nil {
		return false
	}
	return commitRow(ctx, w.tables, tables.Condition{Key: key, Version: version}, row) == nil
}

func (w *OutcomeWriter) finalRow(ctx context.Context, row core.Row, o outcome) (core.Row, error) {
	if o.state == core.Released {
		return row.Release(time.Now()), nil
	}
	answer, err := w.moveLargeBody(ctx, row, o.answer)
	row.State = o.state
	row.Answer = answer
	return row, err
}

// moveLargeBody moves a body above maxInlineBodyBytes to the object store.
func (w *OutcomeWriter) moveLargeBody(ctx context.Context, row core.Row, answer *core.Answer) (*core.Answer, error) {
	if answer == nil || len(answer.Body) <= maxInlineBodyBytes {
		return answer, nil
	}
	moved := *answer
	moved.Body = nil
	moved.Object = "claim-" + core.RowName(row.Team, row.Key) + "-" + row.Owner
	return &moved, w.objects.Put(ctx, moved.Object, answer.Body)
}
