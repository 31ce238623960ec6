package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/relay"
	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// fakeVersions knows the versions of some streams.
type fakeVersions struct {
	known    map[string]string // By resumed request.
	service  string            // That began them; empty if it is not known.
	recorded map[string]string // By request.
}

func (f *fakeVersions) RecordStreamAt(_, requestID string, endpoint site.Endpoint) {
	f.recorded[requestID] = endpoint.SoftwareVersion
}

func (f *fakeVersions) RecordStream(_, requestID, version string) { f.recorded[requestID] = version }

func (f *fakeVersions) Find(_ context.Context, taken streamversions.TakeUp) (streamversions.ServiceVersion, bool) {
	version, ok := f.known[taken.ResumedRequestID]
	return streamversions.ServiceVersion{Service: f.service, Version: version}, ok
}

func (*fakeVersions) InDoubt(string) bool { return false }

// retryAfterUnknown is the Retry-After time of streams whose version is not known.
const retryAfterUnknown = 3 * time.Second

func (*fakeVersions) RetryAfterUnknown() time.Duration { return retryAfterUnknown }

// recordingWriter notes what was recorded when the first byte was written.
type recordingWriter struct {
	*httptest.ResponseRecorder
	versions *fakeVersions
	atFirst  string
}

func (w *recordingWriter) Write(data []byte) (int, error) {
	if w.Body.Len() == 0 {
		w.atFirst = w.versions.recorded["id-1"]
	}
	return w.ResponseRecorder.Write(data)
}

func newVersionedRelay(t *testing.T, versions *fakeVersions) (*relay.Relay, *sitetest.VersionedEngine) {
	r := newRelay()
	r.Versions = versions
	e := sitetest.NewVersionedEngine(t, "e-1", "v1")
	r.Selector.EndpointChanged(site.Endpoint{ID: "e-1", Service: "model", Address: e.Address, DataCentre: "dc-1", Slots: 8, StartedMS: 1, Stage: site.Decode, SoftwareVersion: "v1"})
	return r, e
}

func newModelJob() *relay.Job {
	job := newJob(site.Stream)
	job.Service = "model"
	job.Route.Resumable = true
	return job
}

// A stream whose first event its caller had could be unknown when the caller took it up.
func TestVersionIsRecordedBeforeTheFirstEventIsWritten(t *testing.T) {
	versions := &fakeVersions{recorded: make(map[string]string)}
	r, _ := newVersionedRelay(t, versions)
	w := &recordingWriter{ResponseRecorder: httptest.NewRecorder(), versions: versions}
	outcome := r.Serve(t.Context(), w, newModelJob())
	require.Equal(t, relay.ReasonNone, outcome.Reason)
	require.Equal(t, "v1", w.atFirst)
}

// A take-up whose version was not known, or not served, was sent to any endpoint.
func TestTakeUpIsSentNowhereWithoutItsVersion(t *testing.T) {
	for resumed, want := range map[string]relay.Reason{"unknown": relay.ReasonVersionUnknown, "of-v2": relay.ReasonVersionGone, "of-v1": relay.ReasonNone} {
		t.Run(resumed, func(t *testing.T) {
			versions := &fakeVersions{known: map[string]string{"of-v1": "v1", "of-v2": "v2"}, recorded: make(map[string]string)}
			r, e := newVersionedRelay(t, versions)
			job := newModelJob()
			job.Caller.LastEventID, job.Caller.ResumedRequestID = "3", resumed
			job.Header.Set(sitetest.HeaderLastEventID, "3")
			w := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), w, job)
			require.Equal(t, want, outcome.Reason)
			if want == relay.ReasonVersionUnknown {
				require.GreaterOrEqual(t, outcome.RetryAfter, retryAfterUnknown)
			}
			if want == relay.ReasonNone {
				require.Equal(t, http.StatusOK, w.Code)
				return
			}
			require.Equal(t, http.StatusServiceUnavailable, w.Code)
			require.NotEmpty(t, w.Header().Get("Retry-After"))
			require.False(t, outcome.MayHaveRun)
			require.Empty(t, e.Requests())
		})
	}
}

// After a prefill on an engine of one version the stream was decoded by one of another.
func TestDecodeIsOfTheVersionOfThePrefill(t *testing.T) {
	r := newRelay()
	r.Versions = &fakeVersions{recorded: make(map[string]string)}
	engines := make(map[string]*sitetest.VersionedEngine)
	for _, e := range []struct {
		id, version string
		stage       site.Stage
	}{{"d-2", "v2", site.Decode}, {"p-1", "v1", site.Prefill}, {"d-1", "v1", site.Decode}} {
		engines[e.id] = sitetest.NewVersionedEngine(t, e.id, e.version)
		r.Selector.EndpointChanged(site.Endpoint{ID: e.id, Service: "model", Address: engines[e.id].Address, DataCentre: "dc-1", Slots: 8, StartedMS: 1, Stage: e.stage, SoftwareVersion: e.version})
	}
	job := newModelJob()
	job.Caller.Prompt = site.Prompt{InputTokens: 8000, Parts: []site.PromptPart{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 7990}}}
	outcome := r.Serve(t.Context(), httptest.NewRecorder(), job)
	require.Equal(t, relay.ReasonNone, outcome.Reason)
	require.Equal(t, "p-1", outcome.PrefillEndpoint)
	require.Equal(t, "d-1", outcome.Endpoint)
	require.Empty(t, engines["d-2"].Requests())
}

