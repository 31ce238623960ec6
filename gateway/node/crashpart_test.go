package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/crashes"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Bounds of what requests with a part that crashes engines may do. The part counts as
// known crashNoticeTime after the crash with number knownCrashes, or after the last if
// there are fewer. From then on
// maxLateRequests with it may reach engines, and after twice that time sound requests
// that share something with it are served as before.
const (
	knownCrashes    = 5
	crashNoticeTime = 3 * time.Second
	maxLateRequests = 3
	minSoundShare   = 0.9
)

// crashFleet is a fleet of entry processes before engines that some prompts crash.
type crashFleet struct {
	*limitedFleet
	engines []*sitetest.CrashingEngine
	sound   servedCount
}

// servedCount counts requests by whether they were served.
type servedCount struct{ sent, served atomic.Int64 }

func newCrashFleet(t *testing.T, processes int) *crashFleet {
	return &crashFleet{limitedFleet: (&limitedFleet{harness: newFakesAlone(t)}).start(processes)}
}

// addEngine adds an engine of the service "model" to the fleet.
func (f *crashFleet) addEngine(stage string, next func(http.ResponseWriter, *http.Request), deadly ...string) *sitetest.CrashingEngine {
	return f.addEndpoint("model", stage, next, deadly...)
}

// addEndpoint adds an endpoint of a service to the fleet. stage is empty for a plain one.
func (f *crashFleet) addEndpoint(service, stage string, next func(http.ResponseWriter, *http.Request), deadly ...string) *sitetest.CrashingEngine {
	const downtime = 600 * time.Millisecond
	e := sitetest.NewCrashingEngine(f.t, fmt.Sprintf("%s%s-%d", service, stage, len(f.engines)), downtime, next, deadly...)
	register := func(start int) { f.store.Put(site.TableEndpoints, e.ID, e.RowAtStart(start, service, "dc", stage)) }
	e.OnStart = register
	register(1)
	f.engines = append(f.engines, e)
	return e
}

// loadPrompts sends requests with prompts to one process after the other, evenly spaced,
// until ctx ends. prompt returns the parts before the last one, which is new each time.
func (f *crashFleet) loadPrompts(ctx context.Context, senders *sync.WaitGroup, path string, perSecond float64, count *servedCount, prompt func(i int) string) {
	f.load(ctx, senders, perSecond, func(p *entryProcess, i int) { f.callPrompt(p, path, prompt(i), count) })
}

// load calls one process after the other, evenly spaced, until ctx ends.
func (f *crashFleet) load(ctx context.Context, senders *sync.WaitGroup, perSecond float64, call func(p *entryProcess, i int)) {
	senders.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				process := f.processes[i%len(f.processes)]
				senders.Go(func() { call(process, i) })
			}
		}
	})
}

func (f *crashFleet) callPrompt(p *entryProcess, path, shared string, count *servedCount) {
	one := harness{t: f.t, vm: p.vm}
	id := f.ids.Add(1) * 1_000_000
	one.ids.Store(id)
	got := one.send(http.MethodPost, path, "key", func(r *http.Request) {
		r.Header.Set(sitetest.HeaderTokenCount, "4000,20")
		r.Header.Set(sitetest.HeaderPromptPrefix, fmt.Sprintf("%s,last%d:1000", shared, id))
		body := fmt.Sprintf("body %d", id)
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	})
	count.sent.Add(1)
	if got.err == nil && got.status == http.StatusOK {
		count.served.Add(1)
	}
}

