package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

// workTime is the time that a plain endpoint of these tests takes for an answer.
const workTime = 40 * time.Millisecond

func answerAfterWork(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(workTime)
	_, _ = w.Write([]byte("answer")) // The caller sees a truncated response.
}

// crashAll crashes all endpoints at the same moment, or one after the other with a gap.
func (f *crashFleet) crashAll(gap time.Duration) {
	for _, e := range f.engines {
		e.Crash()
		time.Sleep(gap)
	}
}

// call sends a request to a process and counts it.
func (f *crashFleet) call(p *entryProcess, method, path string, count *servedCount) {
	one := harness{t: f.t, vm: p.vm}
	one.ids.Store(f.ids.Add(1) * 1_000_000)
	got := one.send(method, path, "key", nil)
	count.sent.Add(1)
	if got.err == nil && got.status == http.StatusOK {
		count.served.Add(1)
	}
}

// Endpoints of a plain service crashed together, beside look-ups that differ by their query or by
// nothing: these counted as one request that had crashed two endpoints, and all that came later
// were refused for 24 hours.
func TestLookupsAreServedAfterAllEndpointsCrashedTogether(t *testing.T) {
	for name, path := range map[string]func(i int) string{
		"by query": func(i int) string { return fmt.Sprintf("%s?number=%d", plainPath, i) },
		"equal":    func(int) string { return plainPath },
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, 3)
			for range 2 {
				f.addEndpoint("plain", "", answerAfterWork)
			}
			f.waitUntilAllServe(plainPath)
			requireServedAfterCrashes(t, f, 120, 0, func(p *entryProcess, i int) { f.call(p, http.MethodGet, path(i), &f.sound) })
		})
	}
}

// All engines crashed together, beside prompts that share their first part: it was in as many
// crashes, and all prompts with it were refused for a minute.
func TestPromptsAreServedAfterAllEnginesCrashedTogether(t *testing.T) {
	f := newCrashFleet(t, 3)
	for range 8 {
		f.addEngine("decode", func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(3 * workTime)
			sitetest.Events(3, 0)(w, r)
		})
	}
	f.waitUntilAllServe(modelPath)
	requireServedAfterCrashes(t, f, 150, 0, func(p *entryProcess, _ int) { f.callPrompt(p, modelPath, "first:2000", &f.sound) })
}

// requireServedAfterCrashes requires that calls are served as before once all endpoints have
// crashed, with a gap between them, and are back.
func requireServedAfterCrashes(t *testing.T, f *crashFleet, perSecond float64, gap time.Duration, call func(p *entryProcess, i int)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var senders sync.WaitGroup
	f.load(ctx, &senders, perSecond, call)
	time.Sleep(time.Second)
	f.crashAll(gap)
	time.Sleep(crashNoticeTime)
	sent, served := f.sound.sent.Load(), f.sound.served.Load()
	time.Sleep(2 * time.Second)
	sent, served = f.sound.sent.Load()-sent, f.sound.served.Load()-served
	cancel()
	senders.Wait()
	t.Logf("%d of %d served afterwards", served, sent)
	require.GreaterOrEqual(t, float64(served), minSoundShare*float64(sent))
}

// pacedEvents returns a handler that sends a stream's events with a pause before each.
func pacedEvents(last int, pause time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		sitetest.BeginStream(w)
		from, _ := strconv.Atoi(r.Header.Get(sitetest.HeaderLastEventID)) // 0 for a new stream.
		for id := from + 1; id <= last; id++ {
			time.Sleep(pause)
			fmt.Fprintf(w, "id: %d\ndata: piece\n\n", id)
			_ = http.NewResponseController(w).Flush() // Test servers support it.
		}
	}
}

// brokenStream is what a caller has of a stream.
type brokenStream struct {
	id, body string
	events   int
	ended    bool
}

// send sends the stream, or takes it up after what the caller has, and reports whether it went on.
func (s *brokenStream) send(f *crashFleet, p *entryProcess, events int) (wentOn bool) {
	one := harness{t: f.t, vm: p.vm}
	one.ids.Store(f.ids.Add(1) * 1_000_000)
	got := one.send(http.MethodPost, streamPath, "key", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(s.body)), int64(len(s.body))
		r.Header.Set(sitetest.HeaderDeadline, "8000")
		r.Header.Set(sitetest.HeaderPromptPrefix, "shared:10,own:10") // No answer has been proof for it.
		if s.id == "" {
			s.id = r.Header.Get(sitetest.HeaderRequestID)
			return
		}
		r.Header.Set(sitetest.HeaderLastEventID, strconv.Itoa(s.events))
		r.Header.Set(sitetest.HeaderResumes, s.id)
	})
	if got.status != http.StatusOK {
		return false
	}
	received := strings.Count(got.body, "\n\n")
	s.events += received
	s.ended = s.events >= events
	return received > 0
}

// Engines crashed one right after the other, under streams that went from one to the next and broke
// off there. These were refused when their callers took them up, although all engines were back.
func TestStreamsAreTakenUpAfterEnginesCrashedInTurn(t *testing.T) {
	const (
		streams = 36
		events  = 30
		pause   = 60 * time.Millisecond
		gap     = 5 * time.Millisecond
		back    = 2 * time.Second // All engines are listed again by then.
	)
	f := newCrashFleet(t, 4)
	for range 4 {
		f.addEngine("decode", pacedEvents(events, pause))
	}
	f.waitUntilAllServe(streamPath)
	var broken, wentOn, begun atomic.Int64
	var callers sync.WaitGroup
	isBack := make(chan struct{})
	for i := range streams {
		callers.Go(func() {
			s := brokenStream{body: fmt.Sprint("stream ", i)}
			if s.send(f, f.processes[i%4], events); s.ended || s.events == 0 {
				return
			}
			broken.Add(1)
			if s.send(f, f.processes[(i+1)%4], events) {
				wentOn.Add(1)
				return
			}
			<-isBack
			if s.send(f, f.processes[(i+2)%4], events) {
				wentOn.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	f.crashAll(gap)
	time.Sleep(back)
	close(isBack)
	for i := range streams {
		callers.Go(func() {
			if s := (brokenStream{body: fmt.Sprint("new ", i)}); s.send(f, f.processes[i%4], events) {
				begun.Add(1)
			}
		})
	}
	callers.Wait()
	t.Logf("%d streams broke off, %d went on; of %d new ones %d began", broken.Load(), wentOn.Load(), streams, begun.Load())
	require.GreaterOrEqual(t, broken.Load(), int64(streams/2))
	require.GreaterOrEqual(t, float64(begun.Load()), minSoundShare*streams)
	require.GreaterOrEqual(t, 2*wentOn.Load()*streams, begun.Load()*broken.Load())
}
