package relay_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

const prefillTime = 300 * time.Millisecond

// slowPrefill answers a prefill call after prefillTime, or nothing if it is silent.
func slowPrefill(silent bool) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		if silent {
			<-r.Context().Done()
			return
		}
		time.Sleep(prefillTime)
		_ = json.NewEncoder(w).Encode(map[string]any{"handle": "h", "tokens": 10, "version": 1}) // The relay sees a truncated answer.
	}
}

func longPromptJob() *relay.Job {
	job := newStreamJob()
	job.Route.Resumable = false
	job.Caller.Prompt = site.Prompt{InputTokens: 4000, Parts: []site.PromptPart{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 3990}}}
	return job
}

// Guards against a stream that reached a decode engine long after the list had it draining or
// gone, and was lost with it: an engine with a rate limit is chosen before the prefill, and so is
// one whose prefill engine turns out to be silent. The permit taken for it is given back.
func TestDecodeEngineThatLeavesDuringThePrefillIsNotSentTheStream(t *testing.T) {
	leave := map[string]func(r *relay.Relay, listed site.Endpoint){
		"draining": func(r *relay.Relay, listed site.Endpoint) {
			listed.Draining = true
			r.Selector.EndpointChanged(listed)
		},
		"gone": func(r *relay.Relay, listed site.Endpoint) { r.Selector.EndpointGone(listed.ID) },
	}
	for state, leaves := range leave {
		for prefill, silent := range map[string]bool{"prefilled": false, "silent prefill": true} {
			for limit, limited := range map[string]bool{"limited": true, "unlimited": false} {
				t.Run(state+", "+prefill+", "+limit, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						network := newSimulatedNetwork()
						r := network.newRelay()
						r.Selector.Limits = r.Limits
						list := func(e *sitetest.Endpoint, stage site.Stage) site.Endpoint {
							listed := site.Endpoint{ID: e.ID, Service: "model", Address: e.Address, DataCentre: "dc-1", Slots: 8, Stage: stage, StartedMS: 1, SoftwareVersion: softwareVersion}
							r.Selector.EndpointChanged(listed)
							r.Limits.EndpointChanged(listed)
							return listed
						}
						old := network.newEndpoint(t, "old", sitetest.Events(4, 0))
						former := list(old, site.Decode)
						if limited {
							r.Limits.Observe(former, time.Now(), site.EndpointResponse{RateLimit: site.RateLimit{Stated: true, PerSecond: 0.01}})
							time.Sleep(10 * time.Second) // One request is allowed, and none for a long time after it.
						}
						list(network.newEndpoint(t, "prefill", slowPrefill(silent)), site.Prefill)
						time.AfterFunc(prefillTime/2, func() {
							list(network.newEndpoint(t, "new", sitetest.Events(4, 0)), site.Decode)
							leaves(r, former)
						})
						recorder := httptest.NewRecorder()
						outcome := r.Serve(t.Context(), recorder, longPromptJob())
						require.Empty(t, old.Requests(), "%+v", outcome.Calls)
						require.Equal(t, http.StatusOK, recorder.Code, "%s %+v", outcome.Reason, outcome.Calls)
						require.Equal(t, events(4), recorder.Body.String())
						require.True(t, r.Limits.Take(former.ID), "the permit was not given back")
					})
				})
			}
		}
	}
}

// Guards against a request that was sent to an endpoint which the list had dropped between its
// choice and the call: opening a connection takes time.
func TestPlainEndpointThatLeavesWhileAConnectionIsOpenedIsNotSentTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newSimulatedNetwork()
		e := network.newEndpoint(t, "e", nil)
		r := network.newRelay(e)
		dial := r.Pool.Dial
		r.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			r.Selector.EndpointGone("e")
			return conn, err
		}
		recorder := httptest.NewRecorder()
		outcome := r.Serve(t.Context(), recorder, newJob(site.NonIdempotent))
		require.Empty(t, e.Requests(), "%+v", outcome.Calls)
		require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	})
}
