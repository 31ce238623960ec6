package crashes

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/blame"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

var deadRequest = Request{Team: "a", Path: "/p", Body: []byte("body"), Parts: []string{"dead"}}

func newBackup(store *sitetest.Store) *Backup {
	return NewBackup(site.NewStore(store.Address, http.DefaultClient), New(nil), func() bool { return true })
}

// blameDead lets a tracker learn of crashes by a part.
func blameDead(t *Tracker) {
	for i := range int64(3) {
		t.recordCrash(blame.Crash{Endpoint: "e", StartedMS: i}, []BrokenRun{{Request: Request{Team: "a", Path: "/p", Body: []byte{byte(i)}, Parts: []string{"dead"}}}}, time.Now())
	}
}

// After all processes had ended at once, each part that crashes endpoints had to crash as
// many as before until it was refused again.
func TestBlamedPartsOutliveAllProcesses(t *testing.T) {
	store := sitetest.NewStore(t)
	first := newBackup(store)
	first.step(t.Context())
	blameDead(first.tracker)
	require.True(t, first.tracker.Decide(deadRequest).Refused)
	first.step(t.Context())

	second := newBackup(store)
	second.step(t.Context())
	require.True(t, second.tracker.Decide(deadRequest).Refused)

	second.tracker.RecordAnswer(deadRequest)
	second.step(t.Context())
	third := newBackup(store)
	third.step(t.Context())
	require.False(t, third.tracker.Decide(deadRequest).Refused, "an answer clears the row too")
}

// The backup waits for a store that is down, ignores rows that can't be read, and writes
// nothing that is known to be stored.
func TestBackupOfBlamedPartsBearsFaults(t *testing.T) {
	store := sitetest.NewStore(t)
	store.PutRaw(TableParts, "malformed", []byte("{"))
	store.SetDown(true)
	b := newBackup(store)
	writes := 0
	b.store.(*site.Store).OnCall = func(call site.StoreCall) {
		if call.Kind == "commit" && call.Result == "done" {
			writes++
		}
	}
	b.step(t.Context())
	blameDead(b.tracker)
	b.step(t.Context())
	require.Zero(t, writes)
	store.SetDown(false)
	for range 4 {
		b.step(t.Context())
	}
	require.Equal(t, 1, writes)
	require.NotNil(t, store.Value(TableParts, rowKey("dead")))
	require.Nil(t, store.Value(TableParts, "malformed"))

	other := newBackup(store)
	other.mayWrite = func() bool { return false }
	other.step(t.Context())
	other.tracker.RecordAnswer(deadRequest)
	other.step(t.Context())
	require.NotNil(t, store.Value(TableParts, rowKey("dead")), "only a few processes write")
}

// The clocks of VMs differ: a crash that another VM has recorded may lie in the future.
func TestBackupBearsClocksThatDiffer(t *testing.T) {
	now := time.Now()
	row := encodeRow(blame.Mark{Part: "dead", Evidence: []blame.Evidence{{Crash: blame.Crash{Endpoint: "e", StartedMS: 1}, Team: "a", At: now.Add(time.Hour)}}})
	require.Equal(t, now, row.decode(now).Evidence[0].At)
}

// The rows were gone with an older copy, and those of parts that had been cleared came back.
func TestBackupIsWrittenAgainAfterTheStoreWentBack(t *testing.T) {
	store := sitetest.NewStore(t)
	empty := store.Copy()
	b := newBackup(store)
	b.store.(*site.Store).OnEra = func(int64, int64) { b.StoreRestored() }
	blameDead(b.tracker)
	b.step(t.Context())
	written := store.Copy()
	for _, copied := range []sitetest.Copy{empty, empty} {
		store.Restore(copied)
		store.Put("other", "key", 1)
		_, _ = b.store.Table(t.Context(), "other") // Any call learns of it, and fails.
		b.step(t.Context())
		require.NotNil(t, store.Value(TableParts, rowKey("dead")))
	}
	b.tracker.RecordAnswer(deadRequest)
	b.step(t.Context())
	store.Restore(written)
	_, _ = b.store.Table(t.Context(), "other") // Likewise.
	b.step(t.Context())
	require.False(t, b.tracker.Decide(deadRequest).Refused)
	require.Nil(t, store.Value(TableParts, rowKey("dead")))
}
