package crashes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/core/blame"
	"flamingospar.org/platform/site"
)

// TableParts is the table of the store with the marks of what is blamed: parts, and requests
// as a whole. Processes learn of them from each other; the table is for the case that all of
// them end.
const TableParts = "crash_parts"

// Times and limits of the backup.
const (
	backupInterval = 1 * time.Second
	backupTimeout  = 1500 * time.Millisecond
	// maxBackupWrites bounds the rows written in one transaction, of which the store
	// accepts 100.
	maxBackupWrites = 50
)

// Store is where what is blamed is kept.
type Store interface {
	Table(ctx context.Context, table string) (site.Page, error)
	Commit(ctx context.Context, tx site.Tx) (site.Page, error)
}

// Backup keeps the marks of what is blamed in the store.
type Backup struct {
	store    Store
	tracker  *Tracker
	mayWrite func() bool

	restored atomic.Bool // The store may have lost rows since the last step.
	loaded   bool
	stored   map[string]string // Content of each row that this process knows, by key.
}

// NewBackup returns the backup of a tracker. mayWrite reports whether this process is among
// the few that write.
func NewBackup(store Store, tracker *Tracker, mayWrite func() bool) *Backup {
	return &Backup{store: store, tracker: tracker, mayWrite: mayWrite}
}

// StoreRestored makes the backup read the rows and write what is missing again, since the
// store came back from an older copy.
func (b *Backup) StoreRestored() { b.restored.Store(true) }

// partRow is the value of a row. Evidence that is cleared is left out.
type partRow struct {
	Part     string        `json:"part"`
	Evidence []evidenceRow `json:"evidence"`
}

type evidenceRow struct {
	Endpoint  string `json:"endpoint"`
	StartedMS int64  `json:"started"`
	Team      string `json:"team"`
	AtMS      int64  `json:"at"` // Unix milliseconds of the VM that wrote it.
}

// Run reads the marks once, and writes what changes until ctx ends.
func (b *Backup) Run(ctx context.Context) {
	for {
		b.step(ctx)
		if !clock.Sleep(ctx, backupInterval) {
			return
		}
	}
}

func (b *Backup) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, backupTimeout)
	defer cancel()
	if b.restored.Swap(false) {
		b.loaded = false
	}
	if !b.loaded && !b.load(ctx) {
		return
	}
	if b.mayWrite() {
		b.write(ctx)
	}
}

// load reads the rows and reports whether that succeeded.
func (b *Backup) load(ctx context.Context) bool {
	page, err := b.store.Table(ctx, TableParts)
	if err != nil {
		log.Info("Parts that crash endpoints can't be read from the store yet.", "reason", err.Error())
		return false
	}
	b.loaded = true
	b.stored = make(map[string]string)
	var marks []blame.Mark
	for _, row := range page.Rows {
		var stored partRow
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			log.Info("A row does not describe a part that crashes endpoints; it will be removed.", "row", row.Key)
			b.stored[row.Key] = ""
			continue
		}
		mark := stored.decode(time.Now())
		b.stored[row.Key] = signature(mark)
		marks = append(marks, mark)
	}
	b.tracker.merge(marks, "the store")
	return true
}

// write writes the rows that differ from what is blamed now.
func (b *Backup) write(ctx context.Context) {
	wanted := make(map[string]blame.Mark)
	for _, mark := range b.tracker.blamedMarks() {
		wanted[rowKey(mark.Part)] = mark
	}
	var tx site.Tx
	written := make(map[string]string)
	for _, key := range slices.Sorted(maps.Keys(wanted)) {
		mark := wanted[key]
		if b.stored[key] == signature(mark) || len(tx.Puts) >= maxBackupWrites {
			continue
		}
		value, err := json.Marshal(encodeRow(mark))
		if err != nil {
			log.Error(err, "A part that crashes endpoints can't be encoded for the store.", "part", mark.Part)
			continue
		}
		tx.Put(TableParts, key, value)
		written[key] = signature(mark)
	}
	var removed []string
	for _, key := range slices.Sorted(maps.Keys(b.stored)) {
		if _, ok := wanted[key]; !ok && len(removed) < maxBackupWrites {
			tx.Delete(TableParts, key)
			removed = append(removed, key)
		}
	}
	if len(written)+len(removed) == 0 {
		return
	}
	if _, err := b.store.Commit(ctx, tx); err != nil {
		log.Info("Parts that crash endpoints can't be written to the store yet.", "written", len(written), "removed", len(removed), "reason", err.Error())
		return
	}
	maps.Copy(b.stored, written)
	for _, key := range removed {
		delete(b.stored, key)
	}
}

// rowKey returns the key of a part's row. Callers choose the names of parts, which may
// have characters that a key may not.
func rowKey(part string) string {
	hash := sha256.Sum256([]byte(part))
	return hex.EncodeToString(hash[:16])
}

// signature names the crashes that count against a part. It does not depend on when a
// process learned of them.
func signature(mark blame.Mark) string {
	var crashes []string
	for _, e := range mark.Evidence {
		if !e.Cleared {
			crashes = append(crashes, crashID(e.Crash)+" "+e.Team)
		}
	}
	slices.Sort(crashes)
	return strings.Join(crashes, "\n")
}

func encodeRow(mark blame.Mark) partRow {
	row := partRow{Part: mark.Part}
	for _, e := range mark.Evidence {
		if !e.Cleared {
			row.Evidence = append(row.Evidence, evidenceRow{Endpoint: e.Crash.Endpoint, StartedMS: e.Crash.StartedMS, Team: e.Team, AtMS: e.At.UnixMilli()})
		}
	}
	return row
}

// decode returns the mark of a row. A crash in the future, as the clock of this VM tells,
// counts as one that has just happened.
func (r partRow) decode(now time.Time) blame.Mark {
	mark := blame.Mark{Part: r.Part}
	for _, e := range r.Evidence {
		age := max(now.Sub(time.UnixMilli(e.AtMS)), 0)
		mark.Evidence = append(mark.Evidence, blame.Evidence{Crash: blame.Crash{Endpoint: e.Endpoint, StartedMS: e.StartedMS}, Team: e.Team, At: now.Add(-age)})
	}
	return mark
}
