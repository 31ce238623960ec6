package relay_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/retrybudget"
	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against a stream that was refused because the engine for its prefill was silent
// and no retry was allowed, although the decode engine could have read the prompt itself.
func TestDecodeEngineReadsThePromptWhenThePrefillEngineIsSilent(t *testing.T) {
	t.Parallel()
	silent := &hold{start: time.Now()}
	prefill := sitetest.NewEndpoint(t, "prefill", silent.serve)
	decode := sitetest.NewEndpoint(t, "decode", sitetest.Events(4, 0))
	r := newRelay()
	r.RetryBudgets = relay.NewRetryBudgets(retrybudget.Settings{Window: 10 * time.Second})
	addModel(r, "decode", decode.Address, 8)
	r.Selector.EndpointChanged(site.Endpoint{ID: "prefill", Service: "model", Address: prefill.Address, DataCentre: "dc-1", Slots: 8, Stage: site.Prefill, StartedMS: 1})
	job := newStreamJob()
	job.Route.Resumable = false
	job.Caller.Prompt = site.Prompt{InputTokens: 4000, Parts: []site.PromptPart{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 3990}}}
	recorder := httptest.NewRecorder()
	outcome := r.Serve(t.Context(), recorder, job)
	require.Equal(t, http.StatusOK, recorder.Code, "calls: %+v", outcome.Calls)
	require.Equal(t, events(4), recorder.Body.String())
	require.Len(t, prefill.Requests(), 1)
	require.Len(t, decode.Requests(), 1)
	require.Empty(t, decode.Requests()[0].Header.Get(sitetest.HeaderKVSource))
	silent.requireCancelled(t, 2*time.Second)
}
