package streamversions_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/meter"
	"flamingospar.org/core/streamversion"
	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// testFleet is a fleet in which no other process answers.
type testFleet struct{ first bool }

func (f testFleet) AmongFirst(int) bool                             { return f.first }
func (testFleet) Size() int                                         { return 4 }
func (testFleet) FindStream(context.Context, uint64) (string, bool) { return "", false }

// process is a tracker with a client of the store.
type process struct {
	*streamversions.Tracker
	t     *testing.T
	store *site.Store
	stop  func()
	seq   int
}

func startProcess(t *testing.T, store *sitetest.Store, name string, first bool) *process {
	p := newProcess(t, store, name, first)
	p.run()
	return p
}

func newProcess(t *testing.T, store *sitetest.Store, name string, first bool) *process {
	client := site.NewStore(store.Address, http.DefaultClient)
	p := newProcessOn(t, client, testFleet{first: first}, name)
	p.store = client
	p.store.OnEra = func(int64, int64) { p.StoreRestored() }
	return p
}

// newProcessOn returns a process with another client of the store or another fleet.
func newProcessOn(t *testing.T, client streamversions.Store, fleet streamversions.Fleet, name string) *process {
	return &process{t: t, Tracker: streamversions.New(client, fleet, name, meter.NewRegistry())}
}

// run runs the tracker until stop is called or the test ends.
func (p *process) run() {
	ctx, cancel := context.WithCancel(p.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	p.stop = func() {
		cancel()
		<-done
	}
	p.t.Cleanup(p.stop)
}

// list lists one engine of each version, in place of all before.
func (p *process) list(versions ...string) {
	p.seq++
	for i, version := range versions {
		p.EndpointChanged(site.Endpoint{ID: fmt.Sprint(p.seq, "-", i), Service: "s", Stage: site.Decode, SoftwareVersion: version})
	}
	for i := range 10 {
		p.EndpointGone(fmt.Sprint(p.seq-1, "-", i))
	}
}

func (p *process) awaitConfirmed() {
	p.t.Helper()
	require.Eventually(p.t, func() bool { return len(p.Unregistered("s")) == 0 }, 10*time.Second, 5*time.Millisecond)
}

func (p *process) find(id string) string {
	begun, ok := p.Find(p.t.Context(), streamversions.TakeUp{Service: "s", RequestID: "again", ResumedRequestID: id})
	if !ok {
		return ""
	}
	return begun.Version
}

// A process that had just started took requests before it knew a version at which streams
// may begin, and refused them.
func TestProcessIsReadyOnceStreamsMayBegin(t *testing.T) {
	store := sitetest.NewStore(t)
	store.SetDown(true)
	p := startProcess(t, store, "a", true)
	require.True(t, p.Ready(), "there are no engines")
	q := startProcess(t, store, "b", true)
	q.list("v1")
	require.False(t, q.Ready())
	store.SetDown(false)
	q.awaitConfirmed()
	require.True(t, q.Ready())
	store.SetDown(true)
	q.list("v2")
	require.True(t, q.Ready(), "it serves what it has begun")
}

// No stream begins at a version before the store has it, whatever else is known; a process
// that started later would not know of it.
func TestVersionIsUnregisteredUntilTheStoreHasIt(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.list("v1")
	p.awaitConfirmed()
	store.SetDown(true)
	p.list("v1", "v2")
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, []string{"v2"}, p.Unregistered("s"))
	require.Equal(t, []streamversions.ServiceVersion{{Service: "s", Version: "v1"}}, p.InUse())
	store.SetDown(false)
	p.awaitConfirmed()
	require.Contains(t, string(store.Value(streamversions.Table, "in-use/s")), `"v2"`)

	// The word of a process that knows it is as good, also while the store is away.
	store.SetDown(true)
	other := startProcess(t, store, "b", true)
	other.list("v1", "v2")
	other.MergeInUse(p.InUse())
	require.Empty(t, other.Unregistered("s"))
}

// With one version in use, nothing is written for streams, and any process knows the
// version of all.
func TestNothingIsWrittenForStreamsOfOneVersion(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.list("v1")
	p.awaitConfirmed()
	for i := range 50 {
		p.RecordStream("s", fmt.Sprint(i), "v1")
	}
	time.Sleep(600 * time.Millisecond)
	require.Equal(t, []string{"in-use/s"}, store.Keys(streamversions.Table))
	require.Equal(t, "v1", startProcess(t, store, "b", true).find("7"))
	require.Equal(t, "v1", startProcess(t, store, "c", true).find(""))
}

