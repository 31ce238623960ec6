package relay_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/blame"
	"flamingospar.org/gateway/crashes"
	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// learnThatPartCrashes tells a tracker that endpoints crashed on the part "dead", as
// another process would. The last crash was some time ago.
func learnThatPartCrashes(tracker *crashes.Tracker, ago time.Duration) {
	mark := &wirev1.PartMark{Part: "dead"}
	for i := range int64(3) {
		mark.Evidence = append(mark.Evidence, &wirev1.CrashEvidence{Endpoint: "crashed", StartedUnixMillis: i, Team: "team", AgeMs: uint64(ago.Milliseconds())})
	}
	tracker.Merge([]*wirev1.PartMark{mark})
}

// newPartJob returns a stream whose prompt has the part "dead".
func newPartJob() *relay.Job {
	job := newStreamJob()
	job.Team = "team"
	job.Caller.Prompt = site.Prompt{InputTokens: 4000, Parts: []site.PromptPart{{ID: "first", Tokens: 100}, {ID: "dead", Tokens: 3890}, {ID: "own", Tokens: 10}}}
	job.Identity = crashes.Request{Team: "team", Path: "/p", Body: []byte("body"), Parts: job.Caller.Prompt.SharedParts()}
	return job
}

// partRelay is a relay before two engines.
type partRelay struct {
	*relay.Relay
	first, second *sitetest.Endpoint
}

// newPartRelay returns a relay that sends a stream to the first engine, and then to a
// decode engine, where sitetest.Events answers. The first engine has the given stage and
// handler.
func newPartRelay(t *testing.T, stage site.Stage, serve func(p *partRelay) func(http.ResponseWriter, *http.Request)) *partRelay {
	p := &partRelay{Relay: newRelay()}
	p.first = sitetest.NewEndpoint(t, "first", func(w http.ResponseWriter, r *http.Request) { serve(p)(w, r) })
	p.second = sitetest.NewEndpoint(t, "second", sitetest.Events(3, 0))
	p.Selector.EndpointChanged(site.Endpoint{ID: "first", Service: "model", Address: p.first.Address, DataCentre: "dc-1", Slots: 8, Stage: stage, StartedMS: 1})
	addModel(p.Relay, "second", p.second.Address, 8)
	if stage == site.Decode {
		t.Cleanup(p.Selector.StreamStarted("second")) // The first is less busy.
	}
	return p
}

// breakAfterPause returns a handler that sends an event, and breaks off after a pause and another one.
func breakAfterPause(pause time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		sitetest.Events(1, 0)(w, r)
		time.Sleep(pause)
		sitetest.Events(3, 2)(w, resumeAfter(r, "1"))
	}
}

// resumeAfter returns the request to go on after an event.
func resumeAfter(r *http.Request, lastID string) *http.Request {
	r = r.Clone(r.Context())
	r.Header.Set(sitetest.HeaderLastEventID, lastID)
	return r
}

// A request that had been admitted before its part was known to crash endpoints was sent
// on to further ones.
func TestRequestUnderWayIsNotSentOnOnceItsPartIsKnown(t *testing.T) {
	prefill := sitetest.WithPrefill("h", nil)
	cases := map[string]struct {
		stage   site.Stage
		answer  func(http.ResponseWriter, *http.Request)
		learn   bool
		sentOn  int
		outcome relay.Reason
	}{
		"read elsewhere":            {site.Prefill, prefill, false, 1, relay.ReasonNone},
		"read elsewhere, known":     {site.Prefill, prefill, true, 0, relay.ReasonCrashes},
		"refused by one":            {site.Decode, sitetest.NotRun, false, 1, relay.ReasonNone},
		"refused by one, known":     {site.Decode, sitetest.NotRun, true, 0, relay.ReasonCrashes},
		"broken at one, known":      {site.Decode, sitetest.TruncatedResponse, true, 0, relay.ReasonMayHaveRun},
		"broken midway":             {site.Decode, sitetest.Events(3, 2), false, 1, relay.ReasonNone},
		"broken before, not known ": {site.Decode, sitetest.TruncatedResponse, false, 1, relay.ReasonNone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPartRelay(t, c.stage, func(p *partRelay) func(http.ResponseWriter, *http.Request) {
				if c.learn {
					learnThatPartCrashes(p.Crashes, 0)
				}
				return c.answer
			})
			recorder := httptest.NewRecorder()
			outcome := p.Serve(t.Context(), recorder, newPartJob())
			require.Len(t, p.first.Requests(), 1)
			require.Len(t, p.second.Requests(), c.sentOn)
			require.Equal(t, c.outcome, outcome.Reason)
			if c.outcome == relay.ReasonCrashes {
				require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
				require.NotEmpty(t, recorder.Header().Get("Retry-After"))
			}
		})
	}
}

// A request that shows whether a part still crashes endpoints crashed several of them: one
// that read its prompt, and those that it was tried again at.
func TestTrialIsSentToOneEndpoint(t *testing.T) {
	for stage, sent := range map[site.Stage][2]int{site.Prefill: {0, 1}, site.Decode: {1, 0}} {
		p := newPartRelay(t, stage, func(*partRelay) func(http.ResponseWriter, *http.Request) { return sitetest.NotRun })
		job := newPartJob()
		job.Trial = true
		p.Serve(t.Context(), httptest.NewRecorder(), job)
		require.Equal(t, sent, [2]int{len(p.first.Requests()), len(p.second.Requests())}, stage)
	}
}

// A part whose prompts crash endpoints right after the first event was cleared by that event,
// so that it was never refused. A whole answer clears parts, and so does one that goes on for
// blame.ProvenAfter.
func TestOnlyAnAnswerThatGoesOnClearsParts(t *testing.T) {
	cases := map[string]struct {
		answer  func(http.ResponseWriter, *http.Request)
		cleared bool
	}{
		"whole":            {sitetest.Events(3, 0), true},
		"broken midway":    {sitetest.Events(3, 1), false},
		"broken later":     {breakAfterPause(blame.ProvenAfter), true},
		"broken earlier":   {breakAfterPause(blame.ProvenAfter / 2), false},
		"broken before":    {sitetest.TruncatedResponse, false},
		"refused":          {sitetest.NotRun, false},
		"failed":           {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, false},
		"without an event": {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("id: 1\nda")) }, false}, // The recorder shows what came.
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRelay()
			addModel(r, "e", sitetest.NewEndpoint(t, "e", c.answer).Address, 8)
			learnThatPartCrashes(r.Crashes, 0)
			job := newPartJob()
			require.True(t, r.Crashes.Decide(job.Identity).Refused)
			job.Trial = true
			r.Serve(t.Context(), httptest.NewRecorder(), job)
			require.Equal(t, !c.cleared, r.Crashes.Decide(job.Identity).Refused)
		})
	}
}
