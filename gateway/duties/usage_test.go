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

// fixture is a store, the operator's interface and a clock that tests move.
type fixture struct {
	stand  *sitetest.Store
	store  *site.Store
	duties *sitetest.Duties
	now    time.Time
	steady time.Duration // How long the store has answered.
	others []string      // Instances of the other processes.
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{stand: sitetest.NewStore(t), duties: sitetest.NewDuties(t), now: time.Unix(1_000_000, 0), steady: time.Hour}
	f.store = site.NewStore(f.stand.Address, http.DefaultClient)
	return f
}

func (f *fixture) clock() (time.Time, bool) { return f.now, true }

// reporter returns a process that has looked at the lease once.
func (f *fixture) reporter(name string) *Reporter {
	keeper := leasekeeper.NewWithClock(f.store.Tables(), "duties", name, func() time.Time { return f.now })
	r := &Reporter{
		Store: f.store, Duty: site.NewDutyClient(f.duties.Address, http.DefaultClient), Lease: keeper, Holder: name,
		Clock: f.clock, Length: windowLength, Late: 10 * time.Second, Replicas: NewReplicas(), StoreSteady: func() time.Duration { return f.steady },
		Others: func() ([]string, bool) { return f.others, f.others != nil },
	}
	keeper.Step(context.Background())
	return r
}

func (f *fixture) counted(t *testing.T, instance string, window Window, began int64) {
	t.Helper()
	writer := &Writer{Store: f.store, Tally: NewTally(f.clock, windowLength), Instance: instance}
	writer.Tally.counts[window] = map[string]int64{"team": began}
	writer.collect(window + 1)
	for range 2 { // The answer of the first may be lost.
		writer.flush(context.Background())
	}
	require.Empty(t, writer.pending)
}

// work has a reporter do what is due.
func (f *fixture) work(r *Reporter) {
	for range 2 * maxBehind {
		fence, held := r.Lease.Fence()
		if !held || r.step(context.Background(), fence) > 0 {
			return
		}
	}
}

// pass lets time pass, renews the reporter's lease and has it do what is due.
func (f *fixture) pass(r *Reporter, span time.Duration) {
	f.now = f.now.Add(span)
	r.Lease.Step(context.Background())
	f.work(r)
}

func (f *fixture) reportsOf(window Window) []sitetest.Report {
	var reports []sitetest.Report
	for _, report := range f.duties.Reports() {
		if report.Window == int64(window) {
			reports = append(reports, report)
		}
	}
	return reports
}

func TestWindowIsTheSumOfItsProcesses(t *testing.T) {
	f := newFixture(t)
	r := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.counted(t, "a/1", window, 5)
	f.counted(t, "b/1", window, 7)
	f.pass(r, windowLength+sealDelay)
	reports := f.reportsOf(window)
	require.Len(t, reports, 1)
	require.Equal(t, map[string]int64{"team": 12}, reports[0].Began)
}

// A holder that sealed a window and died before it reported it is followed by
// one that reports the same figures under a higher token, also when counts were
// written after the seal.
func TestSuccessorReportsTheSealedFigures(t *testing.T) {
	f := newFixture(t)
	first := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.counted(t, "a/1", window, 5)
	f.now = f.now.Add(windowLength + sealDelay)
	first.Lease.Step(context.Background())
	fence, held := first.Lease.Fence()
	require.True(t, held)
	_, err := first.seal(context.Background(), window, fence)
	require.NoError(t, err)

	f.counted(t, "b/1", window, 100)
	second := f.reporter("b")
	_, held = second.Lease.Fence()
	require.False(t, held, "the first still holds the lease")
	f.now = f.now.Add(12 * time.Second)
	second.Lease.Step(context.Background())
	_, held = second.Lease.Fence()
	require.True(t, held)
	_, held = first.Lease.Fence()
	require.False(t, held, "two processes hold the lease")
	f.work(second)
	_, err = first.seal(context.Background(), window+100, fence)
	require.Error(t, err, "a seal of a term that has ended")
	reports := f.reportsOf(window)
	require.Len(t, reports, 1)
	require.Equal(t, map[string]int64{"team": 5}, reports[0].Began)
	token, err := strconv.Atoi(reports[0].Fence)
	require.NoError(t, err)
	require.Greater(t, token, int(fence.Term.Row.Epoch))
}

