package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// settleTime is ample time for what a process knows to reach the others.
const settleTime = 1 * time.Second

// minTakeUpShare is the share of take-ups that must go on while engines of their version
// serve, relative to that of new streams that begin.
const minTakeUpShare = 0.5

// versionedFleet is a fleet of entry processes before engines of several software
// versions.
type versionedFleet struct {
	*restoredFleet
}

func newVersionedFleet(t *testing.T, processes int) *versionedFleet {
	return &versionedFleet{newRestoredFleet(t, processes)}
}

// addEngines starts and lists engines of a version.
func (f *versionedFleet) addEngines(version string, n int) []*sitetest.VersionedEngine {
	f.t.Helper()
	var added []*sitetest.VersionedEngine
	for i := range n {
		e := sitetest.NewVersionedEngine(f.t, fmt.Sprintf("%s-%d", version, i), version)
		f.list(e)
		added = append(added, e)
	}
	return added
}

func (f *versionedFleet) list(e *sitetest.VersionedEngine) {
	f.store.Put(site.TableEndpoints, e.ID, e.Row("model", "dc", "ready", "decode"))
}

// awaitVersion waits until a process begins streams at a version.
func (f *versionedFleet) awaitVersion(p *entryProcess, version string) {
	f.t.Helper()
	f.eventually(func() bool {
		return strings.Contains(f.on(p).send(http.MethodPost, streamPath, "key", nil).body, version+" piece")
	})
}

// beginning is the part of a stream that its caller has.
type beginning struct {
	id      string // Of the request.
	version string
	body    string
}

// begin begins streams at a process until n of them were broken off, and returns these.
func (f *versionedFleet) begin(p *entryProcess, n int) []beginning {
	f.t.Helper()
	var begun []beginning
	one := f.on(p)
	for range 20 * n {
		id := ""
		got := one.send(http.MethodPost, streamPath, "key", func(r *http.Request) { id = r.Header.Get(sitetest.HeaderRequestID) })
		if got.err != nil && got.body != "" {
			begun = append(begun, beginning{id: id, version: versionOf(got.body), body: got.body})
		}
		if len(begun) == n {
			return begun
		}
	}
	f.t.Fatalf("%d of %d streams began and broke off", len(begun), n)
	return nil
}

// takeUp takes a stream up at a process.
func (f *versionedFleet) takeUp(p *entryProcess, b beginning) result {
	return f.on(p).send(http.MethodPost, streamPath, "key", func(r *http.Request) {
		r.Header.Set(sitetest.HeaderLastEventID, fmt.Sprint(strings.Count(b.body, "\n\n")))
		r.Header.Set(sitetest.HeaderResumes, b.id)
	})
}

// takeUpAll takes streams up and returns how many go on. It requires that none is joined
// from two versions, and that the others are refused as the pages say.
func (f *versionedFleet) takeUpAll(p *entryProcess, begun []beginning) (wentOn int) {
	f.t.Helper()
	for _, b := range begun {
		got := f.takeUp(p, b)
		if got.status == http.StatusOK {
			require.Equal(f.t, b.version, versionOf(got.body), "the stream %s was begun at %s", b.id, b.version)
			wentOn++
			continue
		}
		require.Equal(f.t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(f.t, got.header.Get("Retry-After"))
	}
	return wentOn
}

// versionOf returns the version that the events of a body name, or "several".
func versionOf(body string) string {
	version := ""
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		named, _, _ := strings.Cut(data, " ")
		if version != "" && version != named {
			return "several"
		}
		version = named
	}
	return version
}

// killAll ends all processes without their last writes.
func (f *versionedFleet) killAll() {
	f.t.Helper()
	f.store.SetDown(true)
	for _, p := range f.processes {
		p.stop()
	}
	for _, p := range f.processes {
		err := <-p.done
		p.done <- err // The cleanup receives it too.
		require.NoError(f.t, err)
	}
	f.store.SetDown(false)
}

