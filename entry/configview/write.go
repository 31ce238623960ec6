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
	maxWriteAttempts  = 5
	maxCommitAttempts = 3
	commitTimeout     = 2 * time.Second
)

// Errors returned by Write and Rollback.
var (
	// ErrRaced means that another change was accepted first.
	ErrRaced = errors.New("config: another change was accepted first; remedy: review it and send yours again")
	// ErrInDoubt means that it is unknown whether the table service accepted the
	// change.
	ErrInDoubt = errors.New("config: the table service did not answer, the change may have been accepted; remedy: send it again with the same id, or check the history")
	// ErrIDReused means that another change was accepted with the same ID.
	ErrIDReused = errors.New("config: another change was accepted with this id; remedy: send yours with a new id")
	// ErrNoCatalogue means that no catalogue is stored for a revision.
	ErrNoCatalogue = errors.New("config: no catalogue is stored for this revision; remedy: choose a revision from the history")
)

// Write commits change as the revision after base and returns its revision. It
// returns ErrRaced if base is no longer the head; base 0 matches any head. A change
// whose ID was accepted before is not applied again.
func (v *View) Write(ctx context.Context, base config.Revision, change config.Change) (config.Revision, error) {
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	for range maxWriteAttempts {
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
	v.storeMu.Lock()
	defer v.storeMu.Unlock()
	stored, err := v.readStore(ctx)
	if err != nil {
		return 0, err
	}
	if revision, err := v.acceptedRevision(ctx, change); revision != 0 || err != nil {
		return revision, err
	}
	if base != 0 && base != stored.Revision {
		return 0, ErrRaced
	}
	if err := v.latestOrEmpty().Check(change); err != nil {
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
		v.apply([]config.Change{change})
		v.mu.Unlock()
	}
	return change.Revision, nil
}

// commit commits txn. If the response is lost, it sends the same transaction
// again: the condition on the head row makes it take effect at most once, and the
// change's ID row shows whether it did.
func (v *View) commit(ctx context.Context, txn tables.Txn, change config.Change) error {
	for range maxCommitAttempts {
		err := v.commitOnce(ctx, txn)
		if err == nil {
			return nil
		}
		if !errors.Is(err, tables.ErrConflict) {
			v.count("config", "commit_repeated")
			continue
		}
		revision, err := v.acceptedRevision(ctx, change)
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

// acceptedChange is the value of a change's ID row.
type acceptedChange struct {
	Revision config.Revision `json:"revision"`
	Digest   string          `json:"digest"`
}

// acceptedRevision returns the revision under which a change was accepted, or 0
// if its ID is new.
func (v *View) acceptedRevision(ctx context.Context, change config.Change) (config.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var earlier acceptedChange
	if _, err := v.readRow(ctx, idPrefix+change.ID, &earlier); err != nil {
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
	idValue, err := json.Marshal(acceptedChange{Revision: change.Revision, Digest: change.Digest()})
	if err != nil {
		return tables.Txn{}, err
	}
	headKey := tables.Key{Table: tableName, Row: headRow}
	changeKey := tables.Key{Table: tableName, Row: fmt.Sprintf(changeRowFormat, change.Revision)}
	idKey := tables.Key{Table: tableName, Row: idPrefix + change.ID}
	return tables.Txn{
		Conditions: []tables.Condition{{Key: headKey, Version: headVersion}, {Key: changeKey}, {Key: idKey}},
		Writes:     []tables.Write{{Key: headKey, Value: headValue}, {Key: changeKey, Value: value}, {Key: idKey, Value: idValue}},
	}, nil
}

// Rollback restores the catalogue that was in force at revision to, as a new
// revision after base. Keys are not rolled back: a withdrawn key stays withdrawn.
func (v *View) Rollback(ctx context.Context, base, to config.Revision, operator string) (config.Revision, error) {
	source, err := v.catalogueAt(ctx, to)
	if err != nil {
		return 0, err
	}
	change := source
	change.ID, change.Operator, change.RollbackTo = "", operator, to
	return v.Write(ctx, base, change)
}

// catalogueAt returns the last catalogue change up to revision.
func (v *View) catalogueAt(ctx context.Context, revision config.Revision) (config.Change, error) {
	for end := revision; end > 0; end -= maxScanChanges {
		from := max(1, end-maxScanChanges+1)
		changes, err := v.History(ctx, from, int(end-from+1))
		if err != nil {
			return config.Change{}, err
		}
		for i := len(changes) - 1; i >= 0; i-- {
			if changes[i].Catalogue != nil && changes[i].Revision <= revision {
				return config.Change{Catalogue: changes[i].Catalogue}, nil
			}
		}
	}
	return config.Change{}, ErrNoCatalogue
}

// History returns at most limit accepted changes, starting at revision from, with
// their operators and times.
func (v *View) History(ctx context.Context, from config.Revision, limit int) ([]config.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return v.scan(ctx, from, min(limit, maxScanChanges))
}
