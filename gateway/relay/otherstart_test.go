package relay_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// listVersioned lists an engine with its version.
func listVersioned(r *relay.Relay, e *sitetest.VersionedEngine, version string) {
	r.Selector.EndpointChanged(site.Endpoint{ID: e.ID, Service: "model", Address: e.Address, DataCentre: "dc-1", Slots: 8, Stage: site.Decode, StartedMS: 1, SoftwareVersion: version})
}

// Guards against joined streams: an engine had started again under its ID with other software, and
// until its row was read streams of the former version were sent there, in one answer or when their
// callers took them up. An engine that doesn't say when it started proves nothing either.
func TestStreamGoesOnOnlyAtTheStartOfItsEngineThatIsListed(t *testing.T) {
	for name, startedMS := range map[string]int64{"other start": 2, "no word of its start": 0} {
		for way, takesUp := range map[string]bool{"in one answer": false, "taken up": true} {
			t.Run(name+", "+way, func(t *testing.T) {
				breaks, again := sitetest.NewVersionedEngine(t, "breaks", "v1"), sitetest.NewVersionedEngine(t, "again", "v2")
				breaks.Breaks.Store(true)
				again.StartedMS.Store(startedMS)
				r := newRelay()
				job := newStreamJob()
				listVersioned(r, again, "v1") // Its former row.
				if takesUp {
					r.Versions = &fakeVersions{known: map[string]string{"begun": "v1"}, recorded: map[string]string{}}
					job.Caller.LastEventID, job.Caller.ResumedRequestID = "1", "begun"
				} else {
					listVersioned(r, breaks, "v1")
					again.OnlyGoesOn.Store(true)
				}
				recorder := httptest.NewRecorder()
				outcome := r.Serve(t.Context(), recorder, job)
				require.NotContains(t, recorder.Body.String(), "v2", "%+v", outcome.Calls)
				if takesUp {
					require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
					require.False(t, outcome.MayHaveRun)
				}
				for _, received := range again.Requests() {
					require.Empty(t, received.Header.Get(sitetest.HeaderLastEventID))
				}
			})
		}
	}
}

// Guards against streams whose version is taken for that of a former start: one that begins is sent
// to an engine that is the one listed, without an attempt of its caller being used up.
func TestStreamBeginsElsewhereIfItsEngineHasStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newSimulatedNetwork()
		again, listed := network.newEndpoint(t, "again", sitetest.Events(4, 0)), network.newEndpoint(t, "listed", sitetest.Events(4, 0))
		again.StartedMS.Store(2)
		r := network.newRelay()
		versions := &fakeVersions{recorded: map[string]string{}}
		r.Versions = versions
		for id, address := range map[string]string{"again": again.Address, "listed": listed.Address} {
			r.Selector.EndpointChanged(site.Endpoint{ID: id, Service: "model", Address: address, DataCentre: "dc-1", Slots: 8, Stage: site.Decode, StartedMS: 1, SoftwareVersion: softwareVersion})
		}
		job := newStreamJob()
		job.Route.MaxAttempts = 1
		recorder := httptest.NewRecorder()
		outcome := r.Serve(t.Context(), recorder, job)
		require.Equal(t, http.StatusOK, recorder.Code, "%+v", outcome.Calls)
		require.Equal(t, "listed", outcome.Endpoint)
		require.EqualValues(t, 1, outcome.Attempts)
		require.Empty(t, again.Requests())
		require.Equal(t, map[string]string{"id-1": softwareVersion}, versions.recorded)
	})
}
