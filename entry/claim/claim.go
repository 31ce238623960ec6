// Package claim runs a non-idempotent request at most once for each
// Idempotency-Key. The claim is a row in the table service that is committed
// before the first attempt; later submissions with the same key are answered
// from it. Without a key, each submission is a separate request, and the relay
// retries it only with proof that nothing ran.
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

// HeaderKey is the name of the header with the caller's idempotency key.
const HeaderKey = "Idempotency-Key"

// HeaderReplayed is the name of the header that marks a replayed answer.
const HeaderReplayed = "Idempotent-Replayed"

const (
	tableName = "claims"
	// unknownTable is an index of the claims whose outcome is unknown.
	unknownTable = "claims_unknown"
	// storeTimeout bounds one call to the store, since a caller may be waiting for
	// it.
	storeTimeout            = 2 * time.Second
	storeRetryAfter         = 2 * time.Second
	maxInProgressRetryAfter = 5 * time.Second
	maxInlineBodyBytes      = 4 << 10 // A larger body goes to the object store.
	maxStoredBodyBytes      = 8 << 20 // A larger body is not stored.
)

// Counter counts events and observes values by name.
type Counter interface {
	Count(parts ...string)
	Observe(value int64, parts ...string)
}

// Filter is the pipeline filter that claims idempotency keys.
type Filter struct {
	tables    tables.Service
	objects   objects.Store
	outcomes  *OutcomeWriter
	counter   Counter
	retention time.Duration
}

// New returns the filter. outcomes writes the outcomes of runs; claims and their
// stored answers are kept for retention.
func New(service tables.Service, store objects.Store, outcomes *OutcomeWriter, counter Counter, retention time.Duration) *Filter {
	return &Filter{tables: service, objects: store, outcomes: outcomes, counter: counter, retention: retention}
}

func (f *Filter) Name() string { return "claim" }

// Request claims the key of a non-idempotent request, or answers the request if
// its key is already claimed.
func (f *Filter) Request(ctx context.Context, x *pipeline.Exchange) *refusal.Refusal {
	values := x.Request.Header.Values(HeaderKey)
	if x.Repeatable || len(values) == 0 {
		return nil
	}
	if len(values) > 1 || !core.ValidKey(values[0]) {
		return refusal.New(refusal.IdempotencyInvalid, "the Idempotency-Key header is not one key of 1 to %d printable characters", core.MaxKeyBytes)
	}
	newClaim := core.Row{
		Team:     x.Team,
		Key:      values[0],
		Request:  core.HashRequest(x.Request.Method, x.Request.URL.RequestURI(), x.Body),
		Owner:    x.ID,
		State:    core.Running,
		Deadline: x.Deadline.UnixMilli(),
		Expires:  time.Now().Add(f.retention).UnixMilli(),
	}
	start := time.Now()
	stored, err := f.acquire(ctx, newClaim)
	f.counter.Observe(time.Since(start).Microseconds(), "claim_micros")
	switch {
	case err != nil:
		f.counter.Count("claim", "store_unavailable")
		f.outcomes.releaseUncertain(newClaim)
		return refusal.New(refusal.StoreUnavailable, "the claim of the idempotency key could not be stored: %v", err).WithRetryAfter(storeRetryAfter)
	case stored != nil:
		return f.answerClaimed(ctx, x, *stored, newClaim.Request)
	}
	f.counter.Count("claim", "taken")
	x.Claim = &ownedClaim{row: newClaim, recorder: newRecorder(x)}
	return nil
}

// ownedClaim is a claim that was acquired for this exchange.
type ownedClaim struct {
	row      core.Row
	recorder *recorder
}

// Response stores the outcome of the run.
func (f *Filter) Response(_ context.Context, x *pipeline.Exchange) {
	claim, ok := x.Claim.(*ownedClaim)
	if !ok {
		return
	}
	_ = http.NewResponseController(x.Writer).Flush()
	switch {
	case x.Outcome == refusal.Ran && claim.recorder.isComplete(x):
		f.outcomes.complete(claim.row, claim.recorder.answer())
	case x.Outcome == refusal.NotRun:
		f.outcomes.release(claim.row)
	default:
		f.outcomes.markUnknown(claim.row)
	}
}

// acquire commits the row. It returns the stored row if the key is already
// claimed, and an error if it is not known whether this claim was committed.
func (f *Filter) acquire(ctx context.Context, newClaim core.Row) (*core.Row, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	condition := tables.Condition{Key: rowKey(newClaim)}
	for {
		commitErr := commitRow(ctx, f.tables, condition, newClaim)
		if commitErr == nil {
			return nil, nil
		}
		// If the reply to the commit was lost, the row shows which claim was
		// committed.
		row, version, err := readRow(ctx, f.tables, condition.Key)
		switch {
		case err != nil:
			return nil, errors.Join(commitErr, err)
		case row.State == core.Released && row.Owner != newClaim.Owner:
			condition.Version = version
		case row.Owner == newClaim.Owner:
			f.counter.Count("claim", "lost_answer_recognised")
			return nil, nil
		default:
			return &row, nil
		}
	}
}

func rowKey(row core.Row) tables.Key {
	return tables.Key{Table: tableName, Row: core.RowName(row.Team, row.Key)}
}

// commitRow stores the row and updates the index of claims of unknown outcome in
// the same transaction.
func commitRow(ctx context.Context, service tables.Service, condition tables.Condition, row core.Row) error {
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	indexKey := tables.Key{Table: unknownTable, Row: condition.Key.Row}
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

func readRow(ctx context.Context, service tables.Service, key tables.Key) (core.Row, int64, error) {
	stored, err := service.Get(ctx, key)
	if err != nil {
		return core.Row{}, 0, err
	}
	var row core.Row
	err = json.Unmarshal(stored.Value, &row)
	return row, stored.Version, err
}