// Nothing is reported under a term that has ended, also when the window was
// sealed in it.
func TestNoReportUnderAnEndedTerm(t *testing.T) {
	f := newFixture(t)
	first := f.reporter("a")
	fence, held := first.Lease.Fence()
	require.True(t, held)
	first.term = int64(fence.Term.Row.Epoch)
	f.now = f.now.Add(12 * time.Second)
	err := first.report(context.Background(), windowAt(f.now, windowLength), counts{Began: map[string]int64{"team": 1}})
	require.Error(t, err)
	require.Empty(t, f.duties.Reports())
}

// A process died before it wrote its counts. The window waits for them until
// its report is due, and then holds the copy that others had.
func TestCopyStandsInForAProcessThatDied(t *testing.T) {
	f := newFixture(t)
	r := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.counted(t, "a/1", window, 5)
	r.Replicas.Set("a/1", window, map[string]int64{"team": 4})
	r.Replicas.Set("b/1", window, map[string]int64{"team": 7})
	f.pass(r, windowLength+sealDelay)
	require.Empty(t, f.reportsOf(window))
	f.pass(r, window.endOf(windowLength).Add(r.Late-sealMargin).Sub(f.now))
	reports := f.reportsOf(window)
	require.Len(t, reports, 1)
	require.Equal(t, map[string]int64{"team": 12}, reports[0].Began)
}

// The store was away, and a process of which the holder has no copy writes its
// counts only after its return. The window waits for it.
func TestWindowWaitsForWritersAfterAnOutage(t *testing.T) {
	f := newFixture(t)
	f.others = []string{"b/1"}
	r := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.counted(t, "a/1", window, 5)
	f.steady = time.Second
	r.Replicas.Heard("b/1", window.endOf(windowLength)) // It may have begun more since.
	f.pass(r, windowLength+sealDelay)
	require.Empty(t, f.reportsOf(window), "sealed without those who could not write")
	f.counted(t, "b/1", window, 7)
	f.steady += returnWait
	f.pass(r, returnWait)
	require.Equal(t, map[string]int64{"team": 12}, f.reportsOf(window)[0].Began)
}

// The store was away, and all other processes have told since the window's end
// what they counted. The window is sealed with the last of their rows, since the
// holder may be cut off before it has waited (KNOWN-RED, window 353977088 of
// shedline-wa mix 873944463417).
func TestWindowIsSealedAtOnceWhenAllCountsAreKnown(t *testing.T) {
	f := newFixture(t)
	f.others = []string{"b/1", "c/1"}
	r := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.counted(t, "a/1", window, 5)
	f.steady = 0
	told := window.endOf(windowLength).Add(maxCopyAge)
	r.Replicas.Heard("c/1", told) // It has counted nothing.
	f.pass(r, windowLength+sealDelay)
	require.Empty(t, f.reportsOf(window), "b has not told")
	r.Replicas.Set("b/1", window, map[string]int64{"team": 7})
	r.Replicas.Heard("b/1", told)
	f.pass(r, time.Second)
	require.Empty(t, f.reportsOf(window), "b has not written what it told")
	f.counted(t, "b/1", window, 7)
	f.pass(r, time.Second)
	require.Equal(t, map[string]int64{"team": 12}, f.reportsOf(window)[0].Began)
}

// Other processes are told of all windows that are not written, however long the
// store is away: one that takes the duties over meanwhile seals a window when all
// have told what they counted.
func TestUnwrittenWindowsAreTold(t *testing.T) {
	f := newFixture(t)
	writer := &Writer{Store: f.store, Tally: NewTally(f.clock, windowLength), Instance: "b/1"}
	first := windowAt(f.now, windowLength)
	f.stand.SetDown(true)
	for i := range Window(3) {
		writer.Tally.counts[first+i] = map[string]int64{"team": int64(i) + 1}
		writer.collect(first + i + 1)
		writer.flush(context.Background())
	}
	require.Equal(t, map[Window]map[string]int64{first: {"team": 1}, first + 1: {"team": 2}, first + 2: {"team": 3}}, writer.Tally.Open())
	f.stand.SetDown(false)
	writer.flush(context.Background())
	require.Equal(t, map[Window]map[string]int64{first + 2: {"team": 3}}, writer.Tally.Open())
}

