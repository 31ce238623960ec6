package duties

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// stageOrder is an order as received by an engine.
type stageOrder struct {
	Op           string `json:"op"`
	Stage        string `json:"stage"`
	Holder       string `json:"holder"`
	Fence        int64  `json:"fence"`
	Precondition int64  `json:"precondition"`
}

// prefillEngine is a model engine in the prefill stage that has accepted two orders.
type prefillEngine struct {
	endpoint *sitetest.Endpoint

	orderStatus int // HTTP status of the response to an order; 0 if the response is lost.
	// hidesReport has the engine fail requests for its report.
	hidesReport bool
	// reportsChange has the engine report that an order is in progress once it has got one.
	reportsChange bool
	changing      atomic.Bool
}

func newPrefillEngine(t *testing.T, id string) *prefillEngine { return newLimitedEngine(t, id, 0) }

// newLimitedEngine returns a prefill engine that states a rate limit, or none if it is 0.
func newLimitedEngine(t *testing.T, id string, limit float64) *prefillEngine {
	e := &prefillEngine{orderStatus: http.StatusAccepted}
	serve := func(w http.ResponseWriter, request *http.Request) {
		if strings.HasSuffix(request.URL.Path, "/report") {
			if e.hidesReport {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			fmt.Fprintf(w, `{"stage":"prefill","busy":%t,"seq":2,"waiting":0,"running":0}`, e.changing.Load())
			return
		}
		e.changing.Store(e.reportsChange)
		if e.orderStatus == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(e.orderStatus)
	}
	e.endpoint = sitetest.NewEndpoint(t, id, sitetest.NewRateLimited(limit, serve).Serve)
	e.endpoint.OwnReports.Store(true)
	return e
}

func (e *prefillEngine) receivedOrders(t *testing.T) []stageOrder {
	t.Helper()
	var orders []stageOrder
	for _, arrival := range e.endpoint.Requests() {
		if arrival.Method != http.MethodPost {
			continue
		}
		var order stageOrder
		require.NoError(t, json.Unmarshal([]byte(arrival.Body), &order))
		orders = append(orders, order)
	}
	return orders
}

// fakeLimits gives a number of permits for each endpoint.
type fakeLimits struct {
	permits  int
	observed []site.RateLimit
}

func (l *fakeLimits) Take(string) bool {
	l.permits--
	return l.permits >= 0
}

func (l *fakeLimits) Observe(_ site.Endpoint, _ time.Time, response site.EndpointResponse) {
	l.observed = append(l.observed, response.RateLimit)
}

// planner returns the planner of a fleet that has only these prefill engines and no
// decode engine.
func (f *fixture) planner(holder string, prefillEngines ...*prefillEngine) *StagePlanner {
	balancer := engines.New("dc-1", time.Now)
	for _, e := range prefillEngines {
		balancer.EndpointChanged(site.Endpoint{ID: e.endpoint.ID, Service: "model", Address: e.endpoint.Address, DataCentre: "dc-1", Slots: 8, Stage: site.Prefill, StartedMS: 1})
	}
	keeper := leasekeeper.NewWithClock(f.store.Tables(), "duties", holder, func() time.Time { return f.now })
	keeper.Step(context.Background())
	return &StagePlanner{
		Balancer: balancer, Endpoints: site.NewEndpointClient(http.DefaultClient), Limits: &fakeLimits{permits: 100}, Lease: keeper, Holder: holder,
		FleetAge: func() time.Duration { return 0 }, StageChangeTime: func(string) time.Duration { return 0 },
	}
}

// All decode engines are lost. The holder moves a prefill engine to decode, with its
// fencing token and with the number of accepted orders as the precondition.
func TestHolderRestoresMissingDecodeStage(t *testing.T) {
	f := newFixture(t)
	e := newPrefillEngine(t, "e1")
	p := f.planner("vm-1", e)
	p.step(t.Context(), "model")
	require.Equal(t, []stageOrder{{Op: "stage", Stage: "decode", Holder: "vm-1", Fence: 1, Precondition: 2}}, e.receivedOrders(t))
	p.step(t.Context(), "model")
	require.Len(t, e.receivedOrders(t), 1, "a second order was sent during the stage change")
}

func TestOnlyTheHolderSendsOrders(t *testing.T) {
	f := newFixture(t)
	f.planner("vm-1")
	e := newPrefillEngine(t, "e1")
	second := f.planner("vm-2", e)
	second.step(t.Context(), "model")
	require.Empty(t, e.receivedOrders(t))
}

// A process whose list of endpoints is out of date sends no orders.
func TestNoOrderFromAStaleFleetView(t *testing.T) {
	f := newFixture(t)
	e := newPrefillEngine(t, "e1")
	p := f.planner("vm-1", e)
	p.FleetAge = func() time.Duration { return maxFleetAge + time.Second }
	p.step(t.Context(), "model")
	require.Empty(t, e.receivedOrders(t))
}

// An engine refuses an order because another holder has sent it one with a higher
// fencing token. No more orders are sent in that term.
func TestFencedHolderSendsNoMoreOrders(t *testing.T) {
	f := newFixture(t)
	e, other := newPrefillEngine(t, "e1"), newPrefillEngine(t, "e2")
	e.orderStatus, other.orderStatus = http.StatusPreconditionFailed, http.StatusPreconditionFailed
	p := f.planner("vm-1", e, other)
	p.step(t.Context(), "model")
	clear(p.serviceNotBefore)
	clear(p.engineNotBefore)
	p.step(t.Context(), "model")
	require.Len(t, append(e.receivedOrders(t), other.receivedOrders(t)...), 1)
}

// The response to an order is lost. The order may still be carried out late, so the
// engine gets no other order until then.
func TestNoOrderAfterALostResponse(t *testing.T) {
	f := newFixture(t)
	e := newPrefillEngine(t, "e1")
	p := f.planner("vm-1", e)
	endpoint, _ := p.Balancer.Endpoint("e1")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := p.Endpoints.SetStage(ctx, endpoint, site.Decode, site.DutyHolder{VM: "vm-1", FencingToken: 1}, 2)
	require.ErrorIs(t, err, site.ErrOutcomeUnknown)
	p.planner("model")
	p.recordOrderResult("e1", 1, err)
	require.Greater(t, time.Until(p.engineNotBefore["e1"]), lostResponseBackoff-time.Second)
}

// Reports and orders were sent to engines whose rate limit was used up, and a limit that a
// report states was not read.
func TestReportsAndOrdersKeepToRateLimits(t *testing.T) {
	for permits, want := range []struct{ reports, orders int }{{0, 0}, {1, 0}, {1, 1}} {
		f := newFixture(t)
		limited := &fakeLimits{permits: permits}
		e := newLimitedEngine(t, "e-1", 2.5)
		p := f.planner("a", e)
		p.Limits = limited
		p.step(t.Context(), "model")
		require.Len(t, e.receivedOrders(t), want.orders, "%d permits", permits)
		require.Equal(t, want.reports, len(e.endpoint.Requests())-want.orders, "%d permits", permits)
		if want.reports > 0 {
			require.Equal(t, []site.RateLimit{{Stated: true, PerSecond: 2.5}}, limited.observed)
		}
	}
}