// crashes returns the crashes of all engines so far, in order.
func (f *crashFleet) crashes() []time.Time {
	var all []time.Time
	for _, e := range f.engines {
		all = append(all, e.Crashes()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// awaitKnownCrash waits until engines have crashed knownCrashes times, or no more for
// crashNoticeTime, and returns the time of the last of these crashes.
func (f *crashFleet) awaitKnownCrash() time.Time {
	f.t.Helper()
	f.eventually(func() bool {
		crashes := f.crashes()
		return len(crashes) >= knownCrashes || len(crashes) > 0 && time.Since(crashes[len(crashes)-1]) > crashNoticeTime
	})
	crashes := f.crashes()
	return crashes[min(len(crashes), knownCrashes)-1]
}

// arrivalsAfter returns the number of requests with a deadly part that reached engines
// after a moment.
func (f *crashFleet) arrivalsAfter(moment time.Time) int {
	n := 0
	for _, e := range f.engines {
		for _, at := range e.Arrivals() {
			if at.After(moment) {
				n++
			}
		}
	}
	return n
}

// Requests that have nothing in common but one part of their prompts crash each engine
// that begins to answer them, at all processes, each with another body and last part.
// They were never recognised, so that engines crashed until the requests ended; those that crash
// engines after the first event were cleared by it.
func TestPromptsWithAPartThatCrashesEnginesAreRefused(t *testing.T) {
	events := sitetest.Events(3, 0)
	six := []string{"decode", "decode", "decode", "decode", "decode", "decode"}
	for name, c := range map[string]struct {
		path       string
		processes  int
		stages     []string
		firstEvent time.Duration // Before the crash.
	}{
		"read and answered on one engine":          {modelPath, 3, six, 0},
		"one process":                              {modelPath, 1, []string{"decode", "decode", "decode", "decode"}, 0},
		"read apart":                               {modelPath, 3, []string{"prefill", "prefill", "decode", "decode", "decode", "decode"}, 0},
		"streams that may be resumed, tried again": {streamPath, 3, six, 0},
		"after the first event":                    {modelPath, 3, six, 20 * time.Millisecond},
		"after the first event, tried again":       {streamPath, 3, six, 120 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, c.processes)
			for _, stage := range c.stages {
				f.addEngine(stage, sitetest.WithPrefill("h", events), "dead").FirstEvent = c.firstEvent
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var senders sync.WaitGroup
			// Sound requests share the team, the first part, a further part and engines
			// with those that crash.
			f.loadPrompts(ctx, &senders, c.path, 30, &f.sound, func(i int) string {
				return fmt.Sprintf("first:2000,%s:900", []string{"beside", "other"}[i%2])
			})
			time.Sleep(time.Second)
			var crashing servedCount
			f.loadPrompts(ctx, &senders, c.path, 6, &crashing, func(int) string { return "first:2000,beside:900,dead:100" })
			known := f.awaitKnownCrash().Add(crashNoticeTime)
			time.Sleep(time.Until(known.Add(crashNoticeTime)))
			sent, served := f.sound.sent.Load(), f.sound.served.Load()
			time.Sleep(2 * time.Second)
			sent, served = f.sound.sent.Load()-sent, f.sound.served.Load()-served
			cancel()
			senders.Wait()
			t.Logf("%d crashes, %d of %d sound requests served at the end", len(f.crashes()), served, sent)
			require.LessOrEqual(t, f.arrivalsAfter(known), maxLateRequests, "requests with the part reached engines after it was known to crash them")
			require.GreaterOrEqual(t, float64(served), minSoundShare*float64(sent), "sound requests with the same team, first part or engine")
			require.Zero(t, crashing.served.Load())
		})
	}
}

// After all processes had ended, the new ones knew nothing of the part and learned it from
// as many crashes again.
func TestPartThatCrashesEnginesIsKnownAfterAllProcessesEnded(t *testing.T) {
	f := newCrashFleet(t, 2)
	for range 4 {
		f.addEngine("decode", sitetest.Events(3, 0), "dead")
	}
	f.waitUntilAllServe(streamPath)
	var crashing servedCount
	send := func(p *entryProcess) { f.callPrompt(p, modelPath, "first:2000,dead:100", &crashing) }
	f.eventually(func() bool {
		send(f.processes[0])
		return len(f.crashes()) >= 3
	})
	f.eventually(func() bool { return len(f.store.Keys(crashes.TableParts)) > 0 })
	for _, p := range f.processes {
		p.stop()
	}
	for _, p := range f.processes {
		p.done <- <-p.done // The cleanup receives it too.
	}
	started := f.startProcess()
	time.Sleep(2 * time.Second) // Its first read of the store.
	before := time.Now()
	for range 5 {
		send(started)
	}
	require.Zero(t, f.arrivalsAfter(before))
	require.Zero(t, crashing.served.Load())
}
