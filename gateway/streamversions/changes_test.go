package streamversions_test

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/streamversion"
	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// callStore counts the reads, and changes the answers of some.
type callStore struct {
	*site.Store
	mu           sync.Mutex
	whole, feeds int
	feedErr      error                 // Of all feeds from the failFrom-th on.
	failFrom     int                   // Counted from 1.
	onFeed       func(page *site.Page) // Changes the answer to the next feed.
	afterCommit  func()                // Called before the answer to a write is known.
}

func (s *callStore) TableByPage(ctx context.Context, table string, timeout time.Duration) (site.Page, error) {
	s.mu.Lock()
	s.whole++
	s.mu.Unlock()
	return s.Store.TableByPage(ctx, table, timeout)
}

func (s *callStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (site.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feeds++
	if s.feedErr != nil && s.feeds >= s.failFrom {
		return site.Page{}, s.feedErr
	}
	page, err := s.Store.Feed(ctx, table, after, wait)
	if f := s.onFeed; f != nil {
		s.onFeed = nil
		f(&page)
	}
	return page, err
}

func (s *callStore) Commit(ctx context.Context, tx site.Tx) (site.Page, error) {
	page, err := s.Store.Commit(ctx, tx)
	s.mu.Lock()
	f := s.afterCommit
	s.mu.Unlock()
	if f != nil {
		f()
	}
	return page, err
}

// set changes the fields and forgets the calls so far.
func (s *callStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.whole, s.feeds = 0, 0
	change()
}

func (s *callStore) calls() (whole, feeds int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.whole, s.feeds
}

// startCounted starts a process that is not among the first, on a store that counts. One
// stream has been taken up at it.
func startCounted(t *testing.T, store *sitetest.Store, versions ...string) (*process, *callStore) {
	p, counted := startUnread(t, store, versions...)
	require.Empty(t, p.find("unknown"))
	return p, counted
}

// startUnread is startCounted without a take-up.
func startUnread(t *testing.T, store *sitetest.Store, versions ...string) (*process, *callStore) {
	counted := &callStore{Store: site.NewStore(store.Address, http.DefaultClient)}
	p := newProcessOn(t, counted, testFleet{}, "counted")
	go p.Run(t.Context())
	p.list(versions...)
	p.awaitConfirmed()
	return p, counted
}

// putStream writes a segment of another process with one stream.
func putStream(store *sitetest.Store, key, id, version string) {
	putSegment(store, key, []string{version}, id)
}

// putSegment writes a segment of another process with streams, whose versions take turns.
func putSegment(store *sitetest.Store, key string, versions []string, ids ...string) {
	var streams []byte
	for i, id := range ids {
		streams = append(binary.BigEndian.AppendUint64(streams, uint64(streamversion.IDOf(id))), byte(i%len(versions)))
	}
	store.PutRaw(streamversions.Table, "streams/"+key, fmt.Appendf(nil, `{"written_ms":%d,"versions":["%s"],"streams":%q}`,
		time.Now().UnixMilli()%1_000_000_000, strings.Join(versions, `","`), base64.StdEncoding.EncodeToString(streams)))
}

// putRows writes n segments of other processes with one stream each.
func putRows(store *sitetest.Store, n int) {
	for i := range n {
		putStream(store, fmt.Sprint("many/", i), fmt.Sprint("many-", i), "v2")
	}
}

// startTwoVersions registers two versions, and ends the process that did.
func startTwoVersions(t *testing.T, store *sitetest.Store) {
	first := startProcess(t, store, "first", true)
	first.list("v1", "v2")
	first.awaitConfirmed()
	first.stop()
}

// Guards against calls that cost and return only what is known: the whole table was read,
// page by page, for each take-up.
func TestTakeUpReadsChangesAlone(t *testing.T) {
	store := sitetest.NewStore(t)
	startTwoVersions(t, store)
	putRows(store, 600)
	p, counted := startCounted(t, store, "v1", "v2")
	counted.set(func() {})
	require.Empty(t, p.find("unknown"))
	putStream(store, "x/1", "x", "v1")
	require.Equal(t, "v1", p.find("x"))
	whole, feeds := counted.calls()
	require.Zero(t, whole)
	require.LessOrEqual(t, feeds, 3, "one each, and one if the table is looked through in between")
}

// Guards against a version that is found for a stream although its row was removed.
func TestRemovedRowsAreForgotten(t *testing.T) {
	store := sitetest.NewStore(t)
	startTwoVersions(t, store)
	p, counted := startCounted(t, store, "v1", "v2")
	putStream(store, "x/1", "x", "v1")
	putStream(store, "x/2", "y", "v1")
	require.Equal(t, "v1", p.find("x"))
	store.Delete(streamversions.Table, "streams/x/2")
	counted.set(func() {})
	require.Empty(t, p.find("y"))
	whole, _ := counted.calls()
	require.Zero(t, whole)
}

// A service without a register has begun no stream that could be inferred.
func TestRemovedRegisterIsForgotten(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.list("v1")
	p.awaitConfirmed()
	require.Equal(t, "v1", p.find("x"))
	store.Delete(streamversions.Table, "in-use/s")
	require.Empty(t, p.find("y"))
	require.Eventually(t, func() bool { return p.find("z") == "v1" }, 5*time.Second, 10*time.Millisecond, "it is registered again")
}

// Guards against versions at which no stream begins: a register that has not changed counted as
// older than the last read of changes.
func TestRegisterThatHasNotChangedIsAsRecentAsTheReadOfChanges(t *testing.T) {
	store := sitetest.NewStore(t)
	startTwoVersions(t, store)
	p, counted := startCounted(t, store, "v1")
	counted.set(func() {})
	time.Sleep(1500 * time.Millisecond)
	p.list("v1", "v2")
	p.awaitConfirmed()
	whole, feeds := counted.calls()
	require.Zero(t, whole)
	require.LessOrEqual(t, feeds, 2)
}

// Guards against joined streams: the first of the changes were applied, and the call for the
// others failed.
func TestPartOfTheChangesIsNoCopy(t *testing.T) {
	store := sitetest.NewStore(t)
	first := startProcess(t, store, "first", true)
	first.list("v1")
	first.awaitConfirmed()
	first.stop()
	p, counted := startUnread(t, store, "v1")
	require.Equal(t, "v1", p.find("before"))
	putRows(store, 250)
	store.PutRaw(streamversions.Table, "in-use/s", []byte(`{"era":0,"versions":[{"version":"v1"},{"version":"v2"}]}`))
	counted.set(func() { counted.feedErr, counted.failFrom = site.ErrNotApplied, 2 })
	require.Empty(t, p.find("of v2"))
	_, feeds := counted.calls()
	require.Equal(t, 2, feeds)
	require.Empty(t, p.find("of v2"), "the store still fails")
	counted.set(func() { counted.feedErr = nil })
	require.Empty(t, p.find("of v2"), "two versions are possible")
	require.Equal(t, "v2", p.find("many-249"))
	require.Equal(t, "v2", p.find("many-0"))
}

// Guards against a refused take-up where changes can't be had: the table is read whole for the
// same one.
func TestTableIsReadWholeIfChangesCanNotBeHad(t *testing.T) {
	for _, failure := range []error{site.ErrHistoryGone, site.ErrAnswerTooLarge, site.ErrRestored} {
		store := sitetest.NewStore(t)
		startTwoVersions(t, store)
		p, counted := startCounted(t, store, "v1", "v2")
		putStream(store, "x/1", "x", "v2")
		counted.set(func() { counted.feedErr = failure })
		require.Equal(t, "v2", p.find("x"), failure)
		whole, _ := counted.calls()
		require.Equal(t, 1, whole)
	}
}

// A store that went back without saying so, and one whose answers lead nowhere.
func TestTableIsReadWholeIfAnAnswerWithChangesDoesNotFit(t *testing.T) {
	for name, change := range map[string]func(page *site.Page){
		"an earlier version": func(page *site.Page) { *page = site.Page{Version: page.Version - 2, StoreClockMS: page.StoreClockMS} },
		"more, and no progress": func(page *site.Page) {
			*page = site.Page{Version: page.Version - 1, More: true, StoreClockMS: page.StoreClockMS}
		},
	} {
		store := sitetest.NewStore(t)
		startTwoVersions(t, store)
		p, counted := startCounted(t, store, "v1", "v2")
		putStream(store, "x/1", "x", "v2")
		counted.set(func() { counted.onFeed = change })
		require.Equal(t, "v2", p.find("x"), name)
		whole, feeds := counted.calls()
		require.Equal(t, []int{1, 1}, []int{whole, feeds}, name)
	}
}

// Versions of two eras can't be compared. Another call may tell of the new one, before the
// changes are asked for or in between.
func TestTableIsReadWholeInANewEra(t *testing.T) {
	for feedsBefore := range 2 {
		store := sitetest.NewStore(t)
		startTwoVersions(t, store)
		p, counted := startCounted(t, store, "v1", "v2")
		older := store.Copy()
		putRows(store, 250)
		restore := func(*site.Page) {
			store.Restore(older)
			putStream(store, "x/1", "x", "v2")
			_, err := counted.Range(t.Context(), streamversions.Table, "", "")
			require.ErrorIs(t, err, site.ErrRestored)
			putRows(store, 500) // More versions than there were.
		}
		if feedsBefore == 0 {
			restore(nil)
		}
		counted.set(func() {
			if feedsBefore > 0 {
				counted.onFeed = restore
			}
		})
		require.Equal(t, "v2", p.find("x"))
		_, feeds := counted.calls()
		require.Equal(t, 2*feedsBefore, feeds)
		require.Equal(t, "v2", p.find("many-499"))
	}
}

// No further call follows one that the store has refused: it would be refused too, and cost.
func TestRefusedReadIsNotRepeated(t *testing.T) {
	store := sitetest.NewStore(t)
	startTwoVersions(t, store)
	p, counted := startCounted(t, store, "v1", "v2")
	counted.set(func() { counted.feedErr = site.ErrNotApplied })
	require.Empty(t, p.find("x"))
	whole, feeds := counted.calls()
	require.Equal(t, []int{0, 1}, []int{whole, feeds})
}

// Pages of the table may be newer than the version of its first page, from which changes are
// read: those that precede what is known do not undo it.
func TestChangeOlderThanTheCopyDoesNotUndoTheRegister(t *testing.T) {
	store := sitetest.NewStore(t)
	startTwoVersions(t, store)
	p, counted := startCounted(t, store, "v1", "v2")
	older := site.Row{Table: streamversions.Table, Key: "in-use/s", Value: []byte(`{"era":0,"versions":[{"version":"v1"}]}`)}
	removed := site.Row{Table: streamversions.Table, Key: "in-use/s", Deleted: true}
	for _, rows := range [][]site.Row{{older}, {removed, older}} {
		counted.set(func() { counted.onFeed = func(page *site.Page) { page.Rows = append(rows, page.Rows...) } })
		require.Empty(t, p.find("of v2"))
	}
}

// Guards against joined streams: the answer to a write came after the change had been read,
// and what the segment holds was forgotten. Here it is doubt about a stream.
func TestSegmentIsKnownAlthoughItsChangeWasReadBeforeTheAnswerToItsWrite(t *testing.T) {
	store := sitetest.NewStore(t)
	startTwoVersions(t, store)
	p, counted := startCounted(t, store, "v1", "v2")
	p.EndpointChanged(site.Endpoint{ID: "e", Service: "s", Stage: site.Decode, SoftwareVersion: "v1"})
	written := make(chan struct{}, 100)
	counted.set(func() {
		counted.afterCommit = func() {
			_ = p.find("reads the change")
			written <- struct{}{}
		}
	})
	p.RecordStreamAt("s", "x", site.Endpoint{ID: "e", SoftwareVersion: "v1"})
	p.EndpointChanged(site.Endpoint{ID: "e", Service: "s", Stage: site.Decode, SoftwareVersion: "v2"}) // It had started again.
	<-written
	time.Sleep(500 * time.Millisecond) // All is written.
	putStream(store, "other/1", "x", "v1")
	require.Empty(t, p.find("x"))
}

// Guards against calls that can bring nothing: the store may have dropped the changes since an
// old copy. While streams are written, copies do not get old.
func TestChangesAreReadForRecentCopiesAlone(t *testing.T) {
	single, several := sitetest.NewStore(t), sitetest.NewStore(t)
	first := startProcess(t, single, "first", true)
	first.list("v2")
	first.awaitConfirmed()
	first.stop()
	p, counted := startUnread(t, single, "v2")
	startTwoVersions(t, several)
	q, other := startCounted(t, several, "v1", "v2")
	other.set(func() {})
	time.Sleep(16 * time.Second)
	counted.set(func() {})
	require.Equal(t, "v2", p.find("x"))
	whole, feeds := counted.calls()
	require.Equal(t, []int{1, 0}, []int{whole, feeds})
	require.Empty(t, q.find("x"))
	whole, feeds = other.calls()
	require.Equal(t, []int{0, 2}, []int{whole, feeds}, "one call while there was no take-up")
}

// Guards against take-ups that are refused for ever: changes that can't be read in time stay
// so, while the pages of the table can.
func TestTableIsReadWholeAfterChangesThatDidNotArriveInTime(t *testing.T) {
	store := sitetest.NewStore(t)
	startTwoVersions(t, store)
	p, counted := startCounted(t, store, "v1", "v2")
	putStream(store, "x/1", "x", "v1")
	counted.set(func() { counted.feedErr = site.ErrOutcomeUnknown })
	require.Empty(t, p.find("x"))
	require.Equal(t, "v1", p.find("x"))
}
