package crashes_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"flamingospar.org/gateway/crashes"
	"flamingospar.org/platform/site"
)

// fakeFleet lists endpoints.
type fakeFleet struct {
	mu     sync.Mutex
	listed map[string]site.Endpoint
}

func (f *fakeFleet) Endpoint(id string) (site.Endpoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	endpoint, ok := f.listed[id]
	return endpoint, ok
}

func (f *fakeFleet) Position(string) int { return 0 }

// add lists an endpoint with the given address.
func (f *fakeFleet) add(id, address string, draining bool) site.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	endpoint := site.Endpoint{ID: id, Address: address, StartedMS: 1, Draining: draining}
	f.listed[id] = endpoint
	return endpoint
}

// refusingAddress returns an address that refuses connections until the test ends: a socket that
// doesn't listen is bound to it, so that no other process can listen there.
func refusingAddress(t *testing.T) string {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(socket) }) // The test is over.
	require.NoError(t, unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := unix.Getsockname(socket)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
}

// harness is a tracker that runs.
type harness struct {
	t       *testing.T
	fleet   *fakeFleet
	tracker *crashes.Tracker
	gone    string // Address that refuses connections.
	healthy string // Address that accepts them.
	settled int    // Number of calls of settle.
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, fleet: &fakeFleet{listed: make(map[string]site.Endpoint)}, gone: refusingAddress(t)}
	h.tracker = crashes.New(h.fleet)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go h.tracker.Run(ctx)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() }) // The test is over.
	h.healthy = listener.Addr().String()
	return h
}

// crash reports the broken runs of requests on an endpoint that has crashed.
func (h *harness) crash(id string, change func(*crashes.BrokenRun), requests ...crashes.Request) {
	endpoint := h.fleet.add(id, h.gone, false)
	for _, request := range requests {
		run := crashes.BrokenRun{Request: request, Endpoint: endpoint}
		if change != nil {
			change(&run)
		}
		h.tracker.RecordBrokenRun(run)
	}
}

func (h *harness) awaitRefused(request crashes.Request) {
	h.t.Helper()
	require.Eventually(h.t, func() bool { return h.tracker.Decide(request).Refused }, 5*time.Second, 10*time.Millisecond)
}

func (h *harness) refused(request crashes.Request) bool { return h.tracker.Decide(request).Refused }

// otherMoment is the time after which a crash can't have the cause of one before.
const otherMoment = 300 * time.Millisecond

// settle waits until all checks have ended: one that is reported last is checked last.
func (h *harness) settle() {
	h.t.Helper()
	h.settled++
	last := crashes.Request{Team: "t", Path: fmt.Sprint("/last", h.settled)}
	h.crash(fmt.Sprint("last-1-", h.settled), nil, last)
	time.Sleep(otherMoment) // Beside many crashes those of a request count as one.
	h.crash(fmt.Sprint("last-2-", h.settled), nil, last)
	h.awaitRefused(last)
}

func withParts(body string, parts ...string) crashes.Request {
	return crashes.Request{Team: "t", Path: "/p", Body: []byte(body), Parts: parts}
}

// A request that was running at two crashes is refused, also by a process that only
// received the marks. A request whose connection broke at a healthy endpoint is not.
func TestRequestThatCrashesEndpointsIsRefused(t *testing.T) {
	h := newHarness(t)
	request := func(name string) crashes.Request {
		return crashes.Request{Team: "t", Path: "/p", Body: []byte(name)}
	}
	for i := range 3 {
		h.tracker.RecordBrokenRun(crashes.BrokenRun{Request: request("healthy"), Endpoint: h.fleet.add(fmt.Sprint("h", i), h.healthy, false)})
		// A process that is disconnected from the network reaches no endpoint. Its
		// requests have crashed none and must not be marked.
		h.tracker.RecordBrokenRun(crashes.BrokenRun{Request: request("unreachable"), Endpoint: h.fleet.add(fmt.Sprint("u", i), "not an address", false)})
		h.tracker.RecordBrokenRun(crashes.BrokenRun{Request: request("planned stop"), Endpoint: h.fleet.add(fmt.Sprint("d", i), h.gone, true)})
		h.tracker.RecordBrokenRun(crashes.BrokenRun{Request: request("left"), Endpoint: site.Endpoint{ID: "unlisted", StartedMS: int64(i), Address: h.gone}})
	}
	for i := range 2 {
		h.crash(fmt.Sprint("c", i), nil, request("poison"))
	}
	h.awaitRefused(request("poison"))
	h.settle()
	for _, name := range []string{"healthy", "unreachable", "planned stop", "left"} {
		require.False(t, h.refused(request(name)), name)
	}
	require.False(t, h.refused(crashes.Request{Team: "other", Path: "/p", Body: []byte("poison")}))

	peer := crashes.New(h.fleet)
	peer.Merge(h.tracker.MarksForPeer("peer"))
	require.True(t, peer.Decide(request("poison")).Refused)
}