func breakAll(engines []*sitetest.VersionedEngine, breaks bool) {
	for _, e := range engines {
		e.Breaks.Store(breaks)
	}
}

// A stream that broke off went on at an engine of another version, in one response.
func TestStreamStaysAtItsVersionWithinOneResponse(t *testing.T) {
	f := newVersionedFleet(t, 1)
	breaking := f.addEngines("v1", 1)
	p := f.processes[0]
	f.awaitVersion(p, "v1")
	other := f.addEngines("v2", 1)[0]
	time.Sleep(settleTime)
	other.OnlyGoesOn.Store(true)
	breakAll(breaking, true)
	for broken, deadline := 0, time.Now().Add(20*time.Second); broken < 3; {
		require.True(t, time.Now().Before(deadline), "%d streams broke off", broken)
		before := other.NewStreams()
		got := f.on(p).send(http.MethodPost, streamPath, "key", nil)
		require.NotEqual(t, "several", versionOf(got.body), got.body)
		if versionOf(got.body) == "v1" && other.NewStreams() == before { // An attempt is left.
			require.Error(t, got.err, "a part of a stream must not look complete")
			broken++
		}
		time.Sleep(50 * time.Millisecond) // Engines that break are passed over for some time.
	}
}

// A stream that its caller took up at another process went on at another version.
func TestStreamTakenUpAtAnotherProcessStaysAtItsVersion(t *testing.T) {
	f := newVersionedFleet(t, 2)
	first, second := f.processes[0], f.processes[1]
	old := f.addEngines("v1", 2)
	breakAll(old, true)
	f.awaitVersion(first, "v1")
	f.awaitVersion(second, "v1")
	begun := f.begin(first, 8)
	added := f.addEngines("v2", 2)
	f.awaitVersion(first, "v2")
	f.awaitVersion(second, "v2")
	breakAll(added, true)
	begun = append(begun, f.begin(first, 8)...)
	time.Sleep(settleTime)
	breakAll(old, false)
	breakAll(added, false)
	wentOn := f.takeUpAll(second, begun)
	require.GreaterOrEqual(t, float64(wentOn), minTakeUpShare*float64(len(begun)), "two engines of their version serve")
}

// With one version in service, streams go on at any process, also at one that has started
// after all were killed.
func TestStreamsAreTakenUpAfterAllProcessesWereKilled(t *testing.T) {
	f := newVersionedFleet(t, 2)
	engines := f.addEngines("v1", 2)
	breakAll(engines, true)
	f.awaitVersion(f.processes[0], "v1")
	begun := f.begin(f.processes[0], 12)
	f.killAll()
	breakAll(engines, false)
	started := f.startProcess()
	f.awaitVersion(started, "v1")
	require.Equal(t, len(begun), f.takeUpAll(started, begun))
}

// All processes were killed after the engines of the old version had left; streams that had
// been begun there were joined with events of the new one.
func TestStreamOfAVersionThatLeftIsNotJoinedAfterAllProcessesWereKilled(t *testing.T) {
	for name, storeAway := range map[string]bool{"store answers": false, "store away": true} {
		t.Run(name, func(t *testing.T) {
			f := newVersionedFleet(t, 2)
			old := f.addEngines("v1", 2)
			breakAll(old, true)
			f.awaitVersion(f.processes[0], "v1")
			begun := f.begin(f.processes[0], 8)
			f.addEngines("v2", 2)
			f.awaitVersion(f.processes[1], "v2")
			for _, e := range old {
				f.store.Delete(site.TableEndpoints, e.ID)
			}
			f.killAll()
			started := f.startProcess()
			f.awaitVersion(started, "v2")
			f.store.SetDown(storeAway)
			require.Zero(t, f.takeUpAll(started, begun))
		})
	}
}

