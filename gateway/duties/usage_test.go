package duties

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

const windowLength = time.Second

// fixture has a store, a server of the operator's API and a clock that tests set.
type fixture struct {
	fakeStore         *sitetest.Store
	store             *site.Store
	dutyServer        *sitetest.DutyServer
	now               time.Time
	storeAvailableFor time.Duration // How long the store has answered without interruption.
	peers             []string      // Instances of the other processes.
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{fakeStore: sitetest.NewStore(t), dutyServer: sitetest.NewDutyServer(t), now: time.Unix(1_000_000, 0), storeAvailableFor: time.Hour}
	f.store = site.NewStore(f.fakeStore.Address, http.DefaultClient)
	return f
}

func (f *fixture) clock() (time.Time, bool) { return f.now, true }

// reporter returns the reporter of a process that has tried once to acquire the lease.
func (f *fixture) reporter(name string) *Reporter {
	keeper := leasekeeper.NewWithClock(f.store.Tables(), "duties", name, func() time.Time { return f.now })
	r := &Reporter{
		Store: f.store, Duty: site.NewDutyClient(f.dutyServer.Address, http.DefaultClient), Lease: keeper, Holder: name,
		Clock: f.clock, WindowLength: windowLength, ReportTimeout: 10 * time.Second, Replicas: NewReplicas(), StoreAvailableFor: func() time.Duration { return f.storeAvailableFor },
		PeerInstances: func() ([]string, bool) { return f.peers, f.peers != nil },
	}
	keeper.Step(context.Background())
	return r
}

func (f *fixture) writeCounts(t *testing.T, instance string, window Window, count int64) {
	t.Helper()
	writer := NewWriter(f.store, NewTally(f.clock, windowLength), instance)
	writer.Tally.open[window] = map[string]int64{"team": count}
	writer.collect(window + 1)
	for range 2 { // The response to the first attempt may be lost.
		writer.flush(context.Background())
	}
	require.Empty(t, writer.pending)
}

// reportDue has a reporter seal and report all windows that are due.
func (f *fixture) reportDue(r *Reporter) {
	for range 2 * maxPendingWindows {
		fence, held := r.Lease.Fence()
		if !held || r.step(context.Background(), fence) > 0 {
			return
		}
	}
}

// advance moves the clock, renews the reporter's lease and has it report what is due.
func (f *fixture) advance(r *Reporter, span time.Duration) {
	f.now = f.now.Add(span)
	r.Lease.Step(context.Background())
	f.reportDue(r)
}

func (f *fixture) reportsFor(window Window) []sitetest.UsageReport {
	var reports []sitetest.UsageReport
	for _, report := range f.dutyServer.Reports() {
		if report.Window == int64(window) {
			reports = append(reports, report)
		}
	}
	return reports
}

func TestWindowSumsCountsOfAllProcesses(t *testing.T) {
	f := newFixture(t)
	r := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.writeCounts(t, "a/1", window, 5)
	f.writeCounts(t, "b/1", window, 7)
	f.advance(r, windowLength+sealDelay)
	reports := f.reportsFor(window)
	require.Len(t, reports, 1)
	require.Equal(t, map[string]int64{"team": 12}, reports[0].Counts)
}

// A holder seals a window and dies before reporting it. Its successor reports the
// same counts with a higher fencing token, even if more counts were written after the
// window was sealed.
func TestSuccessorReportsSealedCounts(t *testing.T) {
	f := newFixture(t)
	first := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.writeCounts(t, "a/1", window, 5)
	f.now = f.now.Add(windowLength + sealDelay)
	first.Lease.Step(context.Background())
	fence, held := first.Lease.Fence()
	require.True(t, held)
	_, err := first.seal(context.Background(), window, fence)
	require.NoError(t, err)

	f.writeCounts(t, "b/1", window, 100)
	second := f.reporter("b")
	_, held = second.Lease.Fence()
	require.False(t, held, "the first process still holds the lease")
	f.now = f.now.Add(12 * time.Second)
	second.Lease.Step(context.Background())
	_, held = second.Lease.Fence()
	require.True(t, held)
	_, held = first.Lease.Fence()
	require.False(t, held, "two processes hold the lease")
	f.reportDue(second)
	_, err = first.seal(context.Background(), window+100, fence)
	require.Error(t, err, "a window was sealed in a term that has ended")
	reports := f.reportsFor(window)
	require.Len(t, reports, 1)
	require.Equal(t, map[string]int64{"team": 5}, reports[0].Counts)
	token, err := strconv.Atoi(reports[0].FencingToken)
	require.NoError(t, err)
	require.Greater(t, token, int(fence.Term.Row.Epoch))
}

