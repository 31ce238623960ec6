package configview

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"flamingospar.org/core/config"
	"flamingospar.org/platform/tables"
)

const (
	writeAttempts = 5
	commitRepeats = 3
	commitTimeout = 2 * time.Second
)

// Errors of a write.
var (
	// ErrRaced means that another operator's change came first.
	ErrRaced = errors.New("config: another change was accepted first; remedy: look at it and send yours again")
	// ErrInDoubt means that the store did not say whether it took the change.
	ErrInDoubt = errors.New("config: the store did not answer, the change may have been accepted; remedy: send it again with the same id, or look at the history")
	// ErrIDReused means that another change was accepted under the same id.
	ErrIDReused = errors.New("config: another change was accepted under this id; remedy: send yours with a new id")
	// ErrNoCatalogue means that no catalogue was in force at a revision.
	ErrNoCatalogue = errors.New("config: no catalogue is kept for this revision; remedy: choose one from the history")
)

// Write commits change as the revision after base and returns its revision. A
// base that is no longer the head gives ErrRaced; base 0 means any. A change
// whose ID was accepted before is not made again.
func (v *View) Write(ctx context.Context, base config.Revision, change config.Change) (config.Revision, error) {
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	for range writeAttempts {
		revision, err := v.tryWrite(ctx, base, change)
		if base == 0 && errors.Is(err, ErrRaced) {
			v.count("config", "write_raced")
			continue
		}
		if err == nil {
			v.compact(ctx, revision)
		}
		return revision, err
	}
	return 0, ErrRaced
}

func (v *View) tryWrite(ctx context.Context, base config.Revision, change config.Change) (config.Revision, error) {
	v.following.Lock()
	defer v.following.Unlock()
	stored, err := v.readStore(ctx)
	if err != nil {
		return 0, err
	}
	if revision, err := v.acceptedAs(ctx, change); revision != 0 || err != nil {
		return revision, err
	}
	if base != 0 && base != stored.Revision {
		return 0, ErrRaced
	}
	if err := v.heldOrEmpty().Check(change); err != nil {
		return 0, err
	}
	change.Revision = stored.Revision + 1
	change.UnixMillis = time.Now().UnixMilli()
	txn, err := writeTxn(change, stored.version)
	if err != nil {
		return 0, err
	}
	if err := v.commit(ctx, txn, change); err != nil {
		return 0, err
	}
	_, err = v.readStore(ctx)
	if err != nil {
		v.mu.Lock()
		v.take([]config.Change{change})
		v.mu.Unlock()
	}
	return change.Revision, nil
}

// commit commits txn. When the answer is lost, the same transaction is sent
// again: its condition on the head row makes it take effect at most once, and
// the row of the change's id tells whether it did.
func (v *View) commit(ctx context.Context, txn tables.Txn, change config.Change) error {
	for range commitRepeats {
		err := v.commitOnce(ctx, txn)
		if err == nil {
			return nil
		}
		if !errors.Is(err, tables.ErrConflict) {
			v.count("config", "commit_repeated")
			continue
		}
		revision, err := v.acceptedAs(ctx, change)
		if err != nil {
			return errors.Join(ErrInDoubt, err)
		}
		if revision == 0 {
			return ErrRaced
		}
		v.count("config", "commit_recognised")
		return nil
	}
	return ErrInDoubt
}

func (v *View) commitOnce(ctx context.Context, txn tables.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return v.tables.Commit(ctx, txn)
}

// accepted is the value of the row of a change's id.
type accepted struct {
	Revision config.Revision `json:"revision"`
	Digest   string          `json:"digest"`
}

// acceptedAs returns the revision that a change became, 0 when its id is new.
func (v *View) acceptedAs(ctx context.Context, change config.Change) (config.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var earlier accepted
	if _, err := v.readRow(ctx, idRow+change.ID, &earlier); err != nil {
		return 0, err
	}
	if earlier.Revision != 0 && earlier.Digest != change.Digest() {
		return 0, ErrIDReused
	}
	return earlier.Revision, nil
}

func writeTxn(change config.Change, headVersion int64) (tables.Txn, error) {
	value, err := json.Marshal(change)
	if err != nil {
		return tables.Txn{}, err
	}
	headValue, err := json.Marshal(head{Revision: change.Revision})
	if err != nil {
		return tables.Txn{}, err
	}
	idValue, err := json.Marshal(accepted{Revision: change.Revision, Digest: change.Digest()})
	if err != nil {
		return tables.Txn{}, err
	}
	headKey := tables.Key{Table: tableName, Row: headRow}
	changeKey := tables.Key{Table: tableName, Row: fmt.Sprintf(changeRow, change.Revision)}
	idKey := tables.Key{Table: tableName, Row: idRow + change.ID}
	return tables.Txn{
		Conditions: []tables.Condition{{Key: headKey, Version: headVersion}, {Key: changeKey}, {Key: idKey}},
		Writes:     []tables.Write{{Key: headKey, Value: headValue}, {Key: changeKey, Value: value}, {Key: idKey, Value: idValue}},
	}, nil
}

// Rollback puts back the catalogue that was in force at revision to, as a new
// revision after base. Keys are not rolled back: a withdrawn key stays out.
func (v *View) Rollback(ctx context.Context, base, to config.Revision, operator string) (config.Revision, error) {
	document, err := v.catalogueAt(ctx, to)
	if err != nil {
		return 0, err
	}
	change := document
	change.ID, change.Operator, change.RollbackTo = "", operator, to
	return v.Write(ctx, base, change)
}

// catalogueAt returns the last change of the catalogue up to a revision.
func (v *View) catalogueAt(ctx context.Context, to config.Revision) (config.Change, error) {
	for end := to; end > 0; end -= changesAtOne {
		from := max(1, end-changesAtOne+1)
		changes, err := v.History(ctx, from, int(end-from+1))
		if err != nil {
			return config.Change{}, err
		}
		for i := len(changes) - 1; i >= 0; i-- {
			if changes[i].Catalogue != nil && changes[i].Revision <= to {
				return config.Change{Catalogue: changes[i].Catalogue}, nil
			}
		}
	}
	return config.Change{}, ErrNoCatalogue
}

// History returns at most limit accepted changes from a revision on: who
// changed what and when.
func (v *View) History(ctx context.Context, from config.Revision, limit int) ([]config.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return v.scan(ctx, from, min(limit, changesAtOne))
}
