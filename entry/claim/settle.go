package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"flamingospar.org/base/logging"
	core "flamingospar.org/core/claim"
	"flamingospar.org/core/refusal"
	"flamingospar.org/platform/objects"
	"flamingospar.org/platform/tables"
)

const (
	maxListedClaims = 1000
	sweepInterval   = 5 * time.Second
	sweepBatchRows  = 100
)

var log = logging.For("entry/claim")

// operatorError is the error for an invalid request of an operator.
type operatorError string

func (m operatorError) Error() string { return string(m) }

// Mistake reports to the operator API that the request is invalid, as opposed to a
// failure of the store.
func (m operatorError) Mistake() bool { return true }

// Errors returned by Registry.Settle.
const (
	ErrNotUnknown operatorError = "claim: no claim of unknown outcome has this team and key; remedy: list them with `flamingospar request list`"
	ErrBadOutcome operatorError = `claim: the outcome is neither "ran" nor "not-run"; remedy: give what the service shows`
)

// Registry lists and settles the claims whose outcome is unknown and deletes
// expired claims.
type Registry struct {
	tables  tables.Service
	objects objects.Store
}

// NewRegistry returns a Registry of the claims in service and of the answers in
// store.
func NewRegistry(service tables.Service, store objects.Store) *Registry {
	return &Registry{tables: service, objects: store}
}

// ListUnknown returns at most maxListedClaims claims of unknown outcome.
func (r *Registry) ListUnknown(ctx context.Context) ([]core.Row, error) {
	stored, err := r.tables.Scan(ctx, unknownTable, "", "", maxListedClaims)
	if err != nil {
		return nil, err
	}
	rows := make([]core.Row, 0, len(stored))
	for _, item := range stored {
		var row core.Row
		if err := json.Unmarshal(item.Value, &row); err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// Settle stores the outcome that an operator found at the service for the request
// of a key. After "not-run" the caller may use the key again.
func (r *Registry) Settle(ctx context.Context, team, key, outcome, operator string) error {
	row, version, err := readRow(ctx, r.tables, tables.Key{Table: tableName, Row: core.RowName(team, key)})
	if errors.Is(err, tables.ErrNotFound) {
		return ErrNotUnknown
	}
	if err != nil {
		return err
	}
	stale := row.State == core.Running && row.Remaining(time.Now()) < 0
	if row.State != core.Unknown && !stale {
		return ErrNotUnknown
	}
	row.SettledBy = operator
	if row.SettledBy == "" {
		row.SettledBy = "operator"
	}
	switch outcome {
	case refusal.Ran.String():
		row.State = core.Done
	case refusal.NotRun.String():
		row = row.Release(time.Now())
	default:
		return ErrBadOutcome
	}
	log.Info("An operator settled a claim.", "team", team, "outcome", outcome, "operator", row.SettledBy)
	return commitRow(ctx, r.tables, tables.Condition{Key: rowKey(row), Version: version}, row)
}

// Run deletes expired rows in batches until ctx is done.
func (r *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	start := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			start = r.sweep(ctx, start)
		}
	}
}

// sweep deletes the expired rows of the batch that begins at start and returns
// the start of the next batch.
func (r *Registry) sweep(ctx context.Context, start string) string {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := r.tables.Scan(ctx, tableName, "", start, sweepBatchRows)
	if err != nil {
		return start
	}
	now := time.Now()
	var txn tables.Txn
	for _, item := range stored {
		var row core.Row
		if json.Unmarshal(item.Value, &row) != nil || !row.Expired(now) {
			continue
		}
		if row.Answer != nil && row.Answer.Object != "" {
			_ = r.objects.Delete(ctx, row.Answer.Object)
		}
		txn.Conditions = append(txn.Conditions, tables.Condition{Key: item.Key, Version: item.Version})
		txn.Writes = append(txn.Writes, tables.Write{Key: item.Key, Delete: true})
	}
	if len(txn.Writes) > 0 {
		_ = r.tables.Commit(ctx, txn)
	}
	if len(stored) < sweepBatchRows {
		return ""
	}
	return stored[len(stored)-1].Key.Row + "0"
}