// Two versions were in service when all processes were killed.
func TestStreamsOfTwoVersionsAreTakenUpAfterAllProcessesWereKilled(t *testing.T) {
	f := newVersionedFleet(t, 2)
	old, added := f.addEngines("v1", 2), f.addEngines("v2", 2)
	breakAll(old, true)
	breakAll(added, true)
	f.awaitVersion(f.processes[0], "v1")
	f.awaitVersion(f.processes[0], "v2")
	begun := f.begin(f.processes[0], 16)
	time.Sleep(settleTime)
	f.killAll()
	breakAll(old, false)
	breakAll(added, false)
	started := f.startProcess()
	f.on(started).waitUntilServing(streamPath)
	time.Sleep(settleTime)
	wentOn := f.takeUpAll(started, begun)
	require.GreaterOrEqual(t, float64(wentOn), minTakeUpShare*float64(len(begun)))
}

// The store came back from a copy that knows only the version that is in service again, or
// only an earlier one, and a process that knew more was killed.
func TestOlderCopyOfTheStoreJoinsNoStreams(t *testing.T) {
	for name, killed := range map[string]bool{"processes go on": false, "processes killed": true} {
		t.Run(name, func(t *testing.T) {
			f := newVersionedFleet(t, 2)
			old := f.addEngines("v1", 2)
			f.awaitVersion(f.processes[0], "v1")
			f.awaitVersion(f.processes[1], "v1")
			c := f.store.Copy()
			breakAll(old, true)
			between := f.addEngines("v2", 2)
			f.awaitVersion(f.processes[0], "v2")
			breakAll(between, true)
			var begun []beginning
			for len(begun) < 8 {
				for _, b := range f.begin(f.processes[0], 1) {
					if b.version == "v2" {
						begun = append(begun, b)
					}
				}
			}
			for _, e := range between {
				f.store.Delete(site.TableEndpoints, e.ID)
			}
			time.Sleep(settleTime)
			breakAll(old, false)
			p := f.processes[1]
			if killed {
				f.killAll()
			}
			f.restore(c, nil)
			if killed {
				p = f.startProcess()
			}
			for _, e := range old {
				f.list(e)
			}
			f.awaitVersion(p, "v1")
			for range 5 {
				require.Zero(t, f.takeUpAll(p, begun))
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
}

// A take-up that names no stream, or a stream that nobody knows, is not joined while more
// than one version may have begun it.
func TestTakeUpOfAnUnknownStreamIsRefused(t *testing.T) {
	f := newVersionedFleet(t, 1)
	p := f.processes[0]
	breakAll(f.addEngines("v1", 1), true)
	f.awaitVersion(p, "v1")
	f.addEngines("v2", 1)
	f.awaitVersion(p, "v2")
	for name, resumes := range map[string][]string{"none": nil, "empty": {""}, "unknown": {"no-such-id"}, "twice": {"a", "b"}, "overlong": {strings.Repeat("x", 10_000)}} {
		got := f.on(p).send(http.MethodPost, streamPath, "key", func(r *http.Request) {
			r.Header.Set(sitetest.HeaderLastEventID, "3")
			r.Header[sitetest.HeaderResumes] = resumes
		})
		require.Equal(t, http.StatusServiceUnavailable, got.status, name)
		require.NotEmpty(t, got.header.Get("Retry-After"), name)
	}
}

// While the store is away, a process can't read which version began a stream. The process
// that began it knows.
func TestStreamIsTakenUpAtAnotherProcessWhileTheStoreIsAway(t *testing.T) {
	f := newVersionedFleet(t, 2)
	old := f.addEngines("v1", 2)
	breakAll(old, true)
	f.awaitVersion(f.processes[0], "v1")
	added := f.addEngines("v2", 2)
	f.awaitVersion(f.processes[0], "v2")
	breakAll(added, true)
	time.Sleep(settleTime)
	f.store.SetDown(true)
	time.Sleep(settleTime)
	begun := f.begin(f.processes[0], 8)
	breakAll(old, false)
	breakAll(added, false)
	wentOn := f.takeUpAll(f.processes[1], begun)
	require.GreaterOrEqual(t, float64(wentOn), minTakeUpShare*float64(len(begun)))
}
