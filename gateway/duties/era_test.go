package duties

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/lease"
	"flamingospar.org/platform/site"
)

// eraFixture is a fixture whose reporters learn when the store comes back from an older
// copy.
type eraFixture struct {
	*fixture
	t *testing.T
}

func newEraFixture(t *testing.T) *eraFixture { return &eraFixture{newFixture(t), t} }

// process returns the reporter of a process with its own client of the store.
func (f *eraFixture) process(name string) *Reporter {
	shared := f.store
	f.store = site.NewStore(f.fakeStore.Address, http.DefaultClient)
	defer func() { f.store = shared }()
	r := f.reporter(name)
	store := r.Store
	r.Lease.SetFirstEpochFunc(func() lease.Epoch { return lease.FirstEpoch(store.Era()) })
	store.OnEra = func(int64, int64) { r.Lease.StoreRestored() }
	return r
}

// run lets a reporter run for a time while counts are written for each window.
func (f *eraFixture) run(r *Reporter, count int64, duration time.Duration) {
	end := f.now.Add(duration)
	for f.now.Before(end) {
		f.writeCounts(f.t, "a/1", windowAt(f.now, windowLength), count)
		f.advance(r, windowLength)
	}
}

// writeRecentCountsAgain writes what one of the processes has counted in recent windows.
func (f *eraFixture) writeRecentCountsAgain() {
	for i := range Window(maxPendingWindows) {
		f.writeCounts(f.t, "other/1", windowAt(f.now, windowLength)-1-i, 1)
	}
}

// requireReportedOnce requires that each window was reported with one count, and returns
// the number of windows reported.
func (f *eraFixture) requireReportedOnce() int {
	f.t.Helper()
	counts := make(map[int64]map[string]int64)
	for _, report := range f.dutyServer.Reports() {
		if first, ok := counts[report.Window]; ok {
			require.Equal(f.t, first, report.Counts, "window %d", report.Window)
		}
		counts[report.Window] = report.Counts
	}
	return len(counts)
}

// The holder of the lease reported windows again, with what was left of their counts,
// after the store had come back from a copy that lacks them.
func TestHolderReportsNoWindowTwiceAfterTheStoreWentBack(t *testing.T) {
	for name, times := range map[string]int{"once": 1, "twice": 2} {
		t.Run(name, func(t *testing.T) {
			f := newEraFixture(t)
			r := f.process("a")
			f.run(r, 5, 6*time.Second)
			copied := f.fakeStore.Copy()
			f.run(r, 6, 6*time.Second)
			reported := f.requireReportedOnce()
			for range times {
				f.fakeStore.Restore(copied)
				f.writeRecentCountsAgain()
				f.run(r, 7, 8*time.Second)
			}
			// Two windows are not due yet at the end, and the counts of two that were not
			// sealed are gone with each copy: no process writes them again here.
			require.GreaterOrEqual(t, f.requireReportedOnce(), reported+8*times-2*times-2, "later windows are reported")
		})
	}
}

// A report that was sent without an answer may have been accepted. It is sent again with
// the same counts.
func TestUnansweredReportKeepsItsCountsAfterTheStoreWentBack(t *testing.T) {
	f := newEraFixture(t)
	r := f.process("a")
	f.run(r, 5, 4*time.Second)
	copied := f.fakeStore.Copy()
	f.dutyServer.LoseResponses(1)
	before := len(f.dutyServer.Reports())
	f.run(r, 9, windowLength)
	reports := f.dutyServer.Reports()
	require.Len(t, reports, before+1)
	f.fakeStore.Restore(copied)
	f.writeRecentCountsAgain()
	f.run(r, 7, 8*time.Second)
	f.requireReportedOnce()
	require.Len(t, f.reportsFor(Window(reports[before].Window)), 2, "it is sent again")
}

// Another process becomes the holder and does not know what the one before has reported.
func TestNextHolderReportsNoWindowAgainAfterTheStoreWentBack(t *testing.T) {
	f := newEraFixture(t)
	first := f.process("a")
	f.run(first, 5, 4*time.Second)
	copied := f.fakeStore.Copy()
	f.run(first, 6, 6*time.Second)
	f.fakeStore.Restore(copied)
	f.writeRecentCountsAgain()
	second := f.process("b")
	f.run(second, 7, 30*time.Second)
	_, held := second.Lease.Fence()
	require.True(t, held)
	reported := f.requireReportedOnce()
	require.GreaterOrEqual(t, reported, 25, "later windows are reported")

	// The third one ends where the second one was, though it seals nothing itself.
	third := f.process("c")
	second.Lease.Release(context.Background())
	f.run(third, 8, 10*time.Second)
	require.Greater(t, f.requireReportedOnce(), reported+5)
}

// The counts of windows that are not sealed yet are gone with the copy. Each process writes
// its own again.
func TestCountsAreWrittenAgainAfterTheStoreWentBack(t *testing.T) {
	f := newEraFixture(t)
	copied := f.fakeStore.Copy()
	writer := NewWriter(f.store, NewTally(f.clock, windowLength), "a/1")
	window := windowAt(f.now, windowLength)
	for i := range Window(3) {
		writer.Tally.open[window+i] = map[string]int64{"team": int64(i) + 1}
		writer.collect(window + i + 1)
		writer.flush(t.Context())
	}
	require.Len(t, writer.Tally.Snapshot(), 1, "only the newest is kept for others")
	f.now = f.now.Add(3 * windowLength)
	f.fakeStore.Restore(copied)
	require.Empty(t, f.fakeStore.Keys(tableCounts))

	writer.StoreRestored()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		writer.Run(ctx)
	}()
	require.Eventually(t, func() bool { return len(f.fakeStore.Keys(tableCounts)) == 3 }, 10*time.Second, 10*time.Millisecond)
	cancel()
	<-done
}

// The offset of the shared clock was gone with an older copy, so that a process that started
// counted requests by its own wall clock.
func TestSharedClockOutlivesAnOlderCopy(t *testing.T) {
	f := newFixture(t)
	copied := f.fakeStore.Copy()
	elapsed := time.Duration(0)
	newClock := func() *SharedClock { return NewSharedClock(f.store, func() time.Duration { return elapsed }) }
	first := newClock()
	require.NoError(t, first.Restore(t.Context()))
	require.Empty(t, f.fakeStore.Keys(tableClock), "a process that goes by its own clock stores nothing")
	require.NoError(t, first.Sync(t.Context()))
	first.set(time.Now().Add(-time.Hour)) // The clocks of VMs differ.
	for range 2 {
		f.fakeStore.Restore(copied)
		require.Error(t, first.Restore(t.Context()), "the first call learns that the store went back")
		require.NoError(t, first.Restore(t.Context()))
		second := newClock()
		require.NoError(t, second.Sync(t.Context()))
		firstNow, _ := first.Now()
		secondNow, _ := second.Now()
		require.WithinDuration(t, firstNow, secondNow, maxOffsetError)
	}
}