// A window that is about to be due is sealed also when the store is not steady.
func TestUnsteadyStoreDelaysNoReportPastItsTime(t *testing.T) {
	f := newFixture(t) // It has not read who the others are.
	r := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.counted(t, "a/1", window, 5)
	f.steady = 0
	f.pass(r, windowLength+sealDelay)
	require.Empty(t, f.reportsOf(window))
	f.pass(r, window.endOf(windowLength).Add(r.Late-sealMargin).Sub(f.now))
	require.Len(t, f.reportsOf(window), 1)
}

// Counts that could not be written are tried again soon, not at the next
// window's end, by when their window may be sealed.
func TestFailedWritesAreTriedAgainSoon(t *testing.T) {
	f := newFixture(t)
	const long = time.Minute
	writer := &Writer{Store: f.store, Tally: NewTally(f.clock, long), Instance: "a/1"}
	window := windowAt(f.now, long)
	writer.Tally.counts[window] = map[string]int64{"team": 3}
	f.stand.SetDown(true)
	writer.collect(window + 1)
	writer.flush(context.Background())
	require.Len(t, writer.pending, 1)
	require.Equal(t, rewriteWait, writer.untilNext())
	f.stand.SetDown(false)
	writer.flush(context.Background())
	require.Empty(t, writer.pending)
}

// The store did a write and its answer was lost: to write the row again counts
// nothing twice.
func TestLostAnswerCountsNothingTwice(t *testing.T) {
	f := newFixture(t)
	r := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.stand.LoseAnswers(1)
	f.counted(t, "b/1", window, 7)
	f.pass(r, windowLength+sealDelay)
	require.Equal(t, map[string]int64{"team": 7}, f.reportsOf(window)[0].Began)
}

// A VM whose time of day is wrong takes the time that the first one stored.
func TestTrueTimeIsSharedByAll(t *testing.T) {
	f := newFixture(t)
	steady := 500 * time.Second
	right := NewTrueTime(f.store, func() time.Duration { return steady })
	_, sure := right.Now()
	require.False(t, sure)
	require.NoError(t, right.Learn(context.Background()))
	wrong := NewTrueTime(f.store, func() time.Duration { return steady + time.Hour })
	require.NoError(t, wrong.Learn(context.Background()))
	a, sure := right.Now()
	require.True(t, sure)
	b, _ := wrong.Now()
	require.InDelta(t, 0, a.Sub(b).Seconds(), 0.5)
	require.InDelta(t, 0, time.Until(a).Seconds(), 0.5)
	// Only the steady clock moves it: nothing of this VM's wall clock is in it.
	again, _ := right.Now()
	require.True(t, a.Equal(again))
	steady += 3 * time.Second
	later, _ := right.Now()
	require.Equal(t, 3*time.Second, later.Sub(a))
}

// Sealed windows don't pile up: the holder removes those that nobody looks for,
// and only while it holds the lease.
func TestOldSealedWindowsAreRemoved(t *testing.T) {
	f := newFixture(t)
	r := f.reporter("a")
	fence, held := r.Lease.Fence()
	require.True(t, held)
	window := windowAt(f.now, windowLength)
	old, kept := windowKey(window-lookBack-1), windowKey(window-lookBack)
	f.stand.PutRaw(tableSealed, old, []byte("{}"))
	f.stand.PutRaw(tableSealed, kept, []byte("{}"))
	ended := fence
	ended.Guard.Version += 1000
	r.forget(t.Context(), window, ended)
	require.NotNil(t, f.stand.Value(tableSealed, old), "removed without the lease")
	r.forget(t.Context(), window, fence)
	require.Nil(t, f.stand.Value(tableSealed, old))
	require.NotNil(t, f.stand.Value(tableSealed, kept))
}