// No report is sent in a term that has ended, even if the window was sealed in it.
func TestNoReportAfterTermEnds(t *testing.T) {
	f := newFixture(t)
	first := f.reporter("a")
	fence, held := first.Lease.Fence()
	require.True(t, held)
	first.term = int64(fence.Term.Row.Epoch)
	f.now = f.now.Add(12 * time.Second)
	err := first.report(context.Background(), windowAt(f.now, windowLength), usageRow{Counts: map[string]int64{"team": 1}})
	require.Error(t, err)
	require.Empty(t, f.dutyServer.Reports())
}

// A process dies before writing its counts. The window waits for them until its
// report is due, and is then sealed with the copy that the holder has.
func TestReplicaReplacesCountsOfCrashedProcess(t *testing.T) {
	f := newFixture(t)
	r := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.writeCounts(t, "a/1", window, 5)
	r.Replicas.Set("a/1", window, map[string]int64{"team": 4})
	r.Replicas.Set("b/1", window, map[string]int64{"team": 7})
	f.advance(r, windowLength+sealDelay)
	require.Empty(t, f.reportsFor(window))
	f.advance(r, window.endOf(windowLength).Add(r.ReportTimeout-sealMargin).Sub(f.now))
	reports := f.reportsFor(window)
	require.Len(t, reports, 1)
	require.Equal(t, map[string]int64{"team": 12}, reports[0].Counts)
}

// After a store outage, a process of which the holder has no complete copy still has
// to write its counts. The window waits for it.
func TestWindowWaitsForWritesAfterStoreOutage(t *testing.T) {
	f := newFixture(t)
	f.peers = []string{"b/1"}
	r := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.writeCounts(t, "a/1", window, 5)
	f.storeAvailableFor = time.Second
	r.Replicas.RecordComplete("b/1", window.endOf(windowLength)) // It may have started more requests since.
	f.advance(r, windowLength+sealDelay)
	require.Empty(t, f.reportsFor(window), "sealed without the counts that could not be written")
	f.writeCounts(t, "b/1", window, 7)
	f.storeAvailableFor += storeRecoveryWait
	f.advance(r, storeRecoveryWait)
	require.Equal(t, map[string]int64{"team": 12}, f.reportsFor(window)[0].Counts)
}

// After a store outage, all other processes have sent their counts since the window's
// end. The window is sealed as soon as the last of their rows is written, since the
// holder may be cut off again before storeRecoveryWait has passed.
func TestWindowIsSealedEarlyWhenCountsAreComplete(t *testing.T) {
	f := newFixture(t)
	f.peers = []string{"b/1", "c/1"}
	r := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.writeCounts(t, "a/1", window, 5)
	f.storeAvailableFor = 0
	completeAt := window.endOf(windowLength).Add(maxCopyAge)
	r.Replicas.RecordComplete("c/1", completeAt) // It has no counts.
	f.advance(r, windowLength+sealDelay)
	require.Empty(t, f.reportsFor(window), "b has not sent its counts")
	r.Replicas.Set("b/1", window, map[string]int64{"team": 7})
	r.Replicas.RecordComplete("b/1", completeAt)
	f.advance(r, time.Second)
	require.Empty(t, f.reportsFor(window), "b has not written the counts that it sent")
	f.writeCounts(t, "b/1", window, 7)
	f.advance(r, time.Second)
	require.Equal(t, map[string]int64{"team": 12}, f.reportsFor(window)[0].Counts)
}

// Snapshots for other processes include all windows that are not written, however
// long the store outage lasts. A process that takes over the lease during the outage
// can then seal a window once all processes have sent their counts.
func TestSnapshotHoldsUnwrittenWindows(t *testing.T) {
	f := newFixture(t)
	writer := NewWriter(f.store, NewTally(f.clock, windowLength), "b/1")
	first := windowAt(f.now, windowLength)
	f.fakeStore.SetDown(true)
	for i := range Window(3) {
		writer.Tally.open[first+i] = map[string]int64{"team": int64(i) + 1}
		writer.collect(first + i + 1)
		writer.flush(context.Background())
	}
	require.Equal(t, map[Window]map[string]int64{first: {"team": 1}, first + 1: {"team": 2}, first + 2: {"team": 3}}, writer.Tally.Snapshot())
	f.fakeStore.SetDown(false)
	writer.flush(context.Background())
	require.Equal(t, map[Window]map[string]int64{first + 2: {"team": 3}}, writer.Tally.Snapshot())
}

