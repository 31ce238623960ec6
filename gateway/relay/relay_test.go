package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/meter"
	"flamingospar.org/core/retrybudget"
	"flamingospar.org/gateway/crashes"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/limits"
	"flamingospar.org/gateway/relay"
	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// onlyProcess is a fleet of one process.
type onlyProcess struct{ limits.Fleet }

func (onlyProcess) Rank(string, int) []string { return []string{"vm-1"} }
func (onlyProcess) Generation() uint64        { return 1 }

// noFleet lists no endpoints.
type noFleet struct{}

func (noFleet) Endpoint(string) (site.Endpoint, bool) { return site.Endpoint{}, false }
func (noFleet) Position(string) int                   { return 0 }

// oneVersion knows that all streams were begun at one software version.
type oneVersion struct{}

func (oneVersion) InDoubt(string) bool                          { return false }
func (oneVersion) RetryAfterUnknown() time.Duration             { return time.Second }
func (oneVersion) RecordStreamAt(string, string, site.Endpoint) {}
func (oneVersion) RecordStream(string, string, string)          {}
func (oneVersion) Find(context.Context, streamversions.TakeUp) (streamversions.ServiceVersion, bool) {
	return streamversions.ServiceVersion{Version: softwareVersion}, true
}

// softwareVersion is that of all endpoints.
const softwareVersion = "v1"

// newRelay returns a relay with endpoints of the service "plain".
func newRelay(endpoints ...*sitetest.Endpoint) *relay.Relay {
	selector := engines.New("dc-1", time.Now)
	for _, e := range endpoints {
		selector.EndpointChanged(site.Endpoint{ID: e.ID, Service: "plain", Address: e.Address, DataCentre: "dc-1", Slots: 6, StartedMS: 1})
	}
	registry := meter.NewRegistry()
	return &relay.Relay{
		Pool: transport.NewPool(), Selector: selector, Limits: limits.New("vm-1", onlyProcess{}, registry, time.Now), Meter: registry, OnRunStart: func(string) {}, Crashes: crashes.New(noFleet{}), Versions: oneVersion{}, MaxIdleConns: func(string) int { return 0 }, OnPrefillDone: func(_, _ time.Duration) {},
		RetryBudgets: relay.NewRetryBudgets(retrybudget.Settings{Window: 10 * time.Second, Ratio: 0.2, Allowance: 50}),
	}
}

func newJob(kind site.RouteKind) *relay.Job {
	header := http.Header{}
	site.SetRequestID(header, "id-1")
	return &relay.Job{
		Caller: site.CallerRequest{ID: "id-1"}, Method: http.MethodGet, Target: "/look/up", Host: "a.example", Header: header,
		Route: site.Route{Kind: kind, MaxAttempts: 2, LatencyObjective: time.Second}, Service: "plain", Arrived: time.Now(), Deadline: time.Now().Add(5 * time.Second),
	}
}

// The outcome lists each endpoint that a request was sent to and the result there.
func TestOutcomeListsEachCall(t *testing.T) {
	failing := sitetest.NewEndpoint(t, "e-1", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	healthy := sitetest.NewEndpoint(t, "e-2", nil)
	r := newRelay(failing, healthy)
	recorder := httptest.NewRecorder()
	outcome := r.Serve(t.Context(), recorder, newJob(site.Idempotent))
	require.Equal(t, http.StatusOK, recorder.Code)
	require.Len(t, outcome.Calls, 2)
	require.Equal(t, "e-1", outcome.Calls[0].Endpoint)
	require.Equal(t, relay.ResultFailed, outcome.Calls[0].Result)
	require.Equal(t, "e-2", outcome.Calls[1].Endpoint)
	require.Equal(t, relay.ResultAnswered, outcome.Calls[1].Result)
}

// If the connection is lost during a request that may not be repeated, the caller is
// told that it may have run, and no further call is made.
func TestOutcomeOfABrokenConnection(t *testing.T) {
	broken := sitetest.NewEndpoint(t, "e-1", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	recorder := httptest.NewRecorder()
	outcome := newRelay(broken).Serve(t.Context(), recorder, newJob(site.NonIdempotent))
	require.Equal(t, http.StatusBadGateway, recorder.Code)
	require.Equal(t, relay.ReasonMayHaveRun, outcome.Reason)
	require.Len(t, outcome.Calls, 1)
	require.Equal(t, relay.ResultBroken, outcome.Calls[0].Result)
}
