package spending

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

type fakeFleet struct{ entries int }

func (f fakeFleet) Listed(string, string) map[string]int { return map[string]int{"a": 2, "b": 1} }
func (f fakeFleet) Entries() int                         { return f.entries }

type fakeGauges map[string]int64

func (g fakeGauges) Gauge(value int64, parts ...string) { g[strings.Join(parts, ".")] = value }

func TestPublishSetsDemandAndMarginalValueGauges(t *testing.T) {
	gauges := make(fakeGauges)
	planner := New(fakeFleet{entries: 2}, gauges)
	for range 6 {
		planner.Offered("m", 15)
		planner.Refused("m", 2)
		planner.Publish()
	}
	require.Equal(t, int64(3000), gauges["spending.m.demand_milli"], "15 s in 10 s at each of two entries")
	require.Equal(t, int64(400), gauges["spending.m.refused_milli"])
	require.Equal(t, int64(5), gauges["spending.m.endpoints_wanted"], "3 at 70%")
	require.Equal(t, int64(900), gauges["spending.m.one_more_milli"], "3 less 70% of 3")
	require.Equal(t, int64(1000), gauges["spending.m.one_fewer_milli"])
	require.Equal(t, 5, planner.Targets("a")["m"]+planner.Targets("b")["m"])
	require.Empty(t, planner.Targets("elsewhere"))
}