// newStrandedTakeUp returns a relay and a job that takes up a stream of a version whose decode engine
// can't be reached and whose prefill engine is listed.
func newStrandedTakeUp(t *testing.T) (*relay.Relay, *relay.Job) {
	r, _ := newVersionedRelay(t, &fakeVersions{known: map[string]string{"of-v2": "v2"}, recorded: make(map[string]string)})
	for id, stage := range map[string]site.Stage{"d-2": site.Decode, "p-2": site.Prefill} {
		r.Selector.EndpointChanged(site.Endpoint{ID: id, Service: "model", Address: unreachable, DataCentre: "dc-1", Slots: 8, StartedMS: 1, Stage: stage, SoftwareVersion: "v2"})
	}
	job := newModelJob()
	job.Caller.LastEventID, job.Caller.ResumedRequestID = "3", "of-v2"
	return r, job
}

// The line of a refused take-up did not tell a version whose engines are all lost from one of which
// engines serve that can't go on with it.
func TestRefusedTakeUpCountsTheEnginesOfItsVersion(t *testing.T) {
	r, job := newStrandedTakeUp(t)
	outcome := r.Serve(t.Context(), httptest.NewRecorder(), job)
	require.Equal(t, relay.ReasonVersionGone, outcome.Reason)
	require.Equal(t, &relay.VersionGone{Version: "v2", Engines: engines.VersionEngines{Decode: 1, Ejected: 1, Prefill: 1}}, outcome.VersionGone)
}

// Callers whose stream no engine could go on with were told to return within a second. Engines that
// crash are away for longer, and most callers return only once.
func TestCallersOfACrashedVersionAreNotToldToReturnBeforeItIsBack(t *testing.T) {
	r, job := newStrandedTakeUp(t)
	job.Deadline = time.Now().Add(8 * time.Second)
	outcome := r.Serve(t.Context(), httptest.NewRecorder(), job)
	require.Equal(t, relay.ReasonVersionGone, outcome.Reason)
	require.GreaterOrEqual(t, outcome.RetryAfter, 2*time.Second)
}

// askToWait has an endpoint of a relay say that it wants no request for a time.
func askToWait(t *testing.T, r *relay.Relay, id string, wait time.Duration) {
	endpoint, ok := r.Selector.Endpoint(id)
	require.True(t, ok)
	r.Selector.Observe(endpoint, site.EndpointResponse{RetryAfter: site.RetryAfter{Stated: true, Wait: wait}})
}

// No engine of its version could go on with a stream. An engine of another version had asked to wait, so
// the caller was told to return when that one accepts requests again, and was refused once more.
func TestWaitOfAnotherVersionSaysNothingOfAStream(t *testing.T) {
	r, job := newStrandedTakeUp(t)
	job.Deadline = time.Now().Add(8 * time.Second)
	askToWait(t, r, "e-1", 300*time.Millisecond)
	outcome := r.Serve(t.Context(), httptest.NewRecorder(), job)
	require.Equal(t, relay.ReasonVersionGone, outcome.Reason)
	require.GreaterOrEqual(t, outcome.RetryAfter, 2*time.Second)
}

// The only engine of a stream's version had asked to wait. Since engines of other versions had not, the
// caller was told to return at once.
func TestCallerOfAVersionThatAskedToWaitReturnsAfterIt(t *testing.T) {
	const wait = 5 * time.Second
	r, _ := newVersionedRelay(t, &fakeVersions{known: map[string]string{"of-v2": "v2"}, recorded: make(map[string]string)})
	r.Selector.EndpointChanged(site.Endpoint{ID: "d-2", Service: "model", Address: unreachable, DataCentre: "dc-1", Slots: 8, StartedMS: 1, Stage: site.Decode, SoftwareVersion: "v2"})
	askToWait(t, r, "d-2", wait)
	job := newModelJob()
	job.Caller.LastEventID, job.Caller.ResumedRequestID = "3", "of-v2"
	outcome := r.Serve(t.Context(), httptest.NewRecorder(), job)
	require.Equal(t, relay.ReasonAskedToWait, outcome.Reason)
	require.GreaterOrEqual(t, outcome.RetryAfter, wait-100*time.Millisecond)
}
