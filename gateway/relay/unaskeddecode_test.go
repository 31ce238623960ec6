package relay_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against a stream that was refused because the engine for its prefill failed while a
// retry was allowed: the only decode engine, which had not been asked, was left out as well.
func TestDecodeEngineIsNotExcludedForAFailedPrefill(t *testing.T) {
	silent := &hold{start: time.Now()}
	for name, other := range map[string]func(http.ResponseWriter, *http.Request){
		"silent": silent.serve, "refuses": sitetest.NotRun, "breaks off": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				network := newSimulatedNetwork()
				prefill := network.newEndpoint(t, "prefill", other)
				decode := network.newEndpoint(t, "decode", sitetest.Events(4, 0))
				r := network.newRelay()
				addModel(r, "decode", decode.Address, 8)
				r.Selector.EndpointChanged(site.Endpoint{ID: "prefill", Service: "model", Address: prefill.Address, DataCentre: "dc-1", Slots: 8, Stage: site.Prefill, StartedMS: 1})
				job := newStreamJob()
				job.Route.Resumable = false
				job.Caller.Prompt = site.Prompt{InputTokens: 4000, Parts: []site.PromptPart{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 3990}}}
				recorder := httptest.NewRecorder()
				outcome := r.Serve(t.Context(), recorder, job)
				require.Equal(t, http.StatusOK, recorder.Code, "%s %+v", outcome.Reason, outcome.Calls)
				require.Equal(t, events(4), recorder.Body.String())
			})
		})
	}
}
