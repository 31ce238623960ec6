package duties

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/stages"
	"flamingospar.org/platform/site/sitetest"
)

// newStatingEngine returns a prefill engine that states nothing yet.
func newStatingEngine(t *testing.T, id string) (*prefillEngine, *sitetest.Stating) {
	s := sitetest.NewStating(func(w http.ResponseWriter, request *http.Request) {
		if strings.HasSuffix(request.URL.Path, "/report") {
			fmt.Fprint(w, `{"stage":"prefill","busy":false,"seq":2,"waiting":0,"running":0}`)
			return
		}
		w.WriteHeader(http.StatusAccepted)
	})
	e := &prefillEngine{endpoint: sitetest.NewEndpoint(t, id, s.Serve), orderStatus: http.StatusAccepted}
	e.endpoint.OwnReports.Store(true)
	return e, s
}

// plannerThatObserves is like planner and applies what engines say of themselves.
func (f *fixture) plannerThatObserves(engines ...*prefillEngine) *StagePlanner {
	p := f.planner("vm-1", engines...)
	p.Endpoints.OnAnswer = p.Balancer.Observe
	return p
}

// stepThrice runs three steps of a planner without the times that it waits between them.
func stepThrice(t *testing.T, p *StagePlanner) {
	for range 3 {
		p.step(t.Context(), "model")
		clear(p.serviceNotBefore)
		clear(p.engineNotBefore)
	}
}

// An engine said in its report that it leaves, and was ordered to change its stage. No
// further report is asked of it either.
func TestNoOrderToAnEngineThatLeaves(t *testing.T) {
	f := newFixture(t)
	e, s := newStatingEngine(t, "e1")
	s.SetLeaving(true)
	p := f.plannerThatObserves(e)
	stepThrice(t, p)
	require.Empty(t, e.receivedOrders(t))
	require.Equal(t, 1, s.Arrivals())
	view, list := p.Balancer.StageView("model"), stages.Orderable(p.Balancer.StageEngines("model"))
	require.Empty(t, list)
	require.Zero(t, view.PrefillEngines)
}

// An engine turned its report away and said for how long it wants no request. It was asked
// again at the next step; in the time that it states it keeps its stage and counts in it.
func TestNoReportOfAnEngineThatAskedToWait(t *testing.T) {
	f := newFixture(t)
	e, s := newStatingEngine(t, "e1")
	s.Refuse(1, "60")
	p := f.plannerThatObserves(e)
	stepThrice(t, p)
	require.Empty(t, e.receivedOrders(t))
	require.Equal(t, 1, s.Arrivals())
	view, list := p.Balancer.StageView("model"), stages.Orderable(p.Balancer.StageEngines("model"))
	require.Empty(t, list)
	require.Equal(t, 1, view.PrefillEngines)
}
