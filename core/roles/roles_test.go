package roles

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingospar.org/core/propertytest"
)

func TestMain(m *testing.M) {
	propertytest.Set(propertytest.Defaults{Seed: 6})
	os.Exit(m.Run())
}

// TestPlansAreBounded simulates a random demand second by second. It checks that no
// more engines change at the same time than allowed, that no engine changes twice
// within its minimum dwell time, and that the plan does not depend on the order of
// the snapshot.
func TestPlansAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Defaults()
		settings.Mode = rapid.SampledFrom([]Mode{ModeMixed, ModeStatic, ModeFollow, ModeHybrid}).Draw(t, "mode")
		n := rapid.IntRange(1, 22).Draw(t, "engines")
		engines := make([]Endpoint, n)
		remaining := make([]int, n) // Seconds until the current change is done.
		for i := range engines {
			role := rapid.SampledFrom([]Role{Mixed, Prefill, Output}).Draw(t, "role")
			engines[i] = Endpoint{ID: fmt.Sprint(i), Role: role, Since: time.Hour, Ready: true}
		}
		for range 120 {
			s := Snapshot{
				Pool:          "pool",
				Endpoints:     engines,
				PrefillDemand: rapid.Float64Range(0, float64(n)).Draw(t, "prefill"),
				OutputDemand:  rapid.Float64Range(0, float64(n)).Draw(t, "output"),
				DemandAge:     time.Duration(rapid.IntRange(0, 12).Draw(t, "age")) * time.Second,
			}
			plan := Decide(s, settings)
			require.Equal(t, plan, Decide(reversed(s), settings), "the plan does not depend on the order of the endpoints")
			for _, change := range plan.Changes {
				index := indexOf(engines, change.Endpoint)
				require.False(t, engines[index].Changing, "one change at a time")
				require.NotEqual(t, change.From, change.To)
				if settings.Mode != ModeMixed {
					require.GreaterOrEqual(t, engines[index].Since, settings.MinDwell)
				}
				engines[index].Changing, engines[index].Role, remaining[index] = true, change.To, 4
			}
			changing := 0
			for i := range engines {
				engines[i].Since += time.Second
				if !engines[i].Changing {
					continue
				}
				changing++
				engines[i].Since = 0
				remaining[i]--
				engines[i].Changing = remaining[i] > 0
			}
			require.LessOrEqual(t, changing, max(1, int(settings.MaxConcurrent*float64(n))))
			if n >= minSplitEngines && settings.Mode == ModeFollow {
				require.Positive(t, n-changing, "some engine stays in service")
			}
		}
	})
}

func reversed(s Snapshot) Snapshot {
	endpoints := make([]Endpoint, 0, len(s.Endpoints))
	for i := len(s.Endpoints) - 1; i >= 0; i-- {
		endpoints = append(endpoints, s.Endpoints[i])
	}
	s.Endpoints = endpoints
	return s
}

func indexOf(engines []Endpoint, id string) int {
	for i, engine := range engines {
		if engine.ID == id {
			return i
		}
	}
	return -1
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{12, 500, 4_000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			s := Snapshot{Pool: "pool", PrefillDemand: 0.4 * float64(n), OutputDemand: 0.5 * float64(n)}
			for i := range n {
				s.Endpoints = append(s.Endpoints, Endpoint{ID: fmt.Sprint(i), Role: Mixed, Ready: true, Since: time.Hour})
			}
			settings := Defaults()
			settings.Mode = ModeFollow
			b.ReportAllocs()
			for b.Loop() {
				Decide(s, settings)
			}
		})
	}
}
