// Package configview keeps the configuration in force at this entry: it follows
// the log of changes in the table service and writes operators' changes to it.
package configview

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"flamingospar.org/base/invariant"
	"flamingospar.org/base/logging"
	"flamingospar.org/core/config"
	"flamingospar.org/platform/tables"
)

// Places in the table service.
const (
	tableName = "config"
	headRow   = "head"
	changeRow = "change/%020d"
	prefix    = "change/"
)

const (
	pollInterval = 2 * time.Second
	readTimeout  = 1500 * time.Millisecond
	changesAtOne = 500
)

var log = logging.For("entry/config")

// ErrRaced means that another operator's change came first.
var ErrRaced = errors.New("config: another change was accepted first; remedy: look at it and send yours again")

// head is the value of the head row.
type head struct {
	Revision config.Revision `json:"revision"`
}

// View follows the configuration. It is safe for concurrent use.
type View struct {
	tables tables.Service

	mu      sync.Mutex // Serialises catching up.
	current atomic.Pointer[config.State]
}

// New returns a view that holds nothing yet.
func New(service tables.Service) *View { return &View{tables: service} }

// Current returns the state in force, nil before the first successful read.
func (v *View) Current() *config.State { return v.current.Load() }

// Run follows the log until ctx ends.
func (v *View) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if err := v.CatchUp(ctx); err != nil {
			log.Error(err, "The configuration could not be read; the last one stays in force.")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// CatchUp reads the changes that are not yet in force here.
func (v *View) CatchUp(ctx context.Context) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	stored, _, err := v.readHead(ctx)
	if err != nil {
		return err
	}
	state := v.current.Load()
	if state == nil {
		state = config.Empty()
	}
	for state.Revision < stored.Revision {
		state, err = v.applyNext(ctx, state)
		if err != nil {
			return err
		}
	}
	v.install(state)
	return nil
}

func (v *View) applyNext(ctx context.Context, state *config.State) (*config.State, error) {
	rows, err := v.tables.Scan(ctx, tableName, prefix, fmt.Sprintf(changeRow, state.Revision+1), changesAtOne)
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, fmt.Errorf("config: change %d is missing", state.Revision+1)
	}
	for _, row := range rows {
		var change config.Change
		if err := json.Unmarshal(row.Value, &change); err != nil {
			return nil, err
		}
		if state, err = state.Apply(change); err != nil {
			return nil, err
		}
	}
	return state, nil
}

func (v *View) install(state *config.State) {
	before := v.current.Load()
	if before == state {
		return
	}
	if before != nil {
		invariant.Check(state.Revision >= before.Revision, invariant.RevisionNeverFalls, "revision %d after %d", state.Revision, before.Revision)
	}
	v.current.Store(state)
	log.Info("A new revision is in force.", "revision", state.Revision)
}

// readHead returns the head and the version of its row, 0 when there is none.
func (v *View) readHead(ctx context.Context) (head, int64, error) {
	row, err := v.tables.Get(ctx, tables.Key{Table: tableName, Row: headRow})
	if errors.Is(err, tables.ErrNotFound) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, err
	}
	var stored head
	err = json.Unmarshal(row.Value, &stored)
	return stored, row.Version, err
}

// Write commits change as the revision after base and returns it. A base that
// is no longer the head gives ErrRaced; base 0 means any.
func (v *View) Write(ctx context.Context, base config.Revision, change config.Change) (config.Revision, error) {
	stored, version, err := v.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if base != 0 && base != stored.Revision {
		return 0, ErrRaced
	}
	change.Revision = stored.Revision + 1
	change.UnixMillis = time.Now().UnixMilli()
	txn, err := writeTxn(change, version)
	if err != nil {
		return 0, err
	}
	if err := v.tables.Commit(ctx, txn); err != nil {
		if errors.Is(err, tables.ErrConflict) {
			return 0, ErrRaced
		}
		return 0, err
	}
	return change.Revision, v.CatchUp(ctx)
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
	headKey := tables.Key{Table: tableName, Row: headRow}
	changeKey := tables.Key{Table: tableName, Row: fmt.Sprintf(changeRow, change.Revision)}
	return tables.Txn{
		Conditions: []tables.Condition{{Key: headKey, Version: headVersion}, {Key: changeKey}},
		Writes:     []tables.Write{{Key: headKey, Value: headValue}, {Key: changeKey, Value: value}},
	}, nil
}
