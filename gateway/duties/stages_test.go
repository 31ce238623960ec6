package duties

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// stageOrder is an order as an engine of these tests got it.
type stageOrder struct {
	Op           string `json:"op"`
	Stage        string `json:"stage"`
	Holder       string `json:"holder"`
	Fence        int64  `json:"fence"`
	Precondition int64  `json:"precondition"`
}

// reader is a model engine that only reads and has accepted two orders.
type reader struct {
	endpoint *sitetest.Endpoint

	answer int // Status of an answer to an order.
}

func newReader(t *testing.T, id string) *reader {
	r := &reader{answer: http.StatusAccepted}
	r.endpoint = sitetest.NewEndpoint(t, id, func(w http.ResponseWriter, request *http.Request) {
		if strings.HasSuffix(request.URL.Path, "/report") {
			fmt.Fprint(w, `{"stage":"prefill","busy":false,"seq":2,"waiting":0,"running":0}`)
			return
		}
		w.WriteHeader(r.answer)
	})
	return r
}

func (r *reader) got(t *testing.T) []stageOrder {
	t.Helper()
	var orders []stageOrder
	for _, arrival := range r.endpoint.Arrivals() {
		if arrival.Method != http.MethodPost {
			continue
		}
		var order stageOrder
		require.NoError(t, json.Unmarshal([]byte(arrival.Body), &order))
		orders = append(orders, order)
	}
	return orders
}

// planner returns a planner of a fleet in which these engines read and none
// produces.
func (f *fixture) planner(holder string, readers ...*reader) *StagePlanner {
	ledger := engines.New("dc-1", time.Now)
	for _, r := range readers {
		ledger.EndpointChanged(site.Endpoint{ID: r.endpoint.ID, Service: "model", Address: r.endpoint.Address, DataCentre: "dc-1", Slots: 8, Stage: site.Prefill, Started: 1})
	}
	keeper := leasekeeper.NewWithClock(f.store.Tables(), "duties", holder, func() time.Time { return f.now })
	keeper.Step(context.Background())
	return &StagePlanner{
		Ledger: ledger, Endpoints: site.NewEndpointClient(http.DefaultClient), Lease: keeper, Holder: holder,
		FleetAge: func() time.Duration { return 0 }, Change: func(string) time.Duration { return 0 },
	}
}

// All engines that produce are lost. The holder has a reader produce, under its
// fence and on condition of the orders that the engine has accepted.
func TestHolderRestoresALostStage(t *testing.T) {
	f := newFixture(t)
	r := newReader(t, "e1")
	p := f.planner("vm-1", r)
	p.step(t.Context(), "model")
	require.Equal(t, []stageOrder{{Op: "stage", Stage: "decode", Holder: "vm-1", Fence: 1, Precondition: 2}}, r.got(t))
	p.step(t.Context(), "model")
	require.Len(t, r.got(t), 1, "ordered again while it changes")
}

func TestOnlyTheHolderOrders(t *testing.T) {
	f := newFixture(t)
	f.planner("vm-1")
	r := newReader(t, "e1")
	second := f.planner("vm-2", r)
	second.step(t.Context(), "model")
	require.Empty(t, r.got(t))
}

// A process that does not know the fleet of now orders nothing.
func TestNoOrderFromAnOldView(t *testing.T) {
	f := newFixture(t)
	r := newReader(t, "e1")
	p := f.planner("vm-1", r)
	p.FleetAge = func() time.Duration { return freshFleet + time.Second }
	p.step(t.Context(), "model")
	require.Empty(t, r.got(t))
}

// An engine refuses an order since another holder gave it a later one. No more
// orders follow under that term.
func TestFencedHolderOrdersNoMore(t *testing.T) {
	f := newFixture(t)
	r, other := newReader(t, "e1"), newReader(t, "e2")
	r.answer, other.answer = http.StatusPreconditionFailed, http.StatusPreconditionFailed
	p := f.planner("vm-1", r, other)
	p.step(t.Context(), "model")
	clear(p.next)
	clear(p.resting)
	p.step(t.Context(), "model")
	require.Len(t, append(r.got(t), other.got(t)...), 1)
}

// The answer to an order is lost: it may be carried out late, and the engine
// gets no other until then.
func TestEngineRestsAfterAnOrderWithoutAnswer(t *testing.T) {
	f := newFixture(t)
	r := newReader(t, "e1")
	p := f.planner("vm-1", r)
	endpoint, _ := p.Ledger.Endpoint("e1")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := p.Endpoints.SetStage(ctx, endpoint, site.Decode, site.Authority{Holder: "vm-1", Token: 1}, 2)
	require.ErrorIs(t, err, site.ErrUnknown)
	p.planner("model")
	p.noteOrder("e1", 1, err)
	require.Greater(t, time.Until(p.resting["e1"]), lateOrder-time.Second)
}