// Each crash was checked 0.12 s after the one before, and most broken runs were not checked
// at all, since an endpoint has many: marks came many seconds late.
func TestManyCrashesAreCheckedAtOnce(t *testing.T) {
	h := newHarness(t)
	begin := time.Now()
	for i := range 20 {
		var requests []crashes.Request
		for j := range 10 {
			requests = append(requests, withParts(fmt.Sprint(i, j), "dead", fmt.Sprint("own", i, j)))
		}
		h.crash(fmt.Sprint("c", i), nil, requests...)
		time.Sleep(time.Millisecond) // The queue is emptied.
	}
	h.awaitRefused(withParts("new", "dead"))
	require.Less(t, time.Since(begin), 2*time.Second)
}

// Runs that only had a prompt read, and those that their endpoint had been answering for long,
// can't be what crashed an endpoint when it began to answer.
func TestOnlySuspectRunsMarkTheirParts(t *testing.T) {
	h := newHarness(t)
	for i := range 8 {
		h.crash(fmt.Sprint("c", i), func(run *crashes.BrokenRun) { run.Prefill = true }, withParts(fmt.Sprint("p", i), "read"))
		h.crash(fmt.Sprint("c", i), func(run *crashes.BrokenRun) { run.Proven = true }, withParts(fmt.Sprint("a", i), "answered"))
		h.crash(fmt.Sprint("c", i), nil, withParts(fmt.Sprint("d", i), "dead"))
	}
	h.awaitRefused(withParts("new", "dead"))
	h.settle()
	require.False(t, h.refused(withParts("new", "read")))
	require.False(t, h.refused(withParts("new", "answered")))
	require.False(t, h.refused(withParts("p1", "read")))
}

// A request that was sent to two endpoints that had crashed already was refused as if it had
// crashed them.
func TestRunsSentAfterACrashAreNotItsCause(t *testing.T) {
	h := newHarness(t)
	late := crashes.Request{Team: "t", Path: "/p", Body: []byte("late")}
	early := crashes.Request{Team: "t", Path: "/p", Body: []byte("early")}
	for i := range 2 {
		id := fmt.Sprint("c", i)
		h.crash(id, nil, early)
		sent := time.Now()
		h.crash(id, func(run *crashes.BrokenRun) { run.Sent = sent }, late)
	}
	h.awaitRefused(early)
	h.settle()
	require.False(t, h.refused(late))
}

// A sound request whose endpoint was crashed twice by others was refused as if it had
// crashed them.
func TestRequestBesideTheCrashingPartIsNotRefused(t *testing.T) {
	h := newHarness(t)
	sound := crashes.Request{Team: "t", Path: "/p", Body: []byte("sound")}
	for i := range 4 {
		h.crash(fmt.Sprint("c", i), func(run *crashes.BrokenRun) { run.Proven = string(run.Request.Body) == "sound" }, withParts(fmt.Sprint("d", i), "dead"), sound)
	}
	h.awaitRefused(withParts("new", "dead"))
	h.settle()
	require.False(t, h.refused(sound))
}

// A request that is often sent, such as a look-up without a body, was refused after two
// crashes of any cause although endpoints answered it all the time.
func TestAnsweredRequestIsNotRefused(t *testing.T) {
	h := newHarness(t)
	lookup := crashes.Request{Team: "t", Path: "/look-up"}
	for i := range 4 {
		h.crash(fmt.Sprint("c", i), nil, lookup)
		h.settle()
		h.tracker.RecordAnswer(lookup)
		require.False(t, h.refused(lookup))
	}
}

// What one process has learned of parts reaches others, and an answer at any of them
// clears a part at all.
func TestPartsAreExchanged(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.crash(fmt.Sprint("c", i), nil, withParts(fmt.Sprint("d", i), "dead"))
	}
	h.awaitRefused(withParts("new", "dead"))
	peer := crashes.New(h.fleet)
	peer.Merge(h.tracker.MarksForPeer("peer"))
	require.True(t, peer.Decide(withParts("x", "dead")).Refused)

	peer.RecordAnswer(withParts("x", "dead"))
	require.False(t, peer.Decide(withParts("x", "dead")).Refused)
	h.tracker.Merge(peer.MarksForPeer("vm"))
	require.False(t, h.refused(withParts("new", "dead")))
	peer.Merge(h.tracker.MarksForPeer("peer"))
	require.False(t, peer.Decide(withParts("x", "dead")).Refused)
}

// One message holds a bounded number of marks, the blamed parts among them, and most
// messages hold only what has changed.
func TestExchangedMarksAreBounded(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		var requests []crashes.Request
		for j := range 80 {
			requests = append(requests, withParts(fmt.Sprint(i, j), fmt.Sprint("own", i, j)))
		}
		h.crash(fmt.Sprint("c", i), nil, append(requests, withParts(fmt.Sprint(i), "dead"))...)
	}
	h.awaitRefused(withParts("new", "dead"))
	report := h.tracker.MarksForPeer("peer")
	require.Len(t, report, 2*32, "parts, and requests as a whole")
	require.Equal(t, "dead", report[0].GetPart())
	require.Empty(t, h.tracker.MarksForPeer("peer"))
	require.Len(t, h.tracker.MarksForPeer("another"), 2*32)
}
