package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
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
