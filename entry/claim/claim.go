// Package claim runs a request that may not be repeated at most once for each
// Idempotency-Key. The claim, a row of the table service, is committed before
// the first attempt; a later submission of the key finds it and is answered
// from it. Without a key each submission is a request of its own, and the
// relay attempts it again only with proof that nothing ran.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	core "flamingospar.org/core/claim"
	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/pipeline"
	"flamingospar.org/platform/objects"
	"flamingospar.org/platform/tables"
)

// HeaderKey carries the caller's idempotency key.
const HeaderKey = "Idempotency-Key"

// HeaderReplayed marks a stored answer that is sent again.
const HeaderReplayed = "Idempotent-Replayed"

const (
	tableName = "claims"
	// doubtfulTable lists the claims whose outcome is unknown.
	doubtfulTable = "claims_unknown"
	// storeTimeout bounds one call to the store while the caller waits.
	storeTimeout    = 2 * time.Second
	storeRetryAfter = 2 * time.Second
	maxRunningWait  = 5 * time.Second
	inlineBytes     = 4 << 10 // Of an answer's body in the row itself.
	maxAnswerBytes  = 8 << 20 // Of an answer's body that is stored at all.
)

// Counter counts events and observes values by name.
type Counter interface {
	Count(parts ...string)
	Observe(value int64, parts ...string)
}

// Filter is the claim filter.
type Filter struct {
	tables    tables.Service
	objects   objects.Store
	finisher  *Finisher
	counter   Counter
	retention time.Duration
}

// New returns the filter. Ends of runs are written by finisher; a stored answer
// is kept for retention.
func New(service tables.Service, store objects.Store, finisher *Finisher, counter Counter, retention time.Duration) *Filter {
	return &Filter{tables: service, objects: store, finisher: finisher, counter: counter, retention: retention}
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "claim" }

// Request implements pipeline.Filter.
func (f *Filter) Request(ctx context.Context, x *pipeline.Exchange) *refusal.Refusal {
	values := x.Request.Header.Values(HeaderKey)
	if x.Repeatable || len(values) == 0 {
		return nil
	}
	if len(values) > 1 || !core.ValidKey(values[0]) {
		return refusal.New(refusal.IdempotencyInvalid, "the Idempotency-Key header is not one key of 1 to %d printable characters", core.MaxKeyBytes)
	}
	wanted := core.Row{
		Team:     x.Team,
		Key:      values[0],
		Request:  core.HashRequest(x.Request.Method, x.Request.URL.RequestURI(), x.Body),
		Owner:    x.ID,
		State:    core.Running,
		Deadline: x.Deadline.UnixMilli(),
		Expires:  time.Now().Add(f.retention).UnixMilli(),
	}
	began := time.Now()
	stored, err := f.take(ctx, wanted)
	f.counter.Observe(time.Since(began).Microseconds(), "claim_micros")
	switch {
	case err != nil:
		f.counter.Count("claim", "store_unavailable")
		f.finisher.releaseUncertain(wanted)
		return refusal.New(refusal.StoreUnavailable, "the claim of the key could not be stored: %v", err).WithRetryAfter(storeRetryAfter)
	case stored != nil:
		return f.answerTaken(ctx, x, *stored, wanted.Request)
	}
	f.counter.Count("claim", "taken")
	x.Claim = &held{row: wanted, recorder: record(x)}
	return nil
}

// held is a claim that this entry's submission owns.
type held struct {
	row      core.Row
	recorder *recorder
}

// Response implements pipeline.Filter: it writes how the run ended.
func (f *Filter) Response(_ context.Context, x *pipeline.Exchange) {
	claim, ok := x.Claim.(*held)
	if !ok {
		return
	}
	_ = http.NewResponseController(x.Writer).Flush()
	switch {
	case x.Outcome == refusal.Ran && claim.recorder.whole(x):
		f.finisher.done(claim.row, claim.recorder.answer())
	case x.Outcome == refusal.NotRun:
		f.finisher.release(claim.row)
	default:
		f.finisher.unknown(claim.row)
	}
}

// take commits the row. It returns the stored row when the key is taken, and
// an error when it is not known whether the claim is held.
func (f *Filter) take(ctx context.Context, wanted core.Row) (*core.Row, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	condition := tables.Condition{Key: keyOf(wanted)}
	for {
		commitErr := commit(ctx, f.tables, condition, wanted)
		if commitErr == nil {
			return nil, nil
		}
		// After a lost answer the row tells whose claim took effect.
		row, version, err := read(ctx, f.tables, condition.Key)
		switch {
		case err != nil:
			return nil, errors.Join(commitErr, err)
		case row.State == core.Released && row.Owner != wanted.Owner:
			condition.Version = version
		case row.Owner == wanted.Owner:
			f.counter.Count("claim", "lost_answer_recognised")
			return nil, nil
		default:
			return &row, nil
		}
	}
}

func keyOf(row core.Row) tables.Key {
	return tables.Key{Table: tableName, Row: core.RowName(row.Team, row.Key)}
}

// commit stores the row and keeps the index of doubtful claims in step.
func commit(ctx context.Context, service tables.Service, condition tables.Condition, row core.Row) error {
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	indexKey := tables.Key{Table: doubtfulTable, Row: condition.Key.Row}
	txn := tables.Txn{
		Conditions: []tables.Condition{condition},
		Writes:     []tables.Write{{Key: condition.Key, Value: value}},
	}
	switch {
	case row.State == core.Unknown:
		txn.Writes = append(txn.Writes, tables.Write{Key: indexKey, Value: value})
	case condition.Version > 1:
		txn.Writes = append(txn.Writes, tables.Write{Key: indexKey, Delete: true})
	}
	return service.Commit(ctx, txn)
}

func read(ctx context.Context, service tables.Service, key tables.Key) (core.Row, int64, error) {
	stored, err := service.Get(ctx, key)
	if err != nil {
		return core.Row{}, 0, err
	}
	var row core.Row
	err = json.Unmarshal(stored.Value, &row)
	return row, stored.Version, err
}