// When a second version comes into use, the streams begun before are written too. A process
// that starts after all others have ended knows them, and no other one.
func TestStreamsOfSeveralVersionsAreKnownToAProcessThatStarts(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.list("v1")
	p.awaitConfirmed()
	p.RecordStream("s", "before", "v1")
	p.list("v1", "v2")
	p.awaitConfirmed()
	for i := range 50 {
		p.RecordStream("s", fmt.Sprint(i), []string{"v1", "v2"}[i%2])
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	p.stop()
	started := startProcess(t, store, "b", true)
	require.Equal(t, "v1", started.find("before"))
	require.Equal(t, "v1", started.find("2"))
	require.Equal(t, "v2", started.find("7"))
	require.Empty(t, started.find("none"))
	require.Empty(t, started.find(""))
}

// The old version has left, and a process that starts sees the new one alone: it infers
// nothing until no stream of the old one can be taken up.
func TestVersionThatLeftKeepsAProcessThatStartsFromInferring(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.list("v1")
	p.awaitConfirmed()
	p.list("v1", "v2")
	p.awaitConfirmed()
	p.stop()
	started := startProcess(t, store, "b", true)
	started.list("v2")
	started.awaitConfirmed()
	time.Sleep(1500 * time.Millisecond) // The end of v1 is written.
	require.Contains(t, string(store.Value(streamversions.Table, "in-use/s")), `"ended_ms"`)
	require.Empty(t, started.find("unknown"))
	require.Empty(t, startProcess(t, store, "c", true).find("unknown"))
	store.AdvanceClock(streamversion.Retention)
	require.Equal(t, "v2", startProcess(t, store, "d", true).find("unknown"))
}

// The store came back from a copy that lacks the version in use. A process that has just
// started trusts it only once one that knew more has written what it lacks.
func TestRegisterIsWrittenAgainAfterTheStoreWentBack(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.list("v1")
	p.awaitConfirmed()
	c := store.Copy()
	p.list("v1", "v2")
	p.awaitConfirmed()
	p.list("v1") // v2 has left, its streams have not.
	store.Restore(c)
	fresh := startProcess(t, store, "b", true)
	fresh.list("v1")
	fresh.awaitConfirmed()
	require.Empty(t, fresh.find("of v2"))
	require.Empty(t, p.find("of v2")) // Tells p that the store went back.
	require.Eventually(t, func() bool { return strings.Contains(string(store.Value(streamversions.Table, "in-use/s")), `"v2"`) }, 5*time.Second, 50*time.Millisecond)
	require.Empty(t, fresh.find("of v2"))
}

// After the store went back with one version in use, streams can be taken up again as soon
// as a process that knew this has written it.
func TestOneVersionIsKnownAgainAfterTheStoreWentBack(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.list("v1")
	p.awaitConfirmed()
	c := store.Copy()
	store.Restore(c)
	fresh := startProcess(t, store, "b", true)
	fresh.list("v1")
	require.Empty(t, fresh.find("before"), "it can't tell what the copy lacks")
	require.Empty(t, p.find("before"), "it may not have known of the newest version")
	time.Sleep(time.Second) // Both have written the register.
	require.Empty(t, fresh.find("before"))
	store.AdvanceClock(streamversion.Retention)
	require.Eventually(t, func() bool { return fresh.find("again") == "v1" && p.find("again") == "v1" }, 5*time.Second, 50*time.Millisecond)
}

// Another writer's rows do no harm.
func TestRowsOfAnotherWriterAreReplaced(t *testing.T) {
	store := sitetest.NewStore(t)
	store.PutRaw(streamversions.Table, "in-use/s", []byte("nonsense"))
	store.PutRaw(streamversions.Table, "streams/x/1", []byte(`{"versions":["v9"],"streams":"AAAA"}`))
	p := startProcess(t, store, "a", true)
	p.list("v1")
	p.awaitConfirmed()
	require.Empty(t, p.find("unknown"), "what the row held is not known")
	p.list("v1", "v2")
	p.awaitConfirmed()
}

// A store that does not answer is not waited for.
func TestTakeUpDoesNotWaitForAStoreThatIsAway(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.list("v1")
	p.awaitConfirmed()
	store.SetSilent(true)
	start := time.Now()
	require.Empty(t, p.find("unknown"))
	require.Less(t, time.Since(start), 1500*time.Millisecond)
	p.StoreLost = func() bool { return true }
	start = time.Now()
	require.Empty(t, p.find("unknown"))
	require.Less(t, time.Since(start), 300*time.Millisecond)
}

// Streams that were written after the copy was made are written again.
func TestStreamsAreWrittenAgainAfterTheStoreWentBack(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.list("v1", "v2")
	p.awaitConfirmed()
	c := store.Copy()
	p.RecordStream("s", "one", "v2")
	require.Eventually(t, func() bool { return len(store.Keys(streamversions.Table)) == 2 }, 5*time.Second, 10*time.Millisecond)
	store.Restore(c)
	p.find("unknown") // Tells p that the store went back.
	require.Eventually(t, func() bool { return len(store.Keys(streamversions.Table)) == 2 }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, "v2", startProcess(t, store, "b", true).find("one"))
}

// A key of the store has 200 bytes at most. An odd entry names a service for which there is
// no key; writes for it would fail and keep other versions from being registered.
func TestOddServiceNameKeepsNoVersionFromBeingRegistered(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.EndpointChanged(site.Endpoint{ID: "odd", Service: strings.Repeat("s", 300), Stage: site.Decode, SoftwareVersion: "v1"})
	p.list("v1")
	p.awaitConfirmed()
	require.Equal(t, []string{"in-use/s"}, store.Keys(streamversions.Table))
}