// A window whose report is about to be due is sealed even if the store has not been
// available for long.
func TestUnstableStoreDoesNotDelayReportPastDeadline(t *testing.T) {
	f := newFixture(t) // The list of peers has not been read.
	r := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.writeCounts(t, "a/1", window, 5)
	f.storeAvailableFor = 0
	f.advance(r, windowLength+sealDelay)
	require.Empty(t, f.reportsFor(window))
	f.advance(r, window.endOf(windowLength).Add(r.ReportTimeout-sealMargin).Sub(f.now))
	require.Len(t, f.reportsFor(window), 1)
}

// Counts that could not be written are retried soon. At the end of the next window,
// their own window may already be sealed.
func TestFailedWritesAreRetriedSoon(t *testing.T) {
	f := newFixture(t)
	const longWindow = time.Minute
	writer := NewWriter(f.store, NewTally(f.clock, longWindow), "a/1")
	window := windowAt(f.now, longWindow)
	writer.Tally.open[window] = map[string]int64{"team": 3}
	f.fakeStore.SetDown(true)
	writer.collect(window + 1)
	writer.flush(context.Background())
	require.Len(t, writer.pending, 1)
	require.Equal(t, writeRetryDelay, writer.nextDelay())
	f.fakeStore.SetDown(false)
	writer.flush(context.Background())
	require.Empty(t, writer.pending)
}

// The store applies a write but its response is lost. Writing the row again must not
// count anything twice.
func TestLostResponseDoesNotDoubleCount(t *testing.T) {
	f := newFixture(t)
	r := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.fakeStore.LoseResponses(1)
	f.writeCounts(t, "b/1", window, 7)
	f.advance(r, windowLength+sealDelay)
	require.Equal(t, map[string]int64{"team": 7}, f.reportsFor(window)[0].Counts)
}

// A VM with a wrong wall clock uses the time that the first process stored.
func TestSharedClockAgreesAcrossVMs(t *testing.T) {
	f := newFixture(t)
	uptime := 500 * time.Second
	first := NewSharedClock(f.store, func() time.Duration { return uptime })
	_, synced := first.Now()
	require.False(t, synced)
	require.NoError(t, first.Sync(context.Background()))
	second := NewSharedClock(f.store, func() time.Duration { return uptime + time.Hour })
	require.NoError(t, second.Sync(context.Background()))
	a, synced := first.Now()
	require.True(t, synced)
	b, _ := second.Now()
	require.InDelta(t, 0, a.Sub(b).Seconds(), 0.5)
	require.InDelta(t, 0, time.Until(a).Seconds(), 0.5)
	// Only the monotonic clock advances it, not this VM's wall clock.
	again, _ := first.Now()
	require.True(t, a.Equal(again))
	uptime += 3 * time.Second
	later, _ := first.Now()
	require.Equal(t, 3*time.Second, later.Sub(a))
}

// Sealed windows do not accumulate: the holder removes those that are too old to be
// looked for, and only while it holds the lease.
func TestOldSealedWindowsArePruned(t *testing.T) {
	f := newFixture(t)
	r := f.reporter("a")
	fence, held := r.Lease.Fence()
	require.True(t, held)
	window := windowAt(f.now, windowLength)
	old, kept := windowKey(window-lookbackWindows-1), windowKey(window-lookbackWindows)
	f.fakeStore.PutRaw(tableSealed, old, []byte("{}"))
	f.fakeStore.PutRaw(tableSealed, kept, []byte("{}"))
	endedTerm := fence
	endedTerm.Guard.Version += 1000
	r.prune(t.Context(), window-lookbackWindows, endedTerm)
	require.NotNil(t, f.fakeStore.Value(tableSealed, old), "removed without the lease")
	r.prune(t.Context(), window-lookbackWindows, fence)
	require.Nil(t, f.fakeStore.Value(tableSealed, old))
	require.NotNil(t, f.fakeStore.Value(tableSealed, kept))
}
