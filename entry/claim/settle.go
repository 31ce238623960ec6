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
	maxListed     = 1000
	sweepInterval = 5 * time.Second
	sweepRows     = 100
)

var log = logging.For("entry/claim")

// mistake is an operator's request that cannot be met.
type mistake string

// Error implements error.
func (m mistake) Error() string { return string(m) }

// Mistake marks the error for the operators' interface.
func (m mistake) Mistake() bool { return true }

// Errors of settling.
const (
	ErrNotDoubtful mistake = "claim: no claim of unknown outcome has this team and key; remedy: list them with `flamingospar request list`"
	ErrBadOutcome  mistake = `claim: the outcome is neither "ran" nor "not-run"; remedy: give what the service shows`
)

// Register reads and settles the claims whose outcome is unknown.
type Register struct {
	tables  tables.Service
	objects objects.Store
}

// NewRegister returns the register of the claims in service.
func NewRegister(service tables.Service, store objects.Store) *Register {
	return &Register{tables: service, objects: store}
}

// Doubtful returns claims of unknown outcome, at most maxListed.
func (r *Register) Doubtful(ctx context.Context) ([]core.Row, error) {
	stored, err := r.tables.Scan(ctx, doubtfulTable, "", "", maxListed)
	if err != nil {
		return nil, err
	}
	rows := make([]core.Row, 0, len(stored))
	for _, one := range stored {
		var row core.Row
		if err := json.Unmarshal(one.Value, &row); err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// Settle states what became of the run behind a key, as an operator found it
// at the service. After "not-run" the caller may use the key again.
func (r *Register) Settle(ctx context.Context, team, key, outcome, operator string) error {
	row, version, err := read(ctx, r.tables, tables.Key{Table: tableName, Row: core.RowName(team, key)})
	if errors.Is(err, tables.ErrNotFound) {
		return ErrNotDoubtful
	}
	if err != nil {
		return err
	}
	stale := row.State == core.Running && row.Remaining(time.Now()) < 0
	if row.State != core.Unknown && !stale {
		return ErrNotDoubtful
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
	return commit(ctx, r.tables, tables.Condition{Key: keyOf(row), Version: version}, row)
}

// Run deletes expired rows until ctx ends, a slice of the table at a time.
func (r *Register) Run(ctx context.Context) {
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

// sweep deletes the expired rows of the slice from start and returns where the
// next one begins.
func (r *Register) sweep(ctx context.Context, start string) string {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := r.tables.Scan(ctx, tableName, "", start, sweepRows)
	if err != nil {
		return start
	}
	now := time.Now()
	var txn tables.Txn
	for _, one := range stored {
		var row core.Row
		if json.Unmarshal(one.Value, &row) != nil || !row.Expired(now) {
			continue
		}
		if row.Answer != nil && row.Answer.Object != "" {
			_ = r.objects.Delete(ctx, row.Answer.Object)
		}
		txn.Conditions = append(txn.Conditions, tables.Condition{Key: one.Key, Version: one.Version})
		txn.Writes = append(txn.Writes, tables.Write{Key: one.Key, Delete: true})
	}
	if len(txn.Writes) > 0 {
		_ = r.tables.Commit(ctx, txn)
	}
	if len(stored) < sweepRows {
		return ""
	}
	return stored[len(stored)-1].Key.Row + "0"
}
